/// @file peer_call.cpp Calls between gates, as parsed from the path of a request.
#include "traffic/peer_call.h"

#include <absl/strings/numbers.h>
#include <absl/strings/strip.h>

#include <optional>

namespace jasmineloom {

namespace {

/// @returns the number that follows a prefix; nullopt if the path has another form.
std::optional<std::uint64_t> numberAfter(absl::string_view path, const char *prefix) {
  std::uint64_t number = 0;
  if (!absl::ConsumePrefix(&path, prefix) || !absl::SimpleAtoi(path, &number))
    return std::nullopt;
  return number;
}

} // namespace

PeerCall parsePeerCall(std::string_view path) {
  const absl::string_view text(path.data(), path.size());
  if (text == KeysPath)
    return KeyTransferCall{};
  if (text == CrashesPath)
    return CrashNewsCall{};
  if (text == QuotaPath)
    return QuotaAskCall{};
  if (const auto key = numberAfter(text, ClaimPath); key.has_value())
    return ClaimCall{*key};
  if (const auto key = numberAfter(text, ReleasePath); key.has_value())
    return ReleaseCall{*key};
  if (const auto fingerprint = numberAfter(text, CrashPath); fingerprint.has_value())
    return CrashReportCall{*fingerprint};
  return InvalidPeerCall{};
}

} // namespace jasmineloom
