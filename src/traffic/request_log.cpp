/// @file request_log.cpp Structured log line for each decision on a request.
#include "traffic/request_log.h"

#include "log.h"

#include <xxhash.h>

#include <sstream>

namespace jasmineloom {

namespace {

/// One of this many answered requests is logged.
constexpr std::uint64_t AnsweredSamplePeriod = 64;

bool isSampled(std::string_view request) {
  return XXH3_64bits(request.data(), request.size()) % AnsweredSamplePeriod == 0;
}

/// Formats the fields of a line as key=value pairs.
class FieldWriter {
public:
  FieldWriter &text(const char *name, std::string_view value) {
    if (!value.empty())
      Out << ' ' << name << '=' << value;
    return *this;
  }
  FieldWriter &number(const char *name, std::uint64_t value) {
    if (value != 0)
      Out << ' ' << name << '=' << value;
    return *this;
  }
  std::string take() { return std::move(Out).str(); }

private:
  std::ostringstream Out;
};

} // namespace

std::string_view decisionOf(Outcome outcome) {
  return outcome == Outcome::NotRun ? "refused" : nameOf(outcome);
}

void RequestLog::write(const RequestLine &line, TimeMs now) {
  if (line.Decision == nameOf(Outcome::Answered) && !isSampled(line.Request))
    return;
  if (now / MsPerSecond != Second) {
    Second = now / MsPerSecond;
    Lines = 0;
  }
  if (++Lines > MaxRequestLinesPerSecond) {
    ++Suppressed;
    return;
  }
  FieldWriter fields;
  fields.text("request", line.Request)
      .text("decision", line.Decision)
      .text("reason", line.Reason)
      .text("route", line.Route)
      .text("host", line.Host)
      .number("version", line.Version)
      .number("status", static_cast<std::uint64_t>(line.Status))
      .number("attempts", line.Attempts)
      .number("elapsed_ms", line.Elapsed)
      .number("left_ms", line.Left)
      .number("retry_after_ms", line.RetryAfter);
  LOG4CXX_INFO(loggerOf(Component), "request:" << fields.take());
}

} // namespace jasmineloom
