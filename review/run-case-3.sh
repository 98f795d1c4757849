#!/usr/bin/env bash
# Runs the case in the folder given, whose program review/build-3.sh has built.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# Whatever ends the case, nothing that it started or wrote elsewhere is left.
folder="$(cd "$1" && pwd)"
cd "$(dirname "$0")/.." || exit 2
program="target/review-3/case-$(basename "$folder")"
if [ ! -x "$program" ] || [ ! -x target/bluebellvalved ] ||
  [ ! -x target/review-3/plain-server ]; then
  echo "run the build of the deploy file and review/build-3.sh first"
  exit 2
fi
TMPDIR="$(mktemp -d)" || exit 2
export TMPDIR
# timeout leads a process group of its own, in which all processes stay that
# the case starts.
timeout --kill-after=3 110 "$program" "$folder" &
group=$!
clean_up() {
  kill -KILL -- "-$group" 2>/dev/null
  rm -rf "$TMPDIR"
}
trap clean_up EXIT
trap 'exit 2' INT TERM HUP
wait "$group"
code=$?
if [ $code -gt 1 ]; then
  exit 2
fi
exit $code
