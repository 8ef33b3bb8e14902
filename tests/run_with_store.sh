#!/bin/sh
# Runs a test program against store_standin. Arguments: build folder, port, program.
BIN=$1
OUT=$(mktemp -d)
STORE_PORT=$2
BASE_PORT=0
. "$(dirname "$0")/../tools/mesh.sh"
trap stop_all EXIT INT TERM
start_store
for _ in $(seq 100); do
  curl -s "127.0.0.1:$STORE_PORT/standin/calls" >/dev/null && break
  sleep 0.1
done
JASMINE_TEST_STORE=127.0.0.1:$STORE_PORT "$BIN/$3"
