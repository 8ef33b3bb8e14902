/// @file http_fields.cpp Header fields of an HTTP message.
#include "http/http_fields.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace jasmineloom {

namespace {

constexpr std::array<std::string_view, 8> HopByHopFields = {
    "connection",        "keep-alive", "proxy-connection", "te",
    "transfer-encoding", "upgrade",    "content-length",   "expect"};

bool sameName(std::string_view left, std::string_view right) {
  return absl::EqualsIgnoreCase(absl::string_view(left.data(), left.size()),
                                absl::string_view(right.data(), right.size()));
}

template <typename NamesT> bool contains(const NamesT &names, std::string_view name) {
  return std::any_of(names.begin(), names.end(),
                     [name](std::string_view it) { return sameName(it, name); });
}

/// @returns the field names listed in all Connection fields.
std::vector<std::string> connectionOptions(const HeaderFields &fields) {
  std::vector<std::string> options;
  for (const HeaderField &field : fields) {
    if (!sameName(field.Name, "connection"))
      continue;
    for (const absl::string_view it : absl::StrSplit(field.Value, ','))
      options.emplace_back(absl::StripAsciiWhitespace(it));
  }
  return options;
}

} // namespace

std::string_view methodName(evhttp_cmd_type method) {
  switch (method) {
  case EVHTTP_REQ_GET:
    return "GET";
  case EVHTTP_REQ_HEAD:
    return "HEAD";
  case EVHTTP_REQ_POST:
    return "POST";
  case EVHTTP_REQ_PUT:
    return "PUT";
  case EVHTTP_REQ_DELETE:
    return "DELETE";
  case EVHTTP_REQ_OPTIONS:
    return "OPTIONS";
  case EVHTTP_REQ_PATCH:
    return "PATCH";
  default:
    return "";
  }
}

const std::string *findHeader(const HeaderFields &fields, std::string_view name) {
  const auto it = std::find_if(fields.begin(), fields.end(), [name](const HeaderField &field) {
    return sameName(field.Name, name);
  });
  return it == fields.end() ? nullptr : &it->Value;
}

std::string headerValue(const HeaderFields &fields, std::string_view name) {
  const std::string *value = name.empty() ? nullptr : findHeader(fields, name);
  return value == nullptr ? "" : *value;
}

std::optional<double> decimalIn(const HeaderFields &fields, std::string_view name) {
  double value = 0;
  const bool valid =
      absl::SimpleAtod(headerValue(fields, name), &value) && std::isfinite(value) && value >= 0;
  return valid ? std::optional(value) : std::nullopt;
}

bool isHopByHop(const HeaderFields &fields, std::string_view name) {
  return contains(HopByHopFields, name) || contains(connectionOptions(fields), name);
}

HeaderFields endToEndFields(HeaderFields fields) {
  const std::vector<std::string> options = connectionOptions(fields);
  std::erase_if(fields, [&options](const HeaderField &field) {
    return contains(HopByHopFields, field.Name) || contains(options, field.Name);
  });
  return fields;
}

} // namespace jasmineloom
