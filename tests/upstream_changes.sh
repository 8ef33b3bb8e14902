#!/bin/sh
# Upstreams that leave or are replaced while their node restarts or lives on. The script announces
# the upstreams itself, so that it chooses the order of events.
# Argument: build folder.
set -u
BIN=$1
OUT=$(mktemp -d)
STORE_PORT=27990
BASE_PORT=28000
SOURCE=$(cd "$(dirname "$0")/.." && pwd)
. "$SOURCE/tools/mesh.sh"
trap stop_all EXIT INT TERM
. "$SOURCE/tests/checks.sh"

ready_nodes() { [ "$(ctl status 2>/dev/null | grep -c " ready ")" -eq "$1" ]; }
is_ready() { ctl status 2>/dev/null | grep "$1" | grep -q " ready "; }
stays_out() { # HOST: succeeds if the host is not ready in any of ten looks
  for _ in 1 2 3 4 5 6 7 8 9 10; do
    is_ready "$1" && return 1
    sleep 0.2
  done
}
answers() { [ "$(curl -s -m 2 -o "$OUT/answer" -w '%{http_code}' "$@")" = 200 ]; }
announce() { # NUMBER SEQUENCE BORN [MORE]: a heartbeat of the upstream beside a node
  answers -X POST "127.0.0.1:$(node_port "$1" 3)/announce?service=lookups&version=v1&slots=12&id=up$1&born=$3&sequence=$2&address=127.0.0.1:$(node_port "$1" 4)${4:-}"
}

caller_at() { curl -s "127.0.0.1:$(node_port "$1" 4)/standin/stats" | awk '/^last-caller/ { print $2 }'; }
names_caller() { # SERVICE: the last request at each upstream, which began at node 2, names this service
  answers "127.0.0.1:$(node_port 2 0)/lookups/caller" || return 1
  # More requests at once than one upstream has slots, as one alone may go to the same upstream each time.
  curl -s -m 3 -Z --parallel-max 30 -o /dev/null "127.0.0.1:$(node_port 2 0)/lookups/caller[1-30]"
  [ "$(caller_at 1)" = "$1" ] && [ "$(caller_at 3)" = "$1" ]
}

start_store
for n in 1 2 3; do echo "local-service = first" >"$OUT/settings$n"; done
for n in 1 2 3; do
  start_node "$n" dc1 --settings-file "$OUT/settings$n"
  eval "NODE_PID_$n=$NODE_PID"
  SEEDS="127.0.0.1:$(node_port 1 2)"
done
CTL_NODES="127.0.0.1:$(node_port 1 2)"
for n in 1 3; do start_upstream "$n" lookups v1 12; done
check "an announced upstream is ready" eventually announce 2 5 1000
check "all nodes discover each other" eventually ready_nodes 3
check "a declaration is in force on all nodes" eventually ctl apply "$SOURCE/deployments/kamena-vrata" --wait yes

# The node is killed as soon as it has acknowledged that its upstream drains.
check "a drain is acknowledged" announce 2 7 1000 "&draining=1"
kill -KILL "$NODE_PID_2"
start_node 2 dc1 --settings-file "$OUT/settings2"
NODE_PID_2=$NODE_PID
check "the killed node answers again" eventually answers "127.0.0.1:$(node_port 2 3)/readyz"
check "a late heartbeat is taken" announce 2 6 1000
check "an upstream that drained before a restart of its node stays out" stays_out dc1-h2
check "a process that starts later is ready" eventually announce 2 1 2000
check "it gets work" eventually is_ready dc1-h2

# The same while the store is silent: the other nodes know of the departure.
curl -s "127.0.0.1:$STORE_PORT/standin/fault?down=1" >/dev/null
check "a drain is acknowledged while the store is down" announce 2 7 2000 "&draining=1"
kill -KILL "$NODE_PID_2"
start_node 2 dc1 --settings-file "$OUT/settings2"
NODE_PID_2=$NODE_PID
check "the killed node answers while the store is down" eventually answers "127.0.0.1:$(node_port 2 3)/healthz"
check "a late heartbeat is taken while the store is down" announce 2 6 2000
check "an upstream that drained while the store was down stays out" stays_out dc1-h2
curl -s "127.0.0.1:$STORE_PORT/standin/fault?down=0" >/dev/null

# Another service takes the place of the upstream beside a node that lives on.
check "requests name the service of the settings" eventually names_caller first
check "and not that of the heartbeats" names_caller first
echo "log-level = info" >"$OUT/settings2"
kill -HUP "$NODE_PID_2"
check "requests name the service of the heartbeats if the settings name none" eventually names_caller lookups
echo "local-service = second" >"$OUT/settings2"
kill -HUP "$NODE_PID_2"
check "requests name the service of the reloaded settings" eventually names_caller second
echo "local-service = third" >"$OUT/settings2"
check "a settings file that changes without a signal takes effect" eventually names_caller third
echo "local-service = second" >"$OUT/settings2"
check "and again" eventually names_caller second
# Guards against requests that name the earlier service after the heartbeat of the next one.
echo "local-service = fourth" >"$OUT/settings2"
check "a heartbeat that the settings contradict is acknowledged" announce 2 6 2000
check "requests sent after it name the service that the file has by then" names_caller fourth
echo "local-service = second" >"$OUT/settings2"
check "a second one is acknowledged" announce 2 6 2000
check "and the requests after it name the next service" names_caller second
echo "stop-time = many" >"$OUT/settings2"
kill -HUP "$NODE_PID_2"
check "a broken settings file is refused by file and field" eventually grep -q "nothing changed: .*settings2.*stop-time" "$OUT/node2.log"
check "requests go on to name the service of before" eventually names_caller second
echo "local-service = second" >"$OUT/settings2"

# A restart alone does not keep a sound upstream out.
check "an upstream is ready before a restart of its node" eventually announce 2 1 3000
check "it is in use before the restart" eventually is_ready dc1-h2
kill -KILL "$NODE_PID_2"
start_node 2 dc1 --settings-file "$OUT/settings2"
check "the node answers after the restart" eventually answers "127.0.0.1:$(node_port 2 3)/healthz"
check "its upstream sends the next heartbeat" announce 2 2 3000
check "a sound upstream is in use after a restart of its node" eventually is_ready dc1-h2
echo "$PASSED passed, $FAILED failed"
[ $FAILED -eq 0 ] || { echo "logs in $OUT"; exit 1; }
