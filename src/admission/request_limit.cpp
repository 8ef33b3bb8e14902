/// @file request_limit.cpp Limit of an upstream's requests per second.
#include "admission/request_limit.h"

#include <algorithm>

namespace jasmineloom {

namespace {

/// Lowest rate in force. An upstream that names 0 gets a request every few seconds, as only a
/// response can lift the limit.
constexpr double MinPerSecond = 0.25;
/// Time whose unused requests may be made up for, s.
constexpr double BurstSeconds = 0.5;

} // namespace

void RequestLimit::set(double perSecond, TimeMs now) {
  Tokens = active() ? available(now) : 1;
  PerSecond = std::max(perSecond, MinPerSecond);
  UpdatedAt = now;
}

double RequestLimit::available(TimeMs now) const {
  const double elapsed = now > UpdatedAt ? static_cast<double>(now - UpdatedAt) / MsPerSecond : 0;
  return std::min(std::max(1.0, BurstSeconds * PerSecond), Tokens + elapsed * PerSecond);
}

void RequestLimit::recordStart(TimeMs now) {
  if (!active())
    return;
  Tokens = available(now) - 1;
  UpdatedAt = now;
}

double RequestLimit::waitFor(double requests, TimeMs now) const {
  if (!active())
    return 0;
  return std::max(0.0, requests - available(now)) / PerSecond * MsPerSecond;
}

} // namespace jasmineloom
