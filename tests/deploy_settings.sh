#!/bin/sh
# Fills in deploy/jasmined.conf with figures in all forms and starts the node with it, so far that it
# reads its settings. Guards against a figure of the platform that keeps every process from starting.
# Argument: build folder.
set -u
BIN=$1
SOURCE=$(cd "$(dirname "$0")/.." && pwd)
. "$SOURCE/tests/checks.sh"
OUT=$(mktemp -d)
trap 'rm -rf "$OUT"' EXIT

# settings FIELD VALUE: prints the node's settings with this value of a field of the platform
settings() {
  sed -e "s/{{$1}}/$2/" \
    -e 's/{{node}}/h1/; s/{{zone}}/z1/; s/{{ip_address}}/127.0.0.1/' \
    -e 's/{{listen_addresses.[a-z]*}}/127.0.0.1:8300/g; s/{{platform.address}}/127.0.0.1:8309/g' \
    -e 's/{{internal_ports.0}}/7620/; s/{{internal_ports.1}}/7621/; s/{{seeds}}//; s/{{service}}/s/' \
    -e 's/{{bounds.config_propagation_ms}}/2000/; s/{{heartbeat_interval_ms}}/1500/' \
    -e 's/{{bounds.grace_s}}/6/; s/{{bounds.retry_slack}}/62/' \
    "$SOURCE/deploy/jasmined.conf" >"$OUT/node.conf"
  "$BIN/jasmined" --settings-file "$OUT/node.conf" --print-settings
}
uses() { # FIELD VALUE SETTING USED
  settings "$1" "$2" 2>"$OUT/err" | grep -qx "$3=$4" || { cat "$OUT/err"; return 1; }
}
check "a whole grace period is used" uses bounds.grace_s 7 stop-time 7
check "a grace period with a fraction is used" uses bounds.grace_s 6.5 stop-time 6.5
check "a grace period of 0 is bounded" uses bounds.grace_s 0 stop-time 0.1
check "a grace period that is no number is replaced" uses bounds.grace_s true stop-time 6
check "a missing grace period is replaced" uses bounds.grace_s "" stop-time 6
check "a slack with a fraction is used" uses bounds.retry_slack 62.5 retry-slack 62.5
check "a slack beyond the range is bounded" uses bounds.retry_slack 1e9 retry-slack 100000
check "a propagation time with a fraction is used" uses bounds.config_propagation_ms 2000.5 in-force-time 2000.5
check "a short propagation time is bounded" uses bounds.config_propagation_ms 0.5 in-force-time 500
check "a heartbeat interval with a fraction is used" uses heartbeat_interval_ms 1500.25 heartbeat-interval 1500.25
check "a heartbeat interval beyond the range is bounded" uses heartbeat_interval_ms 1e99 heartbeat-interval 60000
check "a port that is written as a decimal is used" uses internal_ports.0 7622.0 gate-port 7622
# Guards against uploads that a configuration allows and the node answers with 413.
check "bodies of 16 MiB are allowed" uses bounds.grace_s 6 max-body 16777216
export JASMINE_CAPACITY=0.3333333333333333 JASMINE_REVOCATION_TIME=4999.5
check "a third of a core is used" uses bounds.grace_s 6 capacity 0.3333333333333333
check "a revocation time with a fraction is used" uses bounds.grace_s 6 revocation-time 4999.5
echo "$PASSED passed, $FAILED failed"
[ $FAILED -eq 0 ]
