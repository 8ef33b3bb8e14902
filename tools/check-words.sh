#!/bin/sh
# Looks for the platform's words outside platform/: its headers, keys, calls and fields.
set -eu
WORDS='(^|[^-])Request-Id|Deadline-Remaining|Server-Signature|Expected-Instance|Not-Executed|Caller-Service'
WORDS="$WORDS|op/config|op/rollout|status/rollout|kv-txn|kv-watch|kv-range|kv-lease|/instances/"
WORDS="$WORDS|target_version|cold_remaining_ms|rolled_back|target_latency_ms|sidecar"
if grep -rniE "$WORDS" src schema/jasmineloom.capnp tools/*.cpp standins; then
  echo "the platform's words belong into platform/" >&2
  exit 1
fi
echo "no platform word outside platform/"
