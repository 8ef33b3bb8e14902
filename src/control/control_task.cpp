/// @file control_task.cpp Thread that decides on configuration, membership and rollouts.
#include "control/control_task.h"

#include "event_util.h"
#include "log.h"
#include "mesh/link_task.h"
#include "mesh/peer_service.h"
#include "operator/operator_service.h"
#include "wire_func.h"

#include <absl/strings/str_cat.h>
#include <unistd.h>

#include <algorithm>

namespace jasmineloom {

namespace {

constexpr DurationMs TickPeriod = 250;
/// Delay for changes of host records alone, so that several are published together. Until then
/// gates and outlier ejection handle hosts that have become unavailable.
constexpr DurationMs TablePublishDelay = 100;
/// Delay before a loop that failed is started again: its cause, such as a lack of descriptors, may
/// persist.
constexpr DurationMs LoopRestartDelay = 100;
constexpr DurationMs WatchRetryDelay = 1 * MsPerSecond;
constexpr DurationMs DrainAnnounceDelay = 100;
/// Multiple of the bootstrap delay after which a process that starts believes a store that has come
/// back from an older copy, although no other node covers its era.
constexpr DurationMs CoveragePatience = 6;
/// Gain of the boot clock on the steady clock between two ticks that counts as a suspension of the
/// machine.
constexpr DurationMs MinSuspendedTime = 300;

/// @returns whether a host may use its part of the quotas, or may not know yet that it is gone.
/// @param goneAt when this node learnt that the host is gone; 0: it is not.
bool holdsQuotaPart(const HostRecord &record, TimeMs goneAt, TimeMs now) {
  if (record.State != HostState::Gone)
    return true;
  return !record.KeysHandedOver && now < goneAt + PartRetention;
}

} // namespace

class ControlTask::ErrorHandler final : public kj::TaskSet::ErrorHandler {
public:
  void taskFailed(kj::Exception &&exception) override {
    LOG4CXX_WARN(loggerOf("main"), "background task failed: " << exception.getDescription().cStr());
  }
};

ControlTask::ControlTask(ControlSettings settings, TrafficMailbox &traffic, ControlMailbox &inbox)
    : Settings(std::move(settings)), Traffic(traffic), Inbox(inbox), Io(kj::setupAsyncIo()),
      Node(Settings.Identity, steadyClockMs(), Settings.Times.ChildTimeout, Settings.Tree,
           Settings.Times.LinkRetryDelay),
      Store(traffic, Settings.Env.Store), Peers(Io, Settings.Secret, Settings.Identity.Host, Bytes),
      Random(Settings.RandomSeed), Coverage(CoveragePatience * Settings.Times.BootstrapDelay),
      Statements(Settings.Times.StoreReturnTime), Watches(Settings.Times.WatchPeriod),
      Proof(ProofTimes::forBound(proofBound(Settings)).Step), StartTime(steadyClockMs()),
      Errors(kj::heap<ErrorHandler>()), Tasks(kj::heap<kj::TaskSet>(*Errors)) {
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
  HeldExchanges.clear();
  Links.clear();
  Tasks = nullptr;
  close(WakePipe[1]);
}

int ControlTask::run() {
  const auto failed = kj::runCatchingExceptions([&] {
    Receiver =
        Io.provider->getNetwork().parseAddress(Settings.RpcAddress).wait(Io.waitScope)->listen();
  });
  KJ_IF_MAYBE (exception, failed) {
    LOG4CXX_ERROR(loggerOf("main"), "cannot listen on " << Settings.RpcAddress << ": "
                                                        << exception->getDescription().cStr());
    return 1;
  }
  auto stop = kj::newPromiseAndFulfiller<void>();
  StopFulfiller = kj::mv(stop.fulfiller);
  spawnLoop([this] { return wakeLoop(); }, "mailbox");
  spawnLoop([this] { return acceptLoop(); }, "listener");
  spawnLoop([this] { return tickLoop(); }, "ticks");
  spawnLoop([this] { return controllerLoop(); }, "steward");
  spawnLoop([this] { return proofLoop(); }, "proof");
  spawn(confirmFloor(), "floor");
  if (Settings.Seeds.empty())
    spawn(registerIfAlone(), "registration");
  if (Settings.Env.Document.has_value())
    spawnLoop([this] { return documentLoop(); }, "document");
  handleMessages();
  recordEvent("host", Settings.Identity.Host.str(), "started");
  Store.setEraHandler([this] { handleNewEra(); });
  stop.promise.wait(Io.waitScope);
  return 0;
}

void ControlTask::spawn(kj::Promise<void> promise, const char *name) {
  Tasks->add(promise.catch_([name](kj::Exception &&exception) {
    LOG4CXX_DEBUG(loggerOf("main"), name << " ended: " << exception.getDescription().cStr());
  }));
}

void ControlTask::spawnLoop(std::function<kj::Promise<void>()> loop, const char *name) {
  Tasks->add(keepRunning(std::move(loop), name));
}

kj::Promise<void> ControlTask::keepRunning(std::function<kj::Promise<void>()> loop,
                                           const char *name) {
  auto running = kj::evalNow([&loop] { return loop(); });
  return running
      .catch_([name](kj::Exception &&exception) {
        LOG4CXX_ERROR(loggerOf("main"), name << " loop failed and is started again: "
                                             << exception.getDescription().cStr());
      })
      .then([this] { return timer().afterDelay(LoopRestartDelay * kj::MILLISECONDS); })
      .then([this, loop, name] { return keepRunning(loop, name); });
}

kj::Promise<void> ControlTask::wakeLoop() {
  return WakeStream->read(WakeBuffer, 1, sizeof(WakeBuffer)).then([this](size_t) {
    handleMessages();
    return wakeLoop();
  });
}

kj::Promise<void> ControlTask::acceptLoop() {
  return Receiver->accept().then([this](kj::Own<kj::AsyncIoStream> stream) {
    setNoDelay(*stream);
    auto counted = kj::heap<CountingStream>(kj::mv(stream), Bytes);
    auto network =
        kj::heap<capnp::TwoPartyVatNetwork>(*counted, capnp::rpc::twoparty::Side::SERVER);
    wire::Door::Client door = kj::heap<DoorService>(*this, *counted);
    auto rpc = kj::heap(capnp::makeRpcServer(*network, kj::mv(door)));
    auto closed = network->onDisconnect();
    // Each attachment is destroyed before the one attached after it; arguments of one attach() call
    // would be destroyed in reverse order, the stream before those that use it.
    spawn(closed.attach(kj::mv(rpc)).attach(kj::mv(network)).attach(kj::mv(counted)), "connection");
    return acceptLoop();
  });
}

void ControlTask::recordEvent(const std::string &kind, const std::string &subject,
                              const std::string &text) {
  Events.add(
      {wallClockUs(), Settings.Identity.Host, kind, subject, Node.config().heldVersion(), text});
  LOG4CXX_INFO(loggerOf(kind.c_str()), subject << ": " << text);
}

void ControlTask::recordConfigSent(const HostID &peer, const EncodedDelta &update) {
  ++(update.BaseVersion == 0 ? Transfers.Snapshots : Transfers.Deltas);
  Transfers.Bytes += update.Bytes.size();
  recordEvent("config", absl::StrCat("version ", update.Version),
              absl::StrCat("sent to ", peer.str(), ": ",
                           transferText(update.BaseVersion, update.Objects, update.Bytes.size())));
}

// --- Messages from the traffic task ---

void ControlTask::handleMessages() {
  for (ControlEvent &event : Inbox.takeAll()) {
    // A message that fails must not take those behind it along.
    const auto failed = kj::runCatchingExceptions(
        [&] { std::visit([this](auto &message) { handle(message); }, event); });
    KJ_IF_MAYBE (exception, failed) {
      LOG4CXX_ERROR(loggerOf("main"),
                    "message not handled: " << exception->getDescription().cStr());
    }
  }
}

void ControlTask::handle(const UpstreamAnnounced &message) {
  const bool draining = message.Draining || GateClosed;
  Node.announce(draining ? HostState::Draining : HostState::Ready, message.Upstream.Service,
                message.Upstream.Version, message.Upstream.Slots, processOf(message.Upstream),
                steadyClockMs());
  recordEvent("host", Settings.Identity.Host.str(),
              absl::StrCat(draining ? "draining " : "serves ", message.Upstream.Service.str(), " ",
                           message.Upstream.Version.str()));
  StateChanges changes;
  changes.TableChanged = true;
  propagateChanges(changes);
}

void ControlTask::handle(EvidenceUpdate &message) { sendEvidence(message.Reports); }

void ControlTask::handle(const StoreReply &message) {
  if (message.Complete)
    Coverage.recordAnswer(message.Era, steadyClockMs());
  Store.onReply(message);
}

void ControlTask::handle(const StoreWatchEvent &message) {
  if (!message.Ended) {
    spawn(readHead(), "head");
    return;
  }
  spawn(timer()
            .afterDelay((WatchRetryDelay + randomBelow(WatchRetryDelay)) * kj::MILLISECONDS)
            .then([this] { WatchOpen = false; }),
        "watch");
}

void ControlTask::handle(const DrainRequested &message) { drain(message.Cause); }

void ControlTask::handle(const Drained &message) {
  recordEvent("host", Settings.Identity.Host.str(),
              message.KeysHandedOver ? "drained, keys handed over"
                                     : "drained, keys not handed over");
  Node.leave(message.KeysHandedOver, steadyClockMs());
  StateChanges changes;
  changes.TableChanged = true;
  propagateChanges(changes);
  spawn(timer().afterDelay(DrainAnnounceDelay * kj::MILLISECONDS).then([this] {
    StopFulfiller->fulfill();
  }),
        "stop");
}

void ControlTask::handle(const UpstreamDeparted &message) {
  const TimeMs now = steadyClockMs();
  Node.recordDeparture(encodeDeparture(message.Departure), now);
  StateChanges changes;
  changes.TableChanged = true;
  propagateChanges(changes);
  Departures[message.Departure.ID] = {message, now + TombstoneTime};
  spawn(storeDeparture(message, now + TombstoneTime, DepartureRetryDelay), "departure");
}

void ControlTask::handle(const DeparturesNeeded &message) {
  static_cast<void>(message);
  spawn(readDepartures(), "departures");
}

void ControlTask::handle(const ExplainReply &message) {
  const auto it = Explanations.find(message.Number);
  if (it == Explanations.end())
    return;
  it->second->fulfill(Explanation(message.Result));
  Explanations.erase(it);
}

kj::Promise<Explanation> ControlTask::explain(ExplainQuery query) {
  auto pair = kj::newPromiseAndFulfiller<Explanation>();
  Explanations[++LastExplanation] = kj::mv(pair.fulfiller);
  Traffic.put(ExplainRequest{LastExplanation, std::move(query)});
  return kj::mv(pair.promise);
}

void ControlTask::handle(const TrafficTimelineEvent &message) {
  recordEvent(message.Kind, message.Subject, message.Text);
}

void ControlTask::drain(const std::string &cause) {
  if (Draining)
    return;
  Draining = true;
  recordEvent("host", Settings.Identity.Host.str(), "draining, requested by " + cause);
  Traffic.put(BeginDrain{});
}

void ControlTask::handle(const GateClosing &message) {
  static_cast<void>(message);
  GateClosed = true;
  const HostRecord &self = Node.self();
  Node.announce(HostState::Draining, self.Service, self.Version, self.Slots, self.Upstream,
                steadyClockMs());
  StateChanges changes;
  changes.TableChanged = true;
  propagateChanges(changes);
}

// --- Propagation of state changes ---

void ControlTask::propagateChanges(const StateChanges &changes) {
  if (changes.ConfigApplied)
    recordEvent("apply", absl::StrCat("version ", Node.config().heldVersion()), "in force");
  if (changes.ConfigRejected)
    recordEvent("config", "refused", Node.config().lastError());
  if (changes.ProgressChanged)
    recordOrderProgress(steadyClockMs());
  if (changes.ConfigApplied || changes.ProgressChanged || changes.EvacuationsChanged)
    schedulePublish(PublishDelay);
  else if (changes.TableChanged)
    schedulePublish(TablePublishDelay);
  if (changes.TableChanged)
    scheduleTreeUpdate();
  releaseHeldExchanges();
  sendPendingUpdates();
  fetchConfig();
}

bool ControlTask::mayServe() const {
  const ConfigHolder &config = Node.config();
  return FloorConfirmed && config.heldVersion() > 0 &&
         config.heldVersion() >= config.floorVersion();
}

void ControlTask::schedulePublish(DurationMs delay) {
  const TimeMs due = steadyClockMs() + delay;
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
  const TimeMs now = steadyClockMs();
  std::uint32_t quotaHosts = 0;
  TimeMs partsEnd = ~TimeMs{0};
  Node.hosts().forEach([&](const HostRecord &record, TimeMs goneAt) {
    hosts.push_back(record);
    const bool holds = holdsQuotaPart(record, goneAt, now);
    quotaHosts += holds ? 1 : 0;
    if (holds && record.State == HostState::Gone)
      partsEnd = std::min(partsEnd, goneAt + PartRetention);
  });
  const SnapshotPtr &held = Node.config().held();
  if (!Workspaces || PublishedVersion != held->Version)
    Workspaces = workspaceTableOf(*held);
  PublishedVersion = held->Version;
  const RoutingViewPtr view =
      buildRoutingView(*held, hosts, Node.progress(), Settings.Identity.DataCentre,
                       static_cast<std::int64_t>(now) - static_cast<std::int64_t>(wallClockMs()),
                       Workspaces, Node.evacuated(), quotaHosts);
  QuotaPartsEnd = partsEnd == ~TimeMs{0} ? 0 : partsEnd;
  NeedsKeys = view->NeedsKeys;
  recordEvacuations(*view);
  Traffic.put(PublishView{view});
  publishProof();
}

kj::Promise<void> ControlTask::waitForUpdates(const HostID &peer, DurationMs hold) {
  if (hold == 0 || hasUpdatesFor(peer, false))
    return kj::READY_NOW;
  auto pair = kj::newPromiseAndFulfiller<void>();
  HeldExchanges.push_back({peer, kj::mv(pair.fulfiller)});
  return pair.promise.exclusiveJoin(timer().afterDelay(hold * kj::MILLISECONDS));
}

void ControlTask::releaseHeldExchanges() {
  std::vector<HeldExchange> stillHeld;
  for (HeldExchange &held : HeldExchanges) {
    if (!held.Fulfiller->isWaiting())
      continue;
    if (!hasUpdatesFor(held.Peer, false)) {
      stillHeld.push_back(kj::mv(held));
      continue;
    }
    const DurationMs delay = updateDelay(held.Peer, false);
    if (delay == 0) {
      held.Fulfiller->fulfill();
      continue;
    }
    spawn(timer()
              .afterDelay(delay * kj::MILLISECONDS)
              .then([fulfiller = kj::mv(held.Fulfiller)]() mutable { fulfiller->fulfill(); }),
          "news");
  }
  HeldExchanges = kj::mv(stillHeld);
}

void ControlTask::sendPendingUpdates() {
  for (const auto &[peer, link] : Links)
    link->sendPending();
}

void ControlTask::detectSuspension(TimeMs now) {
  const TimeMs suspended = bootClockMs() - now;
  const bool resumed = SuspendedTotal != 0 && suspended > SuspendedTotal + MinSuspendedTime;
  SuspendedTotal = suspended;
  if (!resumed)
    return;
  recordEvent("host", Settings.Identity.Host.str(),
              "machine was suspended; reading document and order status again");
  DocumentRead.Listed = false;
  for (auto &[id, state] : Orders)
    state.StatusKnown = false;
}

kj::Promise<void> ControlTask::tickLoop() {
  const TimeMs now = steadyClockMs();
  if (const DurationMs late = Stalls.recordFired(TickDue == 0 ? now : TickDue, now); late != 0)
    recordEvent("main", "control loop", absl::StrCat("stalled for ", late, " ms"));
  detectSuspension(now);
  checkStoreSilence(now);
  checkStandIn(now);
  StateChanges changes;
  changes.TableChanged = Node.tick(now);
  propagateChanges(changes);
  if (QuotaPartsEnd != 0 && now >= QuotaPartsEnd) {
    QuotaPartsEnd = 0;
    schedulePublish(TablePublishDelay);
  }
  contactSeeds();
  updateTreePosition();
  if (Position.Root && now >= StartTime + Settings.Times.BootstrapDelay && now >= NextProbe) {
    NextProbe = now + Settings.Times.ProbePeriod;
    spawn(probeHost(), "audit");
  }
  spawn(storeLoop(), "store");
  checkDocumentAge(now);
  checkProof(bootClockMs());
  ControlFigures figures;
  figures.HeldVersion = Node.config().heldVersion();
  figures.KnownVersion = Node.config().knownVersion();
  figures.BytesIn = Bytes.In;
  figures.BytesOut = Bytes.Out;
  figures.StoreCalls = Store.calls();
  figures.Children = Node.childCount();
  figures.Root = Position.Root;
  figures.StoreReachable = Store.reachable();
  figures.ProofAge = PublishedProof == 0 ? 0 : bootClockMs() - PublishedProof;
  figures.DocumentAge = documentAge(now);
  figures.StoreSilence = readsDocument(now) ? Contact.silence(now) : 0;
  figures.StandsIn = StandInSince.has_value();
  figures.RefusedDocuments = Refused.total();
  figures.RefusedNow = Refused.reasons();
  figures.Transfers = Transfers;
  figures.LinkFailures = LinkFailureCount;
  figures.EvidenceReports = EvidenceReports;
  figures.LongestStall = Stalls.longest();
  Traffic.put(figures);
  TickDue = steadyClockMs() + TickPeriod;
  return timer().afterDelay(TickPeriod * kj::MILLISECONDS).then([this] { return tickLoop(); });
}

void ControlTask::writeStatus(wire::NodeStatus::Builder to) {
  to.setHost(Settings.Identity.Host.str());
  to.setHeldVersion(Node.config().heldVersion());
  to.setKnownVersion(Node.config().knownVersion());
  to.setRole(Position.Root ? "root" : Node.childCount() > 0 ? "relay" : "leaf");
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
  to.setUptimeMs(steadyClockMs() - StartTime);
}

} // namespace jasmineloom
