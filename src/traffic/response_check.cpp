/// @file response_check.cpp Checks that a response belongs to its request and that the request ran.
#include "traffic/response_check.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <cmath>

namespace jasmineloom {

namespace {

constexpr int FirstSuccess = 200;
constexpr int FirstRedirect = 300;
constexpr int StatusMisdirected = 421;
/// Longest text of a limit that is read as a number.
constexpr std::size_t MaxLimitLength = 32;
/// Longest text of a load that is read.
constexpr std::size_t MaxLoadLength = 64;
/// Range of paces that are believed, in percent.
constexpr std::uint32_t MinPace = 10;
constexpr std::uint32_t MaxPace = 10000;

const std::string *find(const HttpResult &result, const std::string &name) {
  return name.empty() ? nullptr : findHeader(result.Headers, name);
}

} // namespace

ResponseKind classifyResponse(const HttpHeaderNames &headerNames, const HttpResult &result,
                              const std::string &identity) {
  if (!isFinalStatus(result.Status))
    return ResponseKind::Invalid;
  const std::string *echoed = find(result, headerNames.RequestID);
  if (echoed != nullptr && !identity.empty() && *echoed != identity)
    return ResponseKind::Invalid;
  const bool notRun = find(result, headerNames.NotRun) != nullptr ||
                      (!headerNames.Upstream.empty() && result.Status == StatusMisdirected);
  // A refusal that may belong to an earlier request proves nothing about this one.
  if (notRun)
    return result.Matched ? ResponseKind::NotRun : ResponseKind::Invalid;
  const bool success = result.Status >= FirstSuccess && result.Status < FirstRedirect;
  const bool authentic =
      headerNames.Signature.empty() || (find(result, headerNames.Signature) != nullptr &&
                                        findHeader(result.Headers, "content-encoding") == nullptr);
  return success && !authentic ? ResponseKind::Invalid : ResponseKind::Valid;
}

bool isFromOtherProcess(const HttpHeaderNames &headerNames, const HttpResult &result,
                        ResponseKind kind) {
  return kind == ResponseKind::NotRun && !headerNames.Upstream.empty() &&
         result.Status == StatusMisdirected;
}

LimitStatement limitStatementOf(const HttpHeaderNames &headerNames, const HttpResult &result,
                                ResponseKind kind) {
  if (headerNames.Limit.empty() || kind == ResponseKind::Invalid)
    return NoLimitStatement{};
  const auto fields = std::count_if(result.Headers.begin(), result.Headers.end(),
                                    [&headerNames](const HeaderField &field) {
                                      return absl::EqualsIgnoreCase(field.Name, headerNames.Limit);
                                    });
  if (fields == 0) {
    const bool signedByUpstream =
        headerNames.Signature.empty() || find(result, headerNames.Signature) != nullptr;
    if (kind == ResponseKind::Valid && signedByUpstream)
      return LimitLifted{};
    return NoLimitStatement{};
  }
  const std::string &text = *find(result, headerNames.Limit);
  double perSecond = 0;
  const bool valid = fields == 1 && text.size() <= MaxLimitLength &&
                     absl::SimpleAtod(text, &perSecond) && std::isfinite(perSecond) &&
                     perSecond >= 0 && !std::signbit(perSecond);
  if (!valid)
    return NoLimitStatement{};
  return LimitNamed{perSecond};
}

std::optional<DurationMs> warmUpLeftOf(const HttpHeaderNames &headerNames, const HttpResult &result,
                                       const std::string &upstream) {
  if (!result.Complete)
    return std::nullopt;
  const std::string *sender = find(result, headerNames.RespondingUpstream);
  const bool isOther = sender != nullptr ? !upstream.empty() && *sender != upstream
                                         : !headerNames.RespondingUpstream.empty();
  if (isOther)
    return std::nullopt;
  const bool success = result.Status >= FirstSuccess && result.Status < FirstRedirect;
  const std::string *text = find(result, headerNames.WarmUpLeft);
  if (text == nullptr)
    return success ? std::optional<DurationMs>(0) : std::nullopt;
  DurationMs left = 0;
  if (!absl::SimpleAtoi(*text, &left))
    return std::nullopt;
  return std::min(left, MaxWarmUpLeft);
}

std::uint32_t paceOf(const HttpHeaderNames &headerNames, const HttpResult &result,
                     ResponseKind kind) {
  const std::string *load = find(result, headerNames.Load);
  if (kind == ResponseKind::Invalid || load == nullptr || load->size() > MaxLoadLength)
    return 0;
  const std::vector<std::string> figures = absl::StrSplit(*load, ',');
  std::uint32_t percent = 0;
  const bool valid = figures.size() == 4 && absl::SimpleAtoi(figures[3], &percent) &&
                     percent >= MinPace && percent <= MaxPace;
  return valid ? percent : 0;
}

bool statesLeaving(const HttpHeaderNames &headerNames, const HttpResult &result,
                   ResponseKind kind) {
  const std::string *leaving = find(result, headerNames.Leaving);
  return kind != ResponseKind::Invalid && leaving != nullptr && *leaving == "1";
}

} // namespace jasmineloom
