/// @file http_server.cpp HTTP/1.1 server with asynchronous responses.
#include "http/http_server.h"

#include "log.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <boost/beast/http/status.hpp>
#include <event2/bufferevent.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <deque>

namespace jasmineloom {

namespace {

constexpr int StatusUnavailable = 503;
constexpr int StatusInternalError = 500;
constexpr int StatusNoContent = 204;
constexpr int StatusNotModified = 304;
/// Unanswered requests per connection; a browser sends up to six at once.
constexpr std::size_t MaxPipelined = 16;
/// Unsent response bytes of a connection, above which no more requests are read from it.
constexpr std::size_t MaxUnsentBytes = 256 * 1024;
/// Limit of a connection's input buffer in addition to one header.
constexpr std::size_t ReadAheadBytes = 64 * 1024;
/// Time for which input is discarded after the write side was shut down. Closing at once could
/// reset the connection while the peer is still sending, before it has read the response. See RFC
/// 9112 section 9.6.
constexpr DurationMs LingerTime = 1 * MsPerSecond;
/// Connections that the kernel queues until they are accepted.
constexpr int ListenBacklog = 1024;
/// Connections above MaxConnections that are accepted and told 503; further ones wait in the
/// kernel's queue.
constexpr std::size_t MaxRefusedConnections = 64;
/// Time after which accepting is tried again when the process was out of descriptors.
constexpr DurationMs AcceptRetryDelay = 100;

std::string currentDate() {
  char text[64] = {};
  evutil_date_rfc1123(text, sizeof(text), nullptr);
  return text;
}

/// @returns whether the socket has received bytes, or its end, that were not read yet.
bool hasUnreadInput(evutil_socket_t fd) {
  char byte = 0;
  return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0;
}

bool peerClosed(evutil_socket_t fd) {
  char byte = 0;
  const ssize_t n = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (n == 0)
    return true;
  return n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
}

} // namespace

/// A pipelined request, and its response once it is ready.
struct HttpServer::PipelineEntry {
  RequestID ID = 0; ///< 0: rejected by the request reader.
  bool Safe = true;
  bool IsHead = false;
  bool KeepAlive = true;
  bool IsHttp10 = false;
  bool Ready = false;
  HttpResponse Response;
  std::size_t Kept = 0; ///< Bytes of the request's body and of those kept for its response.
};

struct HttpServer::Connection {
  Connection(HttpServer &server, bufferevent *socket)
      : Server(&server), Socket(socket), Reader(server.Limits),
        Held(server.Held, server.Limits.MaxBody, [this] { return cut(*this); }) {}

  HttpServer *Server;
  BuffereventPtr Socket;
  HttpRequestReader Reader;
  std::deque<PipelineEntry> Pipeline;       ///< In request order.
  std::optional<ParsedRequest> NextRequest; ///< Parsed; waits for earlier requests.
  bool OverLimit = false;                   ///< Accepted above MaxConnections: replies with 503.
  bool ReadingDone = false;                 ///< No further requests are read.
  bool Advancing = false;                   ///< Guards advancePipeline() against re-entry.
  bool Lingering = false;                   ///< The last response is queued; input is discarded.
  HeldBytes::Share Held;
};

HttpServer::HttpServer(event_base *base, const HttpLimits &limits, RequestHandler onRequest,
                       DisconnectHandler onDisconnect, HeldBytes *held)
    : Base(base), Limits(limits), OnRequest(std::move(onRequest)),
      OnDisconnect(std::move(onDisconnect)), Held(held),
      AcceptTimer(base, [this] { resumeAccepting(); }) {}

HttpServer::~HttpServer() = default;

bool HttpServer::bind(const std::string &address, std::uint16_t port) {
  sockaddr_in sin{};
  sin.sin_family = AF_INET;
  sin.sin_port = htons(port);
  if (evutil_inet_pton(AF_INET, address.c_str(), &sin.sin_addr) != 1)
    return false;
  const auto onAccept = [](evconnlistener *, evutil_socket_t fd, sockaddr *, int, void *arg) {
    static_cast<HttpServer *>(arg)->accept(fd);
  };
  evconnlistener *listener = evconnlistener_new_bind(
      Base, onAccept, this, LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC,
      ListenBacklog, reinterpret_cast<const sockaddr *>(&sin), sizeof(sin));
  if (listener == nullptr)
    return false;
  evconnlistener_set_error_cb(listener, [](evconnlistener *, void *arg) {
    LOG4CXX_WARN(loggerOf("main"), "failed to accept a connection: "
                                       << evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()));
    static_cast<HttpServer *>(arg)->pauseAccepting(AcceptRetryDelay);
  });
  Listeners.emplace_back(listener);
  return true;
}

void HttpServer::accept(evutil_socket_t fd) {
  setNoDelay(fd);
  bufferevent *socket = bufferevent_socket_new(Base, fd, BEV_OPT_CLOSE_ON_FREE);
  auto connection = std::make_unique<Connection>(*this, socket);
  connection->OverLimit = Connections.size() >= Limits.MaxConnections;
  bufferevent_setcb(socket, onRead, onWritten, onEvent, connection.get());
  evbuffer_add_cb(bufferevent_get_output(socket), onOutput, connection.get());
  bufferevent_setwatermark(socket, EV_READ, 0, Limits.MaxHeaderBytes + ReadAheadBytes);
  const timeval tv = toTimeval(Limits.ReadTimeout);
  bufferevent_set_timeouts(socket, &tv, &tv);
  bufferevent_enable(socket, EV_READ | EV_WRITE);
  Connections.emplace(connection.get(), std::move(connection));
  if (isFull())
    pauseAccepting(0);
}

bool HttpServer::isFull() const {
  return Connections.size() >= Limits.MaxConnections + MaxRefusedConnections;
}

void HttpServer::pauseAccepting(DurationMs retryDelay) {
  Paused = true;
  for (const auto &listener : Listeners)
    evconnlistener_disable(listener.get());
  if (retryDelay != 0)
    AcceptTimer.start(retryDelay);
}

void HttpServer::resumeAccepting() {
  Paused = false;
  for (const auto &listener : Listeners)
    evconnlistener_enable(listener.get());
}

bool HttpServer::hasPartialRequest(const Connection &connection) {
  return connection.Reader.isMidRequest() ||
         evbuffer_get_length(bufferevent_get_input(connection.Socket.get())) != 0;
}

void HttpServer::stopListening() {
  Closing = true;
  std::vector<Connection *> idle;
  for (const auto &[connection, owned] : Connections) {
    const bool isIdle = connection->Pipeline.empty() && !connection->NextRequest.has_value() &&
                        !connection->Lingering && !hasPartialRequest(*connection) &&
                        !hasUnreadInput(bufferevent_getfd(connection->Socket.get()));
    if (isIdle)
      idle.push_back(connection);
  }
  for (Connection *connection : idle) {
    connection->Lingering = true;
    handleWritten(*connection);
  }
  // Closing a listener would reset the connections in its queue, whose callers may have sent a
  // request already.
  for (const auto &listener : Listeners) {
    const evutil_socket_t listening = evconnlistener_get_fd(listener.get());
    while (!isFull()) {
      const int fd = accept4(listening, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0)
        break;
      accept(fd);
    }
  }
  Listeners.clear();
}

bool HttpServer::hasSentAll() const {
  return Pending.empty() && std::all_of(Connections.begin(), Connections.end(), [](const auto &it) {
           return it.first->Pipeline.empty() &&
                  evbuffer_get_length(bufferevent_get_output(it.first->Socket.get())) == 0;
         });
}

void HttpServer::onRead(bufferevent *bev, void *arg) {
  auto *connection = static_cast<Connection *>(arg);
  if (connection->Lingering) {
    evbuffer *in = bufferevent_get_input(bev);
    evbuffer_drain(in, evbuffer_get_length(in));
    return;
  }
  connection->Server->advancePipeline(*connection);
}

void HttpServer::onOutput(evbuffer *buf, const evbuffer_cb_info *info, void *arg) {
  static_cast<void>(buf);
  static_cast<void>(info);
  updateHeld(*static_cast<Connection *>(arg));
}

void HttpServer::updateHeld(Connection &connection) {
  bufferevent *socket = connection.Socket.get();
  std::size_t bytes = evbuffer_get_length(bufferevent_get_input(socket)) +
                      evbuffer_get_length(bufferevent_get_output(socket)) +
                      connection.Reader.held();
  for (const PipelineEntry &entry : connection.Pipeline) {
    const evbuffer *body = entry.Response.Body.get();
    bytes += entry.Kept + (body == nullptr ? 0 : evbuffer_get_length(body));
  }
  if (connection.NextRequest.has_value())
    bytes += evbuffer_get_length(connection.NextRequest->Request.Body.get());
  connection.Held.set(bytes);
}

std::string HttpServer::cut(Connection &connection) {
  bufferevent *socket = connection.Socket.get();
  connection.ReadingDone = true;
  sockaddr_in peer{};
  socklen_t size = sizeof(peer);
  char address[INET_ADDRSTRLEN] = "unknown";
  if (getpeername(bufferevent_getfd(socket), reinterpret_cast<sockaddr *>(&peer), &size) == 0)
    evutil_inet_ntop(AF_INET, &peer.sin_addr, address, sizeof(address));
  bufferevent_disable(socket, EV_READ | EV_WRITE);
  // The event closes the connection from the event loop.
  bufferevent_trigger_event(socket, BEV_EVENT_ERROR, BEV_TRIG_DEFER_CALLBACKS);
  return absl::StrCat("connection of caller ", address, ":", ntohs(peer.sin_port));
}

void HttpServer::onWritten(bufferevent *bev, void *arg) {
  static_cast<void>(bev);
  auto *connection = static_cast<Connection *>(arg);
  connection->Server->handleWritten(*connection);
}

void HttpServer::onEvent(bufferevent *bev, short events, void *arg) {
  auto *connection = static_cast<Connection *>(arg);
  const bool readTimedOut = (events & BEV_EVENT_TIMEOUT) != 0 && (events & BEV_EVENT_READING) != 0;
  if (readTimedOut && !connection->Pipeline.empty()) {
    // The peer is waiting for a response, so its silence is expected.
    bufferevent_enable(bev, EV_READ);
    return;
  }
  connection->Server->closeConnection(*connection);
}

void HttpServer::closeConnection(Connection &connection) {
  const auto it = Connections.find(&connection);
  const std::unique_ptr<Connection> closed = std::move(it->second);
  Connections.erase(it);
  for (const PipelineEntry &entry : closed->Pipeline) {
    if (Pending.erase(entry.ID) != 0)
      OnDisconnect(entry.ID);
  }
  if (Paused && !isFull())
    resumeAccepting();
}

bool HttpServer::canReadMore(const Connection &connection) const {
  const evbuffer *out = bufferevent_get_output(connection.Socket.get());
  const bool full =
      connection.Pipeline.size() >= MaxPipelined || evbuffer_get_length(out) >= MaxUnsentBytes;
  return !connection.ReadingDone && !full && !(Closing && !connection.Pipeline.empty());
}

void HttpServer::readNext(Connection &connection) {
  bufferevent *socket = connection.Socket.get();
  RequestReadResult result = connection.Reader.read(bufferevent_get_input(socket));
  if (const auto *header = std::get_if<RequestHeader>(&result)) {
    handleHeader(connection, *header);
    if (connection.ReadingDone)
      return;
    result = connection.Reader.read(bufferevent_get_input(socket));
  }
  if (auto *parsed = std::get_if<ParsedRequest>(&result))
    connection.NextRequest = std::move(*parsed);
  if (const auto *rejected = std::get_if<RequestRejected>(&result))
    endReading(connection, {rejected->Status, {}, nullptr});
}

void HttpServer::handleHeader(Connection &connection, const RequestHeader &header) {
  if (!connection.Pipeline.empty())
    return;
  if (OnHeader && !connection.OverLimit) {
    if (std::optional<HttpResponse> refusal = OnHeader(header); refusal.has_value()) {
      endReading(connection, *std::move(refusal));
      return;
    }
  }
  constexpr std::string_view ContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";
  bufferevent *socket = connection.Socket.get();
  // A peer that has begun to send the body waits for nothing.
  if (header.ExpectsContinue && evbuffer_get_length(bufferevent_get_input(socket)) == 0)
    bufferevent_write(socket, ContinueResponse.data(), ContinueResponse.size());
}

void HttpServer::endReading(Connection &connection, HttpResponse response) {
  PipelineEntry entry;
  entry.KeepAlive = false;
  entry.Ready = true;
  entry.Response = std::move(response);
  connection.Pipeline.push_back(std::move(entry));
  connection.ReadingDone = true;
}

void HttpServer::dispatch(Connection &connection) {
  ParsedRequest parsed = std::move(*connection.NextRequest);
  connection.NextRequest.reset();
  PipelineEntry entry;
  entry.ID = ++LastID;
  entry.Safe = isSafeMethod(parsed.Request.Method);
  entry.IsHead = parsed.Request.Method == EVHTTP_REQ_HEAD;
  entry.KeepAlive = parsed.KeepAlive;
  entry.IsHttp10 = parsed.IsHttp10;
  connection.ReadingDone = !parsed.KeepAlive;
  if (connection.OverLimit) {
    entry.KeepAlive = false;
    entry.Ready = true;
    entry.Response.Status = StatusUnavailable;
    connection.ReadingDone = true;
    connection.Pipeline.push_back(std::move(entry));
    return;
  }
  const RequestID id = entry.ID;
  parsed.Request.ID = id;
  entry.Kept = evbuffer_get_length(parsed.Request.Body.get());
  connection.Pipeline.push_back(std::move(entry));
  Pending.emplace(id, &connection);
  // An unexpected error ends the request that caused it, and not the process.
  try {
    OnRequest(std::move(parsed.Request));
  } catch (const std::exception &error) {
    LOG4CXX_ERROR(loggerOf("main"), "request failed unexpectedly: " << error.what());
    if (Pending.contains(id)) {
      OnDisconnect(id);
      reply(id, {StatusInternalError, {}, nullptr});
    }
  }
}

void HttpServer::readRequests(Connection &connection) {
  while (canReadMore(connection)) {
    if (!connection.NextRequest.has_value())
      readNext(connection);
    if (!connection.NextRequest.has_value())
      return;
    // A request with an unsafe method runs alone on its connection.
    const bool pipelineEmpty = connection.Pipeline.empty();
    const bool pipelinable = !pipelineEmpty && connection.Pipeline.back().Safe &&
                             isSafeMethod(connection.NextRequest->Request.Method);
    if (!pipelineEmpty && !pipelinable)
      return;
    dispatch(connection);
    flushResponses(connection);
  }
}

void HttpServer::advancePipeline(Connection &connection) {
  // The request handler may reply at once. That response is written by the advancePipeline() call
  // that invoked the handler.
  if (connection.Advancing)
    return;
  connection.Advancing = true;
  flushResponses(connection);
  readRequests(connection);
  flushResponses(connection);
  connection.Advancing = false;
  updateHeld(connection);
}

void HttpServer::flushResponses(Connection &connection) {
  while (!connection.Pipeline.empty() && connection.Pipeline.front().Ready &&
         !connection.Lingering) {
    PipelineEntry &entry = connection.Pipeline.front();
    const bool isLast = connection.Pipeline.size() == 1;
    const bool close = !entry.KeepAlive || (Closing && isLast);
    writeResponse(connection, entry, close);
    connection.Pipeline.pop_front();
    connection.ReadingDone |= close;
    connection.Lingering |= close;
  }
}

void HttpServer::writeResponse(Connection &connection, PipelineEntry &entry, bool close) {
  const HttpResponse &response = entry.Response;
  const bool bodiless =
      entry.IsHead || response.Status == StatusNoContent || response.Status == StatusNotModified;
  const std::size_t length = response.Body ? evbuffer_get_length(response.Body.get()) : 0;
  const auto reason =
      boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(response.Status));
  std::string head = absl::StrCat("HTTP/1.1 ", response.Status, " ",
                                  absl::string_view(reason.data(), reason.size()), "\r\n");
  for (const HeaderField &field : response.Headers)
    absl::StrAppend(&head, field.Name, ": ", field.Value, "\r\n");
  if (findHeader(response.Headers, "date") == nullptr)
    absl::StrAppend(&head, "Date: ", currentDate(), "\r\n");
  if (!bodiless)
    absl::StrAppend(&head, "Content-Length: ", length, "\r\n");
  if (close)
    absl::StrAppend(&head, "Connection: close\r\n");
  else if (entry.IsHttp10)
    absl::StrAppend(&head, "Connection: keep-alive\r\n");
  absl::StrAppend(&head, "\r\n");
  evbuffer *out = bufferevent_get_output(connection.Socket.get());
  evbuffer_add(out, head.data(), head.size());
  if (!bodiless && length != 0)
    evbuffer_add_buffer(out, response.Body.get());
}

void HttpServer::handleWritten(Connection &connection) {
  if (!connection.Lingering) {
    advancePipeline(connection);
    return;
  }
  bufferevent *socket = connection.Socket.get();
  shutdown(bufferevent_getfd(socket), SHUT_WR);
  const timeval tv = toTimeval(LingerTime);
  bufferevent_set_timeouts(socket, &tv, nullptr);
}

void HttpServer::reply(RequestID id, HttpResponse response) {
  const auto it = Pending.find(id);
  if (it == Pending.end())
    return;
  Connection &connection = *it->second;
  Pending.erase(it);
  for (PipelineEntry &entry : connection.Pipeline) {
    if (entry.ID != id)
      continue;
    entry.Response = std::move(response);
    entry.Ready = true;
    entry.Kept = 0;
    break;
  }
  advancePipeline(connection);
}

void HttpServer::setKept(RequestID id, std::size_t bytes) {
  const auto it = Pending.find(id);
  if (it == Pending.end())
    return;
  Connection &connection = *it->second;
  for (PipelineEntry &entry : connection.Pipeline) {
    if (entry.ID == id)
      entry.Kept = bytes;
  }
  updateHeld(connection);
}

bool HttpServer::isCallerDisconnected(RequestID id) const {
  const auto it = Pending.find(id);
  return it == Pending.end() || peerClosed(bufferevent_getfd(it->second->Socket.get()));
}

} // namespace jasmineloom
