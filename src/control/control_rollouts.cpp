/// @file control_rollouts.cpp Evidence on rollouts, and the decisions of this host's rollout
/// controller.
#include "control/control_task.h"

#include "event_util.h"
#include "operator/operator_service.h"
#include "wire_func.h"
#include "wire_list.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace jasmineloom {

namespace {

constexpr DurationMs ControllerPeriod = 250;
constexpr DurationMs EvidenceTimeout = 1 * MsPerSecond;
constexpr DurationMs EvidenceConnectionHold = 3 * MsPerSecond;

} // namespace

void ControlTask::recordEvidence(const EvidenceReport &report) {
  const std::optional<RolloutSpec> spec = findRolloutSpec(report.Rollout);
  if (!spec.has_value())
    return;
  ++EvidenceReports.Received;
  LocalController.addReport(*spec, report, steadyClockMs());
}

void ControlTask::sendEvidence(const std::vector<EvidenceReport> &reports) {
  const std::optional<RolloutSpec> spec =
      reports.empty() ? std::nullopt : findRolloutSpec(reports.front().Rollout);
  if (!spec.has_value())
    return;
  EvidenceReports.Sent += reports.size();
  sendEvidenceTo(controllersOf(*spec, Node.hosts()), reports);
}

void ControlTask::sendEvidenceTo(std::vector<HostID> controllers,
                                 const std::vector<EvidenceReport> &reports) {
  if (controllers.empty()) {
    EvidenceReports.Lost += reports.size();
    return;
  }
  const HostID controller = controllers.front();
  controllers.erase(controllers.begin());
  if (controller == Settings.Identity.Host) {
    for (const EvidenceReport &report : reports)
      recordEvidence(report);
    return;
  }
  const HostRecord *record = Node.hosts().find(controller);
  auto sent =
      Peers.get(record->RpcAddress)
          .then([this, reports](std::shared_ptr<PeerConnection> connection) {
            auto request = connection->Peer.evidenceRequest();
            auto list = request.initReports(static_cast<unsigned>(reports.size()));
            unsigned n = 0;
            for (const EvidenceReport &report : reports)
              writeEvidence(list[n++], report);
            return request.send().then([this, connection](auto &&response) {
              receiveProgress(response.getProgress());
              // Keeps the connection open for the next report.
              spawn(
                  timer().afterDelay(EvidenceConnectionHold * kj::MILLISECONDS).then([connection] {
                  }),
                  "evidence");
            });
          });
  // Falls back to the second controller if the first one fails.
  spawn(timer()
            .timeoutAfter(EvidenceTimeout * kj::MILLISECONDS, kj::mv(sent))
            .catch_([this, controllers, reports](kj::Exception &&) {
              ++EvidenceReports.Failovers;
              sendEvidenceTo(controllers, reports);
            }),
        "evidence");
}

void ControlTask::receiveProgress(capnp::List<wire::RolloutProgress>::Reader list) {
  StateChanges changes;
  for (auto progress : limitedList(list, MaxListedObjects))
    changes.ProgressChanged |= Node.updateProgress(readProgress(progress));
  if (changes.ProgressChanged)
    propagateChanges(changes);
}

kj::Promise<void> ControlTask::controllerLoop() {
  advanceRollouts();
  return timer().afterDelay(ControllerPeriod * kj::MILLISECONDS).then([this] {
    return controllerLoop();
  });
}

void ControlTask::advanceRollouts() {
  const SnapshotPtr held = Node.config().held();
  if (!held)
    return;
  std::vector<RolloutID> running;
  advanceOrders(steadyClockMs(), running);
  advanceDeclaredRollouts(*held, running);
  LocalController.keepOnly(running);
}

void ControlTask::advanceDeclaredRollouts(const Snapshot &held, std::vector<RolloutID> &running) {
  // The start and deadline of declared rollouts are Unix times.
  const TimeMs now = wallClockMs();
  StateChanges changes;
  for (const RolloutSpec *spec : rolloutsOf(held)) {
    running.push_back(spec->ID);
    const std::vector<HostID> controllers = controllersOf(*spec, Node.hosts());
    if (std::find(controllers.begin(), controllers.end(), Settings.Identity.Host) ==
        controllers.end())
      continue;
    RolloutProgress progress;
    progress.ID = spec->ID;
    const auto it = Node.progress().find(spec->ID);
    if (it != Node.progress().end())
      progress = it->second;
    if (progress.Phase != RolloutPhase::Running) {
      if (EndingRollouts.insert(spec->ID).second)
        spawn(recordRolloutEnd(*spec, progress), "rollout end");
      continue;
    }
    const std::optional<RolloutProgress> next =
        LocalController.nextProgress(*spec, progress, now, steadyClockMs());
    if (!next.has_value() || !Node.updateProgress(*next))
      continue;
    changes.ProgressChanged = true;
    const std::string text = next->Phase == RolloutPhase::TakenBack ? "taken back: " + next->Reason
                             : next->Phase == RolloutPhase::Done
                                 ? "done: " + next->Reason
                                 : absl::StrCat("stage ", next->Stage);
    recordEvent("rollout", spec->ID.str(), text);
  }
  if (changes.ProgressChanged)
    propagateChanges(changes);
}

kj::Promise<void> ControlTask::recordRolloutEnd(const RolloutSpec &spec,
                                                const RolloutProgress &progress) {
  const bool done = progress.Phase == RolloutPhase::Done;
  ChangeRequest request;
  request.Operation = OperationID(absl::StrCat("end/", spec.ID.str()));
  request.Author = "steward";
  request.Summary = absl::StrCat("rollout ", spec.ID.str(), done ? " done" : " taken back");
  request.Change = [spec, done](const Snapshot &base) { return endRollout(base, spec, done); };
  return runChange(std::move(request), nullptr)
      .then([this](ChangeOutcome) {
        return timer().afterDelay((MsPerSecond + randomBelow(MsPerSecond)) * kj::MILLISECONDS);
      })
      .then([this, id = spec.ID] { EndingRollouts.erase(id); });
}

} // namespace jasmineloom
