# Starts the stand-ins and nodes as processes on loopback, and leaves none behind. Sourced by
# scripts/demo, which sets `names` and `domains`, an entry a node, and `dir`.

build() {
  scripts/setup
  cargo build --locked --release -p nutmegsaild -p nutmegsail
  cargo build --locked --release -p nutmegsail-fakes --example standins
  bin=$(cargo metadata --locked --format-version 1 --no-deps |
    sed 's/.*"target_directory":"\([^"]*\)".*/\1/')/release
}

# Each process that is started stands in `pids`, and none outlives the script.
pids=()
nap=

finish() {
  trap - EXIT INT TERM
  [ -z "$nap" ] || kill "$nap" 2>/dev/null || true
  # A frozen process takes SIGTERM only once it goes on.
  kill -CONT "${pids[@]}" 2>/dev/null || true
  kill -TERM "${pids[@]}" 2>/dev/null || true
  for _ in {1..20}; do
    kill -0 "${pids[@]}" 2>/dev/null || break
    sleep 0.1
  done
  kill -KILL "${pids[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
  rm -rf "$dir"
}

# Makes the directory of texts and logs, and sees to it that `finish` runs in any case.
begin() {
  SECONDS=0
  dir=$(mktemp -d)
  trap finish EXIT
  trap 'exit 130' INT
  trap 'exit 143' TERM
}

pause() {
  # A trap runs only after a command in the foreground has ended, so the sleep is in the background.
  sleep "$1" &
  nap=$!
  wait "$nap"
}

say() { printf '[script] %s\n' "$*"; }

fail() {
  say "$1"
  tail -n 20 "$dir"/*.log || true
  exit 1
}

# Waits up to 10 s until the file $1 has a line with $2, and prints the line.
line_of() {
  for _ in {1..200}; do
    grep -m1 -- "$2" "$1" 2>/dev/null && return
    sleep 0.05
  done
  fail "no \`$2\` in $1"
}

field() { sed "s/.*\"$1\":\"\([^\"]*\)\".*/\1/" <<<"$2"; }

# launch_stand_ins ENGINES PLAINS FLAG...: one process; sets platform, engines, plains and control.
launch_stand_ins() {
  local engine_count=$1 plain_count=$2 found
  shift 2
  "$bin/examples/standins" "$@" >"$dir/stand-ins.json" 2>"$dir/stand-ins.log" &
  pids+=($!)
  found=$(line_of "$dir/stand-ins.json" '"control"')
  # One line of JSON: key-value service, VM list, engines, plain services, control address.
  mapfile -t addresses < <(grep -o '127\.0\.0\.1:[0-9]*' <<<"$found")
  platform=${addresses[0]}
  engines=("${addresses[@]:2:engine_count}")
  plains=("${addresses[@]:2 + engine_count:plain_count}")
  control=${addresses[2 + engine_count + plain_count]}
}

# write_settings NUMBER NODES_ADDRESS CALLERS_ADDRESS OPERATORS_ADDRESS
write_settings() {
  cat >"$dir/node-$1.toml" <<END
node = "${names[$1]}"
failure_domain = "${domains[$1]}"
nodes_address = "$2"
seeds = [$seeds]

[platform]
key_value = "$platform"
vm_list = "$platform"

[front]
callers_address = "$3"
operators_address = "$4"
stop_accepting_after_ms = 0

[log]
format = "json"
level = "info"
END
}

# Starts node NUMBER and waits until it says that it listens.
start_node() {
  "$bin/nutmegsaild" "$dir/node-$1.toml" >"$dir/node-$1.log" 2>&1 &
  node_pids[$1]=$!
  pids+=($!)
  local ready
  ready=$(line_of "$dir/node-$1.log" NE1002)
  callers[$1]=$(field callers "$ready")
  operators[$1]=$(field operators "$ready")
  nodes[$1]=$(field nodes "$ready")
}

# Starts a node for each of `names`.
start_nodes() {
  local number
  seeds=
  for number in "${!names[@]}"; do
    write_settings "$number" 127.0.0.1:0 127.0.0.1:0 127.0.0.1:0
    start_node "$number"
    seeds+="${seeds:+, }\"${nodes[number]}\""
  done
}
