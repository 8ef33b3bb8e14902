/// @file rollout_rule.h Rules that compare the two versions of a rollout.
#pragma once

#include "rollout/evidence_aggregator.h"

#include <string>
#include <variant>

namespace jasmineloom {

/// What a rule says of a new version.
enum class Verdict : std::uint8_t {
  Undecided,
  Good,
  Suspect, ///< Worse than the old version was; the old one has too little traffic to compare now.
  Bad,
};

/// Compares both versions within each route and second, so that what hits both at once or moves
/// with time and load cancels out. The hits of the new version are binomial given all hits.
/// Source: N. Mantel, W. Haenszel, J. Natl. Cancer Inst. 22 (1959), for the stratified margins;
/// H. Chernoff, Ann. Math. Stat. 23 (1952), for the bound of the tail. The bound says little where
/// both versions fail often, for instance because a service that they call fails; there the test of
/// Mantel and Haenszel itself decides.
struct StratifiedRule {
  double BadLogOdds = 9;    ///< Negative logarithm of the chance of a wrong verdict at one look.
  double AllowedOdds = 1.5; ///< Odds by which a new version may be worse.
  /// Where failures are common on both sides: standard errors that make a version bad, and the
  /// odds ratio below which it isn't.
  double CommonZ = 4.5;
  double CommonOdds = 1.8;
  /// Whether the hosts' different speeds are taken out of the latencies before they are compared.
  bool AlignHosts = false;
  /// Whether failures at some hosts of the new version only are held against those hosts. It takes
  /// some more requests to tell.
  bool BlamesHosts = false;
  /// Latency buckets beyond the old version's quantiles at which an answer begins to be slow.
  std::size_t SlowMargin = 0;
  std::uint64_t GoodRequests = 200;
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

/// Compares the plain rates once there are enough requests.
struct ThresholdRule {
  double Excess = 0.03;
  std::uint64_t MinRequests = 100;
};

using DecisionRule =
    std::variant<StratifiedRule, SequentialRatioRule, ScoreBoundRule, ThresholdRule>;

/// A verdict with its reason.
struct Judgement {
  Verdict Result = Verdict::Undecided;
  std::string Reason;
  bool OfFailures = false; ///< The verdict counts failures, not latencies.
};

/// @returns whether the new version fails at some of its hosts only: then it is those hosts that
/// are at fault, as a version's own fault shows wherever it runs.
/// @param oldRate share of requests that the old version fails at most.
bool failsAtSomeHosts(std::vector<HostCounts> hosts, double oldRate);

/// Judges a rollout's new version on all that its book holds.
Judgement judge(const DecisionRule &rule, const EvidenceAggregator &book, TimeMs now);

} // namespace jasmineloom
