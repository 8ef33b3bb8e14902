/// @file control_document.cpp Configuration and rollout orders that operators write to the store.
#include "control/control_task.h"

#include "event_util.h"
#include "rollout/rollout_order.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace jasmineloom {

namespace {

/// Time for which the store holds a watch without news; idle sockets are probed meanwhile.
constexpr DurationMs WatchHold = 20 * MsPerSecond;
/// Pause after a failed call: first, and longest.
constexpr DurationMs MinStoreBackoff = 50;
constexpr DurationMs MaxStoreBackoff = 800;
/// Time after which a steward acts on an order whose earlier status it could not read.
constexpr DurationMs StatusReadTimeout = 1 * MsPerSecond;
/// Head start of the first steward over the second.
constexpr DurationMs SecondStewardDelay = 1 * MsPerSecond;
/// Requests that the new version must have answered before it gets more than its first share.
constexpr std::uint64_t MinNewVersionRequests = 5;

/// Both versions' counts over all routes.
struct EvidenceSum {
  VersionCounts Old;
  VersionCounts New;

  /// @returns requests to the service per second.
  double rate() const {
    return static_cast<double>(Old.Requests + New.Requests) * MsPerSecond /
           static_cast<double>(RetainedEvidenceBuckets * EvidenceBucketMs);
  }

  std::string text() const {
    return absl::StrCat("new ", New.Failures, " failed of ", New.Requests, ", old ", Old.Failures,
                        " of ", Old.Requests);
  }
};

EvidenceSum sumOf(const std::vector<EvidenceStratum> &strata) {
  EvidenceSum sum;
  for (const EvidenceStratum &stratum : strata) {
    sum.Old += stratum.Old;
    sum.New += stratum.New;
  }
  return sum;
}

} // namespace

// --- Reading ---

kj::Promise<void> ControlTask::documentLoop() {
  const bool reads = Position.Root || allLinksSilent(steadyClockMs());
  if (!reads) {
    DocumentRead.Listed = false;
    return timer().afterDelay(Settings.Times.ExchangeHold * kj::MILLISECONDS).then([this] {
      return documentLoop();
    });
  }
  auto step = DocumentRead.Listed ? watchDocument() : listDocument(std::string());
  return step
      .then([this](bool ok) -> kj::Promise<void> {
        DocumentRead.RetryDelay =
            ok ? 0 : std::clamp(DocumentRead.RetryDelay * 2, MinStoreBackoff, MaxStoreBackoff);
        if (ok)
          return kj::READY_NOW;
        return timer().afterDelay((DocumentRead.RetryDelay + randomBelow(DocumentRead.RetryDelay)) *
                                  kj::MILLISECONDS);
      })
      .then([this] { return documentLoop(); });
}

kj::Promise<bool> ControlTask::listDocument(const std::string &after) {
  return Store.send(StoreList{Settings.Surroundings.Document->Prefix, after, false})
      .then([this, after](StoreResponse answer) -> kj::Promise<bool> {
        if (answer.Result != StoreResult::Ok)
          return false;
        // Changes made while the pages were read come with the watch.
        if (after.empty())
          DocumentRead.Revision = answer.Revision;
        applyEntries(answer.Entries);
        if (answer.HasMore && !answer.Entries.empty())
          return listDocument(answer.Entries.back().Key);
        DocumentRead.Listed = true;
        return true;
      });
}

kj::Promise<bool> ControlTask::watchDocument() {
  const StoreWatch watch{Settings.Surroundings.Document->Prefix, DocumentRead.Revision, WatchHold};
  return Store.send(watch).then([this](StoreResponse answer) {
    if (answer.Result == StoreResult::Compacted) {
      recordEvent("store", "watch", "its history is gone, lists anew");
      DocumentRead.Listed = false;
      return true;
    }
    if (answer.Result != StoreResult::Ok)
      return false;
    DocumentRead.Revision = std::max(DocumentRead.Revision, answer.Revision);
    applyEntries(answer.Entries);
    return true;
  });
}

void ControlTask::applyEntries(const std::vector<StoreEntry> &entries) {
  for (const StoreEntry &entry : entries) {
    absl::StatusOr<DocumentEntry> decoded = Settings.Surroundings.Document->Decode(entry);
    if (!decoded.ok()) {
      recordEvent("config", entry.Key, absl::StrCat("refused: ", decoded.status().message()));
      continue;
    }
    std::visit(Overloaded{[](const std::monostate &) {},
                          [this](const ConfigDocument &document) { applyDocument(document); },
                          [this](const RolloutOrder &order) { receiveOrder(order); }},
               *decoded);
  }
}

void ControlTask::applyDocument(const ConfigDocument &document) {
  const SnapshotPtr held = Node.config().held();
  if (held && document.Version <= held->Version)
    return;
  std::vector<ConfigObjectPtr> objects;
  objects.reserve(document.Objects.size());
  for (const ConfigObject &object : document.Objects)
    objects.push_back(std::make_shared<const ConfigObject>(object));
  const SnapshotPtr next = makeSnapshot(document.Version, objects);
  const OfferResult result = Node.applyConfig(diffSnapshots(held.get(), *next));
  StateChanges effect;
  effect.ConfigApplied = result == OfferResult::Applied;
  effect.ConfigRejected = result == OfferResult::Refused;
  propagateChanges(effect);
}

void ControlTask::receiveOrder(const RolloutOrder &order) {
  if (Node.progress().contains(orderID(order)))
    return;
  recordEvent("rollout", orderID(order).str(),
              absl::StrCat("ordered: version ", order.To.str(), " within ", order.Duration, " ms"));
  StateChanges effect;
  effect.ProgressChanged = Node.updateProgress(initialProgress(order));
  propagateChanges(effect);
}

bool ControlTask::allLinksSilent(TimeMs now) const {
  const DurationMs patience = Settings.Times.ExchangeHold + Settings.Times.LinkResponseTimeout;
  for (const auto &[peer, link] : Links) {
    const Link *heard = Node.link(peer);
    if (heard != nullptr && now < heard->LastReceived + patience)
      return false;
  }
  return true;
}

// --- Orders ---

std::optional<RolloutSpec> ControlTask::orderSpec(const RolloutProgress &progress) const {
  std::vector<RolloutProgress> orders;
  for (const auto &[id, it] : Node.progress()) {
    if (it.Order != 0 && it.Service == progress.Service)
      orders.push_back(it);
    if (it.Service == progress.Service && it.Order > progress.Order)
      return std::nullopt;
  }
  std::map<VersionLabel, std::uint32_t> upstreams;
  Node.hosts().forEach([&](const HostRecord &record, TimeMs) {
    if (record.Service == progress.Service && record.State == HostState::Ready)
      ++upstreams[record.Version];
  });
  const VersionPolicy policy = policyOf(std::move(orders), upstreams);
  return RolloutSpec{progress.ID, progress.Service, policy.Stable, progress.To, 0, 0};
}

std::optional<RolloutSpec> ControlTask::findRolloutSpec(const RolloutID &id) const {
  const SnapshotPtr held = Node.config().held();
  const RolloutSpec *declared = held ? findRollout(*held, id) : nullptr;
  if (declared != nullptr)
    return *declared;
  const auto it = Node.progress().find(id);
  if (it == Node.progress().end() || it->second.Order == 0)
    return std::nullopt;
  return orderSpec(it->second);
}

void ControlTask::advanceOrders(TimeMs now, std::vector<RolloutID> &running) {
  std::vector<RolloutProgress> orders;
  for (const auto &[id, progress] : Node.progress()) {
    if (progress.Order != 0)
      orders.push_back(progress);
  }
  for (const RolloutProgress &progress : orders) {
    OrderState &task = Orders[progress.ID];
    if (task.KnownSince == 0)
      task.KnownSince = now;
    if (task.Stage != progress.Stage) {
      task.Stage = progress.Stage;
      task.StageSince = now;
    }
    const std::optional<RolloutSpec> spec = orderSpec(progress);
    if (!spec.has_value())
      continue;
    running.push_back(progress.ID);
    const std::vector<HostID> stewards = controllersOf(*spec, Node.hosts());
    const auto mine = std::find(stewards.begin(), stewards.end(), Settings.Identity.Host);
    if (mine == stewards.end())
      continue;
    const DurationMs delay = mine == stewards.begin() ? 0 : SecondStewardDelay;
    if (now >= task.KnownSince + delay)
      advanceOrder(*spec, progress, task, now, delay);
  }
}

void ControlTask::advanceOrder(const RolloutSpec &spec, const RolloutProgress &progress,
                               OrderState &task, TimeMs now, DurationMs delay) {
  if (!task.StatusKnown && !task.StatusCallPending)
    readOrderStatus(progress);
  const bool known = task.StatusKnown || now >= task.KnownSince + StatusReadTimeout;
  if (!known)
    return;
  if (progress.Phase == RolloutPhase::Running)
    evaluateOrder(spec, progress, task, now, delay);
  const RolloutProgress &current = Node.progress().at(progress.ID);
  const bool told = task.StoredPhase == current.Phase && task.StoredStage == current.Stage;
  if (task.StatusKnown && !task.StatusCallPending && !told && now >= task.NextStatusWrite)
    writeOrderStatus(current, now);
}

void ControlTask::evaluateOrder(const RolloutSpec &spec, const RolloutProgress &progress,
                                const OrderState &task, TimeMs now, DurationMs delay) {
  const Judgement finding = LocalSteward.orderJudgement(spec, now);
  const DurationMs elapsed = now - task.KnownSince + task.PriorElapsed;
  const DurationMs settled = now - std::max(task.StageSince, task.KnownSince);
  const EvidenceSum seen = sumOf(LocalSteward.strata(spec, now));
  const bool evidence = progress.Stage < 1 || seen.New.Requests >= MinNewVersionRequests;
  std::optional<RolloutProgress> next;
  if (finding.Result == Verdict::Bad || evidence)
    next = nextOrderProgress(finding, progress, elapsed < delay ? 0 : elapsed - delay, settled,
                             seen.rate());
  if (next.has_value() && Node.updateProgress(*next)) {
    recordEvent("rollout", spec.ID.str(),
                next->Phase == RolloutPhase::TakenBack ? "taken back: " + next->Reason
                : next->Phase == RolloutPhase::Done    ? "done: " + next->Reason
                                                    : absl::StrCat("stage ", next->Stage, " after ",
                                                                   elapsed, " ms; ", seen.text()));
    StateChanges effect;
    effect.ProgressChanged = true;
    propagateChanges(effect);
  }
}

void ControlTask::readOrderStatus(const RolloutProgress &progress) {
  Orders[progress.ID].StatusCallPending = true;
  const DocumentFormat &format = *Settings.Surroundings.Document;
  spawn(Store.send(StoreRead{format.StatusKey(progress.Service)})
            .then([this, progress](StoreResponse answer) { receiveOrderStatus(progress, answer); }),
        "rollout status");
}

void ControlTask::receiveOrderStatus(const RolloutProgress &progress, const StoreResponse &answer) {
  OrderState &task = Orders[progress.ID];
  task.StatusCallPending = false;
  if (answer.Result != StoreResult::Ok)
    return;
  task.StatusKnown = true;
  task.StatusRevision = answer.Entries.empty() ? 0 : answer.Entries.front().Revision;
  if (answer.Entries.empty())
    return;
  const std::optional<RolloutProgress> told =
      Settings.Surroundings.Document->DecodeStatus(answer.Entries.front().Value);
  if (!told.has_value() || told->Order != progress.Order)
    return;
  task.StoredPhase = told->Phase;
  task.StoredStage = told->Stage;
  RolloutProgress known = progress;
  known.Phase = told->Phase;
  known.Stage = told->Stage;
  // A steward that takes over goes on from the stage that was reached.
  if (task.PriorElapsed == 0 && told->Stage > progress.Stage)
    task.PriorElapsed = earliestStageStart(told->Stage, progress.Duration);
  StateChanges effect;
  effect.ProgressChanged = Node.updateProgress(known);
  if (effect.ProgressChanged)
    propagateChanges(effect);
}

void ControlTask::writeOrderStatus(const RolloutProgress &progress, TimeMs now) {
  OrderState &task = Orders[progress.ID];
  task.StatusCallPending = true;
  task.NextStatusWrite = now + MinStoreBackoff;
  const DocumentFormat &format = *Settings.Surroundings.Document;
  const StoreCompareAndSwap swap{
      format.StatusKey(progress.Service), format.EncodeStatus(progress), task.StatusRevision, {}};
  spawn(Store.send(swap).then([this, progress](StoreResponse answer) {
    OrderState &written = Orders[progress.ID];
    written.StatusCallPending = false;
    if (answer.Result == StoreResult::Ok) {
      written.StoredPhase = progress.Phase;
      written.StoredStage = progress.Stage;
    }
    // The revision that the next write expects has to be read again.
    written.StatusKnown = false;
  }),
        "rollout status");
}

} // namespace jasmineloom
