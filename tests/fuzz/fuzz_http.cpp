/// @file fuzz_http.cpp Fuzz target: request and response readers on arbitrary bytes in arbitrary
/// segments. The first byte selects the reader and the length of the segments.
#include "http/http_request_reader.h"
#include "http/http_response_reader.h"

#include <cstdint>
#include <cstdlib>

using namespace jasmineloom;

namespace {

constexpr std::size_t MaxBody = 4096;

void readRequests(evbuffer *in, HttpRequestReader &reader) {
  for (;;) {
    const RequestReadResult result = reader.read(in);
    if (std::holds_alternative<RequestHeader>(result))
      continue;
    const auto *parsed = std::get_if<ParsedRequest>(&result);
    if (parsed == nullptr)
      return;
    if (evbuffer_get_length(parsed->Request.Body.get()) > MaxBody)
      abort();
  }
}

/// @returns false once the response is invalid.
bool readResponses(evbuffer *in, HttpResponseReader &reader) {
  for (;;) {
    const ResponseReadResult result = reader.read(in);
    if (std::holds_alternative<ResponseInvalid>(result))
      return false;
    const auto *parsed = std::get_if<ParsedResponse>(&result);
    if (parsed == nullptr)
      return true;
    if (evbuffer_get_length(parsed->Body.get()) > MaxBody)
      abort();
  }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) {
  if (size == 0)
    return 0;
  const bool isRequest = (data[0] & 1) != 0;
  const std::size_t segment = 1 + (data[0] >> 1);
  const EvBufferPtr in = makeBuffer();
  HttpRequestReader requests({MaxBody, 2048, 10, 1000});
  HttpResponseReader responses(MaxBody);
  responses.begin(false);
  for (std::size_t at = 1; at < size; at += segment) {
    evbuffer_add(in.get(), data + at, std::min(segment, size - at));
    if (isRequest)
      readRequests(in.get(), requests);
    else if (!readResponses(in.get(), responses))
      return 0;
  }
  if (!isRequest)
    responses.readEof();
  return 0;
}
