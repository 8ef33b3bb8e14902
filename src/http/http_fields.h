/// @file http_fields.h Header fields of an HTTP message.
#pragma once

#include <event2/http.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jasmineloom {

struct HeaderField {
  std::string Name;
  std::string Value;
  bool operator==(const HeaderField &) const = default;
};
using HeaderFields = std::vector<HeaderField>;

/// @returns the method name as written in a request line; empty for an unsupported method.
std::string_view methodName(evhttp_cmd_type method);

/// @returns the value of the first field with a name, compared case-insensitively; null if there is
/// none.
const std::string *findHeader(const HeaderFields &fields, std::string_view name);

/// @returns the value of the first field with a name; empty if the field is missing or \p name is
/// empty.
std::string headerValue(const HeaderFields &fields, std::string_view name);

/// @returns the decimal number that a field holds; nullopt if it is missing, negative, not finite
/// or no number.
std::optional<double> decimalIn(const HeaderFields &fields, std::string_view name);

/// @returns whether a field is hop-by-hop and must not be forwarded: the fields of RFC 9110 section
/// 7.6.1, those named by the message's Connection field, and Content-Length and Expect, which each
/// hop handles itself.
/// @param fields all header fields of the message.
bool isHopByHop(const HeaderFields &fields, std::string_view name);

/// @returns the fields of a message without the hop-by-hop ones.
HeaderFields endToEndFields(HeaderFields fields);

} // namespace jasmineloom
