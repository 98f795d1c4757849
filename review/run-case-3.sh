#!/usr/bin/env bash
# Runs the case in the folder given, whose program review/build-3.sh has built.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
folder="$(cd "$1" && pwd)"
cd "$(dirname "$0")/.." || exit 2
program="target/review-3/case-$(basename "$folder")"
if [ ! -x "$program" ] || [ ! -x target/bluebellvalved ]; then
  echo "run the build of the deploy file and review/build-3.sh first"
  exit 2
fi
timeout --kill-after=5 115 "$program" "$folder"
code=$?
if [ $code -gt 1 ]; then
  exit 2
fi
exit $code
