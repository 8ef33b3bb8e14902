#!/bin/sh
# Demo: runs a deployment on loopback under mixed load, with a good and a bad rollout, a replaced
# node and a killed node, and prints a table of the results. Arguments: build folder, deployment.
set -u
BIN=$1
DEPLOYMENT=$2
OUT=$(mktemp -d)
STORE_PORT=24790
BASE_PORT=25000
. "$(dirname "$0")/mesh.sh"
trap 'stop_all' EXIT INT TERM

case $DEPLOYMENT in
kamena-vrata)
  SERVICES="lookups:5 agreements:4 royalties:3 licensing:3"
  SLOTS=12 DISTANCE=1 MOVED=lookups FAULTY=agreements SLOW_PATH=/agreements/register
  MIX="GET:/lookups:10,GET:/lookups/map:3,GET:/agreements:5,POST:/agreements/register:4,POST:/royalties:2,POST:/licensing:1"
  ;;
member-ramp)
  SERVICES="surveys:4 bookings:3 supplies:3 payouts:3"
  SLOTS=9 DISTANCE=8 MOVED=surveys FAULTY=bookings SLOW_PATH=/bookings/calendar
  MIX="GET:/surveys:10,POST:/bookings:5,GET:/bookings/calendar:5,POST:/supplies:2,POST:/payouts:1"
  ;;
*)
  echo "demo: unknown deployment \"$DEPLOYMENT\"; expected kamena-vrata or member-ramp" >&2
  exit 2
  ;;
esac

echo "== starting $DEPLOYMENT (logs in $OUT)"
start_store
SEEDS="127.0.0.1:$(node_port 1 2),127.0.0.1:$(node_port 2 2),127.0.0.1:$(node_port 3 2)"
n=0
UPSTREAMS="" TARGETS=""
add_host() { # SERVICE VERSION [FLAGS]
  n=$((n + 1))
  dc="dc$(((n - 1) % 3 + 1))"
  service=$1 version=$2
  shift 2
  start_node $n $dc
  eval "NODE_PID_$n=$NODE_PID DC_$n=$dc"
  start_upstream $n "$service" "$version" $SLOTS "$@"
  eval "UPSTREAM_PID_$n=$UPSTREAM_PID"
  UPSTREAMS="$UPSTREAMS,127.0.0.1:$(node_port $n 4)"
}
for spec in $SERVICES; do
  service=${spec%:*}
  for i in $(seq "${spec#*:}"); do
    add_host "$service" v1
    TARGETS="$TARGETS,127.0.0.1:$(node_port $n 0)"
  done
done
OLD=$n
for i in 1 2 3; do add_host $MOVED v2; done
for i in 1 2 3; do add_host $FAULTY v2 --slow-path "$SLOW_PATH" --slow-by 12; done
CTL_NODES="127.0.0.1:$(node_port 1 2),127.0.0.1:$(node_port 2 2)"

tries=0
until [ "$(ctl status 2>/dev/null | grep -c ' ready ')" -eq "$n" ] || [ $tries -gt 40 ]; do
  tries=$((tries + 1))
  sleep 0.25
done
echo "== $n nodes with their upstreams are up"
ctl apply "deployments/$DEPLOYMENT" --wait yes || exit 1

echo "== mixed load, 300 requests a second for 30 s"
"$BIN/jasmine_load" --targets "${TARGETS#,}" --mix "$MIX" --rate 300 --seconds 30 \
  --distance $DISTANCE --upstreams "${UPSTREAMS#,}" --versions yes >"$OUT/load.json" 2>"$OUT/versions.txt" &
LOAD_PID=$!
sleep 1
ctl rollout start $MOVED --to v2 --within 20 --id good-move || exit 1
ctl rollout start $FAULTY --to v2 --within 20 --id bad-move || exit 1

sleep 3
echo "== replacing the node of host 2 (drain, stop, restart)"
kill -TERM "$NODE_PID_2"
wait "$NODE_PID_2"
DRAIN_STATUS=$?
start_node 2 "$DC_2"
echo "   drained node exited with status $DRAIN_STATUS"
sleep 2
echo "== killing the node of host 4"
kill -KILL "$NODE_PID_4"

for i in 1 2 3 4 5; do
  ctl apply "deployments/$DEPLOYMENT" >/dev/null
  sed "s/\"worth\": 1/\"worth\": $i/" "deployments/$DEPLOYMENT/routes.json" >"$OUT/routes.json"
  mkdir -p "$OUT/d$i" && cp "deployments/$DEPLOYMENT/services.json" "$OUT/d$i/" && cp "$OUT/routes.json" "$OUT/d$i/"
  ctl apply "$OUT/d$i" >>"$OUT/apply.txt"
  sleep 1
done

ctl rollout watch good-move --timeout 30 >"$OUT/good.txt"
GOOD=$?
ctl rollout watch bad-move --timeout 30 >"$OUT/bad.txt"
BAD=$?
tail -1 "$OUT/good.txt"
tail -1 "$OUT/bad.txt"
wait $LOAD_PID
LOAD=$?
ctl status >"$OUT/status.txt"
ctl timeline >"$OUT/timeline.txt"
ctl timeline --output svg >"$OUT/timeline.svg"

# Convergence: time from the acceptance of a version until it is in force on each node.
awk '$4 == "change" && /accepted/ && !($6 in at) { at[$6] = $1 }
  $4 == "apply" && ($6 in at) { d = ($1 - at[$6]) * 1000; print (d < 0 ? 0 : d) }' \
  "$OUT/timeline.txt" | sort -n >"$OUT/convergence.txt"
quantile() { awk -v q="$1" '{ v[NR] = $1 } END { if (NR) print v[int(q * (NR - 1)) + 1]; else print "-" }' "$2"; }
awk '$5 == "ready" && $NF ~ /^[0-9]+$/ { print $NF }' "$OUT/status.txt" | sort -n >"$OUT/bytes.txt"
GOOD_TIME=$(awk '$4 == "rollout" && $5 == "good-move" && /done/ { print $1; exit }' "$OUT/timeline.txt")
BAD_TIME=$(awk '$4 == "rollout" && $5 == "bad-move" && /taken back/ { print $1; exit }' "$OUT/timeline.txt")
START_GOOD=$(awk '$4 == "change" && /rollout good-move of/ { print $1; exit }' "$OUT/timeline.txt")
START_BAD=$(awk '$4 == "change" && /rollout bad-move of/ { print $1; exit }' "$OUT/timeline.txt")
since() { awk -v a="$1" -v b="$2" 'BEGIN { if (a == "" || b == "") print "-"; else printf "%.1f s", b - a }'; }

echo
echo "== results ($DEPLOYMENT)"
row() { printf '   %-42s %s\n' "$1" "$2"; }
row "requests sent" "$(number sent "$OUT/load.json")"
row "answered" "$(number answered "$OUT/load.json")"
row "reported as not run" "$(number notRun "$OUT/load.json")"
row "unknown outcome" "$(number unknown "$OUT/load.json")"
row "duplicated / wrongly not run / lost" "$(number doubled "$OUT/load.json") / $(number falselyNotRun "$OUT/load.json") / $(number lost "$OUT/load.json")"
row "crossed / cut" "$(number crossed "$OUT/load.json") / $(number cut "$OUT/load.json")"
row "call latency p50 / p99" "$(number p50us "$OUT/load.json") / $(number p99us "$OUT/load.json") us (callers ${DISTANCE} ms away, upstream 2 ms)"
row "convergence p50 / p99 ($(wc -l <"$OUT/convergence.txt") samples)" "$(quantile 0.5 "$OUT/convergence.txt") / $(quantile 0.99 "$OUT/convergence.txt") ms"
row "control bytes/s per node p50 / max" "$(quantile 0.5 "$OUT/bytes.txt") / $(quantile 1 "$OUT/bytes.txt")"
row "good rollout" "$([ $GOOD -eq 0 ] && echo done || echo NOT DONE) after $(since "$START_GOOD" "$GOOD_TIME")"
row "bad rollout (slow on one route)" "$([ $BAD -eq 3 ] && echo taken back || echo NOT TAKEN BACK) after $(since "$START_BAD" "$BAD_TIME")"
row "drained node's exit status" "$DRAIN_STATUS"
if [ $LOAD -eq 0 ] && [ $GOOD -eq 0 ] && [ $BAD -eq 3 ] && [ $DRAIN_STATUS -eq 0 ]; then
  echo "   all checks passed"
  exit 0
fi
echo "   checks FAILED (logs in $OUT)"
exit 1
