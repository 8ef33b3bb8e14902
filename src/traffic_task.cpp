/// @file traffic_task.cpp The thread of all HTTP: ingress, gate, management port, store calls.
#include "traffic_task.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <event2/keyvalq_struct.h>
#include <sys/eventfd.h>
#include <unistd.h>

namespace jasmineloom {

namespace {

constexpr std::size_t MaxStoreAnswer = 8 << 20;
constexpr DurationMs DrainCheckPeriod = 20;
/// Time for which a draining host still refuses new work in person, while the news spreads.
constexpr DurationMs DrainLinger = 3 * MsPerSecond;
/// An upstream that hasn't repeated its announcement for this long gets no new work.
constexpr DurationMs AnnounceLease = 5 * MsPerSecond;
constexpr DurationMs LeaseCheckPeriod = 250;
constexpr int WatchTimeoutSeconds = 3600;

/// Makes the loop of the data path. Its objects belong to one thread, so it goes without locks;
/// changes of one descriptor within a turn are told to the kernel once.
EventBasePtr makeTrafficBase() {
  event_config *config = event_config_new();
  event_config_set_flag(config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
  event_config_set_flag(config, EVENT_BASE_FLAG_NOLOCK);
  EventBasePtr base(event_base_new_with_config(config));
  event_config_free(config);
  return base;
}

std::string queryValue(const evkeyvalq &query, const char *name) {
  const char *value = evhttp_find_header(&query, name);
  return value == nullptr ? "" : value;
}

} // namespace

TrafficTask::TrafficTask(TrafficSettings settings, TrafficMailbox &inbox, ControlMailbox &control)
    : Settings(std::move(settings)), Inbox(inbox), Control(control), Base(makeTrafficBase()),
      WakeFd(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)), Pool(Base.get(), Settings.MaxBody),
      StorePool(Base.get(), MaxStoreAnswer), DrainTimer(Base.get(), [this] { checkDrained(); }),
      LeaseTimer(Base.get(), [this] { checkLease(); }) {
  const auto wake = [](evutil_socket_t fd, short, void *arg) {
    std::uint64_t count = 0;
    static_cast<void>(read(fd, &count, sizeof(count)) > 0);
    static_cast<TrafficTask *>(arg)->handleAll();
  };
  WakeEvent.reset(event_new(Base.get(), WakeFd, EV_READ | EV_PERSIST, wake, this));
  event_add(WakeEvent.get(), nullptr);
  Inbox.setWake([fd = WakeFd] {
    const std::uint64_t one = 1;
    static_cast<void>(write(fd, &one, sizeof(one)) > 0);
  });
  Gates = std::make_unique<GateTask>(Base.get(), Settings, Pool, Figures, Control);
  Ingress = std::make_unique<IngressTask>(Base.get(), Settings, Pool, Figures);
  Management.reset(evhttp_new(Base.get()));
  evhttp_set_gencb(Management.get(), onManagement, this);
  LeaseTimer.start(LeaseCheckPeriod);
}

TrafficTask::~TrafficTask() {
  Inbox.setWake({});
  if (Watch != nullptr)
    evhttp_connection_free(Watch);
  close(WakeFd);
}

bool TrafficTask::listen() {
  if (!Ingress->listen()) {
    Error = absl::StrCat("ingress port ", Settings.IngressPort, " is in use");
    return false;
  }
  if (!Gates->listen()) {
    Error = absl::StrCat("gate port ", Settings.GatePort, " is in use");
    return false;
  }
  if (evhttp_bind_socket(Management.get(), Settings.ListenAddress.c_str(),
                         Settings.ManagementPort) != 0) {
    Error = absl::StrCat("management port ", Settings.ManagementPort, " is in use");
    return false;
  }
  return true;
}

void TrafficTask::run() {
  handleAll();
  event_base_loop(Base.get(), EVLOOP_NO_EXIT_ON_EMPTY);
}

void TrafficTask::handleAll() {
  for (TrafficCommand &command : Inbox.takeAll())
    std::visit([this](auto &message) { handle(message); }, command);
}

void TrafficTask::handle(PublishView &message) {
  Ready = true;
  Gates->setView(message.View);
  Ingress->setView(message.View);
}

void TrafficTask::handle(StoreCall &message) {
  HttpCall call;
  call.Method = EVHTTP_REQ_POST;
  call.Path = message.Path;
  call.Headers = {{"Content-Type", "application/json"}};
  call.Body = makeBuffer(message.Body);
  call.Timeout = message.Timeout;
  StorePool.call(Settings.StoreAddress, std::move(call),
                 [this, number = message.Number](const HttpResult &result) {
                   StoreReply reply;
                   reply.Number = number;
                   reply.Answered = result.Complete;
                   reply.Sent = result.BytesSent;
                   reply.Status = result.Status;
                   if (result.Complete)
                     reply.Body = textOf(result.Body.get());
                   Control.put(std::move(reply));
                 });
}

void TrafficTask::handle(StoreWatchStart &message) {
  if (Watch != nullptr) {
    evhttp_connection_free(Watch);
    Watch = nullptr;
  }
  const std::size_t colon = Settings.StoreAddress.rfind(':');
  const std::string host = Settings.StoreAddress.substr(0, colon);
  int port = 0;
  if (colon == std::string::npos ||
      !absl::SimpleAtoi(Settings.StoreAddress.substr(colon + 1), &port))
    return;
  Watch = evhttp_connection_base_new(Base.get(), nullptr, host.c_str(),
                                     static_cast<std::uint16_t>(port));
  evhttp_connection_set_timeout(Watch, WatchTimeoutSeconds);
  evhttp_request *request = evhttp_request_new(onWatchEnd, this);
  evhttp_request_set_chunked_cb(request, onWatchChunk);
  evkeyvalq *headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Host", Settings.StoreAddress.c_str());
  evhttp_add_header(headers, "Content-Type", "application/json");
  evbuffer_add(evhttp_request_get_output_buffer(request), message.Body.data(), message.Body.size());
  WatchOpen = true;
  if (evhttp_make_request(Watch, request, EVHTTP_REQ_POST, "/v3/watch") != 0) {
    WatchOpen = false;
    Control.put(StoreWatchEvent{true});
  }
}

void TrafficTask::onWatchChunk(evhttp_request *request, void *arg) {
  evbuffer *buf = evhttp_request_get_input_buffer(request);
  evbuffer_drain(buf, evbuffer_get_length(buf));
  static_cast<TrafficTask *>(arg)->Control.put(StoreWatchEvent{false});
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
  DrainUntil = wallClockMs() + DrainLinger;
  Gates->beginDrain();
  DrainTimer.start(DrainCheckPeriod);
}

void TrafficTask::checkDrained() {
  const bool lingered = wallClockMs() >= DrainUntil;
  if (lingered && Gates->pending() == 0 && Ingress->pending() == 0) {
    Gates->handOver([this](bool handedOver) { Control.put(Drained{handedOver}); });
    return;
  }
  DrainTimer.start(DrainCheckPeriod);
}

void TrafficTask::handle(ControlFigures &message) { Figures.setControl(message); }

void TrafficTask::handle(StopTask &message) {
  static_cast<void>(message);
  event_base_loopbreak(Base.get());
}

void TrafficTask::onManagement(evhttp_request *request, void *arg) {
  static_cast<TrafficTask *>(arg)->manage(request);
}

void TrafficTask::replyText(evhttp_request *request, int status, const std::string &text) {
  const EvBufferPtr buf = makeBuffer(text);
  evhttp_send_reply(request, status, nullptr, buf.get());
}

void TrafficTask::manage(evhttp_request *request) {
  const std::string path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request));
  const bool post = evhttp_request_get_command(request) == EVHTTP_REQ_POST;
  if (path == "/metrics")
    replyText(request, 200, Figures.text());
  else if (path == "/healthz")
    replyText(request, 200, "ok\n");
  else if (path == "/readyz")
    replyText(request, Ready && !Draining ? 200 : 503, Draining ? "draining\n" : "starting\n");
  else if (path == "/drain" && post) {
    Control.put(DrainRequested{"management port"});
    replyText(request, 202, "draining\n");
  } else if (path == "/announce" && post)
    announce(request);
  else
    replyText(request, 404, "no such page\n");
}

void TrafficTask::announce(evhttp_request *request) {
  evkeyvalq query{};
  const char *text = evhttp_uri_get_query(evhttp_request_get_evhttp_uri(request));
  evhttp_parse_query_str(text == nullptr ? "" : text, &query);
  UpstreamAnnounced next;
  next.Upstream.Service = ServiceName(queryValue(query, "service"));
  next.Upstream.Version = VersionLabel(queryValue(query, "version"));
  next.Draining = queryValue(query, "draining") == "1";
  const std::string address = queryValue(query, "address");
  const bool valid = absl::SimpleAtoi(queryValue(query, "slots"), &next.Upstream.Slots) &&
                     next.Upstream.Slots > 0 && !next.Upstream.Service.empty() &&
                     !next.Upstream.Version.empty() && !address.empty();
  evhttp_clear_headers(&query);
  if (!valid) {
    replyText(request, 400, "service, version, address and slots (at least 1) are needed\n");
    return;
  }
  LeaseUntil = wallClockMs() + AnnounceLease;
  const bool changed = !(next.Upstream == Announced.Upstream) ||
                       next.Draining != Announced.Draining || address != UpstreamAddress;
  if (changed) {
    Announced = next;
    UpstreamAddress = address;
    Gates->setUpstream(next.Upstream, address, next.Draining || Draining);
    Control.put(next);
  }
  replyText(request, 200, "ok\n");
}

void TrafficTask::checkLease() {
  LeaseTimer.start(LeaseCheckPeriod);
  if (Announced.Draining || Announced.Upstream.Slots == 0 || wallClockMs() < LeaseUntil)
    return;
  Announced.Draining = true;
  Gates->setUpstream(Announced.Upstream, UpstreamAddress, true);
  Control.put(Announced);
}

} // namespace jasmineloom
