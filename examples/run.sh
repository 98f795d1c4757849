#!/usr/bin/env bash
# Installs, builds, starts a small floor, sends a streamed chat request and a
# booking, prints the answers and the joined trace, and stops everything.
set -euo pipefail
root="$(cd "$(dirname "$0")/.." && pwd)"
"$root/tools/install-dependencies.sh"
"$root/tools/build.sh"
build="$root/build"
source "$root/examples/floor.sh"
trap stop_floor EXIT
start_floor

echo "== plan and confirm the configuration"
operate plan import "$floor_dir/configuration.toml" | tee "$floor_dir/plan.txt"
operate confirm "$(sed -n 's/^plan \(p-[0-9a-f]*\):.*/\1/p' "$floor_dir/plan.txt")"
wait_serving

echo "== a streamed chat request through $entry_a"
trace="0af7651916cd43dd8448eb211c80319c"
curl -sN -H "Authorization: Bearer $caller_key" \
  -H "traceparent: 00-$trace-b7ad6b7169203331-01" \
  -d '{"model":"assistant","stream":true,"max_tokens":5,
       "messages":[{"role":"user","content":"Which bench is free?"}]}' \
  "http://$entry_a/v1/chat/completions"

echo "== a booking under an Idempotency-Key, sent twice, through both entries"
for entry in "$entry_a" "$entry_b"; do
  curl -s -H "Authorization: Bearer $caller_key" -H "Idempotency-Key: bench-7" \
    -H "traceparent: 00-$trace-b7ad6b7169203331-01" \
    -d '{"bench":7}' "http://$entry/services/booking/bookings"
  echo
done

echo "== the joined trace"
sleep 0.3
grep "$trace" "$floor_dir/spans.jsonl" | sed -E \
  's/.*"value":\{"stringValue":"([^"]*)"\}\}\]\},"scopeSpans".*"name":"([^"]*)","parentSpanId":"([^"]*)","spanId":"([^"]*)","startTimeUnixNano":"([^"]*)".*/\5 span \4 below \3: \2 at \1/' | sort
