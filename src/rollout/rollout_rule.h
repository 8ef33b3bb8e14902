/// @file rollout_rule.h Statistical rules that compare the two versions of a rollout.
#pragma once

#include "rollout/evidence_aggregator.h"

#include <string>
#include <variant>

namespace jasmineloom {

/// Result of a rule for the new version.
enum class Verdict : std::uint8_t {
  Undecided,
  Good,
  Suspect, ///< Worse than the old version's expected rate, but not confirmed by a direct
           ///< comparison; the old version may have too little traffic for one.
  Bad,
};

/// Compares the two versions within each stratum (one route in one second), so that disturbances
/// of both versions, and changes over time or with load, cancel out. A hit is a failure or a slow
/// response; given the total hits of both versions, those of the new version follow a binomial
/// distribution.
/// Source: N. Mantel, W. Haenszel, J. Natl. Cancer Inst. 22 (1959), for the stratified margins;
/// H. Chernoff, Ann. Math. Stat. 23 (1952), for the tail bound. The bound is weak where both
/// versions fail often, for instance because a service that they call fails; the Mantel-Haenszel
/// test, which is applied to failures only, covers that case.
struct StratifiedRule {
  /// Negative natural logarithm of the probability of a false Bad verdict in one evaluation.
  double BadNegLogP = 9;
  double AllowedOddsRatio = 1.5; ///< Odds ratio of new to old version that is tolerated.
  /// Mantel-Haenszel test: the version is bad if both the deviation in standard errors and the
  /// odds ratio exceed these.
  double MantelHaenszelZ = 4.5;
  double MantelHaenszelOddsRatio = 1.8;
  /// Whether latencies are corrected for the different speeds of the hosts.
  bool NormaliseHostSpeeds = false;
  /// Whether failures on only some of the new version's hosts are attributed to those hosts instead
  /// of the version. A verdict then needs some more requests.
  bool ExcludeHostFaults = false;
  /// Number of latency buckets by which a response must exceed the old version's quantile to count
  /// as slow.
  std::size_t SlowMarginBuckets = 0;
  std::uint64_t GoodRequests = 200; ///< Minimum requests to the new version for a Good verdict.
};

/// Wald's sequential probability ratio test against the old version's rate.
/// Source: A. Wald, Sequential Analysis, 1947.
struct SequentialRatioRule {
  double BadLogRatio = 9.0;
  double GoodLogRatio = -3.0;
};

/// Compares one-sided score bounds of the two rates. Source: E. B. Wilson, JASA 22 (1927).
struct ScoreBoundRule {
  double Z = 3.5;
  std::uint64_t GoodRequests = 300;
};

/// Compares the rates themselves once there are enough requests.
struct ThresholdRule {
  double BadExcess = 0.03;
  std::uint64_t MinRequests = 100;
};

using DecisionRule =
    std::variant<StratifiedRule, SequentialRatioRule, ScoreBoundRule, ThresholdRule>;

struct Judgement {
  Verdict Result = Verdict::Undecided;
  std::string Reason;
  bool FromFailures = false; ///< The verdict is based on failures, not on latencies.
  /// Reason of a verdict that was not passed because its failures are confined to some hosts;
  /// empty: none.
  std::string Withheld{};
};

/// Evaluates a rollout's new version over several time windows, for all routes together and for
/// each route.
Judgement judge(const DecisionRule &rule, const EvidenceAggregator &evidence, TimeMs now);

} // namespace jasmineloom
