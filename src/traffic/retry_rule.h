/// @file retry_rule.h Retry budget, and the decision whether a request is retried.
#pragma once

#include "ids_type.h"

#include <cstddef>
#include <cstdint>

namespace jasmineloom {

/// Limits retries to a share of the first attempts.
class RetryBudget {
public:
  RetryBudget() = default;
  /// @param tokens retries available at the start, and the largest balance.
  explicit RetryBudget(double tokens) : MaxTokens(tokens), Tokens(tokens) {}
  /// Sets the largest balance; a higher one is cut to it.
  void setMaxTokens(double tokens);
  /// Adds the fraction of a retry that each first attempt earns.
  void deposit();
  /// Withdraws one retry.
  /// @returns false if the balance is less than one.
  bool tryWithdraw();

private:
  double MaxTokens = 10;
  double Tokens = 10;
};

/// Divides the retry slack of a service among the nodes.
/// @param slack retries that all nodes together may make beyond their share of first attempts.
/// @param nodes number of nodes that may send to the service.
/// @returns the largest balance of one node's budget.
double maxRetryTokens(double slack, std::size_t nodes);

/// Result of one attempt.
enum class AttemptResult : std::uint8_t { Answered, NotRun, Unknown };

/// What to do after an attempt.
enum class RetryDecision : std::uint8_t { Reply, Retry };

/// Decides whether a request is retried. A request that may have run is retried only if it is
/// idempotent.
RetryDecision decideRetry(AttemptResult result, bool idempotent, bool budgetLeft,
                          std::uint32_t attempts, TimeMs deadline, TimeMs now);

/// Attempts cut off by the end of an upstream after which a request is not retried: the request may
/// be what crashes them.
constexpr std::uint32_t MaxUpstreamCuts = 2;

/// Refusals for overload after which a request is not retried: the gates with the shortest expected
/// wait are tried first, and each attempt sends the whole request.
constexpr std::uint32_t MaxOverloadRefusals = 2;

/// Upper limit of attempts, including the first.
constexpr std::uint32_t MaxAttempts = 6;

} // namespace jasmineloom
