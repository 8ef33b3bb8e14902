/// @file http_response_reader.cpp Reads the answers of one connection out of its bytes.
#include "http/http_response_reader.h"

#include "http/http_parser_feed.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace jasmineloom {

namespace {

namespace http = boost::beast::http;

constexpr std::uint32_t MaxAnswerHeaders = 64 * 1024;
constexpr int FirstFinalStatus = 200;

} // namespace

struct HttpResponseReader::Parser {
  http::response_parser<http::string_body> Beast;
};

HttpResponseReader::HttpResponseReader(std::size_t maxBody) : MaxBody(maxBody) {}

HttpResponseReader::~HttpResponseReader() = default;

void HttpResponseReader::begin(bool bodiless) {
  Bodiless = bodiless;
  Current = std::make_unique<Parser>();
  Current->Beast.skip(bodiless);
  Current->Beast.header_limit(MaxAnswerHeaders);
  Current->Beast.body_limit(MaxBody);
}

ReadAnswer HttpResponseReader::finish() {
  auto &message = Current->Beast.get();
  ReadAnswer answer;
  answer.Status = static_cast<int>(message.result_int());
  answer.KeepsAlive = Current->Beast.keep_alive();
  answer.Headers = fieldsOf(message);
  answer.Body = makeBuffer(message.body());
  return answer;
}

AnswerStep HttpResponseReader::read(evbuffer *in) {
  while (evbuffer_get_length(in) != 0) {
    boost::system::error_code ec;
    const std::size_t used = feedParser(Current->Beast, in, !Current->Beast.is_header_done(), ec);
    if (ec)
      return AnswerBroken{};
    // The parser forgets a length beyond its limit if it may go on to the body at once.
    Current->Beast.eager(Current->Beast.is_header_done());
    if (Current->Beast.is_done()) {
      ReadAnswer answer = finish();
      begin(Bodiless);
      if (answer.Status >= FirstFinalStatus)
        return answer;
      continue;
    }
    if (used == 0)
      break;
  }
  return AnswerPending{};
}

AnswerStep HttpResponseReader::readEnd() {
  boost::system::error_code ec;
  if (!Current->Beast.got_some())
    return AnswerBroken{};
  Current->Beast.put_eof(ec);
  if (ec || !Current->Beast.is_done())
    return AnswerBroken{};
  return finish();
}

} // namespace jasmineloom
