#!/bin/sh
# Measures how convergence time, control traffic, CPU time, memory and store calls grow with the
# number of nodes. Prints one JSON line per mesh size.
# Arguments: build folder, number of services, list of mesh sizes, number of data centres.
set -u
BIN=$1
SERVICES=${2:-40}
SIZES=${3:-"10 20 40 80"}
CENTRES=${4:-3}
CHANGES=${CHANGES:-20}
SOURCE=$(cd "$(dirname "$0")/.." && pwd)
LOG_LEVEL=error
. "$SOURCE/tools/mesh.sh"
trap stop_all EXIT INT TERM

make_declarations() { # FOLDER WORTH: writes a declaration of $SERVICES services with one route each
  mkdir -p "$1"
  awk -v n="$SERVICES" -v worth="$2" 'BEGIN {
    printf "{\"services\": ["
    for (i = 0; i < n; i++) printf "%s{\"name\": \"s%d\", \"initialVersion\": \"v1\"}", i ? "," : "", i
    printf "], \"routes\": ["
    for (i = 0; i < n; i++) printf "%s{\"name\": \"r%d\", \"prefix\": \"/s%d\", \"service\": \"s%d\", \"idempotent\": true, \"worth\": %d}", i ? "," : "", i, i, i, i ? 1 : worth
    print "]}" }' >"$1/all.json"
}
metric() { curl -s "127.0.0.1:$(node_port "$1" 3)/metrics" | awk -v m="jasmineloom_$2" '$1 == m { print $2 }'; }
sum_of() { # METRIC: prints the sum over all nodes and the maximum
  for i in $(seq "$N"); do metric "$i" "$1"; done | awk '{ s += $1; if ($1 > m) m = $1 } END { print s + 0, m + 0 }'
}
cpu_us() { sum_of process_cpu_us; }
rss_kb() { for i in $(seq "$N"); do metric "$i" process_peak_rss_kb; done | sort -n | awk '{ v[NR] = $1 } END { print v[int((NR + 1) / 2)], v[NR] }'; }
store_total() { curl -s "127.0.0.1:$STORE_PORT/standin/calls" | awk '{ s += $2 } END { print s + 0 }'; }
quantile() { sort -n "$2" | awk -v q="$1" '{ v[NR] = $1 } END { print v[int(q * (NR - 1)) + 1] }'; }

for N in $SIZES; do
  OUT=$(mktemp -d)
  STORE_PORT=29790
  BASE_PORT=30000
  start_store
  SEEDS="127.0.0.1:$(node_port 1 2),127.0.0.1:$(node_port 2 2),127.0.0.1:$(node_port 3 2)"
  for i in $(seq "$N"); do
    start_node "$i" "dc$(((i - 1) % CENTRES + 1))"
  done
  CTL_NODES="127.0.0.1:$(node_port 1 2)"
  for _ in $(seq 200); do
    [ "$(ctl status 2>/dev/null | grep -c ' starting ')" -eq "$N" ] && break
    sleep 0.3
  done
  for i in $(seq "$N"); do
    curl -s -X POST "127.0.0.1:$(node_port "$i" 3)/announce?service=s$((i % SERVICES))&version=v1&slots=12&address=127.0.0.1:9" >/dev/null
  done
  make_declarations "$OUT/d" 1
  ctl apply "$OUT/d" --wait yes >"$OUT/apply.txt" || { cat "$OUT/apply.txt"; exit 1; }
  sleep 12
  # Baseline: cost of the idle mesh over 20 s.
  for i in $(seq "$N"); do metric "$i" control_bytes_out; done >"$OUT/b0"
  for i in $(seq "$N"); do metric "$i" control_bytes_in; done >"$OUT/i0"
  set -- $(cpu_us); cpu0=$1
  store0=$(store_total)
  sleep 20
  for i in $(seq "$N"); do metric "$i" control_bytes_out; done >"$OUT/b1"
  for i in $(seq "$N"); do metric "$i" control_bytes_in; done >"$OUT/i1"
  set -- $(cpu_us); cpu1=$1
  store1=$(store_total)
  paste "$OUT/b0" "$OUT/b1" "$OUT/i0" "$OUT/i1" | awk '{ print ($2 - $1 + $4 - $3) / 20 }' >"$OUT/idle"
  # Cost of sequential changes.
  for c in $(seq "$CHANGES"); do
    make_declarations "$OUT/d" $((c % 9 + 2))
    ctl apply "$OUT/d" >/dev/null
    sleep 0.3
  done
  sleep 1
  for i in $(seq "$N"); do metric "$i" control_bytes_out; done >"$OUT/b2"
  for i in $(seq "$N"); do metric "$i" control_bytes_in; done >"$OUT/i2"
  paste "$OUT/b1" "$OUT/b2" "$OUT/i1" "$OUT/i2" | awk -v c="$CHANGES" '{ print ($2 - $1 + $4 - $3) / c }' >"$OUT/perchange"
  ctl timeline >"$OUT/timeline.txt" 2>/dev/null
  awk '$4 == "change" && /accepted/ && !($6 in at) { at[$6] = $1 }
    $4 == "apply" && ($6 in at) { d = ($1 - at[$6]) * 1000; print (d < 0 ? 0 : d) }' "$OUT/timeline.txt" >"$OUT/conv"
  set -- $(rss_kb); rss50=$1 rssmax=$2
  printf '{"nodes": %d, "services": %d, "centres": %d, "samples": %d, "convP50ms": %s, "convP99ms": %s, "convMaxms": %s, "idleBytesP50": %.0f, "idleBytesMax": %.0f, "changeBytesP50": %.0f, "changeBytesMax": %.0f, "cpuPercentNode": %.3f, "rssP50mb": %.1f, "rssMaxmb": %.1f, "storeCallsPerSecond": %.2f}\n' \
    "$N" "$SERVICES" "$CENTRES" "$(wc -l <"$OUT/conv")" "$(quantile 0.5 "$OUT/conv")" "$(quantile 0.99 "$OUT/conv")" "$(quantile 1 "$OUT/conv")" \
    "$(quantile 0.5 "$OUT/idle")" "$(quantile 1 "$OUT/idle")" "$(quantile 0.5 "$OUT/perchange")" "$(quantile 1 "$OUT/perchange")" \
    "$(awk -v a="$cpu0" -v b="$cpu1" -v n="$N" 'BEGIN { print (b - a) / 1e4 / 20 / n }')" \
    "$(awk -v k="$rss50" 'BEGIN { print k / 1024 }')" "$(awk -v k="$rssmax" 'BEGIN { print k / 1024 }')" \
    "$(awk -v a="$store0" -v b="$store1" 'BEGIN { print (b - a) / 20 }')"
  stop_all
  rm -rf "$OUT"
done
