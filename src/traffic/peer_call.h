/// @file peer_call.h Calls between gates, as parsed from the path of a request.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace jasmineloom {

constexpr const char *PeerCallPrefix = "/.jasmineloom/";
constexpr const char *ClaimPath = "/.jasmineloom/claim/";
constexpr const char *ReleasePath = "/.jasmineloom/release/";
constexpr const char *CrashPath = "/.jasmineloom/crash/";
constexpr const char *CrashesPath = "/.jasmineloom/crashes";
constexpr const char *KeysPath = "/.jasmineloom/keys";
constexpr const char *QuotaPath = "/.jasmineloom/quota";

/// Claims an idempotency key, given as its hash.
struct ClaimCall {
  std::uint64_t Key = 0;
  auto operator<=>(const ClaimCall &) const = default;
};
/// Releases a claimed key.
struct ReleaseCall {
  std::uint64_t Key = 0;
  auto operator<=>(const ReleaseCall &) const = default;
};
/// Reports a request that has crashed an upstream.
struct CrashReportCall {
  std::uint64_t Fingerprint = 0;
  auto operator<=>(const CrashReportCall &) const = default;
};
/// Tells a gate that has started the crashes in the request's body, see encodeCrashes().
struct CrashNewsCall {
  auto operator<=>(const CrashNewsCall &) const = default;
};
/// Hands over the keys in the request's body.
struct KeyTransferCall {
  auto operator<=>(const KeyTransferCall &) const = default;
};
/// Asks this host, as a keeper, for credits of quotas; the request's body is a QuotaAsk.
struct QuotaAskCall {
  auto operator<=>(const QuotaAskCall &) const = default;
};
/// A path that names no call, or a call without a valid number.
struct InvalidPeerCall {
  auto operator<=>(const InvalidPeerCall &) const = default;
};
using PeerCall = std::variant<ClaimCall, ReleaseCall, CrashReportCall, CrashNewsCall,
                              KeyTransferCall, QuotaAskCall, InvalidPeerCall>;

PeerCall parsePeerCall(std::string_view path);

} // namespace jasmineloom
