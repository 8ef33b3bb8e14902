# Check functions for the scripts that test real processes. To be sourced.
# Needs: SOURCE (root of the repository), OUT (folder for files).
PASSED=0
FAILED=0

# known_red NAME: succeeds if KNOWN-RED.txt lists this check of the running script
known_red() { grep -qxF "$(basename "$0" .sh): $1" "$SOURCE/KNOWN-RED.txt"; }

check() { # NAME COMMAND...
  name=$1
  shift
  if "$@"; then
    PASSED=$((PASSED + 1))
    echo "ok    $name"
  elif known_red "$name"; then
    echo "RED   $name (KNOWN-RED.txt)"
  else
    FAILED=$((FAILED + 1))
    echo "FAIL  $name"
  fi
}

# eventually COMMAND...: retries every 0.2 s until the command succeeds; gives up after TRIES tries
# (default 200, at least 40 s)
eventually() {
  for _ in $(seq "${TRIES:-200}"); do
    "$@" >/dev/null 2>&1 && return 0
    sleep 0.2
  done
  return 1
}

# declaration WORTH: writes the deployment with this worth to $OUT/wWORTH
declaration() {
  mkdir -p "$OUT/w$1"
  cp "$SOURCE/deployments/kamena-vrata/services.json" "$OUT/w$1/"
  sed "s/\"worth\": 8/\"worth\": $1/" "$SOURCE/deployments/kamena-vrata/routes.json" >"$OUT/w$1/routes.json"
}

# versions_rise LOG: succeeds if the node never applied an older version
versions_rise() {
  awk '/\[apply\] version [0-9]+: in force/ { v = $5 + 0; if (v < last) exit 1; last = v }' "$1"
}
