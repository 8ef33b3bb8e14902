/// @file http_pool.cpp Kept HTTP/1.1 connections to other processes, and calls over them.
#include "http_pool.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <strings.h>

#include <algorithm>
#include <cassert>

namespace jasmineloom {

namespace {

constexpr DurationMs IdleTime = 20 * MsPerSecond; ///< Shorter than a gate keeps idle connections.
constexpr DurationMs SweepPeriod = 2 * MsPerSecond;
constexpr int NoEvhttpTimeout = 3600; ///< Calls have timers of their own, seconds.
constexpr std::size_t MaxAnswerHeaders = 64 * 1024;

} // namespace

struct HttpPool::Connection {
  HttpPool *Pool = nullptr;
  std::string Address;
  evhttp_connection *Evcon = nullptr;
  Call *Current = nullptr;
  std::uint64_t BytesOut = 0;
  std::uint64_t IdleSince = 0; ///< Steady clock, ms.
  bool Connected = false;
  bool NoDelay = false;

  ~Connection() {
    if (Evcon == nullptr)
      return;
    evhttp_connection_set_closecb(Evcon, nullptr, nullptr);
    evhttp_connection_free(Evcon);
  }
};

struct HttpPool::Call {
  HttpPool *Pool = nullptr;
  HttpCallID ID = 0;
  Connection *Conn = nullptr;
  evhttp_request *Request = nullptr;
  std::uint64_t BytesBefore = 0;
  HttpCallback Callback;
  EventPtr Timeout;
  bool FailedAtStart = false;
  bool Head = false;
};

const std::string *findHeader(const HeaderFields &fields, std::string_view name) {
  for (const HeaderField &field : fields) {
    if (field.Name.size() == name.size() &&
        strncasecmp(field.Name.data(), name.data(), name.size()) == 0)
      return &field.Value;
  }
  return nullptr;
}

HttpPool::HttpPool(event_base *base, std::size_t maxBody)
    : Base(base), MaxBody(maxBody), Sweeper(base, [this] { sweep(); }) {
  Sweeper.start(SweepPeriod);
}

HttpPool::~HttpPool() {
  for (auto &[id, call] : Calls)
    evhttp_request_set_error_cb(call->Request, nullptr);
  Connections.clear();
}

void HttpPool::onBytesOut(evbuffer *buf, const evbuffer_cb_info *info, void *arg) {
  static_cast<void>(buf);
  static_cast<Connection *>(arg)->BytesOut += info->n_deleted;
}

void HttpPool::onConnectionClosed(evhttp_connection *evcon, void *arg) {
  static_cast<void>(evcon);
  auto *connection = static_cast<Connection *>(arg);
  if (connection->Current == nullptr)
    connection->Pool->closeLater(connection);
}

HttpPool::Connection *HttpPool::takeConnection(const std::string &address) {
  auto &idle = Idle[address];
  if (!idle.empty()) {
    Connection *connection = idle.back();
    idle.pop_back();
    return connection;
  }
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos)
    return nullptr;
  const std::string host = address.substr(0, colon);
  const auto port = static_cast<std::uint16_t>(std::strtoul(&address[colon + 1], nullptr, 10));
  auto made = std::make_unique<Connection>();
  made->Pool = this;
  made->Address = address;
  made->Evcon = evhttp_connection_base_new(Base, nullptr, host.c_str(), port);
  if (made->Evcon == nullptr)
    return nullptr;
  evhttp_connection_set_timeout(made->Evcon, NoEvhttpTimeout);
  evhttp_connection_set_max_body_size(made->Evcon, static_cast<ev_ssize_t>(MaxBody));
  evhttp_connection_set_max_headers_size(made->Evcon, MaxAnswerHeaders);
  evhttp_connection_set_closecb(made->Evcon, onConnectionClosed, made.get());
  bufferevent *bev = evhttp_connection_get_bufferevent(made->Evcon);
  evbuffer_add_cb(bufferevent_get_output(bev), onBytesOut, made.get());
  Connection *connection = made.get();
  Connections.emplace(connection, std::move(made));
  ++Open[address];
  return connection;
}

HttpCallID HttpPool::call(const std::string &address, HttpCall call, HttpCallback callback) {
  auto made = std::make_unique<Call>();
  made->Pool = this;
  made->ID = ++LastID;
  made->Callback = std::move(callback);
  made->Head = call.Method == EVHTTP_REQ_HEAD;
  made->Timeout.reset(event_new(Base, -1, 0, onTimeout, made.get()));
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
  entry.Request = evhttp_request_new(onRequestDone, &entry);
  evkeyvalq *headers = evhttp_request_get_output_headers(entry.Request);
  for (const HeaderField &field : call.Headers)
    evhttp_add_header(headers, field.Name.c_str(), field.Value.c_str());
  if (findHeader(call.Headers, "host") == nullptr)
    evhttp_add_header(headers, "Host", address.c_str());
  if (call.Body)
    evbuffer_add_buffer(evhttp_request_get_output_buffer(entry.Request), call.Body.get());
  const timeval tv = toTimeval(std::max<DurationMs>(call.Timeout, 1));
  event_add(entry.Timeout.get(), &tv);
  const HttpCallID id = entry.ID;
  if (evhttp_make_request(connection->Evcon, entry.Request, call.Method, call.Path.c_str()) != 0) {
    // The request has been freed by the library; the failure is told from the loop.
    entry.Request = nullptr;
    entry.FailedAtStart = true;
    event_active(entry.Timeout.get(), EV_TIMEOUT, 0);
  }
  return id;
}

void HttpPool::onRequestDone(evhttp_request *request, void *arg) {
  auto *call = static_cast<Call *>(arg);
  call->Pool->finish(*call, request);
}

void HttpPool::onTimeout(evutil_socket_t fd, short events, void *arg) {
  static_cast<void>(fd);
  static_cast<void>(events);
  auto *call = static_cast<Call *>(arg);
  call->Pool->fail(*call, !call->FailedAtStart);
}

void HttpPool::finish(Call &call, evhttp_request *request) {
  HttpResult result;
  Connection *connection = call.Conn;
  const int status = request == nullptr ? 0 : evhttp_request_get_response_code(request);
  result.BytesSent = connection->BytesOut != call.BytesBefore;
  bool keep = false;
  if (status != 0) {
    result.Status = status;
    const evkeyvalq *headers = evhttp_request_get_input_headers(request);
    for (const evkeyval *it = headers->tqh_first; it != nullptr; it = it->next.tqe_next)
      result.Headers.push_back({it->key, it->value});
    result.Body = makeBuffer();
    evbuffer_add_buffer(result.Body.get(), evhttp_request_get_input_buffer(request));
    const bool framed = findHeader(result.Headers, "content-length") != nullptr ||
                        findHeader(result.Headers, "transfer-encoding") != nullptr;
    const bool bodiless = call.Head || status == HTTP_NOCONTENT || status == HTTP_NOTMODIFIED;
    result.Complete = framed || bodiless;
    const std::string *close = findHeader(result.Headers, "connection");
    keep = result.Complete && (close == nullptr || strcasecmp(close->c_str(), "close") != 0);
  }
  if (!connection->NoDelay) {
    const evutil_socket_t fd =
        bufferevent_getfd(evhttp_connection_get_bufferevent(connection->Evcon));
    const int on = 1;
    connection->NoDelay = fd >= 0 && setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on)) == 0;
  }
  connection->Current = nullptr;
  if (keep) {
    connection->IdleSince = steadyClockUs() / 1000;
    Idle[connection->Address].push_back(connection);
  } else {
    closeLater(connection);
  }
  const HttpCallback callback = std::move(call.Callback);
  Calls.erase(call.ID);
  callback(std::move(result));
}

void HttpPool::fail(Call &call, bool timedOut) {
  HttpResult result;
  result.TimedOut = timedOut;
  if (call.Conn != nullptr) {
    result.BytesSent = call.Conn->BytesOut != call.BytesBefore;
    call.Conn->Current = nullptr;
    if (call.Request != nullptr)
      evhttp_cancel_request(call.Request);
    closeLater(call.Conn);
  }
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
    if (call.Request != nullptr)
      evhttp_cancel_request(call.Request);
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
  evhttp_connection_set_closecb(connection->Evcon, nullptr, nullptr);
  Closing.push_back(std::move(it->second));
  Connections.erase(it);
  Sweeper.start(0);
}

void HttpPool::sweep() {
  Closing.clear();
  const std::uint64_t now = steadyClockUs() / 1000;
  std::vector<Connection *> stale;
  for (const auto &[address, idle] : Idle) {
    for (Connection *connection : idle) {
      if (now >= connection->IdleSince + IdleTime)
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
