/// @file http_pool.h HTTP/1.1 client with a pool of persistent connections.
#pragma once

#include "event_util.h"
#include "http/held_bytes.h"
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

/// An outgoing request.
struct HttpCall {
  evhttp_cmd_type Method = EVHTTP_REQ_GET;
  std::string Path;
  HeaderFields Headers;
  EvBufferPtr Body; ///< May be null.
  DurationMs Timeout = 0;
  DurationMs ConnectTimeout = 0; ///< For a new connection; 0: Timeout applies.
  /// Timeout limits the silence of the peer and not the whole call, for responses whose size has no
  /// relation to the time that they may take.
  bool TimeoutOnSilence = false;
  /// With TimeoutOnSilence: limit of the whole call, whatever the peer sends; 0: none.
  DurationMs TotalTimeout = 0;
  /// Name of the header field that the peer copies from the request into the response. A response
  /// with a different value belongs to an earlier request on the connection, as does one without
  /// the field once a response on the connection had it: it is dropped, and the call keeps waiting
  /// for its own response. Empty: responses are not matched.
  std::string EchoedField;
};

/// Outcome of a call.
struct HttpResult {
  bool Complete = false;  ///< A complete response was received.
  bool BytesSent = false; ///< Part of the request may have reached the peer.
  bool TimedOut = false;
  bool OddStatus = false; ///< The response had a status that is no answer; it is not complete.
  /// The response can only be that to this call: it repeats the call's EchoedField, or no earlier
  /// call used the connection.
  bool Matched = false;
  int Status = 0;
  HeaderFields Headers;
  EvBufferPtr Body;
};

using HttpCallback = std::function<void(HttpResult)>;

/// Identifies a pending call.
using HttpCallID = std::uint64_t;

/// Persistent connections of one task, by address. Connections carry one call at a time. A call
/// that times out or is cancelled closes its connection, so that its late response can't be matched
/// to the next request.
class HttpPool {
public:
  /// @param maxBody limit of a response's body, bytes.
  /// @param held account of the bytes that the connections hold; may be null. A call that it cuts
  /// fails like one whose response is invalid.
  HttpPool(event_base *base, std::size_t maxBody, HeldBytes *held = nullptr);
  ~HttpPool();
  HttpPool(const HttpPool &) = delete;
  HttpPool &operator=(const HttpPool &) = delete;

  /// Starts a call. The callback is invoked once, from the event loop, never from this function.
  /// @param address IP:port.
  HttpCallID call(const std::string &address, HttpCall call, HttpCallback callback);

  /// Tests whether an address accepts connections, by opening and closing one.
  /// @param done invoked once from the event loop with the result.
  void checkReachable(const std::string &address, std::function<void(bool)> done);

  /// Makes later calls use new connections: closes the idle connections to \p address, and those in
  /// use once their call has ended.
  void retireConnections(const std::string &address);

  /// Cancels a call: closes its connection and drops its callback. No effect if the call has ended.
  void cancel(HttpCallID id);

  /// Ends a call as if the peer had closed its connection; its callback is invoked. To be called
  /// from the event loop. No effect if the call has ended.
  void abandon(HttpCallID id);

  /// @returns whether part of a pending call's request may have reached the peer.
  bool hasSent(HttpCallID id) const;

  /// @returns the number of connections to an address, whether open or connecting.
  std::size_t connections(const std::string &address) const;

private:
  struct Connection;
  struct Call;
  struct ReachabilityProbe;

  Connection *acquireConnection(const std::string &address);
  void sendRequest(Call &call, HttpCall &request);
  void readResponse(Connection &connection);
  void handleReadResult(Connection &connection, ResponseReadResult result);
  void finish(Call &call, ParsedResponse response);
  void fail(Call &call, bool timedOut, bool oddStatus = false);
  static bool hasSent(const Call &call);
  void end(Call &call, HttpResult result);
  void closeLater(Connection *connection);
  static void updateHeld(Connection &connection);
  static std::string cut(Connection &connection);
  void sweep();
  static void onRead(bufferevent *bev, void *arg);
  static void onEvent(bufferevent *bev, short events, void *arg);
  static void onTimeout(evutil_socket_t fd, short events, void *arg);
  static void onBytesOut(evbuffer *buf, const evbuffer_cb_info *info, void *arg);

  event_base *Base;
  std::size_t MaxBody;
  HeldBytes *Held;
  HttpCallID LastID = 0;
  std::map<HttpCallID, std::unique_ptr<Call>> Calls;
  std::map<Connection *, std::unique_ptr<Connection>> Connections;
  std::map<std::string, std::deque<Connection *>> Idle; ///< Longest idle first.
  std::map<std::string, std::size_t> OpenCounts;
  std::vector<std::unique_ptr<Connection>> PendingClose; ///< Freed in the next loop turn.
  Timer Sweeper;
};

} // namespace jasmineloom
