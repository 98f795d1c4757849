#!/usr/bin/env bash
# Shows that the proofs can fail: takes each guard of tests/guards.txt out on a
# scratch copy and expects tests or fault scripts to fail there.
# Usage: tools/check-guards.sh [NAME...]
set -uo pipefail
cd "$(dirname "$0")/.."
scratch="$(mktemp -d)"
trap 'rm -rf "$scratch"' EXIT
jobs="${BBV_JOBS:-4}"
cp -r CMakeLists.txt apps modules tests "$scratch/"
cmake -S "$scratch" -B "$scratch/build" -G Ninja >/dev/null
ninja -C "$scratch/build" -j "$jobs" --quiet bbv_tests fault_scripts
held=0
missed=0
while IFS='|' read -r name file expression; do
  name="$(echo "$name" | xargs)"
  file="$(echo "$file" | xargs)"
  case "$name" in "" | "#"*) continue ;; esac
  if [ $# -gt 0 ] && [[ " $* " != *" $name "* ]]; then continue; fi
  files=(${file//,/ })
  found=1
  for each in "${files[@]}"; do
    perl -0pi -e "$expression" "$scratch/$each"
    if cmp -s "$each" "$scratch/$each"; then found=0; fi
  done
  if [ "$found" = 0 ]; then
    echo "MISSED $name: the guard was not found in $file"
    missed=$((missed + 1))
  elif ! ninja -C "$scratch/build" -j "$jobs" --quiet bbv_tests fault_scripts \
    >"$scratch/build.log" 2>&1; then
    echo "MISSED $name: does not build without the guard"
    grep error: "$scratch/build.log" | head -3
    missed=$((missed + 1))
  else
    # Without a guard a run may also never end, or eat all memory.
    ulimit -v 8000000
    tests=0
    for group in Scenario CallRunner ConfigurationLog; do
      timeout 60 "$scratch/build/bbv_tests" -sg "$group" >/dev/null 2>&1 ||
        tests=$((tests + 1))
    done
    scripts=$(timeout 60 "$scratch/build/fault_scripts" 1 2000 "$jobs" 2>&1 | tail -n 1)
    if [ "$tests" -gt 0 ] || [[ "$scripts" != *" 0 failed" ]]; then
      echo "held $name: $tests test groups fail; $scripts"
      held=$((held + 1))
    else
      echo "MISSED $name: nothing fails without the guard"
      missed=$((missed + 1))
    fi
  fi
  for each in "${files[@]}"; do cp "$each" "$scratch/$each"; done
done <tests/guards.txt
echo "$held guards are needed by a proof, $missed are not"
[ "$missed" -eq 0 ]
