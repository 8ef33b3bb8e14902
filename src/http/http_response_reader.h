/// @file http_response_reader.h Reads the answers of one connection out of its bytes.
#pragma once

#include "event_util.h"
#include "http/http_fields.h"

#include <event2/buffer.h>

#include <memory>
#include <variant>

namespace jasmineloom {

/// A whole answer.
struct ReadAnswer {
  int Status = 0;
  HeaderFields Headers;
  EvBufferPtr Body;
  bool KeepsAlive = false; ///< Its end is known and the connection may take another request.
};
/// More bytes are needed.
struct AnswerPending {};
/// The bytes are no answer, or one that is too large, or they end too soon.
struct AnswerBroken {};
using AnswerStep = std::variant<AnswerPending, ReadAnswer, AnswerBroken>;

/// Reads one answer after the other. Interim answers are passed over.
class HttpResponseReader {
public:
  explicit HttpResponseReader(std::size_t maxBody);
  ~HttpResponseReader();
  HttpResponseReader(const HttpResponseReader &) = delete;
  HttpResponseReader &operator=(const HttpResponseReader &) = delete;

  /// Begins a new answer.
  /// @param bodiless whether it has no body whatever its header says: it answers a HEAD request.
  void begin(bool bodiless);
  /// Reads on; takes out of the buffer what has been read.
  AnswerStep read(evbuffer *in);
  /// Takes the end of the connection, which may be the end of the answer.
  AnswerStep readEnd();

private:
  struct Parser;

  ReadAnswer finish();

  std::size_t MaxBody;
  bool Bodiless = false;
  std::unique_ptr<Parser> Current;
};

} // namespace jasmineloom
