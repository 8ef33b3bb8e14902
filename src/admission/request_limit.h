/// @file request_limit.h Limit of an upstream's requests per second.
#pragma once

#include "ids_type.h"

#include <variant>

namespace jasmineloom {

/// The response does not tell whether the upstream has a limit.
struct NoLimitStatement {
  bool operator==(const NoLimitStatement &) const = default;
};
/// The upstream has no limit, or no longer has one.
struct LimitLifted {
  bool operator==(const LimitLifted &) const = default;
};
/// The upstream takes this many requests per second from all nodes together.
struct LimitNamed {
  double PerSecond = 0;
  bool operator==(const LimitNamed &) const = default;
};
using LimitStatement = std::variant<NoLimitStatement, LimitLifted, LimitNamed>;

/// Token bucket that keeps the requests to an upstream within the rate that it names.
class RequestLimit {
public:
  /// Sets or changes the rate.
  /// @param perSecond requests per second; not negative.
  void set(double perSecond, TimeMs now);
  void lift() { PerSecond = 0; }
  bool active() const { return PerSecond > 0; }
  /// @returns the rate in force; 0: none.
  double perSecond() const { return PerSecond; }
  /// @returns the number of requests that may start now.
  double available(TimeMs now) const;
  bool mayStart(TimeMs now) const { return !active() || available(now) >= 1; }
  void recordStart(TimeMs now);
  /// @returns the time until \p requests more may have started, ms.
  double waitFor(double requests, TimeMs now) const;
  bool operator==(const RequestLimit &) const = default;

private:
  double PerSecond = 0;
  double Tokens = 0; ///< At UpdatedAt.
  TimeMs UpdatedAt = 0;
};

} // namespace jasmineloom
