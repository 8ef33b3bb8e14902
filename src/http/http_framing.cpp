/// @file http_framing.cpp Validates the header fields that determine where a request ends.
#include "http/http_framing.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>

#include <algorithm>

namespace jasmineloom {

namespace {

constexpr int StatusBadRequest = 400;
constexpr int StatusNotImplemented = 501;
/// Characters of a token (RFC 9110 section 5.6.2) besides letters and digits.
constexpr std::string_view TokenMarks = "!#$%&'*+-.^_`|~";

bool isToken(const std::string &name) {
  return !name.empty() && std::all_of(name.begin(), name.end(), [](char c) {
    return absl::ascii_isalnum(static_cast<unsigned char>(c)) ||
           TokenMarks.find(c) != std::string_view::npos;
  });
}

bool isFieldValue(const std::string &value) {
  return std::none_of(value.begin(), value.end(),
                      [](char c) { return c == '\0' || c == '\r' || c == '\n'; });
}

bool isDecimal(const std::string &value) {
  return !value.empty() && std::all_of(value.begin(), value.end(), [](char c) {
    return absl::ascii_isdigit(static_cast<unsigned char>(c));
  });
}

} // namespace

int checkFraming(const HeaderFields &fields, bool isHttp11) {
  int hostFields = 0;
  int lengthFields = 0;
  int codingFields = 0;
  for (const HeaderField &field : fields) {
    if (!isToken(field.Name) || !isFieldValue(field.Value))
      return StatusBadRequest;
    if (absl::EqualsIgnoreCase(field.Name, "host"))
      ++hostFields;
    if (absl::EqualsIgnoreCase(field.Name, "content-length")) {
      ++lengthFields;
      if (!isDecimal(field.Value))
        return StatusBadRequest;
    }
    if (absl::EqualsIgnoreCase(field.Name, "transfer-encoding")) {
      ++codingFields;
      if (!isHttp11)
        return StatusBadRequest;
      if (!absl::EqualsIgnoreCase(field.Value, "chunked"))
        return StatusNotImplemented;
    }
  }
  const bool validHost = hostFields == 1 || (hostFields == 0 && !isHttp11);
  const bool validLength = lengthFields + codingFields <= 1;
  return validHost && validLength ? FramingOk : StatusBadRequest;
}

} // namespace jasmineloom
