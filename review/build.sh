#!/usr/bin/env bash
# Builds every stand-in that the scripts start, into review/build/. The scripts
# start none of the project's own stand-ins. Needs g++ and nlohmann-json3-dev,
# which the project's build needs too.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
flags=(-std=c++20 -O1 -g1 -Wall -Wextra -pthread)
common=(harness/harness.cc harness/engine_fleet.cc harness/deadly_case.cc)
pids=()
for source in "${common[@]}" harness/engine.cc harness/plain.cc ?/case.cc; do
  object="build/$(echo "${source%.cc}" | tr / -).o"
  g++ "${flags[@]}" -c "$source" -o "$object" &
  pids+=($!)
done
for pid in "${pids[@]}"; do
  wait "$pid"
done
objects=(build/harness-harness.o build/harness-engine_fleet.o
  build/harness-deadly_case.o)
for program in engine plain; do
  g++ "${flags[@]}" "build/harness-$program.o" "${objects[@]}" -o "build/$program"
done
for object in build/?-case.o; do
  number="$(basename "$object" -case.o)"
  g++ "${flags[@]}" "$object" "${objects[@]}" -o "build/case-$number"
done
