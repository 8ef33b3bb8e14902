/// @file rollout_rule.cpp Statistical rules that compare the two versions of a rollout.
#include "rollout/rollout_rule.h"

#include "rollout/host_fault.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>

namespace jasmineloom {

namespace {

/// Lengths of the evaluated time windows, in evidence buckets.
constexpr std::array<std::uint64_t, 3> WindowBuckets = {3, 10, 30};
constexpr std::uint64_t MinHits = 4;
constexpr std::uint64_t MinBaselineRequests = 30;
constexpr std::uint64_t MinGoodRequests = 20;
constexpr double AssumedBaselineRate = 0.01;
constexpr double BadRateFactor = 3;
constexpr double BaselineBoundZ = 2.0;
constexpr double SlowQuantile = 0.95;
constexpr double VerySlowQuantile = 0.99;
constexpr double MaxExpectedRate = 0.95;

/// Defines a hit: a failure, or a latency above a quantile of the old version.
struct CanaryMetric {
  const char *Name;
  std::size_t FirstSlowBucket; ///< First latency bucket that is a hit; 0: failures are hits.
  double ToleratedRate;        ///< Rate of hits up to which no version is bad.
  double BadExcess;            ///< Added rate of a bad version in the sequential test.
};

/// Hits among a number of requests or of latency samples.
struct BinomialCounts {
  std::uint64_t Trials = 0;
  std::uint64_t Hits = 0;
};

std::uint64_t latencySamples(const VersionCounts &counts) {
  std::uint64_t sum = 0;
  for (const std::uint32_t n : counts.Latency)
    sum += n;
  return sum;
}

BinomialCounts binomialCounts(const CanaryMetric &metric, const VersionCounts &counts) {
  if (metric.FirstSlowBucket == 0)
    return {counts.Requests, counts.Failures};
  BinomialCounts sample{latencySamples(counts), 0};
  for (std::size_t it = metric.FirstSlowBucket; it < LatencyBuckets; ++it)
    sample.Hits += counts.Latency[it];
  return sample;
}

/// @returns the first bucket above the one that holds the quantile.
std::size_t bucketAbove(const VersionCounts &counts, double quantile) {
  const double rank = quantile * static_cast<double>(latencySamples(counts));
  double cumulated = 0;
  for (std::size_t it = 0; it < LatencyBuckets; ++it) {
    cumulated += counts.Latency[it];
    if (cumulated >= rank)
      return it + 1;
  }
  return LatencyBuckets;
}

std::vector<CanaryMetric> metricsFor(const DecisionRule &rule, const VersionCounts &old) {
  const auto *stratified = std::get_if<StratifiedRule>(&rule);
  const std::size_t margin = stratified == nullptr ? 0 : stratified->SlowMarginBuckets;
  std::vector<CanaryMetric> metrics = {{"failures", 0, 0.002, 0.03}};
  if (latencySamples(old) < MinBaselineRequests)
    return metrics;
  metrics.push_back({"slow answers", bucketAbove(old, SlowQuantile) + margin, 0.03, 0.12});
  metrics.push_back(
      {"very slow answers", bucketAbove(old, VerySlowQuantile) + margin, 0.012, 0.05});
  return metrics;
}

/// Evidence on one route, or on all of them, in one time window.
struct Window {
  std::vector<const EvidenceStratum *> Strata;
  VersionCounts Old;
  VersionCounts New;
  VersionCounts Baseline; ///< The old version's saved counts.
};

/// @returns Wilson's score bound of the rate of hits: the upper one, or with a negative \p z the
/// lower one.
double scoreBound(const BinomialCounts &sample, double z) {
  const double n = static_cast<double>(sample.Trials);
  const double p = static_cast<double>(sample.Hits) / n;
  const double spread = z * std::sqrt(p * (1 - p) / n + z * z / (4 * n * n));
  return (p + z * z / (2 * n) + spread) / (1 + z * z / n);
}

/// @returns an upper bound of the old version's rate of hits, at least the tolerated rate. The
/// baseline is added where the window holds too few requests.
double expectedRate(const CanaryMetric &metric, const Window &window) {
  BinomialCounts old = binomialCounts(metric, window.Old);
  if (old.Trials < MinBaselineRequests) {
    const BinomialCounts baseline = binomialCounts(metric, window.Baseline);
    old.Trials += baseline.Trials;
    old.Hits += baseline.Hits;
  }
  if (old.Trials < MinBaselineRequests)
    return std::max(metric.ToleratedRate, AssumedBaselineRate);
  return std::clamp(scoreBound(old, BaselineBoundZ), metric.ToleratedRate, MaxExpectedRate);
}

Verdict sequentialRatioTest(const SequentialRatioRule &rule, const CanaryMetric &metric,
                            const Window &window) {
  const BinomialCounts observed = binomialCounts(metric, window.New);
  const double p0 = expectedRate(metric, window);
  const double p1 = std::min(0.99, std::max(BadRateFactor * p0, p0 + metric.BadExcess));
  const auto hits = static_cast<double>(observed.Hits);
  const double misses = static_cast<double>(observed.Trials) - hits;
  const double logRatio = hits * std::log(p1 / p0) + misses * std::log((1 - p1) / (1 - p0));
  if (logRatio > rule.BadLogRatio && observed.Hits >= MinHits)
    return Verdict::Bad;
  const bool good = logRatio < rule.GoodLogRatio && observed.Trials >= MinGoodRequests;
  return good ? Verdict::Good : Verdict::Undecided;
}

/// Kullback-Leibler divergence of two Bernoulli distributions, in nats.
double klDivergence(double p, double q) {
  double sum = p * std::log(p / q);
  if (p < 1)
    sum += (1 - p) * std::log((1 - p) / (1 - q));
  return sum;
}

/// Minimum number of hits, and of misses, of both versions together for the normal approximation.
constexpr double MinNormalCounts = 20;

/// Mantel-Haenszel test of one metric over all strata.
struct MantelHaenszelResult {
  double Z = 0;         ///< Excess of the new version's hits, in standard errors.
  double OddsRatio = 0; ///< Common odds ratio of all strata, new to old version.
  double Hits = 0;
  double Misses = 0;
};

MantelHaenszelResult mantelHaenszelTest(const CanaryMetric &metric, const Window &window) {
  MantelHaenszelResult result;
  double excess = 0;
  double variance = 0;
  double oddsNumerator = 0;
  double oddsDenominator = 0;
  for (const EvidenceStratum *stratum : window.Strata) {
    const BinomialCounts old = binomialCounts(metric, stratum->Old);
    const BinomialCounts newCounts = binomialCounts(metric, stratum->New);
    const auto oldTrials = static_cast<double>(old.Trials);
    const auto newTrials = static_cast<double>(newCounts.Trials);
    const double n = oldTrials + newTrials;
    if (oldTrials == 0 || newTrials == 0)
      continue;
    const auto newHits = static_cast<double>(newCounts.Hits);
    const auto oldHits = static_cast<double>(old.Hits);
    const double hits = newHits + oldHits;
    const double misses = n - hits;
    excess += newHits - hits * newTrials / n;
    variance += n > 1 ? newTrials * oldTrials * hits * misses / (n * n * (n - 1)) : 0;
    oddsNumerator += newHits * (oldTrials - oldHits) / n;
    oddsDenominator += oldHits * (newTrials - newHits) / n;
    result.Hits += hits;
    result.Misses += misses;
  }
  result.Z = variance > 0 ? excess / std::sqrt(variance) : 0;
  result.OddsRatio = oddsDenominator > 0 ? oddsNumerator / oddsDenominator
                     : oddsNumerator > 0 ? std::numeric_limits<double>::infinity()
                                         : 0;
  return result;
}

/// Applies a rule to one metric.
struct RuleVisitor {
  const CanaryMetric &Metric;
  const Window &Evidence;

  bool mantelHaenszelBad(const StratifiedRule &rule) const {
    const MantelHaenszelResult result = mantelHaenszelTest(Metric, Evidence);
    const bool enough = result.Hits >= MinNormalCounts && result.Misses >= MinNormalCounts;
    return enough && result.Z > rule.MantelHaenszelZ &&
           result.OddsRatio > rule.MantelHaenszelOddsRatio;
  }

  Verdict operator()(const StratifiedRule &rule) const {
    double hits = 0;
    double newHits = 0;
    double expected = 0;
    double newTrials = 0;
    for (const EvidenceStratum *stratum : Evidence.Strata) {
      const BinomialCounts old = binomialCounts(Metric, stratum->Old);
      const BinomialCounts newCounts = binomialCounts(Metric, stratum->New);
      if (old.Trials == 0 || newCounts.Trials == 0)
        continue;
      const double stratumHits = static_cast<double>(old.Hits + newCounts.Hits);
      hits += stratumHits;
      newHits += static_cast<double>(newCounts.Hits);
      newTrials += static_cast<double>(newCounts.Trials);
      expected += stratumHits * static_cast<double>(newCounts.Trials) /
                  static_cast<double>(old.Trials + newCounts.Trials);
    }
    const double allowance = Metric.ToleratedRate * newTrials;
    const double odds =
        rule.AllowedOddsRatio * (expected + allowance) / std::max(1e-9, hits - expected);
    const double share = odds / (1 + odds);
    if (newHits >= MinHits && newHits / hits > share &&
        hits * klDivergence(newHits / hits, share) > rule.BadNegLogP)
      return Verdict::Bad;
    if (Metric.FirstSlowBucket == 0 && mantelHaenszelBad(rule))
      return Verdict::Bad;
    if (sequentialRatioTest(SequentialRatioRule{}, Metric, Evidence) == Verdict::Bad)
      return Verdict::Suspect;
    const bool good =
        newTrials >= static_cast<double>(rule.GoodRequests) && newHits <= expected + allowance;
    return good ? Verdict::Good : Verdict::Undecided;
  }

  Verdict operator()(const SequentialRatioRule &rule) const {
    return sequentialRatioTest(rule, Metric, Evidence);
  }

  Verdict operator()(const ScoreBoundRule &rule) const {
    const BinomialCounts observed = binomialCounts(Metric, Evidence.New);
    if (observed.Trials == 0)
      return Verdict::Undecided;
    if (observed.Hits >= MinHits && scoreBound(observed, -rule.Z) > expectedRate(Metric, Evidence))
      return Verdict::Bad;
    return observed.Trials >= rule.GoodRequests ? Verdict::Good : Verdict::Undecided;
  }

  Verdict operator()(const ThresholdRule &rule) const {
    const BinomialCounts observed = binomialCounts(Metric, Evidence.New);
    if (observed.Trials < rule.MinRequests)
      return Verdict::Undecided;
    const double rate = static_cast<double>(observed.Hits) / static_cast<double>(observed.Trials);
    return rate > expectedRate(Metric, Evidence) + rule.BadExcess ? Verdict::Bad : Verdict::Good;
  }
};

Window windowOf(const std::vector<EvidenceStratum> &strata, const RouteName *route,
                const EvidenceAggregator &evidence) {
  Window window;
  for (const EvidenceStratum &stratum : strata) {
    if (route != nullptr && stratum.Route != *route)
      continue;
    window.Strata.push_back(&stratum);
    window.Old += stratum.Old;
    window.New += stratum.New;
  }
  window.Baseline = route == nullptr ? evidence.baseline() : evidence.baseline(*route);
  return window;
}

/// Judges one window. The worst verdict of all metrics counts; Good requires Good for each of them.
Judgement judgeWindow(const DecisionRule &rule, const Window &window, const std::string &scope) {
  VersionCounts old = window.Old;
  if (latencySamples(old) < MinBaselineRequests)
    old += window.Baseline;
  Judgement judgement{Verdict::Good, {}};
  for (const CanaryMetric &metric : metricsFor(rule, old)) {
    const Verdict verdict = std::visit(RuleVisitor{metric, window}, rule);
    const bool worse = verdict > Verdict::Good && verdict > judgement.Result;
    if (worse) {
      const BinomialCounts newCounts = binomialCounts(metric, window.New);
      const BinomialCounts oldCounts = binomialCounts(metric, old);
      judgement = {verdict,
                   absl::StrCat(scope, ": ", newCounts.Hits, " ", metric.Name, " in ",
                                newCounts.Trials, " requests, the old version ", oldCounts.Hits,
                                " in ", oldCounts.Trials),
                   metric.FirstSlowBucket == 0};
    }
    if (verdict == Verdict::Undecided && judgement.Result == Verdict::Good)
      judgement.Result = Verdict::Undecided;
  }
  return judgement;
}

/// @returns the judgement, with a verdict of Undecided if it counts failures that are confined to
/// some of the new version's hosts.
Judgement withoutHostFaults(const DecisionRule &rule, Judgement judgement, const Window &window,
                            const EvidenceAggregator &evidence, TimeMs now, std::uint64_t buckets,
                            const RouteName *route) {
  const auto *stratified = std::get_if<StratifiedRule>(&rule);
  const bool excludes = stratified != nullptr && stratified->ExcludeHostFaults;
  if (!excludes || judgement.Result < Verdict::Suspect || !judgement.FromFailures)
    return judgement;
  VersionCounts old = window.Old;
  if (old.Requests < MinBaselineRequests)
    old += window.Baseline;
  const double oldRate =
      old.Requests == 0 ? 0 : scoreBound({old.Requests, old.Failures}, BaselineBoundZ);
  // A shorter window shows a fault of some hosts that has just begun more clearly.
  const bool confined =
      std::any_of(WindowBuckets.begin(), WindowBuckets.end(), [&](std::uint64_t shorter) {
        return shorter <= buckets &&
               failuresConfinedToHosts(evidence.newVersionByHost(now, shorter, route), oldRate);
      });
  if (!confined)
    return judgement;
  judgement.Result = Verdict::Undecided;
  judgement.Withheld = judgement.Reason;
  return judgement;
}

bool normalisesHostSpeeds(const DecisionRule &rule) {
  const auto *stratified = std::get_if<StratifiedRule>(&rule);
  return stratified != nullptr && stratified->NormaliseHostSpeeds;
}

} // namespace

Judgement judge(const DecisionRule &rule, const EvidenceAggregator &evidence, TimeMs now) {
  Judgement worst;
  Judgement overall;
  std::string withheld;
  const bool normalise = normalisesHostSpeeds(rule);
  const EvidenceAggregator::HostShifts shifts =
      normalise ? evidence.hostShifts(now) : EvidenceAggregator::HostShifts{};
  for (const std::uint64_t buckets : WindowBuckets) {
    const std::vector<EvidenceStratum> strata =
        normalise ? evidence.normalisedStrata(now, buckets, shifts) : evidence.strata(now, buckets);
    std::set<RouteName> routes;
    for (const EvidenceStratum &stratum : strata)
      routes.insert(stratum.Route);
    for (const RouteName &route : routes) {
      const Window window = windowOf(strata, &route, evidence);
      Judgement judgement =
          withoutHostFaults(rule, judgeWindow(rule, window, absl::StrCat("route ", route.str())),
                            window, evidence, now, buckets, &route);
      withheld = judgement.Withheld.empty() ? withheld : judgement.Withheld;
      if (judgement.Result > Verdict::Good && judgement.Result > worst.Result)
        worst = std::move(judgement);
    }
    const Window all = windowOf(strata, nullptr, evidence);
    overall = withoutHostFaults(rule, judgeWindow(rule, all, "all routes"), all, evidence, now,
                                buckets, nullptr);
    withheld = overall.Withheld.empty() ? withheld : overall.Withheld;
    if (overall.Result > Verdict::Good && overall.Result > worst.Result)
      worst = overall;
    if (worst.Result == Verdict::Bad)
      return worst;
  }
  Judgement result = worst.Result == Verdict::Suspect ? worst : overall;
  result.Withheld = withheld;
  return result;
}

} // namespace jasmineloom
