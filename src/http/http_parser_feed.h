/// @file http_parser_feed.h Feeds the bytes of a libevent buffer to a Boost.Beast parser.
#pragma once

#include "http/http_fields.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <event2/buffer.h>

#include <algorithm>

namespace jasmineloom {

/// Copies the header fields of a parsed Boost.Beast message.
template <typename MessageT> HeaderFields fieldsOf(const MessageT &message) {
  HeaderFields fields;
  for (const auto &field : message)
    fields.push_back({field.name_string().to_string(), field.value().to_string()});
  return fields;
}

/// Maximum length of a chunk's size line, or of the trailer fields after the last chunk.
constexpr std::size_t MaxChunkLineBytes = 16 * 1024;

/// Passes buffered bytes to a parser and removes the consumed ones from the buffer. The parser
/// needs each header, and the size line of each chunk, in contiguous memory.
/// @param parsingHeader whether the parser is within a header.
/// @param ec parser error; clear if the parser only needs more bytes.
/// @returns number of bytes consumed; 0 if more are needed.
template <typename Parser>
std::size_t feedParser(Parser &parser, evbuffer *in, bool parsingHeader,
                       boost::system::error_code &ec) {
  const std::size_t available = evbuffer_get_length(in);
  std::size_t length = parsingHeader ? available : evbuffer_get_contiguous_space(in);
  const auto put = [&] {
    const unsigned char *bytes = evbuffer_pullup(in, static_cast<ev_ssize_t>(length));
    ec.clear();
    return parser.put(boost::asio::buffer(bytes, length), ec);
  };
  std::size_t used = put();
  // The contiguous bytes may end within a chunk's size line. The parser itself does not limit it.
  if (used == 0 && ec == boost::beast::http::error::need_more && length < available) {
    length = std::min(available, MaxChunkLineBytes + 1);
    used = put();
  }
  const bool inChunkLine = !parsingHeader && used == 0 && length > MaxChunkLineBytes;
  if (inChunkLine && ec == boost::beast::http::error::need_more) {
    ec = boost::beast::http::error::header_limit;
    return 0;
  }
  if (ec == boost::beast::http::error::need_more)
    ec.clear();
  evbuffer_drain(in, used);
  return used;
}

} // namespace jasmineloom
