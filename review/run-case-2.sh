#!/usr/bin/env bash
# Runs the case in the folder given, after the build of the deploy file and
# review/build-2.sh. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
folder="$(cd "$1" && pwd)"
cd "$(dirname "$0")/.." || exit 2
program="review/build-2/case-$(basename "$folder")"
if [ ! -x "$program" ] || [ ! -x target/bluebellvalved ]; then
  echo "not built: run the build of deploy/system.toml and review/build-2.sh" >&2
  exit 2
fi
timeout --signal=KILL 115 "$program" "$folder" "$PWD"
result=$?
case "$result" in
  0 | 1) exit "$result" ;;
  *) exit 2 ;;
esac
