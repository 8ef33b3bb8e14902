#!/bin/sh
# Breaks one mechanism at a time in a copy of the tree and expects a test to fail for it.
# Argument: folder for the copy (made anew). Prints one line a mutant; fails if one survives.
set -u
SOURCE=$(cd "$(dirname "$0")/.." && pwd)
COPY=${1:-$(mktemp -d)/tree}
rm -rf "$COPY"
mkdir -p "$COPY"
(cd "$SOURCE" && git ls-files -z | xargs -0 tar cf -) | tar xf - -C "$COPY"
cmake -S "$COPY" -B "$COPY/build" -G Ninja -DCMAKE_BUILD_TYPE=Debug >/dev/null
SURVIVED=0

mutant() { # TEST FILE SED-EXPRESSION WHAT
  cp "$COPY/src/$2" "$COPY/original"
  sed -i "$3" "$COPY/src/$2"
  if cmp -s "$COPY/src/$2" "$COPY/original"; then
    echo "NOT APPLIED  $4"
    SURVIVED=1
  elif ! cmake --build "$COPY/build" --target "$1" >"$COPY/log" 2>&1; then
    echo "NOT BUILT    $4"
    SURVIVED=1
  elif timeout 300 "$COPY/build/$1" >"$COPY/log" 2>&1; then
    echo "SURVIVED     $4 ($1)"
    SURVIVED=1
  else
    echo "killed       $4 ($1)"
  fi
  cp "$COPY/original" "$COPY/src/$2"
}

mutant config_test config/config_holder.cpp 's/if (delta.Version <= heldVersion())/if (false)/' "an older version is applied"
mutant config_test config/config_holder.cpp 's/if (delta.Version < Floor)/if (false)/' "the floor is ignored"
mutant config_test config/config_func.cpp 's/if (next->Digest != delta.Digest)/if (false)/' "a delta's digest is ignored"
mutant mesh_test mesh/mesh_node.cpp 's/^  link.ReceivedCursor = 0;/  ;/' "diverged tables are not read again"
mutant mesh_test mesh/mesh_node.cpp 's/  ++Self.Sequence;$/  ;/' "a host does not renew its record"
mutant mesh_test mesh/mesh_node.cpp 's/    WantFull = true;/    WantFull = false;/' "no full snapshot after a gap"
mutant change_test config/change_cmd.cpp 's/if (findOperation(Current, Request.Operation) != nullptr)/if (false)/' "a lost answer is not looked up"
mutant change_test config/change_cmd.cpp 's/  SwapSent = true;/  return failed(ChangeStatus::StoreUnavailable, "");/' "a lost answer is told as unchanged"
mutant change_test config/change_cmd.cpp 's/    if (!inUse)/    if (!inUse || inUse)/' "a section in use is deleted"
mutant traffic_test traffic/key_table.cpp 's/ \&\& lost < MinEstablishedHolders//' "two lost holders are ignored"
mutant traffic_test traffic/key_table.cpp 's/established == MinEstablishedHolders/established == 1/' "one established host holds a key"
mutant traffic_test traffic/gate_base.cpp 's/InFlight >= Upstream.Slots/InFlight > Upstream.Slots/' "one slot too many"
mutant traffic_test traffic/gate_base.cpp 's/  return SuspectRunning == 0 ||/  return true ||/' "two suspect requests run at once"
mutant traffic_test traffic/retry_rule.cpp 's/result == AttemptResult::NotRun || idempotent/true || idempotent/' "a request that may have run is retried"
mutant traffic_test traffic/retry_rule.cpp 's/constexpr double RetryShare = 0.08;/constexpr double RetryShare = 1;/' "retries without a budget"
mutant rollout_test rollout/rollout_func.cpp 's/  const bool later = other.Phase > held.Phase;/  const bool later = other.Phase != held.Phase;/' "a verdict can be undone"
mutant rollout_test rollout/rollout_rule.cpp 's/rule.BadNegLogP)$/1e9)/' "a new version is never judged bad"
mutant http_contract_test http/http_response_reader.cpp 's/  if (ec || !Current->Beast.is_done())/  if (false)/' "a truncated response counts as complete"
exit $SURVIVED
