#!/usr/bin/env bash
# Installs, builds and runs every test; the last line is `N passed, N failed`.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "${BBV_SKIP_INSTALL:-}" != 1 ]; then tools/install-dependencies.sh; fi
folder="${1:-build}"
tools/build.sh "$folder"
exec tools/run-tests.sh "$folder"
