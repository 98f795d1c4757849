#!/usr/bin/env bash
# Runs clang-tidy with .clang-tidy's checks over every source file, or over
# those given.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build -G Ninja >/dev/null
files=("$@")
if [ ${#files[@]} -eq 0 ]; then
  mapfile -t files < <(git ls-files '*.cc')
fi
log="$(mktemp)"
trap 'rm -f "$log"' EXIT
if printf '%s\n' "${files[@]}" |
  xargs -P "${BBV_JOBS:-8}" -n 1 clang-tidy -p build --quiet \
    --extra-arg=-Wno-unknown-warning-option >"$log" 2>/dev/null; then
  echo "lint: ${#files[@]} files clean"
else
  grep -E 'error:|warning:' "$log" | sort -u || cat "$log"
  exit 1
fi
