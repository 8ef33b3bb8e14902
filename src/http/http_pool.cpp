/// @file http_pool.cpp Kept HTTP/1.1 connections to other processes, and calls over them.
#include "http/http_pool.h"

#include <absl/strings/str_cat.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>

namespace jasmineloom {

namespace {

/// Shorter than upstreams and gates keep idle connections where they don't tell.
constexpr DurationMs IdleTime = 4 * MsPerSecond;
/// Part of the time told by Keep-Alive for which a connection is reused.
constexpr double KeepAliveShare = 0.7;
/// Time in which a peer's machine must acknowledge bytes, ms: ten times a lossy link's resend.
constexpr int UserTimeoutMs = 2000;
/// Probes of an idle connection: first after, then each, seconds; given up after so many.
constexpr int KeepAliveIdle = 1;
constexpr int KeepAliveInterval = 1;
constexpr int KeepAliveProbes = 2;
constexpr DurationMs SweepPeriod = 2 * MsPerSecond;

} // namespace

struct HttpPool::Connection {
  explicit Connection(std::size_t maxBody) : Reader(maxBody) {}

  HttpPool *Pool = nullptr;
  std::string Address;
  BuffereventPtr Socket;
  HttpResponseReader Reader;
  Call *Current = nullptr;
  std::uint64_t BytesOut = 0;
  TimeMs IdleUntil = 0;
  bool Open = false; ///< The peer has accepted it.
};

struct HttpPool::Call {
  HttpPool *Pool = nullptr;
  HttpCallID ID = 0;
  Connection *Conn = nullptr;
  std::uint64_t BytesBefore = 0;
  HttpCallback Callback;
  EventPtr Timeout;
  bool FailedAtStart = false;
  DurationMs TimeoutLeft = 0; ///< Time after the connect timeout.
  std::string EchoedField;
  std::string EchoedValue; ///< Empty: any answer is the call's own.
};

HttpPool::HttpPool(event_base *base, std::size_t maxBody)
    : Base(base), MaxBody(maxBody), Sweeper(base, [this] { sweep(); }) {
  Sweeper.start(SweepPeriod);
}

HttpPool::~HttpPool() = default;

namespace {

/// Makes the socket send at once, and notice a peer that has gone without a word.
void prepareSocket(evutil_socket_t fd) {
  const int on = 1;
  setNoDelay(fd);
  setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &KeepAliveIdle, sizeof(KeepAliveIdle));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &KeepAliveInterval, sizeof(KeepAliveInterval));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &KeepAliveProbes, sizeof(KeepAliveProbes));
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &UserTimeoutMs, sizeof(UserTimeoutMs));
}

/// @returns the time told by a Keep-Alive header, or \p fallback.
DurationMs keepAliveOf(const HeaderFields &headers, DurationMs fallback) {
  const std::string *value = findHeader(headers, "keep-alive");
  const std::size_t at = value == nullptr ? std::string::npos : value->find("timeout=");
  if (at == std::string::npos)
    return fallback;
  const auto seconds = static_cast<double>(std::strtoul(&(*value)[at + 8], nullptr, 10));
  return static_cast<DurationMs>(seconds * KeepAliveShare * MsPerSecond);
}

} // namespace

/// A connection that is opened only to see whether it opens.
struct HttpPool::Check {
  std::function<void(bool)> Done;
  bufferevent *Socket = nullptr;
};

void HttpPool::checkReachable(const std::string &address, std::function<void(bool)> done) {
  const std::optional<SocketAddress> target = socketAddressOf(address);
  auto *check = new Check{std::move(done), bufferevent_socket_new(Base, -1, BEV_OPT_CLOSE_ON_FREE)};
  const auto onEvent = [](bufferevent *bev, short events, void *arg) {
    const std::unique_ptr<Check> ended(static_cast<Check *>(arg));
    bufferevent_free(bev);
    ended->Done((events & BEV_EVENT_CONNECTED) != 0);
  };
  bufferevent_setcb(check->Socket, nullptr, nullptr, onEvent, check);
  const timeval tv = toTimeval(MsPerSecond);
  bufferevent_set_timeouts(check->Socket, &tv, &tv);
  bufferevent_enable(check->Socket, EV_READ | EV_WRITE);
  const bool started = target.has_value() &&
                       bufferevent_socket_connect(check->Socket, target->get(), target->Size) == 0;
  if (!started)
    bufferevent_trigger_event(check->Socket, BEV_EVENT_ERROR, BEV_TRIG_DEFER_CALLBACKS);
}

void HttpPool::closeIdle(const std::string &address) {
  std::vector<Connection *> idle;
  for (const auto &[to, connections] : Idle) {
    if (address.empty() || to == address)
      idle.insert(idle.end(), connections.begin(), connections.end());
  }
  for (Connection *connection : idle)
    closeLater(connection);
}

void HttpPool::onBytesOut(evbuffer *buf, const evbuffer_cb_info *info, void *arg) {
  static_cast<void>(buf);
  static_cast<Connection *>(arg)->BytesOut += info->n_deleted;
}

void HttpPool::onRead(bufferevent *bev, void *arg) {
  static_cast<void>(bev);
  auto *connection = static_cast<Connection *>(arg);
  // What comes without a request belongs to none.
  if (connection->Current == nullptr)
    connection->Pool->closeLater(connection);
  else
    connection->Pool->read(*connection);
}

void HttpPool::onEvent(bufferevent *bev, short events, void *arg) {
  auto *connection = static_cast<Connection *>(arg);
  HttpPool *pool = connection->Pool;
  if ((events & BEV_EVENT_CONNECTED) != 0) {
    connection->Open = true;
    prepareSocket(bufferevent_getfd(bev));
    return;
  }
  if (connection->Current == nullptr) {
    pool->closeLater(connection);
    return;
  }
  const bool ended = (events & BEV_EVENT_EOF) != 0;
  pool->take(*connection, ended ? connection->Reader.readEnd() : AnswerStep(AnswerBroken{}));
}

HttpPool::Connection *HttpPool::takeConnection(const std::string &address) {
  auto &idle = Idle[address];
  const TimeMs now = steadyClockMs();
  while (!idle.empty()) {
    // The longest idle one: an answer too many has had time to show.
    Connection *connection = idle.front();
    if (now < connection->IdleUntil) {
      idle.pop_front();
      return connection;
    }
    closeLater(connection);
  }
  const std::optional<SocketAddress> target = socketAddressOf(address);
  if (!target.has_value())
    return nullptr;
  auto made = std::make_unique<Connection>(MaxBody);
  made->Pool = this;
  made->Address = address;
  made->Socket.reset(bufferevent_socket_new(Base, -1, BEV_OPT_CLOSE_ON_FREE));
  if (made->Socket == nullptr)
    return nullptr;
  bufferevent_setcb(made->Socket.get(), onRead, nullptr, onEvent, made.get());
  evbuffer_add_cb(bufferevent_get_output(made->Socket.get()), onBytesOut, made.get());
  bufferevent_enable(made->Socket.get(), EV_READ | EV_WRITE);
  Connection *connection = made.get();
  Connections.emplace(connection, std::move(made));
  ++Open[address];
  if (bufferevent_socket_connect(connection->Socket.get(), target->get(), target->Size) != 0) {
    closeLater(connection);
    return nullptr;
  }
  return connection;
}

void HttpPool::start(Call &call, HttpCall &request) {
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
  auto made = std::make_unique<Call>();
  made->Pool = this;
  made->ID = ++LastID;
  made->Callback = std::move(callback);
  made->Timeout.reset(event_new(Base, -1, 0, onTimeout, made.get()));
  made->EchoedField = call.EchoedField;
  if (const std::string *value = findHeader(call.Headers, call.EchoedField); value != nullptr)
    made->EchoedValue = *value;
  Call &entry = *made;
  Calls.emplace(entry.ID, std::move(made));
  Connection *connection = takeConnection(address);
  if (connection == nullptr) {
    entry.FailedAtStart = true;
    event_active(entry.Timeout.get(), EV_TIMEOUT, 0);
    return entry.ID;
  }
  entry.Conn = connection;
  connection->Current = &entry;
  entry.BytesBefore = connection->BytesOut;
  const bool opening = !connection->Open && call.ConnectTimeout != 0;
  const DurationMs first = opening ? std::min(call.ConnectTimeout, call.Timeout) : call.Timeout;
  entry.TimeoutLeft = call.Timeout - first;
  const timeval tv = toTimeval(std::max<DurationMs>(first, 1));
  event_add(entry.Timeout.get(), &tv);
  start(entry, call);
  return entry.ID;
}

void HttpPool::read(Connection &connection) {
  take(connection, connection.Reader.read(bufferevent_get_input(connection.Socket.get())));
}

void HttpPool::take(Connection &connection, AnswerStep step) {
  Call &call = *connection.Current;
  if (std::holds_alternative<AnswerPending>(step))
    return;
  if (std::holds_alternative<AnswerBroken>(step)) {
    fail(call, false);
    return;
  }
  ReadAnswer &answer = std::get<ReadAnswer>(step);
  const std::string *echoed =
      call.EchoedValue.empty() ? nullptr : findHeader(answer.Headers, call.EchoedField);
  const bool foreign = echoed != nullptr && *echoed != call.EchoedValue;
  if (!foreign)
    finish(call, std::move(answer));
  else if (answer.KeepsAlive)
    read(connection);
  else
    fail(call, false);
}

void HttpPool::onTimeout(evutil_socket_t fd, short events, void *arg) {
  static_cast<void>(fd);
  static_cast<void>(events);
  auto *call = static_cast<Call *>(arg);
  const bool connected = call->Conn != nullptr && call->Conn->Open;
  if (connected && call->TimeoutLeft != 0 && !call->FailedAtStart) {
    const timeval tv = toTimeval(std::exchange(call->TimeoutLeft, 0));
    event_add(call->Timeout.get(), &tv);
    return;
  }
  call->Pool->fail(*call, !call->FailedAtStart);
}

void HttpPool::finish(Call &call, ReadAnswer answer) {
  Connection *connection = call.Conn;
  HttpResult result;
  result.Complete = true;
  result.BytesSent = true;
  result.Status = answer.Status;
  result.Headers = std::move(answer.Headers);
  result.Body = std::move(answer.Body);
  // Bytes after the answer belong to no request; a rest of the request would meet the next one.
  const bool extra = evbuffer_get_length(bufferevent_get_input(connection->Socket.get())) != 0;
  const bool unsent = evbuffer_get_length(bufferevent_get_output(connection->Socket.get())) != 0;
  connection->Current = nullptr;
  if (answer.KeepsAlive && !extra && !unsent) {
    connection->IdleUntil = steadyClockMs() + keepAliveOf(result.Headers, IdleTime);
    Idle[connection->Address].push_back(connection);
  } else {
    closeLater(connection);
  }
  end(call, std::move(result));
}

void HttpPool::fail(Call &call, bool timedOut) {
  HttpResult result;
  result.TimedOut = timedOut;
  if (call.Conn != nullptr) {
    result.BytesSent = call.Conn->BytesOut != call.BytesBefore;
    call.Conn->Current = nullptr;
    closeLater(call.Conn);
  }
  end(call, std::move(result));
}

void HttpPool::end(Call &call, HttpResult result) {
  const HttpCallback callback = std::move(call.Callback);
  Calls.erase(call.ID);
  callback(std::move(result));
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

void HttpPool::closeLater(Connection *connection) {
  const auto it = Connections.find(connection);
  if (it == Connections.end())
    return;
  std::erase(Idle[connection->Address], connection);
  --Open[connection->Address];
  bufferevent_setcb(connection->Socket.get(), nullptr, nullptr, nullptr, nullptr);
  bufferevent_disable(connection->Socket.get(), EV_READ | EV_WRITE);
  Closing.push_back(std::move(it->second));
  Connections.erase(it);
  Sweeper.start(0);
}

void HttpPool::sweep() {
  Closing.clear();
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
  Closing.clear();
  Sweeper.start(SweepPeriod);
}

std::size_t HttpPool::connections(const std::string &address) const {
  const auto it = Open.find(address);
  return it == Open.end() ? 0 : it->second;
}

} // namespace jasmineloom
