/// @file http_response_reader.cpp Parses the responses received on one client connection.
#include "http/http_response_reader.h"

#include "http/http_parser_feed.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace jasmineloom {

namespace {

namespace http = boost::beast::http;

constexpr std::uint32_t MaxResponseHeaderBytes = 64 * 1024;
constexpr int FirstFinalStatus = 200;
constexpr int LastFinalStatus = 599;
constexpr int StatusContinue = 100;
constexpr int StatusProcessing = 102;
constexpr int StatusEarlyHints = 103;

} // namespace

bool isFinalStatus(int status) { return status >= FirstFinalStatus && status <= LastFinalStatus; }

bool isInterimStatus(int status) {
  return status == StatusContinue || status == StatusProcessing || status == StatusEarlyHints;
}

struct HttpResponseReader::Parser {
  http::response_parser<http::string_body> Beast;
};

HttpResponseReader::HttpResponseReader(std::size_t maxBody) : MaxBody(maxBody) {}

HttpResponseReader::~HttpResponseReader() = default;

void HttpResponseReader::begin(bool bodiless) {
  Bodiless = bodiless;
  HeaderBytes = 0;
  Current = std::make_unique<Parser>();
  Current->Beast.skip(bodiless);
  Current->Beast.header_limit(MaxResponseHeaderBytes);
  Current->Beast.body_limit(MaxBody);
}

ParsedResponse HttpResponseReader::finish() {
  auto &message = Current->Beast.get();
  ParsedResponse response;
  response.Status = static_cast<int>(message.result_int());
  response.KeepAlive = Current->Beast.keep_alive();
  response.Headers = fieldsOf(message);
  response.Body = adoptBuffer(std::move(message.body()));
  return response;
}

ResponseReadResult HttpResponseReader::read(evbuffer *in) {
  while (evbuffer_get_length(in) != 0) {
    boost::system::error_code ec;
    const bool inHeader = !Current->Beast.is_header_done();
    const std::size_t used = feedParser(Current->Beast, in, inHeader, ec);
    if (ec)
      return ResponseInvalid{};
    if (inHeader)
      HeaderBytes += used;
    // In eager mode the parser would continue with the body in the same call and lose the error for
    // a Content-Length above the body limit, so eager mode starts only after the header.
    Current->Beast.eager(Current->Beast.is_header_done());
    if (inHeader && Current->Beast.is_header_done()) {
      const auto status = static_cast<int>(Current->Beast.get().result_int());
      if (!isFinalStatus(status) && !isInterimStatus(status))
        return ResponseInvalid{true};
    }
    if (Current->Beast.is_done()) {
      ParsedResponse response = finish();
      begin(Bodiless);
      if (isFinalStatus(response.Status))
        return response;
      continue;
    }
    if (used == 0)
      break;
  }
  return ResponseIncomplete{};
}

std::size_t HttpResponseReader::held() const {
  return Current ? HeaderBytes + Current->Beast.get().body().size() : 0;
}

ResponseReadResult HttpResponseReader::readEof() {
  boost::system::error_code ec;
  if (!Current->Beast.got_some())
    return ResponseInvalid{};
  Current->Beast.put_eof(ec);
  if (ec || !Current->Beast.is_done())
    return ResponseInvalid{};
  return finish();
}

} // namespace jasmineloom
