/// @file http_request_reader.h Parses the requests received on one server connection.
#pragma once

#include "http/http_pool.h"

#include <memory>
#include <optional>
#include <variant>

namespace jasmineloom {

/// Identifies a request within one HttpServer.
using RequestID = std::uint64_t;

/// A complete request.
struct HttpRequest {
  RequestID ID = 0;
  evhttp_cmd_type Method = EVHTTP_REQ_GET;
  std::string MethodName;
  std::string Path; ///< Including the query.
  HeaderFields Headers;
  EvBufferPtr Body;
};

/// Read timeout for connections of callers and other nodes; longer than any time limit that
/// operators configure.
constexpr DurationMs ListenerReadTimeout = 60 * MsPerSecond;

/// Limits of one HttpServer.
struct HttpLimits {
  std::size_t MaxBody = 0;
  std::size_t MaxHeaderBytes = 0;
  std::size_t MaxConnections = 0;
  DurationMs ReadTimeout = 0; ///< Also closes idle connections.
};

/// More bytes are needed to complete the request.
struct RequestIncomplete {};
/// The header of a request with a body, before any byte of the body is read. Reported once for each
/// such request; the next read() goes on with the body.
struct RequestHeader {
  std::string Path;                     ///< Including the query.
  const HeaderFields *Fields = nullptr; ///< Valid until the next read().
  std::size_t DeclaredBody = 0;         ///< Bytes; 0: sent in chunks.
  bool ExpectsContinue = false;         ///< The peer waits for a 100 Continue response.
};
/// A complete request and the connection properties that it implies.
struct ParsedRequest {
  HttpRequest Request;
  bool KeepAlive = true; ///< The connection can be reused for another request.
  bool IsHttp10 = false;
};
/// The request is invalid, too large or not supported. No further requests can be read from its
/// connection, which must be closed after the response.
struct RequestRejected {
  int Status = 0;
};
using RequestReadResult =
    std::variant<RequestIncomplete, RequestHeader, ParsedRequest, RequestRejected>;

/// @returns whether a method is safe (RFC 9110 section 9.2.1), so that pipelined requests may run
/// concurrently.
bool isSafeMethod(evhttp_cmd_type method);

/// Splits a connection's byte stream into requests with Boost.Beast and checks their framing.
class HttpRequestReader {
public:
  explicit HttpRequestReader(const HttpLimits &limits);
  ~HttpRequestReader();
  HttpRequestReader(const HttpRequestReader &) = delete;
  HttpRequestReader &operator=(const HttpRequestReader &) = delete;

  /// Parses available bytes and removes the consumed ones from the buffer.
  RequestReadResult read(evbuffer *in);
  /// @returns whether part of a request was read.
  bool isMidRequest() const;
  /// @returns bytes of the current request that were read from the connection and are kept.
  std::size_t held() const;

private:
  struct Parser;

  std::optional<RequestRejected> processHeader();
  RequestHeader reportHeader() const;
  ParsedRequest finish();

  HttpLimits Limits;
  std::unique_ptr<Parser> Current; ///< Null between requests.
};

} // namespace jasmineloom
