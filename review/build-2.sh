#!/usr/bin/env bash
# Builds every stand-in that the scripts of the second review start, into
# review/build-2/ and, where review/harness/ of the first one starts it from
# there, into review/build/. They use none of the project's own stand-ins. Needs g++ and nlohmann-json3-dev, which the project's
# build needs too.
set -euo pipefail
shopt -s nullglob
cd "$(dirname "$0")"
mkdir -p build build-2
flags=(-std=c++20 -O1 -g1 -Wall -Wextra -pthread)
common=(harness/harness.cc harness/engine_fleet.cc harness/deadly_case.cc)
scripts=({6,7,8,9,10}/*_script.cc)
pids=()
for source in "${common[@]}" harness/engine.cc harness-2/*.cc "${scripts[@]}"; do
  object="build-2/$(echo "${source%.cc}" | tr / -).o"
  g++ "${flags[@]}" -c "$source" -o "$object" &
  pids+=($!)
done
for pid in "${pids[@]}"; do
  wait "$pid"
done
objects=(build-2/harness-harness.o build-2/harness-engine_fleet.o
  build-2/harness-deadly_case.o)
g++ "${flags[@]}" build-2/harness-engine.o "${objects[@]}" -o build/engine
for program in layer_engine plain_server; do
  g++ "${flags[@]}" "build-2/harness-2-$program.o" "${objects[@]}" \
    -o "build-2/${program/_/-}"
done
for source in "${scripts[@]}"; do
  g++ "${flags[@]}" "build-2/$(echo "${source%.cc}" | tr / -).o" \
    "${objects[@]}" -o "build-2/case-$(dirname "$source")"
done
