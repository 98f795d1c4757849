#!/usr/bin/env bash
# Builds everything into build/ (or the folder given), with warnings as errors.
set -euo pipefail
cd "$(dirname "$0")/.."
folder="${1:-build}"
shift || true
cmake -S . -B "$folder" -G Ninja "$@" >/dev/null
ninja -C "$folder" --quiet
