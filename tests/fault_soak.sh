#!/bin/bash
# Randomised soak test with real processes on loopback. Under load and configuration changes, it
# kills, pauses, stops and restarts processes; delays, resets and blocks connections (in one or both
# directions) through a proxy; and makes the store unavailable, slow or lose responses. Compares the
# outcomes reported to callers with the runs that the upstreams logged.
# Arguments: build folder, seed, duration of the faults in seconds.
set -u
BIN=$1
SEED=$2
SECONDS_OF_FAULTS=${3:-15}
OUT=$(mktemp -d)
# Seeds that differ modulo 8 use different ports and addresses.
PORT_RANGE=$((SEED % 8))
STORE_PORT=$((26000 + PORT_RANGE * 100))
BASE_PORT=$((26001 + PORT_RANGE * 100))
CONTROL=127.0.0.1:$((26090 + PORT_RANGE * 100))
NET=127.0.$((PORT_RANGE + 1))
HOSTS=8
SOURCE=$(cd "$(dirname "$0")/.." && pwd)
. "$SOURCE/tools/mesh.sh"
. "$SOURCE/tests/checks.sh"

# draw N: sets R to a pseudorandom number below N; the sequence depends on the seed only
STATE=$SEED
draw() {
  STATE=$(((STATE * 1103515245 + 12345) % 2147483648))
  R=$((STATE / 65536 % $1))
}
# --- Processes: ids are kept in files, as faults stop and start processes from background jobs. ---

service_of() { case $1 in 4 | 5 | 6 | 8) echo royalties ;; *) echo lookups ;; esac; }
record_pid() { # KIND N PID
  # Keeps the shell from printing a message for each process that a fault kills.
  [ "$1" = load ] || disown "$3" 2>/dev/null
  echo "$3" >"$OUT/pid.$1.$2"
  echo "$3" >>"$OUT/pids"
}
pid_of() { cat "$OUT/pid.$1.$2"; }
run_node() {
  NODE_STORE=$NET.$1:$STORE_PORT start_node "$1" "dc$((($1 - 1) % 3 + 1))" --advertise "$NET.$1"
  record_pid node "$1" "$NODE_PID"
}
run_upstream() { # N [SERVICE]
  start_upstream "$1" "${2:-$(service_of "$1")}" v1 12 --log-runs yes --latency 25
  record_pid upstream "$1" "$UPSTREAM_PID"
}
kill_all() {
  while read -r pid; do
    case $(readlink "/proc/$pid/exe" 2>/dev/null) in "$(readlink -f "$BIN")"/*) kill -KILL "$pid" ;; esac
  done <"$OUT/pids" 2>/dev/null
  wait
}
trap 'kill_all 2>/dev/null; exit 1' INT TERM
has_exited() { ! kill -0 "$1" 2>/dev/null; }

# --- Faults: each runs as a background job and reverts itself within a few seconds. ---

link() { curl -s -m 2 "http://$CONTROL/fault?link=$1&mode=$2&ms=${3:-0}"; }
store_fault() { curl -s -m 2 "127.0.0.1:$STORE_PORT/standin/fault?$1" >/dev/null; }
exclusively() { # KIND N COMMAND...: skips a fault whose target already has one
  local lock=$OUT/lock.$1.$2
  mkdir "$lock" 2>/dev/null || return 0
  shift 2
  "$@"
  rmdir "$lock"
}
kill_node() { # N PAUSE: pauses are in seconds
  kill -KILL "$(pid_of node "$1")"
  sleep "$2"
  run_node "$1"
}
pause_node() {
  kill -STOP "$(pid_of node "$1")"
  sleep "$2"
  kill -CONT "$(pid_of node "$1")"
}
stop_node() {
  pid=$(pid_of node "$1")
  kill -TERM "$pid"
  # The shutdown time is 6 s; a node exits after 90% of it at the latest.
  TRIES=40 eventually has_exited "$pid" || echo "node $1 is still running 8 s after SIGTERM" >>"$OUT/broken"
  run_node "$1"
}
kill_upstream() {
  kill -KILL "$(pid_of upstream "$1")"
  sleep "$2"
  run_upstream "$1"
}
drain_upstream() {
  curl -s -m 2 "127.0.0.1:$(node_port "$1" 4)/standin/drain" >/dev/null
  sleep 2
  kill_upstream "$1" "$2"
}
replace_upstream() { # the upstream falls silent; another service has its address for a while
  kill -STOP "$(pid_of upstream "$1")"
  sleep "$2"
  kill -KILL "$(pid_of upstream "$1")"
  run_upstream "$1" "$([ "$(service_of "$1")" = lookups ] && echo royalties || echo lookups)"
  kill -HUP "$(pid_of node "$1")"
  sleep 1.5
  kill_upstream "$1" 0.3
}
kill_node_in_drain() { # its upstream drains, and the node is killed right after
  curl -s -m 2 "127.0.0.1:$(node_port "$1" 4)/standin/drain" >/dev/null
  exclusively node "$1" kill_node "$1" 0.3
  sleep 1
  kill_upstream "$1" "$2"
}
inject_link_fault() { # NAME MODE PAUSE
  link "$1" "$2" 150
  sleep "$3"
  link "$1" pass
}
inject_store_fault() { # FAULT PAUSE END
  store_fault "$1"
  sleep "$2"
  store_fault "$3"
}
change() { # WORTH
  declaration "$1"
  timeout 20 "$BIN/jasminectl" --node "$CTL_NODES" apply "$OUT/w$1" "${@:2}" >>"$OUT/changes.txt" 2>&1
}
inject() { # STEP: starts a random fault
  draw 14
  kind=$R
  draw $HOSTS
  n=$((R + 1))
  draw 25
  pause=$((R / 10)).$((R % 10))
  draw 4
  mode=$(echo delay reset silent one-way | cut -d' ' -f$((R + 1)))
  echo "step $1: fault $kind on host $n for $pause s, link mode $mode" >>"$OUT/faults.txt"
  case $kind in
  0) exclusively node $n kill_node $n "$pause" & ;;
  1 | 2) exclusively node $n pause_node $n "$pause" & ;;
  3) exclusively node $n stop_node $n & ;;
  4) exclusively upstream $n kill_upstream $n "$pause" & ;;
  5) exclusively upstream $n drain_upstream $n "$pause" & ;;
  6) exclusively gate $n inject_link_fault "gate$n" "$mode" "$pause" & ;;
  7) exclusively rpc $n inject_link_fault "rpc$n" "$mode" "$pause" & ;;
  8) exclusively store $n inject_link_fault "store$n" "$mode" "$pause" & ;;
  9) exclusively store 0 inject_store_fault down=1 "$pause" down=0 & ;;
  10) exclusively store 0 inject_store_fault 'lose=40&delay=60' "$pause" 'lose=0&delay=0' & ;;
  11) change $((20 + $1)) & ;;
  12) exclusively upstream $n replace_upstream $n "$pause" & ;;
  13) exclusively upstream $n kill_node_in_drain $n "$pause" & ;;
  esac
}

# --- The mesh ---

start_store
record_pid store 0 "$STORE_PID"
LINKS=""
for n in $(seq $HOSTS); do
  LINKS="$LINKS,gate$n=$NET.$n:$(node_port "$n" 1)>127.0.0.1:$(node_port "$n" 1)"
  LINKS="$LINKS,rpc$n=$NET.$n:$(node_port "$n" 2)>127.0.0.1:$(node_port "$n" 2)"
  LINKS="$LINKS,store$n=$NET.$n:$STORE_PORT>127.0.0.1:$STORE_PORT"
done
"$BIN/fault_proxy" --links "${LINKS#,}" --control "$CONTROL" >"$OUT/proxy.log" 2>&1 &
record_pid proxy 0 $!
SEEDS="$NET.1:$(node_port 1 2),$NET.2:$(node_port 2 2),$NET.3:$(node_port 3 2)"
TARGETS=""
CTL_NODES=""
for n in $(seq $HOSTS); do
  run_node "$n"
  run_upstream "$n"
  TARGETS="$TARGETS,127.0.0.1:$(node_port "$n" 0)"
  CTL_NODES="$CTL_NODES,127.0.0.1:$(node_port "$n" 2)"
done
CTL_NODES=${CTL_NODES#,}
ready_nodes() { [ "$(timeout 10 "$BIN/jasminectl" --node "$CTL_NODES" status 2>/dev/null | grep -c ' ready ')" -eq $HOSTS ]; }
check "all nodes discover each other" eventually ready_nodes
check "a declaration is accepted" change 8 --wait yes

# --- Load and faults ---

"$BIN/jasmine_load" --targets "${TARGETS#,}" --rate 150 --seconds $((SECONDS_OF_FAULTS + 4)) \
  --seed "$SEED" --mix GET:/lookups:2,POST:/royalties:2 --resends 4 --outcomes yes \
  >"$OUT/load.json" 2>"$OUT/outcomes.txt" &
LOAD=$!
record_pid load 0 $LOAD
step=0
END=$(($(date +%s) + SECONDS_OF_FAULTS))
while [ "$(date +%s)" -lt $END ]; do
  step=$((step + 1))
  inject $step
  draw 8
  sleep 0.$((R + 2))
done
wait $LOAD
# Waits for the faults that are still active.
wait

# --- Checks ---

check "all nodes are ready after the faults" eventually ready_nodes
TRIES=3 check "a change is in force on all nodes after the faults" eventually change 99 --wait yes
for field in crossed cut open doubled; do
  check "no request counted as $field" [ "$(number $field "$OUT/load.json")" = 0 ]
done
check "more than 100 requests are answered" [ "$(number answered "$OUT/load.json")" -gt 100 ]
check_runs() { # compares the runs of each key with the outcome reported to its caller
  cat "$OUT"/upstream*.log | awk -v outcomes="$OUT/outcomes.txt" '
    $1 == "run" { runs[$2]++ }
    END {
      while ((getline line < outcomes) > 0) {
        split(line, part, " ")
        if (part[1] != "key") continue
        n = runs[part[2]]
        if (n > 1) { print "run " n " times: " part[2]; bad = 1 }
        if (n > 0 && part[3] == "not-run") { print "reported as not run, but ran: " part[2]; bad = 1 }
        if (n == 0 && part[3] == "answered") { print "answered, but not run: " part[2]; bad = 1 }
      }
      exit bad
    }'
}
check "each request runs at most once and its reported outcome is correct" check_runs
runs_at_own_service() {
  cat "$OUT"/upstream*.log | awk '$1 == "run" && index($4, "/" $3) != 1 { print; bad = 1 } END { exit bad }'
}
check "no request is run by another service" runs_at_own_service
for log in "$OUT"/node*.log; do
  check "no older version is applied: $log" versions_rise "$log"
  check "no crash or sanitizer error: $log" [ "$(grep -c 'Sanitizer\|runtime error:\|terminate called\|Assertion' "$log")" = 0 ]
done
[ -f "$OUT/broken" ] && { cat "$OUT/broken"; FAILED=$((FAILED + 1)); }
kill_all 2>/dev/null
cat "$OUT/load.json"
if [ $FAILED -eq 0 ]; then
  echo "soak: seed $SEED, $step faults: passed"
  rm -rf "$OUT"
  exit 0
fi
echo "soak: seed $SEED, $step faults: $FAILED checks failed, logs in $OUT"
exit 1
