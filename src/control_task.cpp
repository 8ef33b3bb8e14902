/// @file control_task.cpp The thread of all decisions on configuration, membership and rollouts.
#include "control_task.h"

#include "event_util.h"
#include "link_task.h"
#include "log.h"
#include "operator_service.h"
#include "peer_service.h"
#include "wire_func.h"

#include <absl/strings/str_cat.h>
#include <unistd.h>

#include <algorithm>

namespace jasmineloom {

namespace {

constexpr DurationMs TickPeriod = 250;
constexpr DurationMs StewardPeriod = 250;
constexpr DurationMs PublishDelay = 5;
/// Changes of hosts alone are published together: gates and ejections cover the time between.
constexpr DurationMs TablePublishDelay = 100;
constexpr DurationMs LinkRetryTime = 2 * MsPerSecond;
constexpr DurationMs SeedPeriod = 5 * MsPerSecond;
constexpr DurationMs PollPeriod = 10 * MsPerSecond;
constexpr DurationMs AuditPeriod = 1 * MsPerSecond;
constexpr DurationMs AuditTimeout = 2 * MsPerSecond;
constexpr std::uint32_t AuditFailuresToBury = 3;
constexpr DurationMs WatchRetryTime = 1 * MsPerSecond;
constexpr std::int64_t RootLeaseSeconds = 30;
constexpr DurationMs LeasePeriod = 10 * MsPerSecond;
/// Time after which a starting node serves without an answer on its floor.
constexpr DurationMs FloorTimeout = 3 * MsPerSecond;
constexpr DurationMs FloorJitter = 200;
/// Time after which a node that has found no other is taken for the first of its data centre.
constexpr DurationMs AloneTime = 1500;
constexpr DurationMs DrainAnnounceTime = 100;
constexpr DurationMs EvidenceTimeout = 1 * MsPerSecond;
constexpr DurationMs EvidenceLinkTime = 3 * MsPerSecond;

} // namespace

class ControlTask::ErrorHandler final : public kj::TaskSet::ErrorHandler {
public:
  void taskFailed(kj::Exception &&exception) override {
    LOG4CXX_WARN(loggerOf("main"), "a task failed: " << exception.getDescription().cStr());
  }
};

ControlTask::ControlTask(ControlSettings settings, TrafficMailbox &traffic, ControlMailbox &inbox)
    : Settings(std::move(settings)), Traffic(traffic), Inbox(inbox), Io(kj::setupAsyncIo()),
      Node(Settings.Identity, wallClockMs()), Store(traffic),
      Peers(Io, Settings.Secret, Settings.Identity.Host, Bytes), Random(Settings.Seed),
      Started(wallClockMs()), Errors(kj::heap<ErrorHandler>()),
      Tasks(kj::heap<kj::TaskSet>(*Errors)) {
  KJ_SYSCALL(pipe(WakePipe));
  WakeStream =
      Io.lowLevelProvider->wrapInputFd(WakePipe[0], kj::LowLevelAsyncIoProvider::TAKE_OWNERSHIP);
  Inbox.setWake([fd = WakePipe[1]] {
    const char byte = 1;
    static_cast<void>(write(fd, &byte, 1) == 1);
  });
}

ControlTask::~ControlTask() {
  Inbox.setWake({});
  Waiters.clear();
  Links.clear();
  Tasks = nullptr;
  close(WakePipe[1]);
}

int ControlTask::run() {
  kj::Own<kj::ConnectionReceiver> receiver;
  const auto failed = kj::runCatchingExceptions([&] {
    receiver =
        Io.provider->getNetwork().parseAddress(Settings.RpcAddress).wait(Io.waitScope)->listen();
  });
  KJ_IF_MAYBE (exception, failed) {
    LOG4CXX_ERROR(loggerOf("main"), "can't listen at " << Settings.RpcAddress << ": "
                                                       << exception->getDescription().cStr());
    return 1;
  }
  auto stop = kj::newPromiseAndFulfiller<void>();
  StopFulfiller = kj::mv(stop.fulfiller);
  spawn(wakeLoop(), "mailbox");
  spawn(acceptLoop(kj::mv(receiver)), "listener");
  spawn(tickLoop(), "ticks");
  spawn(stewardLoop(), "steward");
  spawn(confirmFloor(), "floor");
  spawn(leaseLoop(), "lease");
  handleAll();
  note("host", Settings.Identity.Host.str(), "started");
  stop.promise.wait(Io.waitScope);
  return 0;
}

void ControlTask::spawn(kj::Promise<void> promise, const char *what) {
  Tasks->add(promise.catch_([what](kj::Exception &&exception) {
    LOG4CXX_DEBUG(loggerOf("main"), what << " ended: " << exception.getDescription().cStr());
  }));
}

kj::Promise<void> ControlTask::wakeLoop() {
  return WakeStream->read(WakeBuffer, 1, sizeof(WakeBuffer)).then([this](size_t) {
    handleAll();
    return wakeLoop();
  });
}

kj::Promise<void> ControlTask::acceptLoop(kj::Own<kj::ConnectionReceiver> receiver) {
  auto accepting = receiver->accept();
  return accepting.then(
      [this, receiver = kj::mv(receiver)](kj::Own<kj::AsyncIoStream> stream) mutable {
        setNoDelay(*stream);
        auto counted = kj::heap<CountingStream>(kj::mv(stream), Bytes);
        auto network =
            kj::heap<capnp::TwoPartyVatNetwork>(*counted, capnp::rpc::twoparty::Side::SERVER);
        wire::Door::Client door = kj::heap<DoorService>(*this, *counted);
        auto rpc = kj::heap(capnp::makeRpcServer(*network, kj::mv(door)));
        auto closed = network->onDisconnect();
        spawn(closed.attach(kj::mv(rpc), kj::mv(network), kj::mv(counted)), "connection");
        return acceptLoop(kj::mv(receiver));
      });
}

void ControlTask::note(const std::string &kind, const std::string &subject,
                       const std::string &text) {
  Events.add(
      {wallClockUs(), Settings.Identity.Host, kind, subject, Node.config().heldVersion(), text});
  LOG4CXX_INFO(loggerOf(kind.c_str()), subject << ": " << text);
}

// --- Messages from the traffic task ---

void ControlTask::handleAll() {
  for (ControlEvent &event : Inbox.takeAll())
    std::visit([this](auto &message) { handle(message); }, event);
}

void ControlTask::handle(const UpstreamAnnounced &message) {
  const bool draining = message.Draining || Draining;
  Node.announce(draining ? HostState::Draining : HostState::Ready, message.Upstream.Service,
                message.Upstream.Version, message.Upstream.Slots, wallClockMs());
  note("host", Settings.Identity.Host.str(),
       absl::StrCat(draining ? "draining " : "serves ", message.Upstream.Service.str(), " ",
                    message.Upstream.Version.str()));
  ExchangeEffect effect;
  effect.TableChanged = true;
  changed(effect);
}

void ControlTask::handle(EvidenceTick &message) { sendEvidence(message.Reports); }

void ControlTask::handle(const StoreReply &message) { Store.take(message); }

void ControlTask::handle(const StoreWatchEvent &message) {
  if (!message.Ended) {
    spawn(readHead(), "head");
    return;
  }
  spawn(timer().afterDelay((WatchRetryTime + draw(WatchRetryTime)) * kj::MILLISECONDS).then([this] {
    WatchOpen = false;
  }),
        "watch");
}

void ControlTask::handle(const DrainRequested &message) { drain(message.Cause); }

void ControlTask::handle(const Drained &message) {
  note("host", Settings.Identity.Host.str(),
       message.KeysHandedOver ? "drained, keys handed over" : "drained, keys not handed over");
  Node.leave(message.KeysHandedOver, wallClockMs());
  ExchangeEffect effect;
  effect.TableChanged = true;
  changed(effect);
  spawn(timer().afterDelay(DrainAnnounceTime * kj::MILLISECONDS).then([this] {
    StopFulfiller->fulfill();
  }),
        "stop");
}

void ControlTask::handle(const TrafficNote &message) {
  note(message.Kind, message.Subject, message.Text);
}

void ControlTask::drain(const std::string &cause) {
  if (Draining)
    return;
  Draining = true;
  note("host", Settings.Identity.Host.str(), "draining, asked by " + cause);
  const HostRecord &self = Node.self();
  Node.announce(HostState::Draining, self.Service, self.Version, self.Slots, wallClockMs());
  ExchangeEffect effect;
  effect.TableChanged = true;
  changed(effect);
  Traffic.put(BeginDrain{});
}

// --- What follows a change ---

void ControlTask::changed(const ExchangeEffect &effect) {
  if (effect.ConfigApplied)
    note("apply", absl::StrCat("version ", Node.config().heldVersion()), "in force");
  if (effect.ConfigRefused)
    note("config", "refused", Node.config().lastError());
  if (effect.ConfigApplied || effect.ProgressChanged)
    schedulePublish(PublishDelay);
  else if (effect.TableChanged)
    schedulePublish(TablePublishDelay);
  if (effect.TableChanged)
    schedulePlaceCheck();
  wakeWaiters();
  pokeLinks();
}

bool ControlTask::mayServe() const {
  const ConfigHolder &config = Node.config();
  return FloorConfirmed && config.heldVersion() > 0 &&
         config.heldVersion() >= config.floorVersion();
}

void ControlTask::schedulePublish(DurationMs delay) {
  const TimeMs due = wallClockMs() + delay;
  if (PublishDue != 0 && PublishDue <= due)
    return;
  PublishDue = due;
  spawn(timer().afterDelay(delay * kj::MILLISECONDS).then([this, due] {
    if (PublishDue != due)
      return;
    PublishDue = 0;
    publishView();
  }),
        "publish");
}

void ControlTask::publishView() {
  if (!mayServe())
    return;
  std::vector<HostRecord> hosts;
  Node.hosts().each([&hosts](const HostRecord &record, TimeMs) { hosts.push_back(record); });
  Traffic.put(PublishView{buildRoutingView(*Node.config().held(), hosts, Node.progress(),
                                           Settings.Identity.DataCentre)});
}

kj::Promise<void> ControlTask::whenNews(const HostID &peer, DurationMs hold) {
  if (hold == 0 || Node.hasNewsFor(peer, false, wallClockMs()))
    return kj::READY_NOW;
  auto pair = kj::newPromiseAndFulfiller<void>();
  Waiters.push_back({peer, kj::mv(pair.fulfiller)});
  return pair.promise.exclusiveJoin(timer().afterDelay(hold * kj::MILLISECONDS));
}

void ControlTask::wakeWaiters() {
  const TimeMs now = wallClockMs();
  std::vector<Waiter> kept;
  for (Waiter &waiter : Waiters) {
    if (!waiter.Fulfiller->isWaiting())
      continue;
    if (!Node.hasNewsFor(waiter.Peer, false, now)) {
      kept.push_back(kj::mv(waiter));
      continue;
    }
    const DurationMs wait = Node.onlyRecordsFor(waiter.Peer, false, now) ? RecordMergeTime : 0;
    if (wait == 0) {
      waiter.Fulfiller->fulfill();
      continue;
    }
    spawn(timer()
              .afterDelay(wait * kj::MILLISECONDS)
              .then([fulfiller = kj::mv(waiter.Fulfiller)]() mutable { fulfiller->fulfill(); }),
          "news");
  }
  Waiters = kj::mv(kept);
}

void ControlTask::pokeLinks() {
  for (const auto &[peer, link] : Links)
    link->poke();
}

// --- Place in the tree and links ---

void ControlTask::placeCheck() {
  if (PlaceCursor != Node.hosts().cursor()) {
    PlaceCursor = Node.hosts().cursor();
    const TreePlace next = Node.place();
    if (next.Root != Place.Root)
      note("link", "place", next.Root ? "root of the data centre" : "below a parent");
    Place = next;
    findRemoteRoots();
  }
  wantLinks();
}

void ControlTask::findRemoteRoots() {
  RemoteRoots.clear();
  if (!Place.Root)
    return;
  Node.hosts().each([this](const HostRecord &record, TimeMs) {
    if (record.State != HostState::Gone && record.DataCentre < Settings.Identity.DataCentre)
      RemoteRoots[record.DataCentre].push_back(record.Host);
  });
  for (auto &[dataCentre, members] : RemoteRoots)
    members = rootsOf(std::move(members));
}

void ControlTask::schedulePlaceCheck() {
  if (PlacePending)
    return;
  PlacePending = true;
  // A link's own callback may bring us here, and the check may take that link away.
  spawn(kj::evalLater([this] {
          PlacePending = false;
          placeCheck();
        }),
        "place");
}

bool ControlTask::failedRecently(const HostID &peer) const {
  const auto it = LinkFailures.find(peer);
  return it != LinkFailures.end() && wallClockMs() < it->second + LinkRetryTime;
}

void ControlTask::ensureLink(const HostID &peer, bool joining, std::set<HostID> &wanted) {
  wanted.insert(peer);
  const HostRecord *record = Node.hosts().find(peer);
  if (record == nullptr || failedRecently(peer))
    return;
  const auto it = Links.find(peer);
  const bool same = it != Links.end() && it->second->joining() == joining &&
                    it->second->address() == record->RpcAddress;
  if (!same)
    Links[peer] = std::make_unique<LinkTask>(*this, peer, record->RpcAddress, joining);
}

void ControlTask::wantLinks() {
  std::set<HostID> wanted;
  if (!Place.Root) {
    // Stays with a parent that works; else takes the first choice that hasn't just failed.
    HostID parent;
    for (const HostID &choice : Place.Parents) {
      if (parent.empty() && !failedRecently(choice))
        parent = choice;
    }
    for (const HostID &choice : Place.Parents) {
      const auto it = Links.find(choice);
      if (it != Links.end() && it->second->joining() && !failedRecently(choice))
        parent = choice;
    }
    if (!parent.empty())
      ensureLink(parent, true, wanted);
  }
  if (Place.Root) {
    for (const HostID &other : Place.Parents)
      ensureLink(other, other == Place.Parents.front(), wanted);
    for (const auto &[dataCentre, remote] : RemoteRoots) {
      std::vector<HostID> roots = remote;
      std::erase_if(roots, [this](const HostID &it) { return failedRecently(it); });
      const HostID peer = remoteRootFor(roots, Settings.Identity.Host);
      if (!peer.empty())
        ensureLink(peer, false, wanted);
    }
  }
  for (auto it = Links.begin(); it != Links.end();) {
    if (wanted.contains(it->first)) {
      ++it;
      continue;
    }
    const HostID peer = it->first;
    spawn(it->second->leave(), "leave");
    it = Links.erase(it);
    if (const Link *link = Node.link(peer); link != nullptr && !link->Child)
      Node.dropLink(peer);
  }
}

void ControlTask::linkFailed(const HostID &peer) {
  LinkFailures[peer] = wallClockMs();
  const auto it = Links.find(peer);
  if (it != Links.end())
    Peers.drop(it->second->address());
  // Runs from the link's own promise: the link is taken away a turn later.
  spawn(kj::evalLater([this, peer] {
          const auto failed = Links.find(peer);
          if (failed != Links.end() && failedRecently(peer))
            Links.erase(failed);
          wantLinks();
        }),
        "link");
}

void ControlTask::trySeeds() {
  const TimeMs now = wallClockMs();
  if (now < NextSeeds)
    return;
  NextSeeds = now + SeedPeriod + draw(SeedPeriod / 2);
  const bool alone = Node.hosts().size() == 1;
  if (alone)
    NextSeeds = now + 300 + draw(300);
  else if (!Place.Root)
    return;
  std::set<std::string> known;
  Node.hosts().each([&known](const HostRecord &record, TimeMs) {
    if (record.State != HostState::Gone)
      known.insert(record.RpcAddress);
  });
  for (const std::string &seed : Settings.Seeds) {
    if (known.contains(seed) || seed == Settings.RpcAddress)
      continue;
    auto asked = Peers.get(seed).then([this](std::shared_ptr<PeerConnection> connection) {
      auto request = connection->Peer.exchangeRequest();
      const HostID none;
      ExchangeMessage hello = Node.buildMessage(none, false, wallClockMs());
      hello.SeenCursor = 0;
      writeExchange(request.initMessage(), hello);
      return request.send().then([this, connection](auto &&response) {
        ExchangeMessage message = readExchange(response.getMessage());
        Node.dropLink(HostID());
        changed(Node.takeMessage(message, wallClockMs()));
      });
    });
    spawn(kj::mv(asked), "seed");
  }
}

kj::Promise<void> ControlTask::auditOne() {
  std::vector<HostRecord> others;
  Node.hosts().each([&](const HostRecord &record, TimeMs) {
    const bool candidate = record.State != HostState::Gone &&
                           record.DataCentre == Settings.Identity.DataCentre &&
                           record.Host != Settings.Identity.Host;
    const Link *link = Node.link(record.Host);
    if (candidate && (link == nullptr || !link->Child))
      others.push_back(record);
  });
  if (others.empty())
    return kj::READY_NOW;
  // Goes on with hosts that have failed before it looks at others.
  HostRecord chosen = others[draw(others.size())];
  for (const HostRecord &record : others) {
    if (AuditFailures.contains(record.Host))
      chosen = record;
  }
  auto asked = Peers.get(chosen.RpcAddress).then([](std::shared_ptr<PeerConnection> connection) {
    return connection->Peer.pingRequest().send().then([connection](auto &&) {});
  });
  return timer()
      .timeoutAfter(AuditTimeout * kj::MILLISECONDS, kj::mv(asked))
      .then([this, host = chosen.Host] { AuditFailures.erase(host); })
      .catch_([this, chosen](kj::Exception &&) {
        if (++AuditFailures[chosen.Host] < AuditFailuresToBury)
          return;
        AuditFailures.erase(chosen.Host);
        ExchangeEffect effect;
        effect.TableChanged = Node.bury(chosen.Host, wallClockMs());
        if (effect.TableChanged)
          note("host", chosen.Host.str(), "does not answer, taken for gone");
        changed(effect);
      });
}

kj::Promise<void> ControlTask::tickLoop() {
  const TimeMs now = wallClockMs();
  ExchangeEffect effect;
  effect.TableChanged = Node.tick(now);
  changed(effect);
  trySeeds();
  placeCheck();
  if (Place.Root && now >= Started + AloneTime && now >= NextAudit) {
    NextAudit = now + AuditPeriod;
    spawn(auditOne(), "audit");
  }
  spawn(storeLoop(), "store");
  ControlFigures figures;
  figures.HeldVersion = Node.config().heldVersion();
  figures.KnownVersion = Node.config().knownVersion();
  figures.BytesIn = Bytes.In;
  figures.BytesOut = Bytes.Out;
  figures.StoreCalls = Store.calls();
  figures.Children = Node.childCount();
  figures.Root = Place.Root;
  figures.StoreReachable = Store.reachable();
  Traffic.put(figures);
  return timer().afterDelay(TickPeriod * kj::MILLISECONDS).then([this] { return tickLoop(); });
}

// --- The floor and the store ---

kj::Promise<void> ControlTask::confirmFloor() {
  auto askParents = [this] {
    auto promises = kj::heapArrayBuilder<kj::Promise<void>>(Place.Parents.size());
    for (const HostID &parent : Place.Parents) {
      const HostRecord *record = Node.hosts().find(parent);
      const std::string address = record == nullptr ? std::string() : record->RpcAddress;
      auto asked = Peers.get(address).then([this](std::shared_ptr<PeerConnection> connection) {
        auto request = connection->Peer.floorRequest();
        request.setHost(Settings.Identity.Host.str());
        return request.send().then([this, connection](auto &&response) {
          Node.config().raiseFloor(response.getVersion());
        });
      });
      promises.add(timer()
                       .timeoutAfter(FloorTimeout * kj::MILLISECONDS, kj::mv(asked))
                       .catch_([](kj::Exception &&) {}));
    }
    return kj::joinPromises(promises.finish());
  };
  auto askStore = [this] {
    return Store.send(StoreRead{HeadKey}).then([this](StoreAnswer answer) {
      if (answer.Result != StoreResult::Ok || answer.Entries.empty())
        return;
      const absl::StatusOr<Head> head = decodeHead(answer.Entries.front().Value);
      if (head.ok())
        Node.config().raiseFloor(head->Version);
    });
  };
  return timer()
      .afterDelay((AloneTime / 2 + draw(FloorJitter)) * kj::MILLISECONDS)
      .then(kj::mv(askStore))
      .then(kj::mv(askParents))
      .then([this] {
        FloorConfirmed = true;
        schedulePublish(PublishDelay);
      });
}

kj::Promise<void> ControlTask::storeLoop() {
  const TimeMs now = wallClockMs();
  if (Store.calls() > 0 && Store.reachable() != StoreWasReachable) {
    StoreWasReachable = Store.reachable();
    note("store", "store",
         StoreWasReachable ? "answers" : "does not answer; what was accepted stays in force");
  }
  // A node that knows no other waits a little before it takes itself for a root.
  const bool settled = Node.hosts().size() > 1 || now >= Started + AloneTime;
  if (!Place.Root || !settled)
    return kj::READY_NOW;
  if (!WatchOpen) {
    WatchOpen = true;
    Store.watch(HeadKey);
    NextPoll = now;
  }
  if (now < NextPoll)
    return kj::READY_NOW;
  NextPoll = now + PollPeriod + draw(PollPeriod / 4);
  return readHead();
}

kj::Promise<void> ControlTask::leaseLoop() {
  kj::Promise<void> renewed = kj::READY_NOW;
  if (Place.Root && !Draining) {
    const auto grant = [this] {
      return Store.send(StoreGrantLease{RootLeaseSeconds}).then([this](StoreAnswer granted) {
        RootLease = granted.Lease;
        if (RootLease == 0)
          return kj::Promise<void>(kj::READY_NOW);
        const std::string key = absl::StrCat(RootPrefix, Settings.Identity.DataCentre.str(), "/",
                                             Settings.Identity.Host.str());
        return Store.send(StorePut{key, Settings.RpcAddress, RootLease}).ignoreResult();
      });
    };
    if (RootLease == 0) {
      renewed = grant();
    } else {
      renewed = Store.send(StoreKeepAlive{RootLease}).then([this](StoreAnswer answer) {
        if (answer.Result == StoreResult::Ok && answer.Lease == 0)
          RootLease = 0;
      });
    }
  }
  return renewed.then([this] {
    return timer()
        .afterDelay((LeasePeriod + draw(LeasePeriod / 4)) * kj::MILLISECONDS)
        .then([this] { return leaseLoop(); });
  });
}

kj::Promise<void> ControlTask::readHead() {
  if (Reading) {
    ReadAgain = true;
    return kj::READY_NOW;
  }
  Reading = true;
  ReadAgain = false;
  return Store.send(StoreRead{HeadKey})
      .then([this](StoreAnswer answer) -> kj::Promise<void> {
        if (answer.Result != StoreResult::Ok || answer.Entries.empty())
          return kj::READY_NOW;
        absl::StatusOr<Head> head = decodeHead(answer.Entries.front().Value);
        if (!head.ok()) {
          note("config", "head", std::string(head.status().message()));
          return kj::READY_NOW;
        }
        if (head->Version <= Node.config().heldVersion())
          return kj::READY_NOW;
        return readSections(*std::move(head));
      })
      .then([this]() -> kj::Promise<void> {
        Reading = false;
        return ReadAgain ? readHead() : kj::Promise<void>(kj::READY_NOW);
      });
}

kj::Promise<void> ControlTask::readSections(Head head) {
  const SnapshotPtr held = Node.config().held();
  auto read = std::make_shared<std::vector<ConfigObjectPtr>>();
  const std::vector<SectionRef> missing = missingSections(head.Sections, held.get());
  auto promises = kj::heapArrayBuilder<kj::Promise<void>>(missing.size());
  for (const SectionRef &section : missing) {
    promises.add(
        Store.send(StoreRead{SectionPrefix + section.Hash}).then([read](StoreAnswer answer) {
          if (answer.Result != StoreResult::Ok || answer.Entries.empty())
            return;
          auto objects = decodeSection(answer.Entries.front().Value);
          if (objects.ok())
            read->insert(read->end(), objects->begin(), objects->end());
        }));
  }
  return kj::joinPromises(promises.finish()).then([this, held, read, head = kj::mv(head)] {
    const absl::StatusOr<SnapshotPtr> snapshot = assembleSnapshot(head, held.get(), *read);
    if (!snapshot.ok()) {
      note("config", absl::StrCat("version ", head.Version),
           std::string(snapshot.status().message()));
      return;
    }
    const SnapshotPtr now = Node.config().held();
    const OfferResult result = Node.offerConfig(diffSnapshots(now.get(), **snapshot));
    ExchangeEffect effect;
    effect.ConfigApplied = result == OfferResult::Applied;
    effect.ConfigRefused = result == OfferResult::Refused;
    changed(effect);
  });
}

kj::Promise<void> ControlTask::stepChange(std::shared_ptr<ChangeCommand> command, ChangeStep step,
                                          std::shared_ptr<ChangeOutcome> outcome) {
  if (auto *done = std::get_if<ChangeOutcome>(&step); done != nullptr) {
    *outcome = std::move(*done);
    return kj::READY_NOW;
  }
  const auto &request = std::get<StoreRequest>(step);
  return Store.send(request).then([this, command, outcome](StoreAnswer answer) {
    return stepChange(command, command->answered(answer), outcome);
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
  return stepChange(command, command->start(), outcome)
      .then([this, command, outcome, changes, operation, summary, dryRun] {
        if (changes != nullptr)
          *changes = command->changes();
        if (dryRun)
          return *outcome;
        note("change", absl::StrCat("version ", outcome->Version),
             absl::StrCat(summary, " (", operation, "): ", outcome->Message));
        if (outcome->Status == ChangeStatus::Accepted && outcome->Snapshot) {
          ExchangeEffect effect;
          const SnapshotPtr held = Node.config().held();
          effect.ConfigApplied = Node.offerConfig(diffSnapshots(held.get(), *outcome->Snapshot)) ==
                                 OfferResult::Applied;
          changed(effect);
        }
        return *outcome;
      });
}

// --- Rollouts ---

void ControlTask::takeEvidence(const EvidenceReport &report) {
  const SnapshotPtr held = Node.config().held();
  const RolloutSpec *spec = held ? findRollout(*held, report.Rollout) : nullptr;
  if (spec != nullptr)
    Steering.take(*spec, report);
}

void ControlTask::sendEvidence(const std::vector<EvidenceReport> &reports) {
  const SnapshotPtr held = Node.config().held();
  if (!held || reports.empty())
    return;
  const RolloutSpec *spec = findRollout(*held, reports.front().Rollout);
  if (spec == nullptr)
    return;
  sendEvidenceTo(stewardsOf(*spec, Node.hosts()), reports);
}

void ControlTask::sendEvidenceTo(std::vector<HostID> stewards,
                                 const std::vector<EvidenceReport> &reports) {
  if (stewards.empty())
    return;
  const HostID steward = stewards.front();
  stewards.erase(stewards.begin());
  if (steward == Settings.Identity.Host) {
    for (const EvidenceReport &report : reports)
      takeEvidence(report);
    return;
  }
  const HostRecord *record = Node.hosts().find(steward);
  auto sent =
      Peers.get(record->RpcAddress)
          .then([this, reports](std::shared_ptr<PeerConnection> connection) {
            auto request = connection->Peer.evidenceRequest();
            auto list = request.initReports(static_cast<unsigned>(reports.size()));
            unsigned n = 0;
            for (const EvidenceReport &report : reports)
              writeEvidence(list[n++], report);
            return request.send().then([this, connection](auto &&response) {
              takeProgress(response.getProgress());
              // Keeps the connection for the next report.
              spawn(timer().afterDelay(EvidenceLinkTime * kj::MILLISECONDS).then([connection] {}),
                    "evidence");
            });
          });
  // The second steward is asked only where the first one fails.
  spawn(timer()
            .timeoutAfter(EvidenceTimeout * kj::MILLISECONDS, kj::mv(sent))
            .catch_(
                [this, stewards, reports](kj::Exception &&) { sendEvidenceTo(stewards, reports); }),
        "evidence");
}

void ControlTask::takeProgress(capnp::List<wire::RolloutProgress>::Reader list) {
  ExchangeEffect effect;
  for (auto progress : list)
    effect.ProgressChanged |= Node.offerProgress(readProgress(progress));
  if (effect.ProgressChanged)
    changed(effect);
}

kj::Promise<void> ControlTask::stewardLoop() {
  steer();
  return timer().afterDelay(StewardPeriod * kj::MILLISECONDS).then([this] {
    return stewardLoop();
  });
}

void ControlTask::steer() {
  const SnapshotPtr held = Node.config().held();
  if (!held)
    return;
  const TimeMs now = wallClockMs();
  std::vector<RolloutID> running;
  ExchangeEffect effect;
  for (const RolloutSpec *spec : rolloutsOf(*held)) {
    running.push_back(spec->ID);
    const std::vector<HostID> stewards = stewardsOf(*spec, Node.hosts());
    if (std::find(stewards.begin(), stewards.end(), Settings.Identity.Host) == stewards.end())
      continue;
    RolloutProgress progress;
    progress.ID = spec->ID;
    const auto it = Node.progress().find(spec->ID);
    if (it != Node.progress().end())
      progress = it->second;
    if (progress.Phase != RolloutPhase::Running) {
      if (Folding.insert(spec->ID).second)
        spawn(foldRollout(*spec, progress), "rollout end");
      continue;
    }
    const std::optional<RolloutProgress> next = Steering.decide(*spec, progress, now);
    if (!next.has_value() || !Node.offerProgress(*next))
      continue;
    effect.ProgressChanged = true;
    const std::string text = next->Phase == RolloutPhase::TakenBack ? "taken back: " + next->Reason
                             : next->Phase == RolloutPhase::Done
                                 ? "done: " + next->Reason
                                 : absl::StrCat("stage ", next->Stage);
    note("rollout", spec->ID.str(), text);
  }
  Steering.keepOnly(running);
  if (effect.ProgressChanged)
    changed(effect);
}

kj::Promise<void> ControlTask::foldRollout(const RolloutSpec &spec,
                                           const RolloutProgress &progress) {
  const bool done = progress.Phase == RolloutPhase::Done;
  ChangeRequest request;
  request.Operation = OperationID(absl::StrCat("end/", spec.ID.str()));
  request.Author = "steward";
  request.Summary = absl::StrCat("rollout ", spec.ID.str(), done ? " done" : " taken back");
  request.Change = [spec, done](const Snapshot &base) { return endRollout(base, spec, done); };
  return runChange(std::move(request), nullptr)
      .then([this](ChangeOutcome) {
        return timer().afterDelay((MsPerSecond + draw(MsPerSecond)) * kj::MILLISECONDS);
      })
      .then([this, id = spec.ID] { Folding.erase(id); });
}

void ControlTask::describe(wire::NodeStatus::Builder to) {
  to.setHost(Settings.Identity.Host.str());
  to.setHeldVersion(Node.config().heldVersion());
  to.setKnownVersion(Node.config().knownVersion());
  to.setRole(Place.Root ? "root" : Node.childCount() > 0 ? "relay" : "leaf");
  for (const auto &[peer, link] : Links) {
    if (link->joining())
      to.setParent(peer.str());
  }
  to.setChildren(Node.childCount());
  writeSummary(to.initSummary(), Node.summary());
  to.setStoreReachable(Store.reachable());
  to.setControlBytesIn(Bytes.In);
  to.setControlBytesOut(Bytes.Out);
  to.setStoreCalls(Store.calls());
  to.setUptimeMs(wallClockMs() - Started);
}

} // namespace jasmineloom
