/// @file retry_rule.cpp Whether a request may be tried again.
#include "traffic/retry_rule.h"

#include <algorithm>

namespace jasmineloom {

namespace {
/// Retries for each fresh request. Repeated work repeats its calls, so that a service deep down
/// sees twice this share; operators allow a fifth.
constexpr double RetryShare = 0.08;
/// Part of the slack that retries use up; the rest is left for what arrives late.
constexpr double SlackShare = 0.8;
/// Nodes that are expected at least: a node that starts knows few others.
constexpr std::size_t MinNodes = 16;
} // namespace

double maxRetryTokens(double slack, std::size_t nodes) {
  return slack * SlackShare / static_cast<double>(std::max(nodes, MinNodes));
}

void RetryBudget::setMaxTokens(double tokens) {
  MaxTokens = tokens;
  Tokens = std::min(Tokens, tokens);
}

void RetryBudget::deposit() { Tokens = std::min(MaxTokens, Tokens + RetryShare); }

bool RetryBudget::tryWithdraw() {
  if (Tokens < 1)
    return false;
  Tokens -= 1;
  return true;
}

RetryDecision decideRetry(AttemptResult result, bool idempotent, bool budgetLeft,
                          std::uint32_t attempts, TimeMs deadline, TimeMs now) {
  if (result == AttemptResult::Answered || attempts >= MaxAttempts || now >= deadline)
    return RetryDecision::Reply;
  const bool safe = result == AttemptResult::NotRun || idempotent;
  return safe && budgetLeft ? RetryDecision::Retry : RetryDecision::Reply;
}

} // namespace jasmineloom
