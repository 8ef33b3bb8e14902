/// @file http_server.h HTTP/1.1 server with asynchronous responses.
#pragma once

#include "http/held_bytes.h"
#include "http/http_request_reader.h"

#include <event2/listener.h>

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace jasmineloom {

/// A complete response.
struct HttpResponse {
  int Status = 200;
  HeaderFields Headers;
  EvBufferPtr Body; ///< May be null.
};

/// Listens on one or more addresses and passes each complete request to a handler, which replies
/// later. Pipelined requests with safe methods run concurrently; their responses are sent in
/// request order. Other requests run alone on their connection. See RFC 9112 section 9.3.2.
class HttpServer {
public:
  using RequestHandler = std::function<void(HttpRequest)>;
  /// Called when the connection of an unanswered request is closed.
  using DisconnectHandler = std::function<void(RequestID)>;
  /// Decides on a request from its header, before its body is read.
  /// @returns the response that refuses it, after which the connection is closed; nullopt: the body
  /// is read and the request passed to the request handler.
  using HeaderHandler = std::function<std::optional<HttpResponse>(const RequestHeader &)>;

  /// @param held account of the bytes that the connections hold; may be null. A connection that it
  /// cuts is closed.
  HttpServer(event_base *base, const HttpLimits &limits, RequestHandler onRequest,
             DisconnectHandler onDisconnect, HeldBytes *held = nullptr);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// @returns false if the address is invalid or can't be bound.
  bool bind(const std::string &address, std::uint16_t port);
  /// Sets the handler that may refuse requests before their bodies are read. It is asked only about
  /// requests that no earlier one on their connection precedes unanswered.
  void setHeaderHandler(HeaderHandler handler) { OnHeader = std::move(handler); }
  /// From now on closes each connection after its last pending response.
  void closeAfterResponses() { Closing = true; }
  /// Accepts the connections that the kernel has queued, stops listening and closes the idle
  /// connections. Requests that were sent before are still read and passed to the handler.
  void stopListening();
  /// @returns whether no response is pending or unsent. Requests that the event loop has not read
  /// yet do not count.
  bool hasSentAll() const;
  /// Responds to a request. No effect if its connection has been closed.
  void reply(RequestID id, HttpResponse response);
  /// Counts bytes that are kept for the response to a request to what its connection holds.
  void setKept(RequestID id, std::size_t bytes);
  /// @returns whether the caller of a request has closed its connection, even if the event loop has
  /// not processed the close yet.
  bool isCallerDisconnected(RequestID id) const;

  /// @returns the number of requests that were passed to the handler and not answered yet.
  std::size_t pending() const { return Pending.size(); }
  /// @returns the number of open connections.
  std::size_t connections() const { return Connections.size(); }

private:
  struct PipelineEntry;
  struct Connection;
  struct ListenerDeleter {
    void operator()(evconnlistener *listener) const { evconnlistener_free(listener); }
  };

  void accept(evutil_socket_t fd);
  void pauseAccepting(DurationMs retryDelay);
  void resumeAccepting();
  bool isFull() const;
  static bool hasPartialRequest(const Connection &connection);
  bool canReadMore(const Connection &connection) const;
  void readRequests(Connection &connection);
  void readNext(Connection &connection);
  void handleHeader(Connection &connection, const RequestHeader &header);
  static void endReading(Connection &connection, HttpResponse response);
  void dispatch(Connection &connection);
  void flushResponses(Connection &connection);
  void writeResponse(Connection &connection, PipelineEntry &entry, bool close);
  void advancePipeline(Connection &connection);
  void handleWritten(Connection &connection);
  void closeConnection(Connection &connection);
  static void updateHeld(Connection &connection);
  static std::string cut(Connection &connection);
  static void onRead(bufferevent *bev, void *arg);
  static void onOutput(evbuffer *buf, const evbuffer_cb_info *info, void *arg);
  static void onWritten(bufferevent *bev, void *arg);
  static void onEvent(bufferevent *bev, short events, void *arg);

  event_base *Base;
  HttpLimits Limits;
  RequestHandler OnRequest;
  DisconnectHandler OnDisconnect;
  HeaderHandler OnHeader; ///< May be empty.
  HeldBytes *Held;
  RequestID LastID = 0;
  bool Closing = false; ///< Connections are closed after their last pending response.
  bool Paused = false;  ///< Connections wait in the kernel's queue.
  Timer AcceptTimer;    ///< Ends a pause after a failure to accept.
  std::vector<std::unique_ptr<evconnlistener, ListenerDeleter>> Listeners;
  std::unordered_map<Connection *, std::unique_ptr<Connection>> Connections;
  std::unordered_map<RequestID, Connection *> Pending;
};

} // namespace jasmineloom
