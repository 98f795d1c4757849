#!/usr/bin/env bash
# Installs, builds, starts stand-ins of a store and of targets and one entry,
# sends a stream and a call, prints the answers and the entry's log lines, and
# stops everything.
set -euo pipefail
root="$(cd "$(dirname "$0")/.." && pwd)"
"$root/tools/install-dependencies.sh"
"$root/tools/build.sh"
folder="$(mktemp -d)"
settings="$root/examples/settings/fleet-entry.toml"
"$root/build/bbv_standin" --role=fleet --port=8470 >"$folder/standin.log" 2>&1 &
standin=$!
"$root/build/bluebellvalved" --fleet --settings="$settings" \
  >"$folder/entry.log" 2>&1 &
entry=$!
trap 'kill "$entry" "$standin" 2>/dev/null || true; wait; rm -rf "$folder"' EXIT

call() {
  curl -sN --max-time 6 -H "Host: fleet.example" -H "X-Key: key" \
    -H "X-Attempt-Id: $1" -H "X-Deadline-Ms: 5000" -H "X-Token-Counts: 100,50" \
    "http://127.0.0.1:8480$2"
}
for _ in $(seq 100); do
  call probe /stream/x >"$folder/probe.txt" || true
  if grep -q "id: 40" "$folder/probe.txt"; then break; fi
  sleep 0.2
done

echo "== a stream over the targets that hold the layers"
call example-1 /stream/x >"$folder/stream.txt"
head -n 8 "$folder/stream.txt"
echo "== a call of a plain service"
call example-2 /safe/x
echo
echo "== a call that no configuration allows"
call example-3 /other/x
echo "== what the entry logged"
sleep 0.3
grep -E '"(node-started|fleet-configuration-applied|planner-gained|layer-order-sent)"' \
  "$folder/entry.log" | head -n 6
"$root/build/bluebellvalve" explain example-3 "$folder/entry.log"
