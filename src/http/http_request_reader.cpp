/// @file http_request_reader.cpp Parses the requests received on one server connection.
#include "http/http_request_reader.h"

#include "http/http_framing.h"
#include "http/http_parser_feed.h"

#include <absl/strings/match.h>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace jasmineloom {

namespace {

namespace http = boost::beast::http;

constexpr int StatusBadRequest = 400;
constexpr int StatusTooLarge = 413;
constexpr int StatusHeaderTooLarge = 431;
constexpr int StatusNotImplemented = 501;
constexpr unsigned VersionHttp11 = 11;
constexpr std::string_view LineEnd = "\r\n";

std::optional<evhttp_cmd_type> methodOf(http::verb verb) {
  switch (verb) {
  case http::verb::get:
    return EVHTTP_REQ_GET;
  case http::verb::head:
    return EVHTTP_REQ_HEAD;
  case http::verb::post:
    return EVHTTP_REQ_POST;
  case http::verb::put:
    return EVHTTP_REQ_PUT;
  case http::verb::delete_:
    return EVHTTP_REQ_DELETE;
  case http::verb::options:
    return EVHTTP_REQ_OPTIONS;
  case http::verb::patch:
    return EVHTTP_REQ_PATCH;
  default:
    return std::nullopt;
  }
}

int statusOf(const boost::system::error_code &ec) {
  if (ec == http::error::body_limit)
    return StatusTooLarge;
  return ec == http::error::header_limit ? StatusHeaderTooLarge : StatusBadRequest;
}

/// Skips empty lines before a request line, see RFC 9112 section 2.2.
void skipEmptyLines(evbuffer *in) {
  char bytes[2] = {};
  while (evbuffer_copyout(in, bytes, sizeof(bytes)) == static_cast<ev_ssize_t>(sizeof(bytes)) &&
         std::string_view(bytes, sizeof(bytes)) == LineEnd)
    evbuffer_drain(in, sizeof(bytes));
}

} // namespace

bool isSafeMethod(evhttp_cmd_type method) {
  return method == EVHTTP_REQ_GET || method == EVHTTP_REQ_HEAD || method == EVHTTP_REQ_OPTIONS;
}

struct HttpRequestReader::Parser {
  http::request_parser<http::string_body> Beast;
  bool HeaderProcessed = false;
  std::size_t HeaderBytes = 0;
  evhttp_cmd_type Method = EVHTTP_REQ_GET;
  HeaderFields Fields;
};

HttpRequestReader::HttpRequestReader(const HttpLimits &limits) : Limits(limits) {}

HttpRequestReader::~HttpRequestReader() = default;

bool HttpRequestReader::isMidRequest() const { return Current && Current->Beast.got_some(); }

std::size_t HttpRequestReader::held() const {
  return Current ? Current->HeaderBytes + Current->Beast.get().body().size() : 0;
}

std::optional<RequestRejected> HttpRequestReader::processHeader() {
  Current->HeaderProcessed = true;
  Current->Beast.eager(true);
  const auto &message = Current->Beast.get();
  Current->Fields = fieldsOf(message);
  const int status = checkFraming(Current->Fields, message.version() >= VersionHttp11);
  if (status != FramingOk)
    return RequestRejected{status};
  const std::optional<evhttp_cmd_type> method = methodOf(message.method());
  if (!method.has_value())
    return RequestRejected{StatusNotImplemented};
  Current->Method = *method;
  return std::nullopt;
}

RequestHeader HttpRequestReader::reportHeader() const {
  RequestHeader header;
  header.Path = Current->Beast.get().target().to_string();
  header.Fields = &Current->Fields;
  const std::string *expectation = findHeader(Current->Fields, "expect");
  header.ExpectsContinue =
      expectation != nullptr && absl::EqualsIgnoreCase(*expectation, "100-continue");
  if (const auto length = Current->Beast.content_length(); length)
    header.DeclaredBody = static_cast<std::size_t>(*length);
  return header;
}

ParsedRequest HttpRequestReader::finish() {
  auto &message = Current->Beast.get();
  ParsedRequest parsed;
  parsed.KeepAlive = Current->Beast.keep_alive();
  parsed.IsHttp10 = message.version() < VersionHttp11;
  parsed.Request.Method = Current->Method;
  parsed.Request.MethodName = message.method_string().to_string();
  parsed.Request.Path = message.target().to_string();
  parsed.Request.Headers = std::move(Current->Fields);
  parsed.Request.Body = adoptBuffer(std::move(message.body()));
  Current.reset();
  return parsed;
}

RequestReadResult HttpRequestReader::read(evbuffer *in) {
  if (!Current) {
    skipEmptyLines(in);
    Current = std::make_unique<Parser>();
    Current->Beast.header_limit(static_cast<std::uint32_t>(Limits.MaxHeaderBytes));
    Current->Beast.body_limit(Limits.MaxBody);
  }
  while (evbuffer_get_length(in) != 0) {
    boost::system::error_code ec;
    const std::size_t used = feedParser(Current->Beast, in, !Current->HeaderProcessed, ec);
    if (ec)
      return RequestRejected{statusOf(ec)};
    if (!Current->HeaderProcessed)
      Current->HeaderBytes += used;
    if (Current->Beast.is_header_done() && !Current->HeaderProcessed) {
      if (const std::optional<RequestRejected> rejected = processHeader(); rejected.has_value())
        return *rejected;
      if (!Current->Beast.is_done())
        return reportHeader();
    }
    if (Current->Beast.is_done())
      return finish();
    if (used == 0)
      break;
  }
  return RequestIncomplete{};
}

} // namespace jasmineloom
