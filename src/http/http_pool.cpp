/// @file http_pool.cpp HTTP/1.1 client with a pool of persistent connections.
#include "http/http_pool.h"

#include "log.h"

#include <absl/strings/str_cat.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

#include <algorithm>

namespace jasmineloom {

namespace {

/// For peers that send no Keep-Alive timeout. Shorter than the idle timeouts of upstreams and
/// gates.
constexpr DurationMs DefaultIdleTimeout = 4 * MsPerSecond;
/// Fraction of the peer's Keep-Alive timeout for which an idle connection is reused.
constexpr double KeepAliveFraction = 0.7;
/// TCP_USER_TIMEOUT: limit for unacknowledged data; ten retransmission times of a lossy link.
constexpr int TcpUserTimeoutMs = 2000;
/// TCP keep-alive: seconds before the first probe and between probes, and unanswered probes after
/// which the connection is closed.
constexpr int TcpKeepAliveIdleS = 1;
constexpr int TcpKeepAliveIntervalS = 1;
constexpr int TcpKeepAliveProbes = 2;
constexpr DurationMs SweepPeriod = 2 * MsPerSecond;

} // namespace

struct HttpPool::Connection {
  Connection(HeldBytes *held, std::size_t maxBody)
      : Reader(maxBody), Held(held, maxBody, [this] { return cut(*this); }) {}

  HttpPool *Pool = nullptr;
  std::string Address;
  BuffereventPtr Socket;
  HttpResponseReader Reader;
  Call *Current = nullptr;
  std::uint64_t BytesOut = 0;
  bool HasReceived = false; ///< Bytes have arrived since the flag was last cleared.
  std::uint64_t Calls = 0;  ///< Calls that have used the connection, the current one included.
  bool HasEchoed = false;   ///< A response has repeated the EchoedField of its call.
  TimeMs IdleUntil = 0;
  bool Connected = false;
  bool Retired = false; ///< Not to be used by another call.
  HeldBytes::Share Held;
};

struct HttpPool::Call {
  HttpPool *Pool = nullptr;
  HttpCallID ID = 0;
  Connection *Conn = nullptr;
  std::uint64_t BytesBefore = 0;
  HttpCallback Callback;
  EventPtr Timeout;
  /// No connection attempt could be started. The timeout event fails the call from the event loop.
  bool ConnectFailed = false;
  DurationMs RemainingTimeout = 0; ///< Rest of the call's timeout after the connect timeout.
  DurationMs SilenceTimeout = 0;   ///< 0: silence of the peer does not matter.
  TimeMs EndsAt = 0;               ///< End of the TotalTimeout; 0: none.
  std::string EchoedField;
  std::string EchoedValue; ///< Empty: any response is accepted.
};

HttpPool::HttpPool(event_base *base, std::size_t maxBody, HeldBytes *held)
    : Base(base), MaxBody(maxBody), Held(held), Sweeper(base, [this] { sweep(); }) {
  Sweeper.start(SweepPeriod);
}

HttpPool::~HttpPool() = default;

namespace {

/// Disables Nagle's algorithm and lets the kernel detect peers that disappear without a FIN or RST.
void setSocketOptions(evutil_socket_t fd) {
  const int on = 1;
  setNoDelay(fd);
  setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &TcpKeepAliveIdleS, sizeof(TcpKeepAliveIdleS));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &TcpKeepAliveIntervalS, sizeof(TcpKeepAliveIntervalS));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &TcpKeepAliveProbes, sizeof(TcpKeepAliveProbes));
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &TcpUserTimeoutMs, sizeof(TcpUserTimeoutMs));
}

/// @returns whether an idle connection is usable: open, and without bytes that the event loop has
/// not read yet. Such bytes belong to no request.
bool isQuiet(evutil_socket_t fd) {
  char byte = 0;
  return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
         (errno == EAGAIN || errno == EWOULDBLOCK);
}

/// Drops what the kernel has not sent yet when the connection is closed; it would otherwise send
/// the rest of a body that was refused.
void dropUnsentOnClose(evutil_socket_t fd) {
  int queued = 0;
  const linger reset{1, 0};
  if (ioctl(fd, SIOCOUTQ, &queued) == 0 && queued > 0)
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

/// @returns the time for which a connection may stay idle by its Keep-Alive header, or \p fallback.
DurationMs keepAliveTimeout(const HeaderFields &headers, DurationMs fallback) {
  const std::string *value = findHeader(headers, "keep-alive");
  const std::size_t at = value == nullptr ? std::string::npos : value->find("timeout=");
  if (at == std::string::npos)
    return fallback;
  const auto seconds = static_cast<double>(std::strtoul(&(*value)[at + 8], nullptr, 10));
  return static_cast<DurationMs>(seconds * KeepAliveFraction * MsPerSecond);
}

} // namespace

/// A connection attempt of checkReachable().
struct HttpPool::ReachabilityProbe {
  std::function<void(bool)> Done;
  bufferevent *Socket = nullptr;
};

void HttpPool::checkReachable(const std::string &address, std::function<void(bool)> done) {
  const std::optional<SocketAddress> target = socketAddressOf(address);
  auto *probe = new ReachabilityProbe{std::move(done),
                                      bufferevent_socket_new(Base, -1, BEV_OPT_CLOSE_ON_FREE)};
  const auto onEvent = [](bufferevent *bev, short events, void *arg) {
    const std::unique_ptr<ReachabilityProbe> ended(static_cast<ReachabilityProbe *>(arg));
    bufferevent_free(bev);
    ended->Done((events & BEV_EVENT_CONNECTED) != 0);
  };
  bufferevent_setcb(probe->Socket, nullptr, nullptr, onEvent, probe);
  const timeval tv = toTimeval(MsPerSecond);
  bufferevent_set_timeouts(probe->Socket, &tv, &tv);
  bufferevent_enable(probe->Socket, EV_READ | EV_WRITE);
  const bool started = target.has_value() &&
                       bufferevent_socket_connect(probe->Socket, target->get(), target->Size) == 0;
  if (!started)
    bufferevent_trigger_event(probe->Socket, BEV_EVENT_ERROR, BEV_TRIG_DEFER_CALLBACKS);
}

void HttpPool::retireConnections(const std::string &address) {
  std::vector<Connection *> idle;
  for (const auto &[connection, owned] : Connections) {
    if (connection->Address != address)
      continue;
    connection->Retired = true;
    if (connection->Current == nullptr)
      idle.push_back(connection);
  }
  for (Connection *connection : idle)
    closeLater(connection);
}

void HttpPool::onBytesOut(evbuffer *buf, const evbuffer_cb_info *info, void *arg) {
  static_cast<void>(buf);
  auto *connection = static_cast<Connection *>(arg);
  connection->BytesOut += info->n_deleted;
  updateHeld(*connection);
}

void HttpPool::onRead(bufferevent *bev, void *arg) {
  static_cast<void>(bev);
  auto *connection = static_cast<Connection *>(arg);
  // Bytes received on an idle connection belong to no request.
  connection->HasReceived = true;
  if (connection->Current == nullptr)
    connection->Pool->closeLater(connection);
  else
    connection->Pool->readResponse(*connection);
}

void HttpPool::onEvent(bufferevent *bev, short events, void *arg) {
  auto *connection = static_cast<Connection *>(arg);
  HttpPool *pool = connection->Pool;
  if ((events & BEV_EVENT_CONNECTED) != 0) {
    connection->Connected = true;
    setSocketOptions(bufferevent_getfd(bev));
    return;
  }
  if (connection->Current == nullptr) {
    pool->closeLater(connection);
    return;
  }
  const bool ended = (events & BEV_EVENT_EOF) != 0;
  pool->handleReadResult(*connection, ended ? connection->Reader.readEof()
                                            : ResponseReadResult(ResponseInvalid{}));
}

HttpPool::Connection *HttpPool::acquireConnection(const std::string &address) {
  auto &idle = Idle[address];
  const TimeMs now = steadyClockMs();
  while (!idle.empty()) {
    // Prefer the longest idle connection: a surplus response on it would have arrived by now and
    // closed it.
    Connection *connection = idle.front();
    if (now < connection->IdleUntil && isQuiet(bufferevent_getfd(connection->Socket.get()))) {
      idle.pop_front();
      return connection;
    }
    closeLater(connection);
  }
  const std::optional<SocketAddress> target = socketAddressOf(address);
  if (!target.has_value())
    return nullptr;
  auto owned = std::make_unique<Connection>(Held, MaxBody);
  owned->Pool = this;
  owned->Address = address;
  owned->Socket.reset(bufferevent_socket_new(Base, -1, BEV_OPT_CLOSE_ON_FREE));
  if (owned->Socket == nullptr)
    return nullptr;
  bufferevent_setcb(owned->Socket.get(), onRead, nullptr, onEvent, owned.get());
  evbuffer_add_cb(bufferevent_get_output(owned->Socket.get()), onBytesOut, owned.get());
  bufferevent_enable(owned->Socket.get(), EV_READ | EV_WRITE);
  Connection *connection = owned.get();
  Connections.emplace(connection, std::move(owned));
  ++OpenCounts[address];
  if (bufferevent_socket_connect(connection->Socket.get(), target->get(), target->Size) != 0) {
    closeLater(connection);
    return nullptr;
  }
  return connection;
}

void HttpPool::sendRequest(Call &call, HttpCall &request) {
  Connection &connection = *call.Conn;
  const std::size_t length = request.Body ? evbuffer_get_length(request.Body.get()) : 0;
  const bool mayHaveBody = request.Method == EVHTTP_REQ_POST || request.Method == EVHTTP_REQ_PUT ||
                           request.Method == EVHTTP_REQ_PATCH;
  std::string head =
      absl::StrCat(std::string(methodName(request.Method)), " ", request.Path, " HTTP/1.1\r\n");
  for (const HeaderField &field : request.Headers)
    absl::StrAppend(&head, field.Name, ": ", field.Value, "\r\n");
  if (findHeader(request.Headers, "host") == nullptr)
    absl::StrAppend(&head, "Host: ", connection.Address, "\r\n");
  if (length != 0 || mayHaveBody)
    absl::StrAppend(&head, "Content-Length: ", length, "\r\n");
  absl::StrAppend(&head, "\r\n");
  connection.Reader.begin(request.Method == EVHTTP_REQ_HEAD);
  evbuffer *out = bufferevent_get_output(connection.Socket.get());
  evbuffer_add(out, head.data(), head.size());
  if (length != 0)
    evbuffer_add_buffer(out, request.Body.get());
}

HttpCallID HttpPool::call(const std::string &address, HttpCall call, HttpCallback callback) {
  auto owned = std::make_unique<Call>();
  owned->Pool = this;
  owned->ID = ++LastID;
  owned->Callback = std::move(callback);
  owned->Timeout.reset(event_new(Base, -1, 0, onTimeout, owned.get()));
  owned->EchoedField = call.EchoedField;
  if (const std::string *value = findHeader(call.Headers, call.EchoedField); value != nullptr)
    owned->EchoedValue = *value;
  Call &entry = *owned;
  Calls.emplace(entry.ID, std::move(owned));
  Connection *connection = acquireConnection(address);
  if (connection == nullptr) {
    entry.ConnectFailed = true;
    event_active(entry.Timeout.get(), EV_TIMEOUT, 0);
    return entry.ID;
  }
  entry.Conn = connection;
  connection->Current = &entry;
  ++connection->Calls;
  connection->HasReceived = false;
  entry.SilenceTimeout = call.TimeoutOnSilence ? call.Timeout : 0;
  entry.EndsAt = call.TotalTimeout == 0 ? 0 : steadyClockMs() + call.TotalTimeout;
  entry.BytesBefore = connection->BytesOut;
  const bool connecting = !connection->Connected && call.ConnectTimeout != 0;
  const DurationMs initialTimeout =
      connecting ? std::min(call.ConnectTimeout, call.Timeout) : call.Timeout;
  entry.RemainingTimeout = call.Timeout - initialTimeout;
  const timeval tv = toTimeval(std::max<DurationMs>(initialTimeout, 1));
  event_add(entry.Timeout.get(), &tv);
  sendRequest(entry, call);
  return entry.ID;
}

void HttpPool::readResponse(Connection &connection) {
  handleReadResult(connection,
                   connection.Reader.read(bufferevent_get_input(connection.Socket.get())));
}

void HttpPool::handleReadResult(Connection &connection, ResponseReadResult result) {
  Call &call = *connection.Current;
  if (std::holds_alternative<ResponseIncomplete>(result)) {
    updateHeld(connection);
    return;
  }
  if (const auto *invalid = std::get_if<ResponseInvalid>(&result)) {
    fail(call, false, invalid->OddStatus);
    return;
  }
  ParsedResponse &response = std::get<ParsedResponse>(result);
  const std::string *echoed =
      call.EchoedValue.empty() ? nullptr : findHeader(response.Headers, call.EchoedField);
  const bool isForeign = echoed != nullptr && *echoed != call.EchoedValue;
  const bool isUnidentified =
      !call.EchoedValue.empty() && echoed == nullptr && connection.HasEchoed;
  const bool misdelivered = isForeign || isUnidentified;
  connection.HasEchoed |= echoed != nullptr;
  if (!misdelivered)
    finish(call, std::move(response));
  else if (response.KeepAlive)
    readResponse(connection);
  else
    fail(call, false);
}

void HttpPool::onTimeout(evutil_socket_t fd, short events, void *arg) {
  static_cast<void>(fd);
  static_cast<void>(events);
  auto *call = static_cast<Call *>(arg);
  const bool connected =
      call->Conn != nullptr && call->Conn->Connected && !call->Conn->Held.isCut();
  if (connected && call->RemainingTimeout != 0 && !call->ConnectFailed) {
    const timeval tv = toTimeval(std::exchange(call->RemainingTimeout, 0));
    event_add(call->Timeout.get(), &tv);
    return;
  }
  if (connected && call->SilenceTimeout != 0 && std::exchange(call->Conn->HasReceived, false)) {
    const TimeMs now = steadyClockMs();
    const bool ended = call->EndsAt != 0 && now >= call->EndsAt;
    if (!ended) {
      const DurationMs left = call->EndsAt == 0 ? call->SilenceTimeout : call->EndsAt - now;
      const timeval tv = toTimeval(std::min(left, call->SilenceTimeout));
      event_add(call->Timeout.get(), &tv);
      return;
    }
  }
  const bool cut = call->Conn != nullptr && call->Conn->Held.isCut();
  call->Pool->fail(*call, !call->ConnectFailed && !cut);
}

void HttpPool::finish(Call &call, ParsedResponse response) {
  Connection *connection = call.Conn;
  HttpResult result;
  result.Complete = true;
  result.BytesSent = true;
  result.Status = response.Status;
  const bool echoes = !call.EchoedValue.empty() &&
                      headerValue(response.Headers, call.EchoedField) == call.EchoedValue;
  result.Matched = echoes || connection->Calls == 1;
  result.Headers = std::move(response.Headers);
  result.Body = std::move(response.Body);
  // Do not reuse the connection if bytes follow the response, as they belong to no request, or if
  // part of the request is unsent, as it would precede the next request.
  const bool extra = evbuffer_get_length(bufferevent_get_input(connection->Socket.get())) != 0;
  const bool unsent = evbuffer_get_length(bufferevent_get_output(connection->Socket.get())) != 0;
  connection->Current = nullptr;
  if (response.KeepAlive && !extra && !unsent && !connection->Retired) {
    connection->IdleUntil = steadyClockMs() + keepAliveTimeout(result.Headers, DefaultIdleTimeout);
    Idle[connection->Address].push_back(connection);
    updateHeld(*connection);
  } else {
    dropUnsentOnClose(bufferevent_getfd(connection->Socket.get()));
    closeLater(connection);
  }
  end(call, std::move(result));
}

void HttpPool::fail(Call &call, bool timedOut, bool oddStatus) {
  HttpResult result;
  result.TimedOut = timedOut;
  result.OddStatus = oddStatus;
  if (call.Conn != nullptr) {
    result.BytesSent = hasSent(call);
    call.Conn->Current = nullptr;
    closeLater(call.Conn);
  }
  end(call, std::move(result));
}

void HttpPool::end(Call &call, HttpResult result) {
  const HttpCallback callback = std::move(call.Callback);
  Calls.erase(call.ID);
  // An unexpected error ends the call that caused it, and not the process.
  try {
    callback(std::move(result));
  } catch (const std::exception &error) {
    LOG4CXX_ERROR(loggerOf("main"), "result of a call not handled: " << error.what());
  }
}

void HttpPool::cancel(HttpCallID id) {
  const auto it = Calls.find(id);
  if (it == Calls.end())
    return;
  Call &call = *it->second;
  if (call.Conn != nullptr) {
    call.Conn->Current = nullptr;
    closeLater(call.Conn);
  }
  Calls.erase(it);
}

void HttpPool::abandon(HttpCallID id) {
  if (const auto it = Calls.find(id); it != Calls.end())
    fail(*it->second, false);
}

bool HttpPool::hasSent(const Call &call) {
  return call.Conn != nullptr && call.Conn->BytesOut != call.BytesBefore;
}

bool HttpPool::hasSent(HttpCallID id) const {
  const auto it = Calls.find(id);
  return it != Calls.end() && hasSent(*it->second);
}

void HttpPool::updateHeld(Connection &connection) {
  if (connection.Current == nullptr) {
    connection.Held.set(0);
    return;
  }
  bufferevent *socket = connection.Socket.get();
  connection.Held.set(evbuffer_get_length(bufferevent_get_input(socket)) +
                      evbuffer_get_length(bufferevent_get_output(socket)) +
                      connection.Reader.held());
}

std::string HttpPool::cut(Connection &connection) {
  // The timeout event fails the call from the event loop.
  bufferevent_disable(connection.Socket.get(), EV_READ | EV_WRITE);
  event_active(connection.Current->Timeout.get(), EV_TIMEOUT, 0);
  return absl::StrCat("call to ", connection.Address);
}

void HttpPool::closeLater(Connection *connection) {
  const auto it = Connections.find(connection);
  if (it == Connections.end())
    return;
  std::erase(Idle[connection->Address], connection);
  --OpenCounts[connection->Address];
  connection->Held.set(0);
  bufferevent_setcb(connection->Socket.get(), nullptr, nullptr, nullptr, nullptr);
  bufferevent_disable(connection->Socket.get(), EV_READ | EV_WRITE);
  PendingClose.push_back(std::move(it->second));
  Connections.erase(it);
  Sweeper.start(0);
}

void HttpPool::sweep() {
  PendingClose.clear();
  const TimeMs now = steadyClockMs();
  std::vector<Connection *> stale;
  for (const auto &[address, idle] : Idle) {
    for (Connection *connection : idle) {
      if (now >= connection->IdleUntil)
        stale.push_back(connection);
    }
  }
  for (Connection *connection : stale)
    closeLater(connection);
  PendingClose.clear();
  Sweeper.start(SweepPeriod);
}

std::size_t HttpPool::connections(const std::string &address) const {
  const auto it = OpenCounts.find(address);
  return it == OpenCounts.end() ? 0 : it->second;
}

} // namespace jasmineloom
