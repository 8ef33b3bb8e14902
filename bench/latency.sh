#!/bin/sh
# Measures the latency that two hops of jasmineloom (ingress node, gate node) add: compares them in
# one run with direct calls to the upstream and with two bare TCP forwarders.
# Arguments: build folder, seconds per measurement.
set -u
BIN=$1
SECONDS_EACH=${2:-5}
OUT=$(mktemp -d)
STORE_PORT=28790
BASE_PORT=28800
SOURCE=$(cd "$(dirname "$0")/.." && pwd)
LOG_LEVEL=error
. "$SOURCE/tools/mesh.sh"
trap stop_all EXIT INT TERM
start_store
SEEDS="127.0.0.1:$(node_port 1 2)"
start_node 1 dc1
start_node 2 dc1
start_upstream 2 lookups v1 200 --latency 0
"$BIN/forwarder_standin" --port 28901 --to "127.0.0.1:$(node_port 2 4)" &
PIDS="$PIDS $!"
"$BIN/forwarder_standin" --port 28902 --to 127.0.0.1:28901 &
PIDS="$PIDS $!"
CTL_NODES="127.0.0.1:$(node_port 1 2)"
for _ in $(seq 50); do
  [ "$(ctl status 2>/dev/null | grep -c ' ready ')" -eq 1 ] && break
  sleep 0.2
done
ctl apply "$SOURCE/deployments/kamena-vrata" --wait yes >/dev/null || exit 1
sleep 1
one() { # NAME TARGET PLAIN FLAGS
  name=$1 target=$2 plain=$3
  shift 3
  "$BIN/jasmine_load" --targets "$target" --plain "$plain" --mix GET:/lookups:1 --resends 0 \
    --seconds "$SECONDS_EACH" "$@" >"$OUT/one.json"
  printf '%-26s %-24s p50 %6s us   p99 %6s us   answered %s of %s\n' "$name" "$*" \
    "$(number p50us "$OUT/one.json")" "$(number p99us "$OUT/one.json")" \
    "$(number answered "$OUT/one.json")" "$(number sent "$OUT/one.json")"
}
for round in 1 2; do
  for mode in "--connections 1" "--connections 64" "--rate 1000"; do
    one direct "127.0.0.1:$(node_port 2 4)" yes $mode
    one "two bare forwarders" 127.0.0.1:28902 yes $mode
    one "two hops of jasmineloom" "127.0.0.1:$(node_port 1 0)" no $mode
  done
done
