#!/bin/sh
# Upstreams that name a limit of requests per second, or state that they leave, in their responses.
# Argument: build folder.
set -u
BIN=$1
OUT=$(mktemp -d)
STORE_PORT=27890
BASE_PORT=27900
SOURCE=$(cd "$(dirname "$0")/.." && pwd)
. "$SOURCE/tools/mesh.sh"
trap stop_all EXIT INT TERM
. "$SOURCE/tests/checks.sh"

ready_nodes() { [ "$(ctl status 2>/dev/null | grep -c " ready ")" -eq "$1" ]; }
standin() { curl -s "127.0.0.1:$(node_port "$1" 4)/standin/$2"; } # NUMBER CALL
most_arrivals() { standin "$1" stats | awk '/^most-in-4s/ { print $2 }'; }
load() { # SECONDS SEED: prints the totals of a load run through nodes 1 and 2
  "$BIN/jasmine_load" --targets "127.0.0.1:$(node_port 1 0),127.0.0.1:$(node_port 2 0)" \
    --upstreams "127.0.0.1:$(node_port 1 4),127.0.0.1:$(node_port 2 4),127.0.0.1:$(node_port 3 4)" \
    --rate 90 --seconds "$1" --seed "$2" --mix GET:/lookups:1
}

start_store
for n in 1 2 3; do
  start_node "$n" dc1
  eval "NODE_PID_$n=$NODE_PID"
  SEEDS="127.0.0.1:$(node_port 1 2)"
  # The upstream of node 3 is the fastest, so that placement prefers it.
  start_upstream "$n" lookups v1 12 --latency $((n == 3 ? 5 : 60))
done
CTL_NODES="127.0.0.1:$(node_port 1 2)"
check "all nodes discover each other" eventually ready_nodes 3
check "a declaration is in force on all nodes" eventually ctl apply "$SOURCE/deployments/kamena-vrata" --wait yes

# The upstream of node 3 names a limit; nodes 1 and 2, where the requests begin, stay up.
LIMIT=5
ALLOWED=$((LIMIT * 4 * 3 / 2 + 5))
standin 3 "set?limit=$LIMIT" >/dev/null
load 2 1 >/dev/null
standin 3 count >/dev/null
load 6 2 >"$OUT/load1.json"
echo "      $(most_arrivals 3) requests in 4 s, $ALLOWED allowed"
check "an upstream gets no more requests than the limit that it names allows" [ "$(most_arrivals 3)" -le $ALLOWED ]
check "it still gets requests" [ "$(most_arrivals 3)" -ge $LIMIT ]
check "all calls are answered by the others" [ "$(number answered "$OUT/load1.json")" = "$(number sent "$OUT/load1.json")" ]

load 8 3 >"$OUT/load2.json" &
LOAD=$!
sleep 1
kill -KILL "$NODE_PID_3"
start_node 3 dc1
NODE_PID_3=$NODE_PID
standin 3 count >/dev/null
wait $LOAD
echo "      $(most_arrivals 3) requests in 4 s, $ALLOWED allowed"
check "a gate that starts again keeps to the limit that was named before" [ "$(most_arrivals 3)" -le $ALLOWED ]

limit_at_gate() { # NUMBER: prints the limit that the gate keeps to, which its metrics show
  curl -s "127.0.0.1:$(node_port "$1" 3)/metrics" |
    awk '$1 == "jasmineloom_upstream_limit_per_second" { print $2 }'
}
check "the limit in force is shown" [ "$(limit_at_gate 3)" = $LIMIT ]
standin 3 "set?limit=" >/dev/null
load 3 4 >/dev/null
check "the limit ends with the responses that name it" [ "$(limit_at_gate 3)" = 0 ]

standin 3 "set?limit=$LIMIT" >/dev/null
limit_after_load() { load 1 8 >/dev/null && [ "$(limit_at_gate 3)" = "$1" ]; }
check "a limit that is named again is in force" eventually limit_after_load $LIMIT
kill -KILL "$UPSTREAM_PID"
start_upstream 3 lookups v1 12 --latency 5
no_limit() { [ "$(limit_at_gate 3)" = 0 ]; }
check "the limit ends with the process that named it" eventually no_limit

# Its heartbeats go on to say that it is ready.
check "the next process gets requests" eventually limit_after_load 0
standin 3 "set?leaving=yes" >/dev/null
drains_after_load() { load 1 6 >/dev/null && ctl status | grep "h3 " | grep -q draining; }
check "its host counts as draining once a response states it" eventually drains_after_load
standin 3 count >/dev/null
load 4 7 >"$OUT/load3.json"
check "an upstream gets no request after its responses state that it leaves" [ "$(most_arrivals 3)" -eq 0 ]
check "all calls are answered while it leaves" [ "$(number answered "$OUT/load3.json")" = "$(number sent "$OUT/load3.json")" ]
if grep -l "ERROR: AddressSanitizer\|runtime error:" "$OUT"/*.log; then FAILED=$((FAILED + 1)); fi
echo "$PASSED passed, $FAILED failed"
[ $FAILED -eq 0 ] || { echo "logs in $OUT"; exit 1; }
