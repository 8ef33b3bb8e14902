/// @file control_document.cpp Configuration and rollout orders that operators write to the store.
#include "control/control_task.h"

#include "event_util.h"
#include "rollout/rollout_order.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace jasmineloom {

namespace {

/// Backoff after a failed call to the store: initial, and maximum.
constexpr DurationMs MinStoreBackoff = 50;
constexpr DurationMs MaxStoreBackoff = 800;
/// Maximum for a node that stands in for others: the store may be down for all.
constexpr DurationMs MaxStandInBackoff = 3200;
/// Time after which a controller acts on an order even if it could not read the order's stored
/// status.
constexpr DurationMs StatusReadTimeout = 1 * MsPerSecond;
/// Delay by which the second controller acts after the first.
constexpr DurationMs SecondControllerDelay = 1 * MsPerSecond;

/// Counts of both versions, summed over all routes.
struct EvidenceSum {
  VersionCounts Old;
  VersionCounts New;

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

// --- Reading the operators' document ---

kj::Promise<void> ControlTask::documentLoop() {
  const TimeMs now = steadyClockMs();
  const bool reads = readsDocument(now);
  if (!reads) {
    DocumentRead.Listed = false;
    Contact = {};
  }
  // A starting node lists the document, and watches it once it knows whether it is a root.
  if (!reads || (DocumentRead.Listed && !isSettled(now)))
    return timer().afterDelay(Settings.Times.ExchangeHold * kj::MILLISECONDS).then([this] {
      return documentLoop();
    });
  auto step = DocumentRead.Listed ? watchDocument() : readDocument();
  return step
      .then([this](bool ok) -> kj::Promise<void> {
        if (ok)
          DocumentRead.AnsweredAt = steadyClockMs();
        else
          Watches.recordFailure();
        const bool standsIn = storeDuty(steadyClockMs()) == StoreDuty::StandIn;
        const DurationMs longest = standsIn ? MaxStandInBackoff : MaxStoreBackoff;
        DocumentRead.RetryDelay =
            ok ? 0 : std::clamp(DocumentRead.RetryDelay * 2, MinStoreBackoff, longest);
        if (ok)
          return kj::READY_NOW;
        return timer().afterDelay((DocumentRead.RetryDelay + randomBelow(DocumentRead.RetryDelay)) *
                                  kj::MILLISECONDS);
      })
      .then([this] { return documentLoop(); });
}

kj::Promise<bool> ControlTask::readDocument() {
  auto waiter = kj::newPromiseAndFulfiller<bool>();
  DocumentRead.Waiters.push_back(kj::mv(waiter.fulfiller));
  if (DocumentRead.Waiters.size() > 1)
    return kj::mv(waiter.promise);
  Contact.recordCall(0, steadyClockMs());
  spawn(listDocument(std::string())
            .catch_([this](kj::Exception &&exception) {
              recordEvent("config", "document",
                          absl::StrCat("read failed: ", exception.getDescription().cStr()));
              return false;
            })
            .then([this](bool ok) {
              recordStoreContact(ok);
              for (auto &it : std::exchange(DocumentRead.Waiters, {}))
                it->fulfill(kj::cp(ok));
            }),
        "document");
  return kj::mv(waiter.promise);
}

void ControlTask::recordStoreContact(bool answered) {
  const TimeMs now = steadyClockMs();
  Contact.recordEnd(answered, now);
  checkStoreSilence(now);
}

kj::Promise<bool> ControlTask::listDocument(const std::string &after) {
  return Store.send(StoreList{Settings.Env.Document->Prefix, after, false})
      .then([this, after](StoreResponse response) -> kj::Promise<bool> {
        if (response.Result != StoreResult::Ok)
          return false;
        // The watch starts at the first page's revision, so it reports changes made while further
        // pages were read.
        if (after.empty()) {
          DocumentRead.Revision = response.Revision;
          DocumentRead.Era = response.Era;
          DocumentRead.ListedEvacuations.clear();
        }
        // The pages of two eras are no list of either.
        if (response.Era != DocumentRead.Era)
          return false;
        applyEntries(response.Entries, response.Era);
        if (response.HasMore && !response.Entries.empty())
          return listDocument(response.Entries.back().Key);
        endEvacuations(DocumentRead.Revision);
        DocumentRead.Listed = true;
        Watches.recordAnswer(true);
        return true;
      });
}

kj::Promise<bool> ControlTask::watchDocument() {
  const StoreWatch watch{Settings.Env.Document->Prefix, DocumentRead.Revision,
                         Watches.nextHold(watchShare(steadyClockMs()))};
  Contact.recordCall(watch.Wait, steadyClockMs());
  // The document may be listed in a new era while the watch is held.
  return Store.send(watch).then([this, watch, era = DocumentRead.Era](StoreResponse response) {
    recordStoreContact(response.Result == StoreResult::Ok ||
                       response.Result == StoreResult::Compacted);
    if (response.Result == StoreResult::Compacted) {
      recordEvent("store", "watch", "history compacted in the store; listing all entries again");
      DocumentRead.Listed = false;
      return true;
    }
    if (response.Result != StoreResult::Ok)
      return false;
    // The store has lost the revision from which the watch went on, and may give it out again.
    const bool lost = response.Era != era || response.Era != DocumentRead.Era ||
                      (response.Revision != 0 && response.Revision < watch.AfterRevision);
    if (lost) {
      recordEvent("store", "watch", "history lost in the store; listing all entries again");
      DocumentRead.Listed = false;
      return true;
    }
    DocumentRead.Revision = std::max(DocumentRead.Revision, response.Revision);
    Watches.recordAnswer(!response.Entries.empty());
    applyEntries(response.Entries, response.Era);
    return true;
  });
}

void ControlTask::applyEntries(const std::vector<StoreEntry> &entries, std::uint64_t era) {
  for (const StoreEntry &entry : entries) {
    absl::StatusOr<DocumentEntry> decoded = Settings.Env.Document->Decode(entry);
    if (!decoded.ok()) {
      refuseEntry(entry, std::string(decoded.status().message()));
      continue;
    }
    std::visit(Overloaded{[&](const std::monostate &) { Refused.clear(entry.Key); },
                          [&](const ConfigDocument &document) { applyDocument(document, entry); },
                          [&](RolloutOrder &order) {
                            Refused.clear(entry.Key);
                            order.Era = era;
                            receiveOrder(order);
                          },
                          [this, era](const EvacuationEntry &evacuation) {
                            receiveEvacuation(evacuation, era);
                          }},
               *decoded);
  }
}

void ControlTask::refuseEntry(const StoreEntry &entry, const std::string &reason) {
  if (Refused.record(entry.Key, entry.Value, reason))
    recordEvent(
        "config", entry.Key,
        absl::StrCat("refused: ", reason, "; ", describeInForce(Node.config().heldVersion())));
}

void ControlTask::applyDocument(const ConfigDocument &document, const StoreEntry &entry) {
  const SnapshotPtr held = Node.config().held();
  if (held && document.Version <= held->Version) {
    Refused.clear(entry.Key);
    return;
  }
  std::vector<ConfigObjectPtr> objects;
  objects.reserve(document.Objects.size());
  for (const ConfigObject &object : document.Objects)
    objects.push_back(std::make_shared<const ConfigObject>(object));
  const SnapshotPtr next = makeSnapshot(document.Version, objects);
  const OfferResult result = Node.applyConfig(diffSnapshots(held.get(), *next));
  StateChanges changes;
  changes.ConfigApplied = result == OfferResult::Applied;
  if (result == OfferResult::Refused)
    refuseEntry(entry, Node.config().lastError());
  else
    Refused.clear(entry.Key);
  propagateChanges(changes);
}

std::vector<RolloutProgress> ControlTask::ordersOf(const ServiceName &service) const {
  std::vector<RolloutProgress> orders;
  for (const auto &[id, it] : Node.progress()) {
    if (it.Order != 0 && it.Service == service)
      orders.push_back(it);
  }
  return orders;
}

void ControlTask::receiveOrder(const RolloutOrder &order) {
  if (Node.progress().contains(orderID(order))) {
    // It may have come without its era, over a node that doesn't know eras.
    Node.updateProgress(initialProgress(order));
    return;
  }
  std::vector<RolloutProgress> orders = ordersOf(order.Service);
  orders.push_back(initialProgress(order));
  orders = distinctOrders(std::move(orders));
  const bool isNew = std::any_of(orders.begin(), orders.end(),
                                 [&order](const auto &it) { return it.ID == orderID(order); });
  recordEvent(
      "rollout", orderID(order).str(),
      isNew ? absl::StrCat("ordered: version ", order.To.str(), " within ", order.Duration, " ms")
            : absl::StrCat("an order of an earlier era of the store, version ", order.To.str(),
                           ": it goes on from where it was"));
  StateChanges changes;
  changes.ProgressChanged = Node.updateProgress(initialProgress(order));
  propagateChanges(changes);
}

void ControlTask::receiveEvacuation(const EvacuationEntry &entry, std::uint64_t era) {
  if (entry.Active)
    DocumentRead.ListedEvacuations.insert(entry.DataCentre);
  else
    DocumentRead.ListedEvacuations.erase(entry.DataCentre);
  StateChanges changes;
  changes.EvacuationsChanged =
      Node.updateEvacuation({entry.DataCentre, era, entry.Revision, entry.Active});
  propagateChanges(changes);
}

void ControlTask::endEvacuations(std::int64_t revision) {
  const std::vector<DataCentreName> takenBack = Node.retainEvacuations(
      DocumentRead.ListedEvacuations, DocumentRead.Era, static_cast<std::uint64_t>(revision));
  StateChanges changes;
  changes.EvacuationsChanged = !takenBack.empty();
  propagateChanges(changes);
}

void ControlTask::recordEvacuations(const RoutingView &view) {
  for (const DataCentreName &it : view.Evacuated) {
    if (!ReportedEvacuated.contains(it))
      recordEvent("evacuation", it.str(), "nothing more is sent to its upstreams");
  }
  for (const DataCentreName &it : ReportedEvacuated) {
    if (!view.Evacuated.contains(it))
      recordEvent("evacuation", it.str(), "taken back");
  }
  ReportedEvacuated = view.Evacuated;
  std::set<std::string> unserved;
  for (const auto &[name, service] : view.Services) {
    if (service.evacuated())
      unserved.insert(name);
  }
  for (const std::string &it : unserved) {
    if (!ReportedUnserved.contains(it))
      recordEvent("evacuation", it,
                  "has upstreams only in evacuated data centres; its requests are refused");
  }
  for (const std::string &it : ReportedUnserved) {
    if (!unserved.contains(it))
      recordEvent("evacuation", it, "requests are no longer refused for an evacuation");
  }
  ReportedUnserved = std::move(unserved);
}

bool ControlTask::readsDocument(TimeMs now) const {
  return Settings.Env.Document.has_value() && (usesStore(now) || allLinksSilent(now));
}

WatchShare ControlTask::watchShare(TimeMs now) const {
  // A node that no link connects to the mesh depends on its own watch alone.
  if (allLinksSilent(now))
    return {};
  const std::size_t roots =
      rootsOf(Node.hosts().members(Settings.Identity.DataCentre), Settings.Tree).size();
  return {answeredRootsBefore(now), std::clamp<std::size_t>(roots, 1, StoreRoots)};
}

DurationMs ControlTask::documentAge(TimeMs now) const {
  const bool known = DocumentRead.AnsweredAt != 0 && readsDocument(now);
  return known ? now - DocumentRead.AnsweredAt : 0;
}

void ControlTask::checkDocumentAge(TimeMs now) {
  const DurationMs age = documentAge(now);
  const bool overdue = age > Settings.Times.WatchPeriod * StoreRoots + StoreTimeout;
  if (overdue == DocumentRead.Overdue)
    return;
  DocumentRead.Overdue = overdue;
  recordEvent("store", "document",
              overdue ? absl::StrCat("no answer to a read or watch for ", age, " ms")
                      : "read and watched again");
}

bool ControlTask::isLinkAlive(const HostID &peer, TimeMs now) const {
  const DurationMs timeout = Settings.Times.ExchangeHold + Settings.Times.LinkResponseTimeout;
  const Link *link = Links.contains(peer) ? Node.link(peer) : nullptr;
  return link != nullptr && now < link->LastReceived + timeout;
}

bool ControlTask::allLinksSilent(TimeMs now) const {
  return std::none_of(Links.begin(), Links.end(),
                      [this, now](const auto &it) { return isLinkAlive(it.first, now); });
}

// --- Rollout orders ---

std::optional<RolloutSpec> ControlTask::orderSpec(const RolloutProgress &progress) const {
  std::vector<RolloutProgress> orders = distinctOrders(ordersOf(progress.Service));
  if (orders.empty() || orders.back().ID != progress.ID)
    return std::nullopt;
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
  std::set<ServiceName> services;
  for (const auto &[id, progress] : Node.progress()) {
    if (progress.Order != 0)
      services.insert(progress.Service);
  }
  std::vector<RolloutProgress> orders;
  StateChanges changes;
  for (const ServiceName &service : services) {
    orders.push_back(distinctOrders(ordersOf(service)).back());
    // What its repetition has reached at a node that did not know the order.
    changes.ProgressChanged |= Node.updateProgress(orders.back());
  }
  if (changes.ProgressChanged)
    propagateChanges(changes);
  for (const RolloutProgress &progress : orders) {
    OrderState &state = Orders[progress.ID];
    if (state.KnownSince == 0)
      state.KnownSince = now;
    if (state.Stage != progress.Stage) {
      state.Stage = progress.Stage;
      state.StageSince = now;
    }
    const std::optional<RolloutSpec> spec = orderSpec(progress);
    if (!spec.has_value())
      continue;
    running.push_back(progress.ID);
    const std::vector<HostID> controllers = controllersOf(*spec, Node.hosts());
    const auto self = std::find(controllers.begin(), controllers.end(), Settings.Identity.Host);
    if (self == controllers.end())
      continue;
    const DurationMs delay = self == controllers.begin() ? 0 : SecondControllerDelay;
    if (now >= state.KnownSince + delay)
      advanceOrder(*spec, progress, state, now, delay);
  }
}

void ControlTask::advanceOrder(const RolloutSpec &spec, const RolloutProgress &progress,
                               OrderState &state, TimeMs now, DurationMs delay) {
  if (!state.StatusKnown && !state.StatusCallPending)
    readOrderStatus(progress);
  const bool mayAct = state.StatusKnown || now >= state.KnownSince + StatusReadTimeout;
  if (!mayAct)
    return;
  if (progress.Phase == RolloutPhase::Running)
    evaluateOrder(spec, progress, state, now, delay);
  const RolloutProgress &current = Node.progress().at(progress.ID);
  const bool stored = state.StoredPhase == current.Phase && state.StoredStage == current.Stage;
  if (state.StatusKnown && !state.StatusCallPending && !stored && now >= state.NextStatusWrite)
    writeOrderStatus(current, now);
}

void ControlTask::evaluateOrder(const RolloutSpec &spec, const RolloutProgress &progress,
                                OrderState &state, TimeMs now, DurationMs delay) {
  const Judgement judgement = LocalController.orderJudgement(spec, now);
  const bool withheld = !judgement.Withheld.empty();
  if (withheld && !state.Withheld)
    recordEvent("rollout", spec.ID.str(),
                "verdict withheld, failures confined to some hosts: " + judgement.Withheld);
  state.Withheld = withheld;
  const DurationMs elapsed = now - state.KnownSince + state.PriorElapsed;
  const DurationMs sinceStep = now - std::max(state.StageSince, state.KnownSince);
  const EvidenceSum counts = sumOf(LocalController.strata(spec, now));
  const OrderEvidence evidence{Node.hosts().countReady(spec.Service),
                               LocalController.reportingGates(spec, now), counts.New.Requests};
  std::optional<RolloutProgress> next;
  if (judgement.Result == Verdict::Bad || hasEnoughEvidence(evidence, progress.Stage))
    next = nextOrderProgress(judgement, progress, elapsed < delay ? 0 : elapsed - delay, sinceStep,
                             LocalController.requestRate(spec, now));
  if (next.has_value() && Node.updateProgress(*next)) {
    recordEvent("rollout", spec.ID.str(),
                next->Phase == RolloutPhase::TakenBack ? "taken back: " + next->Reason
                : next->Phase == RolloutPhase::Done
                    ? "done: " + next->Reason
                    : absl::StrCat("stage ", next->Stage, " after ", elapsed, " ms; ",
                                   counts.text(), "; ", evidence.ReportingGates, " of ",
                                   evidence.Gates, " gates report"));
    StateChanges changes;
    changes.ProgressChanged = true;
    propagateChanges(changes);
  }
}

void ControlTask::recordOrderProgress(TimeMs now) {
  for (const auto &[id, progress] : Node.progress()) {
    if (progress.Order == 0)
      continue;
    OrderState &state = Orders[id];
    if (state.FirstReportAt == 0)
      state.FirstReportAt = now;
    if (state.ReportedPhase == progress.Phase && state.ReportedStage == progress.Stage)
      continue;
    state.ReportedPhase = progress.Phase;
    state.ReportedStage = progress.Stage;
    recordEvent("rollout", id.str(),
                absl::StrCat("known: ", std::string(nameOf(progress.Phase)), ", stage ",
                             progress.Stage, ", ", now - state.FirstReportAt,
                             " ms after the order"));
  }
}

void ControlTask::readOrderStatus(const RolloutProgress &progress) {
  Orders[progress.ID].StatusCallPending = true;
  const DocumentFormat &format = *Settings.Env.Document;
  spawn(Store.send(StoreRead{format.StatusKey(progress.Service)})
            .then([this, progress](StoreResponse response) {
              receiveOrderStatus(progress, response);
            }),
        "rollout status");
}

void ControlTask::receiveOrderStatus(const RolloutProgress &progress,
                                     const StoreResponse &response) {
  OrderState &state = Orders[progress.ID];
  state.StatusCallPending = false;
  if (response.Result != StoreResult::Ok)
    return;
  state.StatusKnown = true;
  state.StatusRevision = response.Entries.empty() ? 0 : response.Entries.front().Revision;
  if (response.Entries.empty())
    return;
  const std::optional<RolloutProgress> stored =
      Settings.Env.Document->DecodeStatus(response.Entries.front().Value);
  if (!stored.has_value() || !isStatusOf(*stored, progress))
    return;
  const std::vector<RolloutProgress> known = ordersOf(progress.Service);
  const bool isOfOther =
      stored->Order != progress.Order &&
      std::any_of(known.begin(), known.end(), [&](const RolloutProgress &it) {
        return it.ID != progress.ID && it.To == stored->To && it.Order == stored->Order;
      });
  if (isOfOther)
    return;
  if (stored->Order == progress.Order) {
    state.StoredPhase = stored->Phase;
    state.StoredStage = stored->Stage;
  }
  RolloutProgress restored = progress;
  restored.Phase = stored->Phase;
  restored.Stage = stored->Stage;
  restored.Recorded = stored->Phase != RolloutPhase::Running;
  // A controller that takes over continues from the stage that was reached.
  if (state.PriorElapsed == 0 && stored->Stage > progress.Stage)
    state.PriorElapsed = earliestStageStart(stored->Stage, progress.Duration);
  StateChanges changes;
  changes.ProgressChanged = Node.updateProgress(restored);
  if (changes.ProgressChanged)
    propagateChanges(changes);
}

void ControlTask::recordOrderEnd(const RolloutProgress &progress) {
  if (progress.Phase == RolloutPhase::Running)
    return;
  RolloutProgress recorded = progress;
  recorded.Recorded = true;
  StateChanges changes;
  changes.ProgressChanged = Node.updateProgress(recorded);
  if (changes.ProgressChanged)
    propagateChanges(changes);
}

void ControlTask::writeOrderStatus(const RolloutProgress &progress, TimeMs now) {
  OrderState &state = Orders[progress.ID];
  state.StatusCallPending = true;
  state.NextStatusWrite = now + MinStoreBackoff;
  const DocumentFormat &format = *Settings.Env.Document;
  const StoreCompareAndSwap swap{
      format.StatusKey(progress.Service), format.EncodeStatus(progress), state.StatusRevision, {}};
  spawn(Store.send(swap).then([this, progress](StoreResponse response) {
    OrderState &written = Orders[progress.ID];
    written.StatusCallPending = false;
    if (response.Result == StoreResult::Ok) {
      written.StoredPhase = progress.Phase;
      written.StoredStage = progress.Stage;
      recordOrderEnd(progress);
    }
    // The next write needs the new revision as its precondition, so the status is read again.
    written.StatusKnown = false;
  }),
        "rollout status");
}

} // namespace jasmineloom
