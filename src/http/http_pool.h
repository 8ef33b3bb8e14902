/// @file http_pool.h Kept HTTP/1.1 connections to other processes, and calls over them.
#pragma once

#include "event_util.h"
#include "http/http_response_reader.h"

#include <event2/bufferevent.h>
#include <event2/http.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jasmineloom {

/// A call to another process.
struct HttpCall {
  evhttp_cmd_type Method = EVHTTP_REQ_GET;
  std::string Path;
  HeaderFields Headers;
  EvBufferPtr Body; ///< May be null.
  DurationMs Timeout = 0;
  DurationMs ConnectTimeout = 0; ///< Within which a new connection must be open; 0: Timeout.
  /// Field that an answer repeats. One with another value than this call's belongs to an earlier
  /// request of the connection: it is dropped and the call's own answer awaited. Empty: none.
  std::string EchoedField;
};

/// How a call ended.
struct HttpResult {
  bool Complete = false;  ///< The whole answer came.
  bool BytesSent = false; ///< Some of the request may have reached the peer.
  bool TimedOut = false;
  int Status = 0;
  HeaderFields Headers;
  EvBufferPtr Body;
};

using HttpCallback = std::function<void(HttpResult)>;

/// Names a call under way.
using HttpCallID = std::uint64_t;

/// Connections of one task, by address. A connection whose answer was given up on is closed, so
/// that a late answer can't be taken for another request's.
class HttpPool {
public:
  HttpPool(event_base *base, std::size_t maxBody);
  ~HttpPool();
  HttpPool(const HttpPool &) = delete;
  HttpPool &operator=(const HttpPool &) = delete;

  /// Starts a call; the callback is called once, from the loop, never from within this function.
  /// @param address IP:port.
  HttpCallID call(const std::string &address, HttpCall call, HttpCallback callback);

  /// Opens a connection and closes it again.
  /// @param done called once from the loop, with whether the address accepts connections.
  void checkReachable(const std::string &address, std::function<void(bool)> done);

  /// Closes the idle connections to an address, or to all if it is empty.
  void closeIdle(const std::string &address = {});

  /// Gives a call up: closes its connection; its callback is not called.
  void cancel(HttpCallID id);

  /// @returns the connections open to an address.
  std::size_t connections(const std::string &address) const;

private:
  struct Connection;
  struct Call;
  struct Check;

  Connection *takeConnection(const std::string &address);
  void start(Call &call, HttpCall &request);
  void read(Connection &connection);
  void take(Connection &connection, AnswerStep step);
  void finish(Call &call, ReadAnswer answer);
  void fail(Call &call, bool timedOut);
  void end(Call &call, HttpResult result);
  void closeLater(Connection *connection);
  void sweep();
  static void onRead(bufferevent *bev, void *arg);
  static void onEvent(bufferevent *bev, short events, void *arg);
  static void onTimeout(evutil_socket_t fd, short events, void *arg);
  static void onBytesOut(evbuffer *buf, const evbuffer_cb_info *info, void *arg);

  event_base *Base;
  std::size_t MaxBody;
  HttpCallID LastID = 0;
  std::map<HttpCallID, std::unique_ptr<Call>> Calls;
  std::map<Connection *, std::unique_ptr<Connection>> Connections;
  std::map<std::string, std::deque<Connection *>> Idle; ///< The longest idle first.
  std::map<std::string, std::size_t> Open;
  std::vector<std::unique_ptr<Connection>> Closing;
  Timer Sweeper;
};

} // namespace jasmineloom
