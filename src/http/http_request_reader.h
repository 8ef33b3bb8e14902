/// @file http_request_reader.h Reads the requests of one connection out of its bytes.
#pragma once

#include "http/http_pool.h"

#include <memory>
#include <optional>
#include <variant>

namespace jasmineloom {

/// Names a request of a listener.
using RequestID = std::uint64_t;

/// A whole request.
struct HttpRequest {
  RequestID ID = 0;
  evhttp_cmd_type Method = EVHTTP_REQ_GET;
  std::string MethodName;
  std::string Path; ///< With the query.
  HeaderFields Headers;
  EvBufferPtr Body;
};

/// Time for which callers and other nodes may stay idle; longer than any limit that operators
/// state.
constexpr DurationMs ListenerReadTimeout = 60 * MsPerSecond;

/// Limits of a listener.
struct HttpLimits {
  std::size_t MaxBody = 0;
  std::size_t MaxHeaderBytes = 0;
  std::size_t MaxConnections = 0;
  DurationMs ReadTimeout = 0; ///< Also closes idle connections.
};

/// More bytes are needed.
struct NeedsMore {
  bool WantsContinue = false; ///< The peer waits for leave to send the body.
};
/// A request that has come in whole.
struct ReadRequest {
  HttpRequest Request;
  bool KeepsAlive = true; ///< The connection may take another request.
  bool Version10 = false;
};
/// Bytes that are no request that may be served; the connection can't be read on.
struct RefusedBytes {
  int Status = 0;
};
using ReadStep = std::variant<NeedsMore, ReadRequest, RefusedBytes>;

/// @returns whether requests of a method change nothing, so that several may run at once. Source:
/// RFC 9110 section 9.2.1.
bool isSafeMethod(evhttp_cmd_type method);

/// Splits a connection's bytes into requests with Boost.Beast's parser and checks their framing.
class HttpRequestReader {
public:
  explicit HttpRequestReader(const HttpLimits &limits);
  ~HttpRequestReader();
  HttpRequestReader(const HttpRequestReader &) = delete;
  HttpRequestReader &operator=(const HttpRequestReader &) = delete;

  /// Reads on; takes out of the buffer what has been read.
  ReadStep read(evbuffer *in);

private:
  struct Parser;

  std::optional<RefusedBytes> takeHeader();
  ReadRequest finish();

  HttpLimits Limits;
  std::unique_ptr<Parser> Current; ///< Null between requests.
};

} // namespace jasmineloom
