# A small floor on free loopback ports, for examples: stand-ins, sides and two
# entries. Source this file, call start_floor, use $entry_a and $entry_b, and
# call stop_floor at the end. Needs a build in $build.

floor_dir=""
floor_pids=()
next_port=0
peer_key="example-peer-key-0001"
operator_key="example-operator-key"
caller_key="example-caller-key"

# Prints a port of 127.0.0.1 that nothing listens on.
free_port() {
  while (exec 3<>"/dev/tcp/127.0.0.1/$next_port") 2>/dev/null; do
    next_port=$((next_port + 1))
  done
  taken_port=$next_port
  next_port=$((next_port + 1))
}

start_process() {
  local name="$1"
  shift
  "$@" >"$floor_dir/$name.out" 2>&1 &
  floor_pids+=("$!")
}

wait_ready() {
  local url="$1"
  for _ in $(seq 200); do
    if curl -sf -o /dev/null "$url"; then return 0; fi
    sleep 0.05
  done
  echo "not ready: $url" >&2
  return 1
}

# write_settings NAME ROLE ZONE HTTP_PORT PEER_PORT
write_settings() {
  cat >"$floor_dir/$1.toml" <<EOF
[node]
name = "$1"
role = "$2"
zone = "$3"
[http]
address = "127.0.0.1:$4"
operator_key = "$operator_key"
[peers]
address = "127.0.0.1:$5"
key = "$peer_key"
[platform]
log = "127.0.0.1:$log_port"
instances = "127.0.0.1:$instances_port"
[log]
trace_file = "$floor_dir/spans.jsonl"
EOF
}

# start_engine TARGET ZONE FIRST_LAYER END_LAYER STEP_US
start_engine() {
  free_port; local engine_port=$taken_port
  free_port; local http_port=$taken_port
  free_port; local peer_port=$taken_port
  start_process "engine-$1" "$build/bbv_standin" --role=engine \
    --port="$engine_port" --first_layer="$3" --end_layer="$4" --step_us="$5" \
    --weights_port="$weights_port"
  write_settings "side-$1" side "$2" "$http_port" "$peer_port"
  printf '[target]\nname = "%s"\nkind = "engine"\naddress = "127.0.0.1:%s"\n' \
    "$1" "$engine_port" >>"$floor_dir/side-$1.toml"
  cat >>"$floor_dir/configuration.toml" <<EOF
[target.$1]
address = "127.0.0.1:$peer_port"
zone = "$2"
model = "assistant"
first_layer = $3
end_layer = $4
EOF
  start_process "side-$1" "$build/bluebellvalved" \
    --settings="$floor_dir/side-$1.toml"
}

# start_service TARGET ZONE
start_service() {
  free_port; local service_port=$taken_port
  free_port; local http_port=$taken_port
  free_port; local peer_port=$taken_port
  start_process "service-$1" "$build/bbv_standin" --role=service \
    --port="$service_port"
  write_settings "side-$1" side "$2" "$http_port" "$peer_port"
  cat >>"$floor_dir/side-$1.toml" <<EOF
[target]
name = "$1"
kind = "service"
service = "booking"
address = "127.0.0.1:$service_port"
EOF
  cat >>"$floor_dir/configuration.toml" <<EOF
[target.$1]
address = "127.0.0.1:$peer_port"
zone = "$2"
service = "booking"
EOF
  start_process "side-$1" "$build/bluebellvalved" \
    --settings="$floor_dir/side-$1.toml"
}

# start_entry NAME ZONE; prints nothing, sets entry_address
start_entry() {
  free_port; local http_port=$taken_port
  free_port; local peer_port=$taken_port
  write_settings "$1" entry "$2" "$http_port" "$peer_port"
  start_process "$1" "$build/bluebellvalved" --settings="$floor_dir/$1.toml"
  entry_address="127.0.0.1:$http_port"
}

operate() {
  "$build/bluebellvalve" --entry="$entry_a" \
    --operator_key_file="$floor_dir/operator.key" "$@"
}

# Waits until a completion is answered, that is until weights are loaded.
wait_serving() {
  for _ in $(seq 200); do
    if curl -sf -o /dev/null -H "Authorization: Bearer $caller_key" \
      -d '{"model":"assistant","prompt":"a","max_tokens":1}' \
      "http://$entry_a/v1/completions"; then return 0; fi
    sleep 0.05
  done
  echo "the floor does not serve" >&2
  return 1
}

start_floor() {
  floor_dir="$(mktemp -d)"
  next_port=$((20000 + RANDOM % 20000))
  echo "$operator_key" >"$floor_dir/operator.key"
  echo "$caller_key" >"$floor_dir/caller.key"
  free_port; log_port=$taken_port
  free_port; instances_port=$taken_port
  free_port; weights_port=$taken_port
  start_process log "$build/bbv_standin" --role=log --port="$log_port"
  start_process instances "$build/bbv_standin" --role=instances \
    --port="$instances_port"
  start_process weights "$build/bbv_standin" --role=weights \
    --port="$weights_port" --interval_ms=20
  cat >"$floor_dir/configuration.toml" <<EOF
[account.workshop]
key_sha256 = "$("$build/bluebellvalve" hash-key "$floor_dir/caller.key")"
weight = 10
[model.assistant]
layers = 12
version = "v1"
[service.booking]
idempotent = ["GET /"]
EOF
  start_engine steyr-1 steyr 0 4 2000
  start_engine linz-1 linz 4 8 3000
  start_engine wels-1 wels 8 12 1000
  start_engine steyr-2 steyr 0 4 4000
  start_engine linz-2 linz 4 8 2000
  start_engine wels-2 wels 8 12 2000
  start_service booking-1 steyr
  start_service booking-2 linz
  start_entry entry-a steyr; entry_a=$entry_address
  start_entry entry-b linz; entry_b=$entry_address
  wait_ready "http://$entry_a/readyz"
  wait_ready "http://$entry_b/readyz"
}

stop_floor() {
  local pid
  for pid in "${floor_pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${floor_pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$floor_dir"
}
