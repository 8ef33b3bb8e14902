/// @file http_server.cpp A listener that hands whole requests over and takes late replies.
#include "http/http_server.h"

#include "log.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <boost/beast/http/status.hpp>
#include <event2/bufferevent.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <deque>

namespace jasmineloom {

namespace {

constexpr int StatusUnavailable = 503;
constexpr int StatusNoContent = 204;
constexpr int StatusNotModified = 304;
/// Unanswered requests of one connection; a browser sends six at once.
constexpr std::size_t MaxPipelined = 16;
/// Bytes of answers that the peer has not taken, above which no more requests are read.
constexpr std::size_t MaxUnsent = 256 * 1024;
/// Bytes that are read ahead of the requests that are handed over, beyond one header.
constexpr std::size_t ReadAhead = 64 * 1024;
/// Time for which a closed connection still takes what its peer sends, so that the peer's own
/// bytes on the way don't reset it before it has read the answer. RFC 9112 section 9.6.
constexpr DurationMs LingerTime = 1 * MsPerSecond;
/// Connections that the kernel keeps until they are accepted.
constexpr int Backlog = 1024;

std::string dateNow() {
  char text[64] = {};
  evutil_date_rfc1123(text, sizeof(text), nullptr);
  return text;
}

bool peerClosed(evutil_socket_t fd) {
  char byte = 0;
  const ssize_t n = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (n == 0)
    return true;
  return n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
}

} // namespace

/// The place of a request among those of its connection, and its answer once there is one.
struct HttpServer::Slot {
  RequestID ID = 0; ///< 0: it has not been handed over.
  bool Safe = true;
  bool Head = false;
  bool KeepsAlive = true;
  bool Version10 = false;
  bool Ready = false;
  HttpReply Answer;
};

struct HttpServer::Connection {
  Connection(HttpServer &server, bufferevent *socket)
      : Server(&server), Socket(socket), Reader(server.Limits) {}

  HttpServer *Server;
  BuffereventPtr Socket;
  HttpRequestReader Reader;
  std::deque<Slot> Slots;          ///< In the order of the requests.
  std::optional<ReadRequest> Next; ///< Read, not handed over: those before it come first.
  bool Surplus = false;            ///< There are too many connections: it is refused.
  bool Last = false;               ///< No further request is read.
  bool Advancing = false;          ///< Its requests are being handed over.
  bool Lingering = false;          ///< Its last answer has been written.
};

HttpServer::HttpServer(event_base *base, const HttpLimits &limits, RequestHandler onRequest,
                       GoneHandler onGone)
    : Base(base), Limits(limits), OnRequest(std::move(onRequest)), OnGone(std::move(onGone)) {}

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
      Backlog, reinterpret_cast<const sockaddr *>(&sin), sizeof(sin));
  if (listener == nullptr)
    return false;
  evconnlistener_set_error_cb(listener, [](evconnlistener *, void *) {
    LOG4CXX_WARN(loggerOf("main"), "can't accept a connection: "
                                       << evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()));
  });
  Listeners.emplace_back(listener);
  return true;
}

void HttpServer::accept(evutil_socket_t fd) {
  setNoDelay(fd);
  bufferevent *socket = bufferevent_socket_new(Base, fd, BEV_OPT_CLOSE_ON_FREE);
  auto made = std::make_unique<Connection>(*this, socket);
  made->Surplus = Connections.size() >= Limits.MaxConnections;
  bufferevent_setcb(socket, onRead, onWritten, onEvent, made.get());
  bufferevent_setwatermark(socket, EV_READ, 0, Limits.MaxHeaderBytes + ReadAhead);
  const timeval tv = toTimeval(Limits.ReadTimeout);
  bufferevent_set_timeouts(socket, &tv, &tv);
  bufferevent_enable(socket, EV_READ | EV_WRITE);
  Connections.emplace(made.get(), std::move(made));
}

void HttpServer::onRead(bufferevent *bev, void *arg) {
  auto *connection = static_cast<Connection *>(arg);
  if (connection->Lingering) {
    evbuffer *in = bufferevent_get_input(bev);
    evbuffer_drain(in, evbuffer_get_length(in));
    return;
  }
  connection->Server->advance(*connection);
}

void HttpServer::onWritten(bufferevent *bev, void *arg) {
  static_cast<void>(bev);
  auto *connection = static_cast<Connection *>(arg);
  connection->Server->written(*connection);
}

void HttpServer::onEvent(bufferevent *bev, short events, void *arg) {
  auto *connection = static_cast<Connection *>(arg);
  const bool silent = (events & BEV_EVENT_TIMEOUT) != 0 && (events & BEV_EVENT_READING) != 0;
  if (silent && !connection->Slots.empty()) {
    // The peer waits for its answer.
    bufferevent_enable(bev, EV_READ);
    return;
  }
  connection->Server->end(*connection);
}

void HttpServer::end(Connection &connection) {
  const auto it = Connections.find(&connection);
  const std::unique_ptr<Connection> ended = std::move(it->second);
  Connections.erase(it);
  for (const Slot &slot : ended->Slots) {
    if (Pending.erase(slot.ID) != 0)
      OnGone(slot.ID);
  }
}

bool HttpServer::mayReadOn(const Connection &connection) const {
  const evbuffer *out = bufferevent_get_output(connection.Socket.get());
  const bool full =
      connection.Slots.size() >= MaxPipelined || evbuffer_get_length(out) >= MaxUnsent;
  return !connection.Last && !full && !(Closing && !connection.Slots.empty());
}

void HttpServer::takeNext(Connection &connection) {
  bufferevent *socket = connection.Socket.get();
  ReadStep step = connection.Reader.read(bufferevent_get_input(socket));
  if (auto *read = std::get_if<ReadRequest>(&step))
    connection.Next = std::move(*read);
  if (const auto *more = std::get_if<NeedsMore>(&step)) {
    constexpr std::string_view Leave = "HTTP/1.1 100 Continue\r\n\r\n";
    if (more->WantsContinue && connection.Slots.empty())
      bufferevent_write(socket, Leave.data(), Leave.size());
  }
  if (const auto *refused = std::get_if<RefusedBytes>(&step)) {
    Slot slot;
    slot.KeepsAlive = false;
    slot.Ready = true;
    slot.Answer.Status = refused->Status;
    connection.Slots.push_back(std::move(slot));
    connection.Last = true;
  }
}

void HttpServer::handOver(Connection &connection) {
  ReadRequest read = std::move(*connection.Next);
  connection.Next.reset();
  Slot slot;
  slot.ID = ++LastID;
  slot.Safe = isSafeMethod(read.Request.Method);
  slot.Head = read.Request.Method == EVHTTP_REQ_HEAD;
  slot.KeepsAlive = read.KeepsAlive;
  slot.Version10 = read.Version10;
  connection.Last = !read.KeepsAlive;
  if (connection.Surplus) {
    slot.KeepsAlive = false;
    slot.Ready = true;
    slot.Answer.Status = StatusUnavailable;
    connection.Last = true;
    connection.Slots.push_back(std::move(slot));
    return;
  }
  read.Request.ID = slot.ID;
  connection.Slots.push_back(std::move(slot));
  Pending.emplace(read.Request.ID, &connection);
  OnRequest(std::move(read.Request));
}

void HttpServer::readOn(Connection &connection) {
  while (mayReadOn(connection)) {
    if (!connection.Next.has_value())
      takeNext(connection);
    if (!connection.Next.has_value())
      return;
    // What may change something runs alone on its connection.
    const bool alone = connection.Slots.empty();
    const bool together =
        !alone && connection.Slots.back().Safe && isSafeMethod(connection.Next->Request.Method);
    if (!alone && !together)
      return;
    handOver(connection);
    flush(connection);
  }
}

void HttpServer::advance(Connection &connection) {
  // An answer that is given within the hand-over is written by the loop that hands over.
  if (connection.Advancing)
    return;
  connection.Advancing = true;
  flush(connection);
  readOn(connection);
  flush(connection);
  connection.Advancing = false;
}

void HttpServer::flush(Connection &connection) {
  while (!connection.Slots.empty() && connection.Slots.front().Ready && !connection.Lingering) {
    Slot &slot = connection.Slots.front();
    const bool only = connection.Slots.size() == 1;
    const bool close = !slot.KeepsAlive || (Closing && only);
    writeAnswer(connection, slot, close);
    connection.Slots.pop_front();
    connection.Last |= close;
    connection.Lingering |= close;
  }
}

void HttpServer::writeAnswer(Connection &connection, Slot &slot, bool close) {
  const HttpReply &answer = slot.Answer;
  const bool bodiless =
      slot.Head || answer.Status == StatusNoContent || answer.Status == StatusNotModified;
  const std::size_t length = answer.Body ? evbuffer_get_length(answer.Body.get()) : 0;
  const auto reason =
      boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(answer.Status));
  std::string head = absl::StrCat("HTTP/1.1 ", answer.Status, " ",
                                  absl::string_view(reason.data(), reason.size()), "\r\n");
  for (const HeaderField &field : answer.Headers)
    absl::StrAppend(&head, field.Name, ": ", field.Value, "\r\n");
  if (findHeader(answer.Headers, "date") == nullptr)
    absl::StrAppend(&head, "Date: ", dateNow(), "\r\n");
  if (!bodiless)
    absl::StrAppend(&head, "Content-Length: ", length, "\r\n");
  if (close)
    absl::StrAppend(&head, "Connection: close\r\n");
  else if (slot.Version10)
    absl::StrAppend(&head, "Connection: keep-alive\r\n");
  absl::StrAppend(&head, "\r\n");
  evbuffer *out = bufferevent_get_output(connection.Socket.get());
  evbuffer_add(out, head.data(), head.size());
  if (!bodiless && length != 0)
    evbuffer_add_buffer(out, answer.Body.get());
}

void HttpServer::written(Connection &connection) {
  if (!connection.Lingering) {
    advance(connection);
    return;
  }
  bufferevent *socket = connection.Socket.get();
  shutdown(bufferevent_getfd(socket), SHUT_WR);
  const timeval tv = toTimeval(LingerTime);
  bufferevent_set_timeouts(socket, &tv, nullptr);
}

void HttpServer::reply(RequestID id, HttpReply reply) {
  const auto it = Pending.find(id);
  if (it == Pending.end())
    return;
  Connection &connection = *it->second;
  Pending.erase(it);
  for (Slot &slot : connection.Slots) {
    if (slot.ID != id)
      continue;
    slot.Answer = std::move(reply);
    slot.Ready = true;
    break;
  }
  advance(connection);
}

bool HttpServer::callerGone(RequestID id) const {
  const auto it = Pending.find(id);
  return it == Pending.end() || peerClosed(bufferevent_getfd(it->second->Socket.get()));
}

} // namespace jasmineloom
