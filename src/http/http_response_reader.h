/// @file http_response_reader.h Parses the responses received on one client connection.
#pragma once

#include "event_util.h"
#include "http/http_fields.h"

#include <event2/buffer.h>

#include <memory>
#include <variant>

namespace jasmineloom {

/// A complete response.
struct ParsedResponse {
  int Status = 0;
  HeaderFields Headers;
  EvBufferPtr Body;
  /// The connection can be reused: the response ended before the connection, and the peer keeps
  /// the connection open.
  bool KeepAlive = false;
};
/// More bytes are needed to complete the response.
struct ResponseIncomplete {};
/// The bytes are not a valid HTTP response, exceed a size limit, or are truncated.
struct ResponseInvalid {
  bool OddStatus = false; ///< Its status is neither final nor that of an interim response.
};
using ResponseReadResult = std::variant<ResponseIncomplete, ParsedResponse, ResponseInvalid>;

/// @returns whether a status is that of a final response (RFC 9110 section 15).
bool isFinalStatus(int status);
/// @returns whether a status is that of an interim response. 101 is none: it ends the use of HTTP
/// on the connection, which no request asks for.
bool isInterimStatus(int status);

/// Parses one response after another and skips interim responses.
class HttpResponseReader {
public:
  explicit HttpResponseReader(std::size_t maxBody);
  ~HttpResponseReader();
  HttpResponseReader(const HttpResponseReader &) = delete;
  HttpResponseReader &operator=(const HttpResponseReader &) = delete;

  /// Prepares to parse the response to a new request.
  /// @param bodiless true for a HEAD request: the response has no body, regardless of its
  /// header fields.
  void begin(bool bodiless);
  /// Parses available bytes and removes the consumed ones from the buffer.
  ResponseReadResult read(evbuffer *in);
  /// @returns bytes of the current response that were read from the connection and are kept.
  std::size_t held() const;
  /// Handles the end of the connection, which completes a response without a length.
  ResponseReadResult readEof();

private:
  struct Parser;

  ParsedResponse finish();

  std::size_t MaxBody;
  bool Bodiless = false;
  std::size_t HeaderBytes = 0; ///< Of the current response.
  std::unique_ptr<Parser> Current;
};

} // namespace jasmineloom
