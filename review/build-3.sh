#!/usr/bin/env bash
# Builds the programs of cases 11 to 15 and all stand-ins that they start, into
# target/review-3/. Needs only the packages of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -Itests
  -Ireview/harness-3)
# shellcheck disable=SC2207
libraries=($(pkg-config --cflags --libs cpp-httplib) -lcrypto -pthread)
g++ "${flags[@]}" review/harness-3/plain_server.cc -o "$out/plain-server" \
  "${libraries[@]}" &
jobs=($!)
objects=()
for source in review/harness-3/floor.cc review/harness-3/deadly.cc tests/standins/fleet_standin.cc \
  tests/standins/fault_proxy.cc tests/free_port.cc; do
  object="$out/$(basename "$source" .cc).o"
  objects+=("$object")
  g++ "${flags[@]}" $(pkg-config --cflags cpp-httplib) -c "$source" -o "$object" &
  jobs+=($!)
done
for job in "${jobs[@]}"; do
  wait "$job"
done
jobs=()
for source in review/1[1-5]/case.cc; do
  number="$(basename "$(dirname "$source")")"
  g++ "${flags[@]}" "$source" "${objects[@]}" -o "$out/case-$number" \
    "${libraries[@]}" &
  jobs+=($!)
done
for job in "${jobs[@]}"; do
  wait "$job"
done
