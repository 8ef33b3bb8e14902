/// @file control_store.cpp Version floor, configuration head in the store, and operators' changes.
#include "control/control_task.h"

#include "event_util.h"
#include "wire_func.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

namespace jasmineloom {

namespace {

constexpr std::int64_t RootLeaseSeconds = 30;
/// Time for which the store keeps a departure: several times that in which a late heartbeat may
/// arrive.
constexpr std::int64_t DepartureLeaseSeconds = 120;
constexpr DurationMs LeasePeriod = 10 * MsPerSecond;
constexpr DurationMs FloorJitter = 200;
constexpr DurationMs CoverageCheckPeriod = 50;
/// Delay before a node records the era of the store, for each node that may do so before it; other
/// nodes have told by then what they hold.
constexpr DurationMs EraRecordDelay = 1 * MsPerSecond;
/// Multiple of the bootstrap delay over which starting nodes without known peers spread their
/// registrations: those that come later find the earlier ones and need not register.
constexpr unsigned RegistrationSpread = 2;
/// Multiple of the bootstrap delay after which a node uses the store as a root: while it starts and
/// knows few hosts, it takes itself for a root.
constexpr unsigned RootSettlingTime = 3;
/// Multiple of the bootstrap delay after which a node without known peers registers although others
/// are registered: those may have ended without their leases having expired yet.
constexpr unsigned AloneRegistrationTime = 6;

} // namespace

std::string ControlTask::departureKeys() const {
  return absl::StrCat(DeparturePrefix, Settings.Identity.DataCentre.str(), "/",
                      Settings.Identity.Host.str(), "/");
}

kj::Promise<void> ControlTask::readDepartures() {
  return Store.send(StoreList{departureKeys()}).then([this](StoreResponse response) {
    if (response.Result != StoreResult::Ok)
      recordEvent("store", "departures", "not read; only what other nodes know is restored");
    DeparturesRestored restored;
    restored.FromStore = true;
    for (const StoreEntry &entry : response.Entries) {
      const std::optional<UpstreamDeparture> departure = decodeDeparture(entry.Value);
      if (departure.has_value())
        restored.Departures.push_back(*departure);
      else
        recordEvent("store", entry.Key, "refused: not a departure");
    }
    Traffic.put(std::move(restored));
  });
}

kj::Promise<void> ControlTask::storeDeparture(UpstreamDeparted message, TimeMs until,
                                              DurationMs backoff) {
  return Store.send(StoreGrantLease{DepartureLeaseSeconds})
      .then([this, message](StoreResponse granted) -> kj::Promise<bool> {
        if (granted.Lease == 0)
          return false;
        const StorePut put{departureKeys() + message.Departure.ID.str(),
                           encodeDeparture(message.Departure), granted.Lease};
        return Store.send(put).then([era = granted.Era](StoreResponse written) {
          // A lease of an earlier era is gone, and its number may be that of another node's.
          return written.Result == StoreResult::Ok && written.Era == era;
        });
      })
      .then([this, message, until, backoff](bool written) -> kj::Promise<void> {
        if (written) {
          Traffic.put(DepartureRecorded{message.Number});
          return kj::READY_NOW;
        }
        if (steadyClockMs() >= until) {
          recordEvent("store", message.Departure.ID.str(), "departure not recorded");
          return kj::READY_NOW;
        }
        return timer()
            .afterDelay((backoff + randomBelow(backoff)) * kj::MILLISECONDS)
            .then([this, message, until, backoff] {
              return storeDeparture(message, until, 2 * backoff);
            });
      });
}

void ControlTask::handleNewEra() {
  const TimeMs now = steadyClockMs();
  EraSeenAt = now;
  recordEvent("store", "era",
              absl::StrCat("the store has come back from an older copy, era ", Store.era(),
                           "; what it may have lost is read and written again"));
  if (DocumentRead.Listed) {
    DocumentRead.Listed = false;
    spawn(readDocument().ignoreResult(), "document");
  }
  for (auto &[id, state] : Orders) {
    state.StatusKnown = false;
    state.StoredPhase.reset();
    state.StoredStage = 0;
  }
  if (RootLease != 0) {
    RootLease = 0;
    NextLeaseRenewal = now;
  }
  restoreDepartures(now);
}

void ControlTask::restoreDepartures(TimeMs now) {
  std::erase_if(Departures, [now](const auto &it) { return now >= it.second.Until; });
  for (const auto &[id, it] : Departures)
    spawn(storeDeparture(it.Message, it.Until, DepartureRetryDelay), "departure");
}

kj::Promise<void> ControlTask::confirmFloor() {
  auto departed = std::make_shared<DeparturesRestored>();
  auto queryParents = [this, departed] {
    auto promises = kj::heapArrayBuilder<kj::Promise<void>>(Position.Parents.size());
    for (const HostID &parent : Position.Parents) {
      const HostRecord *record = Node.hosts().find(parent);
      const std::string address = record == nullptr ? std::string() : record->RpcAddress;
      auto query =
          Peers.get(address).then([this, departed](std::shared_ptr<PeerConnection> connection) {
            auto request = connection->Peer.floorRequest();
            request.setHost(Settings.Identity.Host.str());
            return request.send().then([this, connection, departed](auto &&response) {
              Node.config().raiseFloor(response.getVersion());
              const auto departure = decodeDeparture(wireText(response.getDeparted()));
              if (departure.has_value())
                departed->Departures.push_back(*departure);
            });
          });
      promises.add(timer()
                       .timeoutAfter(Settings.Times.FloorTimeout * kj::MILLISECONDS, kj::mv(query))
                       .catch_([](kj::Exception &&) {}));
    }
    return kj::joinPromises(promises.finish());
  };
  auto queryStore = [this]() -> kj::Promise<void> {
    if (Settings.Env.Document.has_value())
      return DocumentRead.Listed ? kj::READY_NOW : readDocument().ignoreResult();
    return Store.send(StoreRead{HeadKey}).then([this](StoreResponse response) {
      if (response.Result != StoreResult::Ok || response.Entries.empty())
        return;
      const absl::StatusOr<Head> head = decodeHead(response.Entries.front().Value);
      if (head.ok())
        Node.config().raiseFloor(head->Version);
    });
  };
  return timer()
      .afterDelay((Settings.Times.BootstrapDelay / 2 + randomBelow(FloorJitter)) * kj::MILLISECONDS)
      .then(kj::mv(queryStore))
      .then([this] { return readEraRecord(); })
      .then(kj::mv(queryParents))
      .then([this] { return awaitCoverage(); })
      .then([this, departed] {
        Traffic.put(std::move(*departed));
        FloorConfirmed = true;
        schedulePublish(PublishDelay);
      });
}

kj::Promise<void> ControlTask::readEraRecord() {
  if (Settings.Env.Store.EraHeader.empty())
    return kj::READY_NOW;
  return Store.send(StoreRead{EraKey}).then([this](StoreResponse response) {
    if (response.Result != StoreResult::Ok)
      return;
    std::optional<EraRecord> record;
    if (!response.Entries.empty())
      record = decodeEraRecord(response.Entries.front().Value).value_or(EraRecord{});
    RecordedEra = record.value_or(EraRecord{}).Era;
    if (record.has_value() && record->Era == response.Era)
      Node.config().raiseFloor(record->Version);
    Coverage.recordRecord(record, response.Era);
  });
}

kj::Promise<void> ControlTask::awaitCoverage() {
  if (Coverage.covers(Store.era(), steadyClockMs()))
    return kj::READY_NOW;
  recordEvent("store", "era",
              absl::StrCat("the store has come back from an older copy, era ", Store.era(),
                           "; waiting for a node that knows what was accepted before"));
  return awaitCoverageQuietly();
}

kj::Promise<void> ControlTask::awaitCoverageQuietly() {
  if (Coverage.covers(Store.era(), steadyClockMs()))
    return kj::READY_NOW;
  return timer().afterDelay(CoverageCheckPeriod * kj::MILLISECONDS).then([this] {
    return awaitCoverageQuietly();
  });
}

void ControlTask::recordEra(TimeMs now) {
  const std::uint64_t era = Store.era();
  const bool isRecorded = era == 0 || RecordedEra == era;
  if (isRecorded || EraCallPending || !FloorConfirmed || Node.config().heldVersion() == 0 ||
      !usesStore(now) || Coverage.latest() < era)
    return;
  if (now < std::max(EraSeenAt, StartTime) + EraRecordDelay * (1 + proofRank(now)))
    return;
  EraCallPending = true;
  spawn(writeEraRecord({era, Node.config().heldVersion()}), "era");
}

kj::Promise<void> ControlTask::writeEraRecord(const EraRecord &record) {
  return Store.send(StoreRead{EraKey})
      .then([this, record](StoreResponse response) -> kj::Promise<void> {
        if (response.Result != StoreResult::Ok || response.Era != record.Era)
          return kj::READY_NOW;
        const StoreEntry entry = response.Entries.empty() ? StoreEntry{} : response.Entries.front();
        const std::optional<EraRecord> known = decodeEraRecord(entry.Value);
        if (known.has_value() && known->Era == record.Era) {
          RecordedEra = record.Era;
          return kj::READY_NOW;
        }
        return Store.send(StoreCompareAndSwap{EraKey, encodeEraRecord(record), entry.Revision, {}})
            .then([this, record](StoreResponse written) {
              if (written.Result == StoreResult::Ok && written.Era == record.Era)
                RecordedEra = record.Era;
            });
      })
      .then([this] {
        EraCallPending = false;
        EraSeenAt = steadyClockMs();
      });
}

kj::Promise<void> ControlTask::storeLoop() {
  const TimeMs now = steadyClockMs();
  recordEra(now);
  if (Store.calls() > 0 && Store.reachable() != StoreWasReachable) {
    StoreWasReachable = Store.reachable();
    recordEvent("store", "store",
                StoreWasReachable ? "answers"
                                  : "does not answer; the accepted configuration stays in force");
  }
  if (now >= NextDiscovery) {
    const bool alone = Node.hosts().size() == 1;
    NextDiscovery = now + (alone ? Settings.Times.BootstrapDelay : Settings.Times.DiscoveryPeriod) +
                    randomBelow(Settings.Times.BootstrapDelay);
    if (usesStore(now) || allLinksSilent(now))
      spawn(discoverRoots(), "discovery");
  }
  // A node without known peers waits for BootstrapDelay before it acts as a root.
  const bool bootstrapped =
      Node.hosts().size() > 1 || now >= StartTime + Settings.Times.BootstrapDelay;
  const bool aloneForLong =
      now >= StartTime + AloneRegistrationTime * Settings.Times.BootstrapDelay;
  const bool mayRegister =
      Node.hosts().size() > 1 ? isSettled(now) : aloneForLong || !Settings.Seeds.empty();
  // A short stand-in is not worth the writes of a registration.
  const bool isLasting = !StandInSince.has_value() || now >= *StandInSince + LeasePeriod;
  if (usesStore(now) && isLasting && bootstrapped && mayRegister && !Draining &&
      !LeaseCallPending && now >= NextLeaseRenewal) {
    LeaseCallPending = true;
    spawn(registerRoot(), "lease");
  }
  if (!Position.Root || !bootstrapped || Settings.Env.Document.has_value())
    return kj::READY_NOW;
  if (!WatchOpen) {
    WatchOpen = true;
    Store.startWatch(HeadKey);
    NextHeadPoll = now;
  }
  if (now < NextHeadPoll)
    return kj::READY_NOW;
  NextHeadPoll =
      now + Settings.Times.HeadPollPeriod + randomBelow(Settings.Times.HeadPollPeriod / 4);
  return readHead();
}

bool ControlTask::isSettled(TimeMs now) const {
  return now >= StartTime + RootSettlingTime * Settings.Times.BootstrapDelay;
}

std::vector<RootContact> ControlTask::rootsBefore(TimeMs now) const {
  std::vector<RootContact> before;
  if (!Position.Root)
    return before;
  for (const HostID &root : Position.Parents)
    before.push_back({isLinkAlive(root, now), Statements.isAnswered(root, now)});
  return before;
}

std::size_t ControlTask::answeredRootsBefore(TimeMs now) const {
  const std::vector<RootContact> before = rootsBefore(now);
  return static_cast<std::size_t>(
      std::count(before.begin(), before.end(), RootContact{true, true}));
}

void ControlTask::checkStandIn(TimeMs now) {
  const bool stands = storeDuty(now) == StoreDuty::StandIn;
  if (stands == StandInSince.has_value())
    return;
  StandInSince = stands ? std::optional(now) : std::nullopt;
  recordEvent("store", "duty",
              stands ? "taken over from roots that the store does not answer"
                     : "left to the roots that rank before this one");
}

void ControlTask::checkStoreSilence(TimeMs now) {
  const DurationMs silence = readsDocument(now) ? Contact.silence(now) : 0;
  const bool silent = silence > Settings.Times.StoreSilenceLimit;
  if (silent == StoreSilent)
    return;
  StoreSilent = silent;
  recordEvent("store", "contact",
              silent ? absl::StrCat("no answer has come for ", silence, " ms; other roots are told")
                     : "the store answers, or is left to other roots; other roots are told");
  releaseHeldExchanges();
  sendPendingUpdates();
}

kj::Promise<void> ControlTask::registerIfAlone() {
  const auto mayRegister = [this] {
    return Node.hosts().size() == 1 && !LeaseCallPending && !Draining;
  };
  return timer()
      .afterDelay(randomBelow(RegistrationSpread * Settings.Times.BootstrapDelay) *
                  kj::MILLISECONDS)
      .then([this, mayRegister] {
        return mayRegister() ? discoverRoots() : kj::Promise<void>(kj::READY_NOW);
      })
      .then([this, mayRegister]() -> kj::Promise<void> {
        const bool missing = RegisteredRoots.has_value() && *RegisteredRoots < StoreRoots;
        if (!mayRegister() || !missing)
          return kj::READY_NOW;
        LeaseCallPending = true;
        return registerRoot();
      });
}

kj::Promise<void> ControlTask::registerRoot() {
  const auto grant = [this] {
    return Store.send(StoreGrantLease{RootLeaseSeconds}).then([this](StoreResponse granted) {
      RootLease = granted.Lease;
      if (RootLease == 0)
        return kj::Promise<void>(kj::READY_NOW);
      const std::string key = absl::StrCat(RootPrefix, Settings.Identity.DataCentre.str(), "/",
                                           Settings.Identity.Host.str());
      return Store.send(StorePut{key, Settings.Identity.RpcAddress, RootLease})
          .then([this](StoreResponse put) {
            if (put.Result != StoreResult::Ok)
              RootLease = 0;
          });
    });
  };
  kj::Promise<void> renewed = kj::READY_NOW;
  if (RootLease == 0)
    renewed = grant();
  else
    renewed = Store.send(StoreKeepAlive{RootLease}).then([this](StoreResponse response) {
      if (response.Result == StoreResult::Ok && response.Lease == 0)
        RootLease = 0;
    });
  return renewed.then([this] {
    LeaseCallPending = false;
    const TimeMs now = steadyClockMs();
    // A missing registration is retried soon, because other nodes discover the mesh by it.
    NextLeaseRenewal =
        now + (RootLease == 0 ? MsPerSecond / 2 : LeasePeriod) + randomBelow(LeasePeriod / 4);
  });
}

kj::Promise<void> ControlTask::discoverRoots() {
  // After a restart of many nodes a stale list names those that were registered before. Only a node
  // that finds none of them alive needs the current one.
  const bool allowStale = Node.hosts().size() > 1 || !RegisteredRoots.has_value();
  return listRoots(std::string(), allowStale, std::make_shared<RootList>());
}

kj::Promise<void> ControlTask::listRoots(const std::string &after, bool allowStale,
                                         std::shared_ptr<RootList> found) {
  return Store.send(StoreList{RootPrefix, after, allowStale})
      .then([this, allowStale, found](StoreResponse response) -> kj::Promise<void> {
        if (response.Result != StoreResult::Ok)
          return kj::READY_NOW;
        const std::string own = absl::StrCat(RootPrefix, Settings.Identity.DataCentre.str(), "/");
        for (const StoreEntry &entry : response.Entries) {
          // Another writer may leave any bytes under a key. They name no host to introduce to, and
          // do not count as a registered root.
          if (!isSocketAddress(entry.Value))
            continue;
          found->Addresses.insert(entry.Value);
          found->InOwnDataCentre += absl::StartsWith(entry.Key, own) ? 1 : 0;
        }
        if (response.HasMore && !response.Entries.empty())
          return listRoots(response.Entries.back().Key, allowStale, found);
        DiscoveredSeeds = found->Addresses;
        RegisteredRoots = found->InOwnDataCentre;
        NextSeeds = std::min(NextSeeds, steadyClockMs());
        return kj::READY_NOW;
      });
}

kj::Promise<void> ControlTask::readHead() {
  if (HeadReadActive) {
    HeadReadQueued = true;
    return kj::READY_NOW;
  }
  HeadReadActive = true;
  HeadReadQueued = false;
  return Store.send(StoreRead{HeadKey})
      .then(
          [this, held = Node.config().heldVersion()](StoreResponse response) -> kj::Promise<void> {
            if (response.Result != StoreResult::Ok)
              return kj::READY_NOW;
            if (response.Entries.empty()) {
              restoreHead(0, held);
              return kj::READY_NOW;
            }
            absl::StatusOr<Head> head = decodeHead(response.Entries.front().Value);
            if (!head.ok()) {
              recordEvent("config", "head", std::string(head.status().message()));
              return kj::READY_NOW;
            }
            restoreHead(head->Version, held);
            if (head->Version <= Node.config().heldVersion())
              return kj::READY_NOW;
            return readSections(*std::move(head));
          })
      .then([this]() -> kj::Promise<void> {
        HeadReadActive = false;
        return HeadReadQueued ? readHead() : kj::Promise<void>(kj::READY_NOW);
      });
}

void ControlTask::restoreHead(ConfigVersion stored, ConfigVersion heldBefore) {
  const TimeMs now = steadyClockMs();
  // A node that is cut off, or lacks a version that others hold, may hold one that was replaced.
  const bool isCutOff = Node.hosts().size() > 1 && allLinksSilent(now);
  const bool isNewest = Node.config().heldVersion() >= Node.config().knownVersion();
  if (stored >= heldBefore || RestoringHead || !FloorConfirmed || !isNewest || isCutOff)
    return;
  RestoringHead = true;
  recordEvent("store", absl::StrCat("version ", heldBefore),
              absl::StrCat("the store has come back from an older copy, with version ", stored,
                           "; the lost one is written again"));
  spawn(
      runChange(restoreRequest(Node.config().held()), nullptr).then([this](const ChangeOutcome &) {
        RestoringHead = false;
      }),
      "restore");
}

kj::Promise<void> ControlTask::readSections(Head head) {
  const SnapshotPtr held = Node.config().held();
  auto read = std::make_shared<std::vector<ConfigObjectPtr>>();
  const std::vector<SectionRef> missing = missingSections(head.Sections, held.get());
  auto promises = kj::heapArrayBuilder<kj::Promise<void>>(missing.size());
  for (const SectionRef &section : missing) {
    promises.add(
        Store.send(StoreRead{SectionPrefix + section.Hash}).then([read](StoreResponse response) {
          if (response.Result != StoreResult::Ok || response.Entries.empty())
            return;
          auto objects = decodeSection(response.Entries.front().Value);
          if (objects.ok())
            read->insert(read->end(), objects->begin(), objects->end());
        }));
  }
  return kj::joinPromises(promises.finish()).then([this, held, read, head = kj::mv(head)] {
    const absl::StatusOr<SnapshotPtr> snapshot = assembleSnapshot(head, held.get(), *read);
    if (!snapshot.ok()) {
      recordEvent("config", absl::StrCat("version ", head.Version),
                  std::string(snapshot.status().message()));
      return;
    }
    const SnapshotPtr current = Node.config().held();
    const OfferResult result = Node.applyConfig(diffSnapshots(current.get(), **snapshot));
    StateChanges stateChanges;
    stateChanges.ConfigApplied = result == OfferResult::Applied;
    stateChanges.ConfigRejected = result == OfferResult::Refused;
    propagateChanges(stateChanges);
  });
}

kj::Promise<void> ControlTask::advanceChange(std::shared_ptr<ChangeCommand> command,
                                             ChangeStep step,
                                             std::shared_ptr<ChangeOutcome> outcome) {
  if (auto *done = std::get_if<ChangeOutcome>(&step); done != nullptr) {
    *outcome = std::move(*done);
    return kj::READY_NOW;
  }
  const auto &request = std::get<StoreRequest>(step);
  return Store.send(request).then([this, command, outcome](StoreResponse response) {
    return advanceChange(command, command->onResponse(response), outcome);
  });
}

kj::Promise<ChangeOutcome> ControlTask::runChange(ChangeRequest request,
                                                  std::vector<std::string> *changes) {
  const std::string operation = request.Operation.str();
  const std::string summary = request.Summary;
  const bool dryRun = request.DryRun;
  auto command =
      std::make_shared<ChangeCommand>(std::move(request), Node.config().held(), wallClockMs());
  auto outcome = std::make_shared<ChangeOutcome>();
  return advanceChange(command, command->start(), outcome)
      .then([this, command, outcome, changes, operation, summary, dryRun] {
        if (changes != nullptr)
          *changes = command->changes();
        if (dryRun)
          return *outcome;
        recordEvent("change", absl::StrCat("version ", outcome->Version),
                    absl::StrCat(summary, " (", operation, "): ", outcome->Message));
        if (outcome->Status == ChangeStatus::Accepted && outcome->Snapshot) {
          StateChanges stateChanges;
          const SnapshotPtr held = Node.config().held();
          stateChanges.ConfigApplied =
              Node.applyConfig(diffSnapshots(held.get(), *outcome->Snapshot)) ==
              OfferResult::Applied;
          propagateChanges(stateChanges);
        }
        return *outcome;
      });
}

} // namespace jasmineloom
