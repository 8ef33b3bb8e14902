# Functions that start and stop the processes of a mesh on loopback, for the demo, tests and
# benchmarks. To be sourced. Needs: BIN (folder of the programs), OUT (folder for logs), STORE_PORT,
# BASE_PORT.
PIDS=""
NODES=0
SEEDS=""
JASMINE_SECRET=${JASMINE_SECRET:-demo-secret-on-loopback}
export JASMINE_SECRET

start_store() {
  "$BIN/store_standin" --port "$STORE_PORT" >"$OUT/store.log" 2>&1 &
  STORE_PID=$!
  PIDS="$PIDS $STORE_PID"
}

# node_port N KIND: prints the port of host N (0 ingress, 1 gate, 2 rpc, 3 management, 4 upstream)
node_port() { echo $((BASE_PORT + $1 * 5 + $2)); }

# start_node N DATA_CENTRE [FLAGS]: starts the node of host N and sets NODE_PID
start_node() {
  number=$1 data_centre=$2
  shift 2
  "$BIN/jasmined" --host "$data_centre-h$number" --data-centre "$data_centre" \
    --ingress-port "$(node_port "$number" 0)" --gate-port "$(node_port "$number" 1)" \
    --rpc-port "$(node_port "$number" 2)" --management-port "$(node_port "$number" 3)" \
    --store "${NODE_STORE:-127.0.0.1:$STORE_PORT}" --seeds "$SEEDS" \
    --log-level "${LOG_LEVEL:-info}" "$@" >>"$OUT/node$number.log" 2>&1 &
  NODE_PID=$!
  PIDS="$PIDS $NODE_PID"
}

# start_upstream N SERVICE VERSION SLOTS [FLAGS]: starts the upstream of host N and sets
# UPSTREAM_PID
start_upstream() {
  number=$1 service=$2 version=$3 slots=$4
  shift 4
  "$BIN/upstream_standin" --port "$(node_port "$number" 4)" --service "$service" \
    --serves-version "$version" --slots "$slots" --seed "$number" \
    --node "127.0.0.1:$(node_port "$number" 3)" "$@" >>"$OUT/upstream$number.log" 2>&1 &
  UPSTREAM_PID=$!
  PIDS="$PIDS $UPSTREAM_PID"
}

# stop_all: kills the processes that were started by these functions
stop_all() {
  for pid in $PIDS; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  PIDS=""
}

ctl() { "$BIN/jasminectl" --node "$CTL_NODES" "$@"; }

# calls_to_store: prints the number of calls of each path that store_standin has counted
calls_to_store() { curl -s "127.0.0.1:$STORE_PORT/standin/calls"; }

# number NAME FILE: prints the last value of a numeric JSON field
number() { sed -n "s/.*\"$1\": \([0-9.]*\).*/\1/p" "$2" | tail -1; }
