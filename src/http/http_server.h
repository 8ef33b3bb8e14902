/// @file http_server.h A listener that hands whole requests over and takes late replies.
#pragma once

#include "http/http_request_reader.h"

#include <event2/listener.h>

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace jasmineloom {

/// A whole reply.
struct HttpReply {
  int Status = 200;
  HeaderFields Headers;
  EvBufferPtr Body; ///< May be null.
};

/// Takes whole requests on one address. Requests of safe methods that come on one connection
/// without waiting are handed over at once and answered in their order; others go one by one.
/// Source: RFC 9112 section 9.3.2.
class HttpServer {
public:
  using RequestHandler = std::function<void(HttpRequest)>;
  /// Called when the caller of an unanswered request has gone.
  using GoneHandler = std::function<void(RequestID)>;

  HttpServer(event_base *base, const HttpLimits &limits, RequestHandler onRequest,
             GoneHandler onGone);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// @returns false if the address can't be bound.
  bool bind(const std::string &address, std::uint16_t port);
  /// From now on closes each connection with the last answer that is due on it.
  void closeWithAnswers() { Closing = true; }
  /// Answers a request; without effect if its caller has gone.
  void reply(RequestID id, HttpReply reply);
  /// @returns whether the caller of a request has closed its connection, which the loop may not
  /// have noticed yet.
  bool callerGone(RequestID id) const;

  /// @returns requests that have been handed over and not been answered.
  std::size_t pending() const { return Pending.size(); }

private:
  struct Slot;
  struct Connection;
  struct ListenerDeleter {
    void operator()(evconnlistener *listener) const { evconnlistener_free(listener); }
  };

  void accept(evutil_socket_t fd);
  bool mayReadOn(const Connection &connection) const;
  void readOn(Connection &connection);
  void takeNext(Connection &connection);
  void handOver(Connection &connection);
  void flush(Connection &connection);
  void writeAnswer(Connection &connection, Slot &slot, bool close);
  void advance(Connection &connection);
  void written(Connection &connection);
  void end(Connection &connection);
  static void onRead(bufferevent *bev, void *arg);
  static void onWritten(bufferevent *bev, void *arg);
  static void onEvent(bufferevent *bev, short events, void *arg);

  event_base *Base;
  HttpLimits Limits;
  RequestHandler OnRequest;
  GoneHandler OnGone;
  RequestID LastID = 0;
  bool Closing = false; ///< Last answers close their connections.
  std::vector<std::unique_ptr<evconnlistener, ListenerDeleter>> Listeners;
  std::unordered_map<Connection *, std::unique_ptr<Connection>> Connections;
  std::unordered_map<RequestID, Connection *> Pending;
};

} // namespace jasmineloom
