/// @file http_parser_feed.h Gives a Boost.Beast parser the bytes of a libevent buffer.
#pragma once

#include "http/http_fields.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <event2/buffer.h>

namespace jasmineloom {

/// @returns the fields of a message that a parser has read.
template <typename MessageT> HeaderFields fieldsOf(const MessageT &message) {
  HeaderFields fields;
  for (const auto &field : message)
    fields.push_back({field.name_string().to_string(), field.value().to_string()});
  return fields;
}

/// Gives a parser what has come, and takes out of the buffer what it has used. A header, and the
/// line before a chunk, have to lie in one piece.
/// @param wholeNeeded whether the parser is within a header.
/// @param ec set to the parser's error; not set where it only needs more bytes.
/// @returns the bytes that were used; 0: more are needed.
template <typename Parser>
std::size_t feedParser(Parser &parser, evbuffer *in, bool wholeNeeded,
                       boost::system::error_code &ec) {
  const std::size_t all = evbuffer_get_length(in);
  std::size_t length = wholeNeeded ? all : evbuffer_get_contiguous_space(in);
  const auto put = [&] {
    const unsigned char *bytes = evbuffer_pullup(in, static_cast<ev_ssize_t>(length));
    ec.clear();
    return parser.put(boost::asio::buffer(bytes, length), ec);
  };
  std::size_t used = put();
  if (used == 0 && ec == boost::beast::http::error::need_more && length < all) {
    length = all;
    used = put();
  }
  if (ec == boost::beast::http::error::need_more)
    ec.clear();
  evbuffer_drain(in, used);
  return used;
}

} // namespace jasmineloom
