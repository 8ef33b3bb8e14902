/// @file traffic_task.cpp Event loop of all HTTP: ingress, gate, management port, store calls.
#include "traffic/traffic_task.h"

#include "settings.h"
#include "traffic/drain_rule.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <event2/keyvalq_struct.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace jasmineloom {

namespace {

constexpr std::size_t MaxStoreResponseBytes = 8 << 20;
/// Time in which the store sends a response once it has begun.
constexpr DurationMs MaxStoreTransferTime = 30 * MsPerSecond;
constexpr DurationMs DrainCheckPeriod = 20;
/// Limits of a request at the management port; a heartbeat has under 1 KiB.
constexpr int MaxManagementHeaderBytes = 64 * 1024;
constexpr int MaxManagementBodyBytes = 256 * 1024;
constexpr DurationMs HeartbeatCheckPeriod = 250;
/// Maximum time for which a heartbeat waits for a look at the settings file. Together with the wait
/// for a departure it is less than the second in which an upstream expects an acknowledgement.
constexpr DurationMs MaxLookWait = 200;
constexpr DurationMs StopCheckPeriod = 10;
/// Time in which the event loop reads what callers had sent before the task stops.
constexpr DurationMs MinStopTime = 20;
/// Time after which the task stops even with responses unsent: it is the end of a drain, which has
/// waited for them.
constexpr DurationMs MaxStopTime = 200;
constexpr int WatchTimeoutSeconds = 3600;
/// Limit of the header of the watch's response.
constexpr int MaxWatchHeaderBytes = 64 * 1024;
/// Time after which a departure is acknowledged even if it is not recorded: an upstream takes an
/// acknowledgement within a second.
constexpr DurationMs MaxDepartureWait = 700;
/// Time by which an upstream may start before its node although both start together; less than a
/// process needs to start again.
constexpr DurationMs MaxStartDifference = 400;

/// Creates the event loop of the data path. All its objects belong to one thread, so that it needs
/// no locks. The changelist passes changes to a descriptor to the kernel once per loop iteration.
EventBasePtr makeTrafficBase() {
  event_config *config = event_config_new();
  event_config_set_flag(config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
  event_config_set_flag(config, EVENT_BASE_FLAG_NOLOCK);
  EventBasePtr base(event_base_new_with_config(config));
  event_config_free(config);
  return base;
}

} // namespace

TrafficTask::TrafficTask(TrafficSettings settings, const Environment &environment,
                         TrafficMailbox &inbox, ControlMailbox &control)
    : Settings(std::move(settings)), Env(environment), Inbox(inbox), Control(control),
      AnnouncedUpstream(Settings.HeartbeatInterval), Caller(Settings.LocalService),
      Base(makeTrafficBase()), WakeFd(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)),
      Held(Settings.MaxHeld), Pool(Base.get(), Settings.MaxBody, &Held),
      StorePool(Base.get(), MaxStoreResponseBytes, &Held),
      Quotas(Base.get(), Settings, Pool, Stats, Control),
      DrainTimer(Base.get(), [this] { advanceDrain(); }),
      StopTimer(Base.get(), [this] { advanceStop(); }),
      HeartbeatTimer(Base.get(), [this] { checkHeartbeat(); }),
      ResponseTimer(Base.get(), [this] { releaseResponses(0, steadyClockMs()); }),
      HeartbeatHoldTimer(Base.get(), [this] { releaseHeartbeats(0, steadyClockMs()); }) {
  StartedAt = wallClockMs();
  AnnouncedUpstream.setConfiguredService(Settings.LocalService);
  if (Settings.RecordsDepartures)
    AnnouncedUpstream.awaitDepartures();
  const auto wake = [](evutil_socket_t fd, short, void *arg) {
    std::uint64_t count = 0;
    static_cast<void>(read(fd, &count, sizeof(count)) > 0);
    static_cast<TrafficTask *>(arg)->handleCommands();
  };
  WakeEvent.reset(event_new(Base.get(), WakeFd, EV_READ | EV_PERSIST, wake, this));
  event_add(WakeEvent.get(), nullptr);
  Inbox.setWake([fd = WakeFd] {
    const std::uint64_t one = 1;
    static_cast<void>(write(fd, &one, sizeof(one)) > 0);
  });
  LocalGate = std::make_unique<GateTask>(Base.get(), Settings, Pool, Held, Stats, Control);
  LocalGate->setLeavingHandler([this] { handleLeaving(); });
  LocalGate->setQuotaHandler([this](const std::string &ask) { return Quotas.answer(ask); });
  LocalGate->setAbsentHandler([this] { AnnouncedUpstream.markAbsent(); });
  Ingress = std::make_unique<IngressTask>(Base.get(), Settings, Caller, Pool, Quotas, Held, Stats);
  ManagementServer.reset(evhttp_new(Base.get()));
  evhttp_set_allowed_methods(ManagementServer.get(), EVHTTP_REQ_GET | EVHTTP_REQ_PUT |
                                                         EVHTTP_REQ_POST | EVHTTP_REQ_DELETE |
                                                         EVHTTP_REQ_HEAD);
  evhttp_set_max_headers_size(ManagementServer.get(), MaxManagementHeaderBytes);
  evhttp_set_max_body_size(ManagementServer.get(), MaxManagementBodyBytes);
  evhttp_set_gencb(ManagementServer.get(), onManagement, this);
  startHeartbeatTimer();
}

TrafficTask::~TrafficTask() {
  Inbox.setWake({});
  if (WatchConnection != nullptr)
    evhttp_connection_free(WatchConnection);
  close(WakeFd);
}

bool TrafficTask::listen() {
  if (!Ingress->listen()) {
    Error = absl::StrCat("failed to listen on ingress address ", Settings.IngressIP, ":",
                         Settings.IngressPort);
    return false;
  }
  if (!LocalGate->listen()) {
    Error =
        absl::StrCat("failed to listen on gate address ", Settings.GateIP, ":", Settings.GatePort);
    return false;
  }
  for (const std::string &address : Settings.ManagementAddresses) {
    const absl::StatusOr<HostPort> parsed = splitAddress(address);
    if (!parsed.ok() ||
        evhttp_bind_socket(ManagementServer.get(), parsed->Host.c_str(), parsed->Port) != 0) {
      Error = absl::StrCat("failed to listen on management address ", address);
      return false;
    }
  }
  return true;
}

void TrafficTask::run() {
  handleCommands();
  event_base_loop(Base.get(), EVLOOP_NO_EXIT_ON_EMPTY);
}

void TrafficTask::handleCommands() {
  for (TrafficCommand &command : Inbox.takeAll())
    std::visit([this](auto &message) { handle(message); }, command);
}

void TrafficTask::handle(PublishView &message) {
  Ready = true;
  Quotas.setView(message.View);
  LocalGate->setView(message.View);
  Ingress->setView(message.View, steadyClockMs());
}

void TrafficTask::handle(ConfigProved &message) { Ingress->setConfigProof(message.At); }

void TrafficTask::handle(StoreCall &message) {
  HttpCall call;
  call.Path = message.Call.Path;
  if (message.Call.Verb == StoreHttpMethod::Post) {
    call.Method = EVHTTP_REQ_POST;
    call.Headers = {{"Content-Type", "application/json"}};
    call.Body = makeBuffer(message.Call.Body);
  }
  call.Timeout = message.Timeout;
  call.TimeoutOnSilence = true;
  call.TotalTimeout = message.Timeout + MaxStoreTransferTime;
  StorePool.call(
      Settings.StoreAddress, std::move(call),
      [this, number = message.Number](const HttpResult &result) {
        // The other connections may have gone silent with this one.
        if (result.TimedOut)
          StorePool.retireConnections(Settings.StoreAddress);
        StoreReply reply;
        reply.Number = number;
        reply.Complete = result.Complete;
        reply.Sent = result.BytesSent;
        reply.Status = result.Status;
        if (!absl::SimpleAtoi(headerValue(result.Headers, Env.Store.EraHeader), &reply.Era))
          reply.Era = 0;
        if (result.Complete)
          reply.Body = textOf(result.Body.get());
        Control.put(std::move(reply));
      });
}

void TrafficTask::handle(StoreWatchStart &message) {
  if (WatchConnection != nullptr) {
    evhttp_connection_free(WatchConnection);
    WatchConnection = nullptr;
  }
  const std::size_t colon = Settings.StoreAddress.rfind(':');
  const std::string host = Settings.StoreAddress.substr(0, colon);
  int port = 0;
  if (colon == std::string::npos ||
      !absl::SimpleAtoi(Settings.StoreAddress.substr(colon + 1), &port))
    return;
  WatchConnection = evhttp_connection_base_new(Base.get(), nullptr, host.c_str(),
                                               static_cast<std::uint16_t>(port));
  evhttp_connection_set_timeout(WatchConnection, WatchTimeoutSeconds);
  evhttp_connection_set_max_headers_size(WatchConnection, MaxWatchHeaderBytes);
  // A chunk is passed on once it is complete, and its size line has no limit of its own.
  bufferevent *socket = evhttp_connection_get_bufferevent(WatchConnection);
  WatchHeld = std::make_unique<HeldBytes::Share>(&Held, MaxStoreResponseBytes, [this, socket] {
    bufferevent_disable(socket, EV_READ | EV_WRITE);
    bufferevent_trigger_event(socket, BEV_EVENT_READING | BEV_EVENT_ERROR,
                              BEV_TRIG_DEFER_CALLBACKS);
    return absl::StrCat("watch of the store ", Settings.StoreAddress);
  });
  evbuffer_add_cb(bufferevent_get_input(socket), onWatchInput, this);
  evhttp_request *request = evhttp_request_new(onWatchEnd, this);
  evhttp_request_set_chunked_cb(request, onWatchChunk);
  evkeyvalq *headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Host", Settings.StoreAddress.c_str());
  evhttp_add_header(headers, "Content-Type", "application/json");
  evbuffer_add(evhttp_request_get_output_buffer(request), message.Body.data(), message.Body.size());
  WatchOpen = true;
  if (evhttp_make_request(WatchConnection, request, EVHTTP_REQ_POST, "/v3/watch") != 0) {
    WatchOpen = false;
    Control.put(StoreWatchEvent{true});
  }
}

void TrafficTask::onWatchChunk(evhttp_request *request, void *arg) {
  evbuffer *buf = evhttp_request_get_input_buffer(request);
  evbuffer_drain(buf, evbuffer_get_length(buf));
  static_cast<TrafficTask *>(arg)->Control.put(StoreWatchEvent{false});
}

void TrafficTask::onWatchInput(evbuffer *buf, const evbuffer_cb_info *info, void *arg) {
  static_cast<void>(info);
  static_cast<TrafficTask *>(arg)->WatchHeld->set(evbuffer_get_length(buf));
}

void TrafficTask::onWatchEnd(evhttp_request *request, void *arg) {
  static_cast<void>(request);
  auto *task = static_cast<TrafficTask *>(arg);
  if (!task->WatchOpen)
    return;
  task->WatchOpen = false;
  task->Control.put(StoreWatchEvent{true});
}

void TrafficTask::handle(BeginDrain &message) {
  static_cast<void>(message);
  if (Draining)
    return;
  Draining = true;
  DrainSince = steadyClockMs();
  Ingress->beginDrain(DrainSince);
  DrainTimer.start(DrainCheckPeriod);
  if (const auto &upstream = AnnouncedUpstream.current(); upstream.has_value())
    Pool.checkReachable(upstream->Address,
                        [this](bool reachable) { UpstreamUnreachable = !reachable; });
}

bool TrafficTask::isUpstreamGone() const {
  const bool announced = AnnouncedUpstream.current().has_value();
  return announced && (AnnouncedUpstream.hasLeft() || UpstreamUnreachable);
}

void TrafficTask::advanceDrain() {
  const TimeMs now = steadyClockMs();
  const bool idle = LocalGate->pending() == 0 && Ingress->pending() == 0;
  const DrainStep step = decideDrain({now - DrainSince, Settings.StopTime,
                                      now - Ingress->lastRequestAt(), idle, isUpstreamGone()});
  if (step.CloseGate && !GateClosed) {
    GateClosed = true;
    LocalGate->beginDrain();
    Quotas.beginDrain();
    Control.put(GateClosing{});
  }
  if (step.CloseIngress)
    Ingress->beginShutdown();
  if (step.Finish) {
    LocalGate->transferKeys(keyTransferTime(now - DrainSince, Settings.StopTime),
                            [this](bool handedOver) { Control.put(Drained{handedOver}); });
    return;
  }
  DrainTimer.start(DrainCheckPeriod);
}

void TrafficTask::handle(ControlFigures &message) { Stats.setControlFigures(message); }

void TrafficTask::handle(ExplainRequest &message) {
  Control.put(ExplainReply{message.Number, Ingress->explain(message.Query, steadyClockMs())});
}

void TrafficTask::handle(StopTask &message) {
  static_cast<void>(message);
  StopSince = steadyClockMs();
  releaseHeartbeats(LastLook, StopSince);
  for (const HeldResponse &it : std::exchange(HeldResponses, {}))
    sendManagement(it.Request, it.Response);
  Ingress->stopListening();
  LocalGate->stopListening();
  StopTimer.start(StopCheckPeriod);
}

void TrafficTask::advanceStop() {
  const DurationMs elapsed = steadyClockMs() - StopSince;
  const bool done = Ingress->hasSentAll() && LocalGate->hasSentAll() && elapsed >= MinStopTime;
  if (done || elapsed >= MaxStopTime)
    event_base_loopbreak(Base.get());
  else
    StopTimer.start(StopCheckPeriod);
}

void TrafficTask::onManagement(evhttp_request *request, void *arg) {
  static_cast<TrafficTask *>(arg)->handleManagement(request);
}

void TrafficTask::handleManagement(evhttp_request *request) {
  const evhttp_uri *uri = evhttp_request_get_evhttp_uri(request);
  const char *query = evhttp_uri_get_query(uri);
  ManagementRequest call;
  call.Method = std::string(methodName(evhttp_request_get_command(request)));
  call.Path = evhttp_uri_get_path(uri);
  call.Query = query == nullptr ? "" : query;
  call.Body = textOf(evhttp_request_get_input_buffer(request));
  const ManagementCall decoded = Env.ReadManagement(call);
  if (!contradictsSettings(decoded)) {
    answerManagement(request, decoded);
    return;
  }
  HeldHeartbeats.push_back({request, decoded, ++LastLook, steadyClockMs() + MaxLookWait});
  HeartbeatHoldTimer.ensure(MaxLookWait);
  SettingsTask->put(SettingsLook{LastLook});
}

bool TrafficTask::contradictsSettings(const ManagementCall &call) const {
  const auto *heartbeat = std::get_if<Announcement>(&call);
  return SettingsTask != nullptr && heartbeat != nullptr && !Settings.LocalService.empty() &&
         heartbeat->Service != Settings.LocalService;
}

void TrafficTask::handle(SettingsLooked &message) {
  releaseHeartbeats(message.Number, steadyClockMs());
}

void TrafficTask::releaseHeartbeats(std::uint64_t look, TimeMs now) {
  std::vector<HeldHeartbeat> waiting;
  for (HeldHeartbeat &it : std::exchange(HeldHeartbeats, {})) {
    if (it.Look <= look || now >= it.Due)
      answerManagement(it.Request, it.Call);
    else
      waiting.push_back(std::move(it));
  }
  HeldHeartbeats = std::move(waiting);
  if (!HeldHeartbeats.empty())
    HeartbeatHoldTimer.start(HeldHeartbeats.front().Due > now ? HeldHeartbeats.front().Due - now
                                                              : 0);
}

void TrafficTask::answerManagement(evhttp_request *request, const ManagementCall &call) {
  const ManagementResponse response =
      std::visit([this](const auto &it) { return handleManagement(it); }, call);
  if (response.Departure == 0) {
    sendManagement(request, response);
    return;
  }
  HeldResponses.push_back({request, response, steadyClockMs() + MaxDepartureWait});
  ResponseTimer.ensure(MaxDepartureWait);
}

void TrafficTask::sendManagement(evhttp_request *request, const ManagementResponse &response) {
  const EvBufferPtr buf = makeBuffer(response.Text);
  evhttp_send_reply(request, response.Status, nullptr, buf.get());
}

std::uint64_t TrafficTask::recordDeparture(const UpstreamDeparture &departure) {
  if (!Settings.RecordsDepartures || departure.ID.empty())
    return 0;
  const auto [it, added] = Departures.try_emplace({departure.ID, departure.StartedBefore});
  if (added) {
    it->second.Number = ++LastDeparture;
    Control.put(UpstreamDeparted{LastDeparture, departure});
  }
  return it->second.Recorded ? 0 : it->second.Number;
}

void TrafficTask::releaseResponses(std::uint64_t departure, TimeMs now) {
  std::vector<HeldResponse> held;
  for (const HeldResponse &it : HeldResponses) {
    const bool recorded = it.Response.Departure == departure;
    if (!recorded && now < it.Due) {
      held.push_back(it);
      continue;
    }
    if (!recorded)
      Control.put(TrafficTimelineEvent{"announce", "departure",
                                       "acknowledged before it was recorded in the store"});
    sendManagement(it.Request, it.Response);
  }
  HeldResponses = std::move(held);
  if (!HeldResponses.empty())
    ResponseTimer.start(HeldResponses.front().Due > now ? HeldResponses.front().Due - now : 0);
}

void TrafficTask::handle(ApplySettings &message) {
  Settings.HeartbeatInterval = message.HeartbeatInterval;
  Settings.StopTime = message.StopTime;
  Settings.RetrySlack = message.RetrySlack;
  AnnouncedUpstream.setHeartbeatInterval(message.HeartbeatInterval);
  AnnouncedUpstream.setConfiguredService(message.LocalService);
  Ingress->updateRetryBudgets();
  Settings.LocalService = message.LocalService;
  if (Caller.applySettings(message.LocalService))
    recordCallerChange("settings");
}

void TrafficTask::recordProcessChange(const std::optional<Announcement> &before,
                                      const Announcement &heartbeat) {
  const auto sameProcess = [&heartbeat](const std::optional<Announcement> &it) {
    return it.has_value() && it->ID == heartbeat.ID && it->ProcessStart == heartbeat.ProcessStart;
  };
  const std::pair<UpstreamID, TimeMs> process{heartbeat.ID, heartbeat.ProcessStart};
  if (sameProcess(before) || std::exchange(LastForeignProcess, process) == process)
    return;
  const bool believed = sameProcess(AnnouncedUpstream.current());
  const std::string other = before.has_value() ? describe(*before) : "none";
  Control.put(TrafficTimelineEvent{
      "host", Settings.Host.str(),
      absl::StrCat("heartbeat of another process: ", describe(heartbeat),
                   believed ? "; it replaces " : "; not believed against ", other,
                   "; the settings name ", Settings.LocalService.str())});
}

void TrafficTask::recordCallerChange(const std::string &source) {
  Control.put(TrafficTimelineEvent{
      "host", Settings.Host.str(),
      absl::StrCat("callers belong to service ", Caller.current().str(), ", by the ", source)});
}

void TrafficTask::handle(DepartureRecorded &message) {
  for (auto &[process, record] : Departures)
    record.Recorded |= record.Number == message.Number;
  releaseResponses(message.Number, steadyClockMs());
}

void TrafficTask::handle(DeparturesRestored &message) {
  const bool accepted = AnnouncedUpstream.acceptsWork();
  AnnouncedUpstream.restore(message.Departures, steadyClockMs());
  (message.FromStore ? StoreAnswered : PeersAnswered) = true;
  if (AnnouncedUpstream.acceptsWork() != accepted)
    applyAnnouncement();
  awaitDepartures();
}

void TrafficTask::awaitDepartures() {
  const auto &upstream = AnnouncedUpstream.current();
  if (AnnouncedUpstream.restored() || !upstream.has_value())
    return;
  // An upstream that started with this process or later can't have departed before.
  // The clock may have been set back since an earlier start.
  const bool isOlder = upstream->ProcessStart + MaxStartDifference < StartedAt ||
                       upstream->ProcessStart > wallClockMs() + MaxStartDifference;
  if (isOlder && !StoreAsked) {
    StoreAsked = true;
    Control.put(DeparturesNeeded{});
  }
  if (isOlder && !(StoreAnswered && PeersAnswered))
    return;
  AnnouncedUpstream.endWait();
  applyAnnouncement();
}

ManagementResponse TrafficTask::handleManagement(const ReadinessQuery &) {
  const bool ready = Ready && !Draining;
  return {ready ? 200 : 503, Draining ? "draining\n" : ready ? "ready\n" : "starting\n"};
}

ManagementResponse TrafficTask::handleManagement(const HealthQuery &) { return {200, "ok\n"}; }

ManagementResponse TrafficTask::handleManagement(const MetricsQuery &) {
  Stats.setHeldBytes({Held.total(), Held.peak(), Held.cuts()});
  return {200, Stats.text()};
}

ManagementResponse TrafficTask::handleManagement(const DrainCommand &) {
  Control.put(DrainRequested{"management port"});
  return {202, "draining\n"};
}

ManagementResponse TrafficTask::handleManagement(const InvalidCall &call) {
  if (call.Status != 404)
    Control.put(TrafficTimelineEvent{"announce", "refused", call.Reason});
  return {call.Status, call.Reason + "\n"};
}

ManagementResponse TrafficTask::handleManagement(const Announcement &announcement) {
  const std::optional<Announcement> before = AnnouncedUpstream.current();
  const HeartbeatResult result = AnnouncedUpstream.applyHeartbeat(announcement, steadyClockMs());
  Stats.recordHeartbeat(result);
  if (result == HeartbeatResult::Changed || result == HeartbeatResult::Renewed)
    LocalGate->recordWarmUp(announcement.WarmUpLeft);
  recordProcessChange(before, announcement);
  if (result == HeartbeatResult::Changed) {
    // A later departure of this process is another one.
    if (AnnouncedUpstream.acceptsWork())
      Departures.erase({announcement.ID, announcement.ProcessStart + 1});
    applyAnnouncement();
  }
  awaitDepartures();
  return acknowledge(AnnouncedUpstream.departureOf(announcement));
}

ManagementResponse TrafficTask::handleManagement(const Withdrawal &withdrawal) {
  const TimeMs unixNow = wallClockMs();
  if (!AnnouncedUpstream.withdraw(withdrawal.ID, steadyClockMs(), unixNow))
    return acknowledge(UpstreamDeparture{withdrawal.ID, unixNow});
  applyAnnouncement();
  return acknowledge(AnnouncedUpstream.departure());
}

ManagementResponse TrafficTask::acknowledge(const std::optional<UpstreamDeparture> &departure) {
  return {200, Env.HeartbeatResponse(), departure.has_value() ? recordDeparture(*departure) : 0};
}

void TrafficTask::handleLeaving() {
  if (!AnnouncedUpstream.markLeaving())
    return;
  Control.put(TrafficTimelineEvent{"host", AnnouncedUpstream.current()->ID.str(),
                                   "states in its responses that it leaves"});
  static_cast<void>(recordDeparture(*AnnouncedUpstream.departure()));
  applyAnnouncement();
}

void TrafficTask::applyAnnouncement() {
  if (!AnnouncedUpstream.restored())
    return;
  const Announcement &current = *AnnouncedUpstream.current();
  const LocalUpstream upstream{current.Service, current.Version, current.Slots, current.ID.str(),
                               current.ProcessStart};
  if (Caller.applyHeartbeat(upstream.Service))
    recordCallerChange("heartbeat");
  const bool draining = !AnnouncedUpstream.acceptsWork() || GateClosed;
  LocalGate->setUpstream(upstream, current.Address, draining, current.WarmUpLeft);
  Control.put(UpstreamAnnounced{upstream, draining});
}

void TrafficTask::startHeartbeatTimer() {
  HeartbeatCheckDue = steadyClockMs() + HeartbeatCheckPeriod;
  HeartbeatTimer.start(HeartbeatCheckPeriod);
}

void TrafficTask::checkHeartbeat() {
  const DurationMs late = Stalls.recordFired(HeartbeatCheckDue, steadyClockMs());
  Stats.setLongestStall(Stalls.longest());
  if (late != 0)
    Control.put(
        TrafficTimelineEvent{"main", "traffic loop", absl::StrCat("stalled for ", late, " ms")});
  startHeartbeatTimer();
  if (AnnouncedUpstream.checkTimeout(steadyClockMs()))
    applyAnnouncement();
}

} // namespace jasmineloom
