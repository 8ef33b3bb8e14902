# Starts a small deployment on loopback for the scripts of the third review. Sourced with CASE set to
# the folder of the case and RECORD to the record to write.
ROOT=$(cd "$CASE/../.." && pwd)
BIN=$ROOT/target
STANDIN=$BIN/review-3/standin
TROUBLE=${TROUBLE:-1}
DIR=$(mktemp -d)
PIDS=""

stop_all() {
  for it in $PIDS; do kill -KILL "$it" 2>/dev/null; done
  for it in $PIDS; do wait "$it" 2>/dev/null; done
  rm -rf "$DIR"
}
trap stop_all EXIT
trap 'exit 2' INT TERM

cannot_run() { # REASON
  echo "could not run: $1" | tee -a "$RECORD"
  exit 2
}

note() { echo "$(date +%s%3N) $*" >>"$DIR/script.log"; }
: >"$DIR/script.log"

[ -x "$BIN/jasmined" ] && [ -x "$STANDIN" ] || { echo "could not run: not built" >"$RECORD"; exit 2; }
set -- $("$STANDIN" ports --count 60)
STORE=127.0.0.1:$1
shift
PORTS="$*"
port() { echo "$PORTS" | cut -d' ' -f"$(($1 * 8 + $2 - 7))"; } # NODE FIELD(0..7)
outbound() { echo "127.0.0.1:$(port "$1" 1)"; }
ready() { echo "127.0.0.1:$(port "$1" 2)"; }
control() { echo "127.0.0.1:$(port "$1" 3)"; }
application() { echo "127.0.0.1:$(port "$1" 6)"; }

start_store() { # CONFIG
  "$STANDIN" store --address "$STORE" --config "$1" >"$DIR/store.log" 2>&1 &
  PIDS="$PIDS $!"
}

# Starts the node with the settings that deploy/jasmined.conf gives it.
start_node() { # NODE SERVICE
  cat >"$DIR/node$1.conf" <<CONF
surroundings = platform
figures = bounded
host = sidecar-zone-$1
data-centre = dc1
address = 127.0.0.1
ingress-listen = $(outbound "$1")
management-listen = $(ready "$1"),$(control "$1")
gate-port = $(port "$1" 4)
rpc-port = $(port "$1" 5)
store = $STORE
seeds =
secret = mesh-at-$STORE
local-service = $2
in-force-time = 2000
heartbeat-interval = 1500
stop-time = 6
max-body = $(sed -n 's/^max-body = //p' "$ROOT/deploy/jasmined.conf")
retry-slack = 62
roots = 6
log-format = json
CONF
  JASMINE_CAPACITY=0.2 JASMINE_REVOCATION_TIME= \
    "$BIN/jasmined" --settings-file "$DIR/node$1.conf" >>"$DIR/node$1.log" 2>&1 &
  NODE_PID=$!
  PIDS="$PIDS $NODE_PID"
}

start_server() { # NODE SERVICE more flags
  number=$1
  service=$2
  shift 2
  "$STANDIN" server --address "$(application "$number")" --control "$(control "$number")" --service "$service" \
    --id "i-$service-$number" "$@" >>"$DIR/server$number.log" 2>&1 &
  SERVER_PID=$!
  PIDS="$PIDS $SERVER_PID"
}

await_ready() { # NODE...
  for it in "$@"; do
    "$STANDIN" await --address "$(ready "$it")" --path /readiness || cannot_run "node $it is not ready"
  done
}

await_served() { # NODE HOST PATH
  "$STANDIN" await --address "$(outbound "$1")" --host "$2" --path "$3" || cannot_run "$3 is not served at node $1"
}
