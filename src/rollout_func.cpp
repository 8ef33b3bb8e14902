/// @file rollout_func.cpp Share of the new version, decision rules, and the steward's next step.
#include "rollout_func.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <set>

namespace jasmineloom {

namespace {

/// A step of the ramp.
struct RampStage {
  std::uint32_t Share; ///< Per mille.
  double LatestStart;  ///< Fraction of the rollout's duration.
};

/// The last stage leaves a little traffic on the old version, so that a fault of both shows as
/// such.
constexpr std::array<RampStage, 5> Ramp = {RampStage{10, 0.0}, RampStage{50, 0.25},
                                           RampStage{250, 0.40}, RampStage{500, 0.55},
                                           RampStage{980, 0.70}};
constexpr double LatestDone = 0.92; ///< Fraction of the duration at which an unfaulted move ends.
constexpr double MinStageFraction = 0.05; ///< Shortest stage as a fraction of the duration.

constexpr std::array<std::uint64_t, 3> WindowBuckets = {3, 10, 30};
constexpr std::uint64_t MinFailures = 4;
constexpr std::uint64_t MinBaselineRequests = 30;
constexpr double FailureRateFloor = 0.002;
constexpr double UnknownBaselineRate = 0.01;
constexpr double SlowRateFloor = 0.01;
constexpr double FailureExcess = 0.03;
constexpr double SlowExcess = 0.12;
constexpr double WorseFactor = 3;
constexpr double SlowQuantile = 0.95;
constexpr double BoundZ = 2.0;
constexpr std::uint64_t MinGoodRequests = 20;

/// Trials and hits of one binary question.
struct Rate {
  std::uint64_t Trials = 0;
  std::uint64_t Hits = 0;
};

/// A question on which two versions are compared.
struct Comparison {
  Rate Old;
  Rate New;
  double Floor;
  double Excess;
};

double upperBound(const Rate &rate, double z) {
  const double n = static_cast<double>(rate.Trials);
  const double p = static_cast<double>(rate.Hits) / n;
  const double centre = p + z * z / (2 * n);
  const double spread = z * std::sqrt(p * (1 - p) / n + z * z / (4 * n * n));
  return (centre + spread) / (1 + z * z / n);
}

double lowerBound(const Rate &rate, double z) {
  const double n = static_cast<double>(rate.Trials);
  const double p = static_cast<double>(rate.Hits) / n;
  const double centre = p + z * z / (2 * n);
  const double spread = z * std::sqrt(p * (1 - p) / n + z * z / (4 * n * n));
  return (centre - spread) / (1 + z * z / n);
}

double expectedRate(const Comparison &question) {
  if (question.Old.Trials < MinBaselineRequests)
    return std::max(question.Floor, UnknownBaselineRate);
  return std::clamp(upperBound(question.Old, BoundZ), question.Floor, 0.95);
}

struct RuleVisitor {
  const Comparison &Question;

  Verdict operator()(const SequentialRatioRule &rule) const {
    const double p0 = expectedRate(Question);
    const double p1 = std::min(0.99, std::max(WorseFactor * p0, p0 + Question.Excess));
    const auto hits = static_cast<double>(Question.New.Hits);
    const auto misses = static_cast<double>(Question.New.Trials) - hits;
    const double logRatio = hits * std::log(p1 / p0) + misses * std::log((1 - p1) / (1 - p0));
    if (logRatio > rule.BadLogRatio && Question.New.Hits >= MinFailures)
      return Verdict::Bad;
    return logRatio < rule.GoodLogRatio ? Verdict::Good : Verdict::Undecided;
  }

  Verdict operator()(const ScoreBoundRule &rule) const {
    if (Question.New.Trials == 0)
      return Verdict::Undecided;
    if (Question.New.Hits >= MinFailures &&
        lowerBound(Question.New, rule.Z) > expectedRate(Question))
      return Verdict::Bad;
    return Question.New.Trials >= rule.GoodRequests ? Verdict::Good : Verdict::Undecided;
  }

  Verdict operator()(const ThresholdRule &rule) const {
    if (Question.New.Trials < rule.MinRequests)
      return Verdict::Undecided;
    const double rate =
        static_cast<double>(Question.New.Hits) / static_cast<double>(Question.New.Trials);
    return rate > expectedRate(Question) + rule.Excess ? Verdict::Bad : Verdict::Good;
  }
};

std::uint64_t latencySamples(const VersionCounts &counts) {
  std::uint64_t sum = 0;
  for (const std::uint32_t n : counts.Latency)
    sum += n;
  return sum;
}

/// @returns the first bucket above the old version's slow quantile.
std::size_t slowBucket(const VersionCounts &counts) {
  const double wanted = SlowQuantile * static_cast<double>(latencySamples(counts));
  double seen = 0;
  for (std::size_t it = 0; it < LatencyBuckets; ++it) {
    seen += counts.Latency[it];
    if (seen >= wanted)
      return it + 2;
  }
  return LatencyBuckets;
}

Rate slowRate(const VersionCounts &counts, std::size_t fromBucket) {
  Rate rate{latencySamples(counts), 0};
  for (std::size_t it = fromBucket; it < LatencyBuckets; ++it)
    rate.Hits += counts.Latency[it];
  return rate;
}

VersionCounts countsOf(const EvidenceCounts &counts, const RouteName *route,
                       const VersionLabel &version) {
  VersionCounts sum;
  for (const auto &[key, value] : counts) {
    if (key.Version != version || (route != nullptr && key.Route != *route))
      continue;
    sum += value;
  }
  return sum;
}

std::set<RouteName> routesIn(const EvidenceCounts &counts) {
  std::set<RouteName> routes;
  for (const auto &[key, value] : counts)
    routes.insert(key.Route);
  return routes;
}

/// Judges one route, or all together if \p route is null, over one window.
Verdict judgeRoute(const DecisionRule &rule, const RolloutSpec &spec, const EvidenceCounts &window,
                   const EvidenceCounts &baseline, const RouteName *route) {
  VersionCounts before = countsOf(window, route, spec.From);
  const VersionCounts after = countsOf(window, route, spec.To);
  if (before.Requests < MinBaselineRequests)
    before += countsOf(baseline, route, spec.From);
  return judge(rule, before, after);
}

struct Finding {
  Verdict Result = Verdict::Undecided;
  std::string Reason;
};

Finding judgeAll(const DecisionRule &rule, const RolloutSpec &spec, const EvidenceBook &book,
                 TimeMs now) {
  Finding finding;
  for (const std::uint64_t buckets : WindowBuckets) {
    const EvidenceCounts window = book.sum(now, buckets);
    for (const RouteName &route : routesIn(window)) {
      if (judgeRoute(rule, spec, window, book.baseline(), &route) != Verdict::Bad)
        continue;
      const VersionCounts counts = countsOf(window, &route, spec.To);
      return {Verdict::Bad,
              absl::StrCat("route ", route.str(), ": ", counts.Failures, " failures in ",
                           counts.Requests, " requests of version ", spec.To.str(),
                           ", or slower than version ", spec.From.str())};
    }
    finding.Result = judgeRoute(rule, spec, window, book.baseline(), nullptr);
    if (finding.Result == Verdict::Bad)
      return {Verdict::Bad, absl::StrCat("version ", spec.To.str(), " is worse over all routes")};
  }
  return finding;
}

} // namespace

std::size_t latencyBucket(double latencyUs) {
  if (latencyUs <= FirstLatencyBoundUs)
    return 0;
  const double steps = 2 * std::log2(latencyUs / FirstLatencyBoundUs);
  return std::min(LatencyBuckets - 1, static_cast<std::size_t>(std::ceil(steps)));
}

VersionCounts &VersionCounts::operator+=(const VersionCounts &other) {
  Requests += other.Requests;
  Failures += other.Failures;
  for (std::size_t it = 0; it < LatencyBuckets; ++it)
    Latency[it] += other.Latency[it];
  return *this;
}

bool mergeProgress(RolloutProgress &held, const RolloutProgress &other) {
  const bool later = other.Phase > held.Phase;
  const bool further = other.Phase == held.Phase && other.Stage > held.Stage;
  if (!later && !further)
    return false;
  const std::uint32_t stage = std::max(held.Stage, other.Stage);
  held = other;
  held.Stage = stage;
  return true;
}

std::uint32_t scheduledStage(const RolloutSpec &spec, TimeMs now) {
  if (now <= spec.Start)
    return 0;
  const double elapsed =
      static_cast<double>(now - spec.Start) / static_cast<double>(spec.Deadline - spec.Start);
  if (elapsed >= LatestDone)
    return static_cast<std::uint32_t>(Ramp.size());
  std::uint32_t stage = 0;
  for (std::uint32_t it = 0; it < Ramp.size(); ++it) {
    if (elapsed >= Ramp[it].LatestStart)
      stage = it;
  }
  return stage;
}

std::uint32_t shareOf(const RolloutSpec &spec, const RolloutProgress &progress, TimeMs now) {
  if (progress.Phase == RolloutPhase::TakenBack || now < spec.Start)
    return 0;
  if (progress.Phase == RolloutPhase::Done)
    return FullShare;
  const std::uint32_t stage = std::max(progress.Stage, scheduledStage(spec, now));
  return stage >= Ramp.size() ? FullShare : Ramp[stage].Share;
}

Verdict judge(const DecisionRule &rule, const VersionCounts &oldCounts,
              const VersionCounts &newCounts) {
  const Comparison failures{{oldCounts.Requests, oldCounts.Failures},
                            {newCounts.Requests, newCounts.Failures},
                            FailureRateFloor,
                            FailureExcess};
  const Verdict byFailures = std::visit(RuleVisitor{failures}, rule);
  if (byFailures == Verdict::Bad)
    return Verdict::Bad;
  if (latencySamples(oldCounts) < MinBaselineRequests)
    return byFailures == Verdict::Good && newCounts.Requests >= MinGoodRequests ? Verdict::Undecided
                                                                                : byFailures;
  const std::size_t slow = slowBucket(oldCounts);
  const Comparison latency{slowRate(oldCounts, slow), slowRate(newCounts, slow), SlowRateFloor,
                           SlowExcess};
  const Verdict byLatency = std::visit(RuleVisitor{latency}, rule);
  if (byLatency == Verdict::Bad)
    return Verdict::Bad;
  const bool good = byFailures == Verdict::Good && byLatency == Verdict::Good;
  return good && newCounts.Requests >= MinGoodRequests ? Verdict::Good : Verdict::Undecided;
}

void EvidenceBook::take(const EvidenceReport &report) {
  CellContent &content = Cells[{report.Host, report.Bucket}];
  if (report.Incarnation < content.Incarnation)
    return;
  content = {report.Incarnation, report.Counts};
  for (auto it = Cells.begin(); it != Cells.end();) {
    const bool old = it->first.Bucket + EvidenceBuckets + 2 < report.Bucket;
    it = old ? Cells.erase(it) : std::next(it);
  }
}

EvidenceCounts EvidenceBook::sum(TimeMs now, std::uint64_t buckets) const {
  const std::uint64_t last = now / EvidenceBucketMs;
  EvidenceCounts total;
  for (const auto &[cell, content] : Cells) {
    if (cell.Bucket > last + 1 || cell.Bucket + buckets < last)
      continue;
    for (const auto &[key, counts] : content.Counts)
      total[key] += counts;
  }
  return total;
}

void EvidenceBook::noteBaseline(const RolloutSpec &spec, TimeMs now) {
  const std::uint64_t bucket = now / EvidenceBucketMs;
  if (bucket < BaselineBucket + EvidenceBuckets && BaselineBucket != 0)
    return;
  EvidenceCounts recent;
  for (const auto &[key, counts] : sum(now, EvidenceBuckets)) {
    if (key.Version == spec.From && counts.Requests >= MinBaselineRequests)
      recent.emplace(key, counts);
  }
  if (recent.empty())
    return;
  for (const auto &[key, counts] : recent)
    Baseline[key] = counts;
  BaselineBucket = bucket;
}

std::optional<RolloutProgress> decideRollout(const DecisionRule &rule, const RolloutSpec &spec,
                                             const RolloutProgress &progress,
                                             const EvidenceBook &book, TimeMs now) {
  if (progress.Phase != RolloutPhase::Running || now < spec.Start)
    return std::nullopt;
  RolloutProgress next = progress;
  next.ID = spec.ID;
  next.Service = spec.Service;
  next.To = spec.To;
  next.Time = now;
  const Finding finding = judgeAll(rule, spec, book, now);
  if (finding.Result == Verdict::Bad) {
    next.Phase = RolloutPhase::TakenBack;
    next.Reason = finding.Reason;
    return next;
  }
  const auto duration = static_cast<double>(spec.Deadline - spec.Start);
  const auto minStage = static_cast<DurationMs>(MinStageFraction * duration);
  const TimeMs entered = std::max(progress.Time, spec.Start);
  const bool ripe = finding.Result == Verdict::Good && now >= entered + minStage;
  const std::uint32_t scheduled = scheduledStage(spec, now);
  const std::uint32_t last = static_cast<std::uint32_t>(Ramp.size()) - 1;
  const std::uint32_t held = std::max(progress.Stage, std::min(scheduled, last));
  next.Stage = ripe && held < last ? held + 1 : held;
  if (scheduled > last) {
    next.Phase = RolloutPhase::Done;
    next.Reason = absl::StrCat("version ", spec.To.str(), " took over without a fault");
    return next;
  }
  if (next.Stage == progress.Stage)
    return std::nullopt;
  return next;
}

} // namespace jasmineloom
