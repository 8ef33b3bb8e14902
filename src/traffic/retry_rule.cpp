/// @file retry_rule.cpp Retry budget, and the decision whether a request is retried.
#include "traffic/retry_rule.h"

#include <algorithm>

namespace jasmineloom {

namespace {
/// Retries earned by each first attempt. A retry repeats its nested calls as well, so a service
/// deep in the call chain sees twice this share; operators allow a fifth.
constexpr double RetryShare = 0.08;
/// Share of the slack that is given to retries; the rest is reserved for requests that arrive late.
constexpr double SlackFraction = 0.8;
/// Lower limit of the number of nodes: a node that has just started has discovered few others.
constexpr std::size_t MinNodes = 16;
} // namespace

double maxRetryTokens(double slack, std::size_t nodes) {
  return slack * SlackFraction / static_cast<double>(std::max(nodes, MinNodes));
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
