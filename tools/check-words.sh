#!/bin/sh
# Fails if platform-specific names (headers, keys, calls, fields) occur outside platform/.
set -eu
WORDS='(^|[^-])Request-Id|Deadline-Remaining|Server-Signature|Expected-Instance|Not-Executed|Caller-Service|Server-Limit|Server-Leaving'
WORDS="$WORDS|op/config|op/rollout|status/rollout|kv-txn|kv-watch|kv-range|kv-lease|/instances/"
WORDS="$WORDS|op/evacuate|cold_per_s|cold_start_s|api_keys|Cold-Remaining|Server-Load|Store-Era|rate_per_s|tenant"
WORDS="$WORDS|target_version|cold_remaining_ms|rolled_back|target_latency_ms|sidecar"
if grep -rniE "$WORDS" src schema/jasmineloom.capnp tools/*.cpp standins; then
  echo "platform-specific names are allowed in platform/ only" >&2
  exit 1
fi
echo "no platform-specific names outside platform/"
