#!/bin/sh
# The store comes back from a copy without the version that the nodes hold. Guards against a version
# that nobody writes again, so that a node that starts takes an earlier one for the newest.
# Argument: build folder.
set -u
BIN=$1
OUT=$(mktemp -d)
STORE_PORT=28090
BASE_PORT=28100
REVOCATION_TIME_MS=2000
KEY=a-key-of-the-test
SOURCE=$(cd "$(dirname "$0")/.." && pwd)
. "$SOURCE/tools/mesh.sh"
trap stop_all EXIT INT TERM
. "$SOURCE/tests/checks.sh"

ready_nodes() { [ "$(ctl status 2>/dev/null | grep -c " ready ")" -eq "$1" ]; }
keyed_declaration() { # WORTH: lookups is for callers with the key
  declaration "$1"
  sed -i 's/"service": "lookups"/&, "needsKey": true/' "$OUT/w$1/routes.json"
  echo "{\"workspaces\": [{\"name\": \"desk\", \"keys\": [$(echo "$KEY" | "$BIN/jasminectl" key-digest)]}]}" \
    >"$OUT/w$1/workspaces.json"
}
answers_key() { # NODE
  [ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' -H "authorization: Bearer $KEY" \
    "127.0.0.1:$(node_port "$1" 0)/lookups/x")" = 200 ]
}
all_answer_keys() { answers_key 1 && answers_key 2 && answers_key 3; }
stored_version() { ctl history 2>/dev/null | tail -1 | awk '{ print $1 }'; }
stores_at_least() { [ "$(stored_version)" -ge "$1" ]; }

start_store
for n in 1 2 3; do
  start_node "$n" dc1 --revocation-time $REVOCATION_TIME_MS
  SEEDS="127.0.0.1:$(node_port 1 2)"
  start_upstream "$n" lookups v1 12
done
CTL_NODES="127.0.0.1:$(node_port 1 2)"
check "three upstreams are ready" eventually ready_nodes 3
keyed_declaration 5
check "a first version is in force" eventually ctl apply "$OUT/w5" --wait yes
check "requests with keys are answered" eventually all_answer_keys
# The copies of the store are a second apart.
sleep 3
keyed_declaration 6
check "a second version is in force" eventually ctl apply "$OUT/w6" --wait yes
HELD=$(stored_version)
curl -s -m 2 "127.0.0.1:$STORE_PORT/standin/restore?seconds=2" >/dev/null
check "the store has lost the second version" [ "$(stored_version)" -lt "$HELD" ]
check "the lost version is accepted again" eventually stores_at_least "$HELD"
check "its content is the lost one" sh -c "\"$BIN/jasminectl\" --node $CTL_NODES apply \"$OUT/w6\" --dry-run yes | grep -q 'nothing to change'"
# Longer than the time for which the nodes may rely on an earlier answer of the store.
sleep 3
check "requests with keys are still answered" all_answer_keys
for log in "$OUT"/node*.log; do
  check "no older version is applied: $log" versions_rise "$log"
done
echo "$PASSED passed, $FAILED failed"
[ $FAILED -eq 0 ] || { echo "logs in $OUT"; exit 1; }
