#!/bin/sh
# Runs all benchmarks of `make bench` and prints their results; there are no pass criteria.
# Argument: build folder.
set -u
BIN=$1
DIR=$(dirname "$0")
echo "== decisions and held state at 2,300 services and 16,000 hosts"
"$BIN/decision_bench"
echo "== added latency over two hops"
sh "$DIR/latency.sh" "$BIN" 5
echo "== slopes over nodes, 40 services"
sh "$DIR/slopes.sh" "$BIN" 40 "10 20 40 80"
echo "== slopes over services, 20 nodes"
for services in 400 2300; do sh "$DIR/slopes.sh" "$BIN" "$services" "20"; done
echo "== decision rules of rollouts"
"$BIN/rules_bench" 20 200 120
