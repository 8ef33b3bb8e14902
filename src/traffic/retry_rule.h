/// @file retry_rule.h Whether a request may be tried again.
#pragma once

#include "ids_type.h"

#include <cstddef>
#include <cstdint>

namespace jasmineloom {

/// Keeps retries to a share of fresh requests.
class RetryBudget {
public:
  RetryBudget() = default;
  /// @param tokens retries that may be made before any request has been seen.
  explicit RetryBudget(double tokens) : MaxTokens(tokens), Tokens(tokens) {}
  /// Bounds the unused retries that are kept.
  void setMaxTokens(double tokens);
  void deposit();
  /// @returns whether a retry may be made; takes it from the budget if so.
  bool tryWithdraw();

private:
  double MaxTokens = 10; ///< Unused retries that are kept.
  double Tokens = 10;
};

/// @param slack retries to a service that all nodes may make beyond their share.
/// @param nodes number of nodes that may send to it.
/// @returns the unused retries that one node may keep.
double maxRetryTokens(double slack, std::size_t nodes);

/// Result of one attempt.
enum class AttemptResult : std::uint8_t { Answered, NotRun, Unknown };

/// What follows an attempt.
enum class RetryDecision : std::uint8_t { Reply, Retry };

/// Decides whether a request may be sent again. A request that may have run is sent again only if
/// it is idempotent.
RetryDecision decideRetry(AttemptResult result, bool idempotent, bool budgetLeft,
                          std::uint32_t attempts, TimeMs deadline, TimeMs now);

/// Upstreams that one request may lose before it is given up.
constexpr std::uint32_t MaxUpstreamCuts = 2;

/// Queues too long for a request after which it is refused: of a few gates the shortest expected
/// are asked first, and the request is sent whole each time.
constexpr std::uint32_t MaxOverloadRefusals = 2;

/// Attempts at most, the first included.
constexpr std::uint32_t MaxAttempts = 6;

} // namespace jasmineloom
