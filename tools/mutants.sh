#!/bin/sh
# Mutation test: applies one mutation at a time to a copy of the tree and expects a test to fail.
# Argument: folder for the copy (deleted first). Prints one line per mutant; fails if a mutant
# survives, does not apply or does not build.
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
mutant config_test config/config_holder.cpp 's/if (delta.Version < Floor)/if (false)/' "the minimum version is ignored"
mutant config_test config/config_func.cpp 's/if (next->Digest != delta.Digest)/if (false)/' "the digest of a delta is ignored"
mutant mesh_test mesh/mesh_node.cpp 's/^  link.ReceivedCursor = 0;/  ;/' "host tables that differ are not resynchronised"
mutant mesh_test mesh/mesh_node.cpp 's/  ++Self.Sequence;$/  ;/' "a host does not increment the sequence of its record"
mutant mesh_test mesh/mesh_node.cpp 's/    WantFull = true;/    WantFull = false;/' "no full snapshot is requested after a version gap"
mutant config_transfer_test mesh/config_fetch.h 's/return Current.has_value();/return false;/' "a version is fetched from two peers at once"
mutant config_transfer_test mesh/config_fetch.cpp 's/AvoidedUntil.contains(offer.Peer) || now/now/' "a fetch that failed is repeated from the same peer at once"
mutant change_test config/change_cmd.cpp 's/if (findOperation(Current, Request.Operation) != nullptr)/if (false)/' "a repeated operation is not recognised after a lost response"
mutant change_test config/change_cmd.cpp 's/  SwapSent = true;/  return failed(ChangeStatus::StoreUnavailable, "");/' "a change whose store response was lost is reported as not made"
mutant change_test config/change_cmd.cpp 's/    if (!inUse)/    if (!inUse || inUse)/' "a referenced section is deleted"
mutant traffic_test traffic/key_table.cpp 's/ \&\& lost < MinEstablishedHolders//' "the loss of two key holders is ignored"
mutant traffic_test traffic/key_table.cpp 's/established == MinEstablishedHolders/established == 1/' "one established key holder suffices to prove a key"
mutant traffic_test admission/gate_base.cpp 's/InFlight >= Upstream.Slots/InFlight > Upstream.Slots/' "one request above the slot limit is admitted"
mutant traffic_test admission/gate_base.cpp 's/  return SuspectRunning == 0 ||/  return true ||/' "a suspect request runs concurrently with others"
mutant traffic_test traffic/retry_rule.cpp 's/result == AttemptResult::NotRun || idempotent/true || idempotent/' "a non-idempotent request that may have run is retried"
mutant traffic_test traffic/retry_rule.cpp 's/constexpr double RetryShare = 0.08;/constexpr double RetryShare = 1;/' "retries without a budget"
mutant rollout_test rollout/rollout_func.cpp 's/  const bool later = other.Phase > held.Phase;/  const bool later = other.Phase != held.Phase;/' "a rollout can return to an earlier phase"
mutant rollout_test rollout/rollout_rule.cpp 's/rule.BadNegLogP)$/1e9)/' "no new version is judged bad"
mutant http_contract_test http/http_response_reader.cpp 's/  if (ec || !Current->Beast.is_done())/  if (false)/' "a truncated response counts as complete"
mutant http_contract_test http/http_pool.cpp 's/ \&\& echoed == nullptr \&\& connection.HasEchoed/ \&\& false/' "a response without the request's id is taken for its own"
mutant http_contract_test http/http_pool.cpp 's/ || connection->Calls == 1;/ || true;/' "an unidentified refusal on a kept connection is believed"
mutant placement_test traffic/response_check.cpp 's/return result.Matched ?/return true ?/' "a refusal of an earlier request is believed"
mutant http_contract_test http/http_server.cpp 's/^  if (isFull())$/  if (false)/' "connections are accepted without a bound"
mutant http_contract_test http/http_server.cpp 's/^  while (!isFull()) {/  while (false) {/;s/^    while (!isFull()) {/    while (false) {/' "connections in the kernel's queue are reset by a stop"
mutant traffic_task_test traffic/traffic_task.cpp 's/  if (done || elapsed >= MaxStopTime)/  if (done || true)/;s/  StopTimer.start(StopCheckPeriod);$/  advanceStop();/' "the event loop ends with requests unread"
mutant control_test control/control_task.cpp 's/      .then(\[this, loop, name\] { return keepRunning(loop, name); });/;/' "a loop of the control task that failed stays ended"
mutant control_test control/control_task.cpp 's/closed.attach(kj::mv(rpc)).attach(kj::mv(network)).attach(kj::mv(counted))/closed.attach(kj::mv(rpc), kj::mv(network), kj::mv(counted))/' "a connection's stream is destroyed before its RPC state"
mutant control_test control/control_store.cpp 's/\*RegisteredRoots < StoreRoots;/true;/' "each starting node registers"
mutant load_model_test balance/placement.cpp 's/constexpr std::size_t LocalSamples = 6;/constexpr std::size_t LocalSamples = 1;/' "one host is drawn instead of six compared"
mutant traffic_test admission/gate_base.cpp 's/= exclusionOf(\*it, now);/= Refusal::None;/' "a queued request is not checked again when it leaves the queue"
mutant traffic_test admission/gate_base.cpp 's/^    InFlight = 0;$//' "requests of an earlier process hold slots of the present one"
mutant placement_test balance/placement.cpp 's/if (process != entry.InstanceID)/if (false)/' "a failure of an earlier process ejects the present one"
mutant watch_schedule_test control/watch_schedule.cpp 's/return CatchUpHold;/return Period * share.Watchers;/' "a watch is held although the store has not answered since a failure"
mutant watch_schedule_test control/watch_schedule.cpp 's/share.Rank % share.Watchers + 1/share.Watchers/' "all watchers of a data centre are in step"
mutant announcement_test traffic/announcement.cpp 's/now < it->second.At + TombstoneTime/false/' "departures of before a restart are ignored"
mutant mesh_test mesh/host_table.cpp 's/      entry.Record.Departed = earlier;/      ;/' "a start of a node erases the departure of its upstream"
mutant caller_service_test traffic/caller_service.h 's/return isNews \&\& change(configured);/return change(configured);/' "a reload of an old settings file changes the callers' service"
exit $SURVIVED
