/// @file request_log.h Structured log line for each decision on a request.
#pragma once

#include "ids_type.h"
#include "routing/outcome_type.h"

#include <string>
#include <string_view>

namespace jasmineloom {

/// Rate limit of one RequestLog; lines beyond it are only counted.
constexpr std::uint32_t MaxRequestLinesPerSecond = 50;

/// Fields of a log line. Empty and zero fields are omitted.
struct RequestLine {
  std::string_view Request;  ///< Request ID sent by the caller.
  std::string_view Decision; ///< "answered", "refused", "retried", "unknown", "cancelled".
  std::string_view Route;
  std::string_view Host; ///< Host that the request was sent to.
  std::string_view Reason;
  ConfigVersion Version = 0; ///< Configuration version in force for the decision.
  int Status = 0;
  std::uint32_t Attempts = 0;
  DurationMs Elapsed = 0;    ///< Since the request arrived.
  DurationMs Left = 0;       ///< Until its deadline.
  DurationMs RetryAfter = 0; ///< Sent to the caller.
};

/// @returns the value of the decision field for an outcome.
std::string_view decisionOf(Outcome outcome);

/// Writes the request log of one component at a limited rate. Answered requests are sampled by
/// their ID, so that all hops log the same requests.
class RequestLog {
public:
  /// @param component name of the logger.
  explicit RequestLog(const char *component) : Component(component) {}
  void write(const RequestLine &line, TimeMs now);
  /// @returns lines dropped by the rate limit.
  std::uint64_t suppressed() const { return Suppressed; }

private:
  const char *Component;
  TimeMs Second = 0;
  std::uint32_t Lines = 0;
  std::uint64_t Suppressed = 0;
};

} // namespace jasmineloom
