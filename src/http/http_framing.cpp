/// @file http_framing.cpp Validates the header fields that determine where a request ends.
#include "http/http_framing.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>

#include <algorithm>

namespace jasmineloom {

namespace {

constexpr int StatusBadRequest = 400;
constexpr int StatusNotImplemented = 501;
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
  int hosts = 0;
  int lengths = 0;
  int codings = 0;
  for (const HeaderField &field : fields) {
    if (!isToken(field.Name) || !isFieldValue(field.Value))
      return StatusBadRequest;
    if (absl::EqualsIgnoreCase(field.Name, "host"))
      ++hosts;
    if (absl::EqualsIgnoreCase(field.Name, "content-length")) {
      ++lengths;
      if (!isDecimal(field.Value))
        return StatusBadRequest;
    }
    if (absl::EqualsIgnoreCase(field.Name, "transfer-encoding")) {
      ++codings;
      if (!isHttp11)
        return StatusBadRequest;
      if (!absl::EqualsIgnoreCase(field.Value, "chunked"))
        return StatusNotImplemented;
    }
  }
  const bool oneHost = hosts == 1 || (hosts == 0 && !isHttp11);
  const bool oneLength = lengths + codings <= 1;
  return oneHost && oneLength ? FramingOk : StatusBadRequest;
}

} // namespace jasmineloom
