/// @file rollout_rule.cpp Rules that compare the two versions of a rollout.
#include "rollout/rollout_rule.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>

namespace jasmineloom {

namespace {

constexpr std::array<std::uint64_t, 3> WindowBuckets = {3, 10, 30};
constexpr std::uint64_t MinHits = 4;
constexpr std::uint64_t MinBaselineRequests = 30;
constexpr std::uint64_t MinGoodRequests = 20;
constexpr double UnknownBaselineRate = 0.01;
constexpr double WorseFactor = 3;
constexpr double BoundZ = 2.0;
constexpr double SlowQuantile = 0.95;
constexpr double VerySlowQuantile = 0.99;
constexpr double MaxRate = 0.95;

/// What is counted as a hit: a failure, or a latency above the old version's usual ones.
struct Question {
  const char *Name;
  std::size_t SlowFrom; ///< First slow bucket; 0: failures are counted.
  double Floor;         ///< Rate of hits that is never held against a version.
  double Excess;        ///< Added rate that the ratio test takes for bad.
};

struct Rate {
  std::uint64_t Trials = 0;
  std::uint64_t Hits = 0;
};

std::uint64_t latencySamples(const VersionCounts &counts) {
  std::uint64_t sum = 0;
  for (const std::uint32_t n : counts.Latency)
    sum += n;
  return sum;
}

Rate rateOf(const Question &question, const VersionCounts &counts) {
  if (question.SlowFrom == 0)
    return {counts.Requests, counts.Failures};
  Rate rate{latencySamples(counts), 0};
  for (std::size_t it = question.SlowFrom; it < LatencyBuckets; ++it)
    rate.Hits += counts.Latency[it];
  return rate;
}

/// @returns the first bucket above the one that holds the quantile.
std::size_t bucketAbove(const VersionCounts &counts, double quantile) {
  const double wanted = quantile * static_cast<double>(latencySamples(counts));
  double seen = 0;
  for (std::size_t it = 0; it < LatencyBuckets; ++it) {
    seen += counts.Latency[it];
    if (seen >= wanted)
      return it + 1;
  }
  return LatencyBuckets;
}

std::vector<Question> questionsFor(const DecisionRule &rule, const VersionCounts &old) {
  const auto *stratified = std::get_if<StratifiedRule>(&rule);
  const std::size_t margin = stratified == nullptr ? 0 : stratified->SlowMargin;
  std::vector<Question> questions = {{"failures", 0, 0.002, 0.03}};
  if (latencySamples(old) < MinBaselineRequests)
    return questions;
  questions.push_back({"slow answers", bucketAbove(old, SlowQuantile) + margin, 0.03, 0.12});
  questions.push_back(
      {"very slow answers", bucketAbove(old, VerySlowQuantile) + margin, 0.012, 0.05});
  return questions;
}

/// Evidence on one route, or on all, over one window.
struct Window {
  std::vector<const EvidenceStratum *> Strata;
  VersionCounts Old;
  VersionCounts New;
  VersionCounts Baseline; ///< The old version's earlier counts.
};

double scoreBound(const Rate &rate, double z) {
  const double n = static_cast<double>(rate.Trials);
  const double p = static_cast<double>(rate.Hits) / n;
  const double spread = z * std::sqrt(p * (1 - p) / n + z * z / (4 * n * n));
  return (p + z * z / (2 * n) + spread) / (1 + z * z / n);
}

/// @returns the old version's rate of hits, not below its floor.
double expectedRate(const Question &question, const Window &window) {
  Rate old = rateOf(question, window.Old);
  if (old.Trials < MinBaselineRequests) {
    const Rate before = rateOf(question, window.Baseline);
    old.Trials += before.Trials;
    old.Hits += before.Hits;
  }
  if (old.Trials < MinBaselineRequests)
    return std::max(question.Floor, UnknownBaselineRate);
  return std::clamp(scoreBound(old, BoundZ), question.Floor, MaxRate);
}

Verdict judgeRatio(const SequentialRatioRule &rule, const Question &question,
                   const Window &window) {
  const Rate seen = rateOf(question, window.New);
  const double p0 = expectedRate(question, window);
  const double p1 = std::min(0.99, std::max(WorseFactor * p0, p0 + question.Excess));
  const auto hits = static_cast<double>(seen.Hits);
  const double misses = static_cast<double>(seen.Trials) - hits;
  const double logRatio = hits * std::log(p1 / p0) + misses * std::log((1 - p1) / (1 - p0));
  if (logRatio > rule.BadLogRatio && seen.Hits >= MinHits)
    return Verdict::Bad;
  const bool good = logRatio < rule.GoodLogRatio && seen.Trials >= MinGoodRequests;
  return good ? Verdict::Good : Verdict::Undecided;
}

/// Divergence of two binary distributions, in nats.
double divergence(double p, double q) {
  double sum = p * std::log(p / q);
  if (p < 1)
    sum += (1 - p) * std::log((1 - p) / (1 - q));
  return sum;
}

/// Hits and misses that both versions together need for the normal approximation to hold.
constexpr double MinCommonCounts = 20;

/// Test of Mantel and Haenszel on the strata of one question.
struct CommonTest {
  double Z = 0;         ///< Standard errors by which the new version has more hits.
  double OddsRatio = 0; ///< Common odds ratio over the strata.
  double Hits = 0;
  double Misses = 0;
};

CommonTest commonTest(const Question &question, const Window &window) {
  CommonTest test;
  double excess = 0;
  double variance = 0;
  double up = 0;
  double down = 0;
  for (const EvidenceStratum *stratum : window.Strata) {
    const Rate old = rateOf(question, stratum->Old);
    const Rate fresh = rateOf(question, stratum->New);
    const auto oldN = static_cast<double>(old.Trials);
    const auto newN = static_cast<double>(fresh.Trials);
    const double n = oldN + newN;
    if (oldN == 0 || newN == 0)
      continue;
    const auto newHits = static_cast<double>(fresh.Hits);
    const auto oldHits = static_cast<double>(old.Hits);
    const double hits = newHits + oldHits;
    const double misses = n - hits;
    excess += newHits - hits * newN / n;
    variance += n > 1 ? newN * oldN * hits * misses / (n * n * (n - 1)) : 0;
    up += newHits * (oldN - oldHits) / n;
    down += oldHits * (newN - newHits) / n;
    test.Hits += hits;
    test.Misses += misses;
  }
  test.Z = variance > 0 ? excess / std::sqrt(variance) : 0;
  test.OddsRatio = down > 0 ? up / down : up > 0 ? std::numeric_limits<double>::infinity() : 0;
  return test;
}

/// Applies a rule to one question.
struct RuleVisitor {
  const Question &Asked;
  const Window &Seen;

  bool commonlyWorse(const StratifiedRule &rule) const {
    const CommonTest test = commonTest(Asked, Seen);
    const bool common = test.Hits >= MinCommonCounts && test.Misses >= MinCommonCounts;
    return common && test.Z > rule.CommonZ && test.OddsRatio > rule.CommonOdds;
  }

  Verdict operator()(const StratifiedRule &rule) const {
    double hits = 0;
    double newHits = 0;
    double expected = 0;
    double newTrials = 0;
    for (const EvidenceStratum *stratum : Seen.Strata) {
      const Rate old = rateOf(Asked, stratum->Old);
      const Rate fresh = rateOf(Asked, stratum->New);
      if (old.Trials == 0 || fresh.Trials == 0)
        continue;
      const double both = static_cast<double>(old.Hits + fresh.Hits);
      hits += both;
      newHits += static_cast<double>(fresh.Hits);
      newTrials += static_cast<double>(fresh.Trials);
      expected +=
          both * static_cast<double>(fresh.Trials) / static_cast<double>(old.Trials + fresh.Trials);
    }
    const double allowance = Asked.Floor * newTrials;
    const double odds = rule.AllowedOdds * (expected + allowance) / std::max(1e-9, hits - expected);
    const double share = odds / (1 + odds);
    if (newHits >= MinHits && newHits / hits > share &&
        hits * divergence(newHits / hits, share) > rule.BadLogOdds)
      return Verdict::Bad;
    if (Asked.SlowFrom == 0 && commonlyWorse(rule))
      return Verdict::Bad;
    if (judgeRatio(SequentialRatioRule{}, Asked, Seen) == Verdict::Bad)
      return Verdict::Suspect;
    const bool good =
        newTrials >= static_cast<double>(rule.GoodRequests) && newHits <= expected + allowance;
    return good ? Verdict::Good : Verdict::Undecided;
  }

  Verdict operator()(const SequentialRatioRule &rule) const {
    return judgeRatio(rule, Asked, Seen);
  }

  Verdict operator()(const ScoreBoundRule &rule) const {
    const Rate seen = rateOf(Asked, Seen.New);
    if (seen.Trials == 0)
      return Verdict::Undecided;
    if (seen.Hits >= MinHits && scoreBound(seen, -rule.Z) > expectedRate(Asked, Seen))
      return Verdict::Bad;
    return seen.Trials >= rule.GoodRequests ? Verdict::Good : Verdict::Undecided;
  }

  Verdict operator()(const ThresholdRule &rule) const {
    const Rate seen = rateOf(Asked, Seen.New);
    if (seen.Trials < rule.MinRequests)
      return Verdict::Undecided;
    const double rate = static_cast<double>(seen.Hits) / static_cast<double>(seen.Trials);
    return rate > expectedRate(Asked, Seen) + rule.Excess ? Verdict::Bad : Verdict::Good;
  }
};

Window windowOf(const std::vector<EvidenceStratum> &strata, const RouteName *route,
                const EvidenceAggregator &book) {
  Window window;
  for (const EvidenceStratum &stratum : strata) {
    if (route != nullptr && stratum.Route != *route)
      continue;
    window.Strata.push_back(&stratum);
    window.Old += stratum.Old;
    window.New += stratum.New;
  }
  window.Baseline = route == nullptr ? book.baseline() : book.baseline(*route);
  return window;
}

/// Judges one window; the verdict is the worst answer, and good only if all answers are.
Judgement judgeWindow(const DecisionRule &rule, const Window &window, const std::string &where) {
  VersionCounts old = window.Old;
  if (latencySamples(old) < MinBaselineRequests)
    old += window.Baseline;
  Judgement finding{Verdict::Good, {}};
  for (const Question &question : questionsFor(rule, old)) {
    const Verdict verdict = std::visit(RuleVisitor{question, window}, rule);
    const bool worse = verdict > Verdict::Good && verdict > finding.Result;
    if (worse) {
      const Rate fresh = rateOf(question, window.New);
      const Rate before = rateOf(question, old);
      finding = {verdict,
                 absl::StrCat(where, ": ", fresh.Hits, " ", question.Name, " in ", fresh.Trials,
                              " requests, the old version ", before.Hits, " in ", before.Trials),
                 question.SlowFrom == 0};
    }
    if (verdict == Verdict::Undecided && finding.Result == Verdict::Good)
      finding.Result = Verdict::Undecided;
  }
  return finding;
}

/// Requests that the sound hosts must have answered for a fault to be held against the others.
constexpr std::uint64_t MinSoundRequests = 16;
/// Requests of a host below which it counts neither way.
constexpr std::uint64_t MinHostRequests = 3;
/// How much more than the old version the sound hosts may fail: a factor, a share of requests, and
/// single failures, which say nothing in a few requests.
constexpr double SoundFactor = 1.2;
constexpr double SoundExcess = 0.02;
constexpr double SoundSingles = 1;

double failureRate(const HostCounts &host) {
  return static_cast<double>(host.Failures) / static_cast<double>(host.Requests);
}

/// @returns the finding, but nothing against a version that fails at some of its hosts only.
Judgement withoutHostFaults(const DecisionRule &rule, Judgement finding, const Window &window,
                            const EvidenceAggregator &book, TimeMs now, std::uint64_t buckets,
                            const RouteName *route) {
  const auto *stratified = std::get_if<StratifiedRule>(&rule);
  const bool spares = stratified != nullptr && stratified->BlamesHosts;
  if (!spares || finding.Result < Verdict::Suspect || !finding.OfFailures)
    return finding;
  VersionCounts old = window.Old;
  if (old.Requests < MinBaselineRequests)
    old += window.Baseline;
  const double oldRate = old.Requests == 0 ? 0 : scoreBound({old.Requests, old.Failures}, BoundZ);
  if (failsAtSomeHosts(book.newByHost(now, buckets, route), oldRate))
    finding.Result = Verdict::Undecided;
  return finding;
}

bool aligned(const DecisionRule &rule) {
  const auto *stratified = std::get_if<StratifiedRule>(&rule);
  return stratified != nullptr && stratified->AlignHosts;
}

} // namespace

bool failsAtSomeHosts(std::vector<HostCounts> hosts, double oldRate) {
  std::erase_if(hosts, [](const HostCounts &it) { return it.Requests < MinHostRequests; });
  if (hosts.size() < 2)
    return false;
  std::sort(hosts.begin(), hosts.end(), [](const HostCounts &left, const HostCounts &right) {
    return failureRate(left) < failureRate(right);
  });
  HostCounts sound;
  for (std::size_t it = 0; it < (hosts.size() + 1) / 2; ++it) {
    sound.Requests += hosts[it].Requests;
    sound.Failures += hosts[it].Failures;
  }
  const auto requests = static_cast<double>(sound.Requests);
  const double allowed = requests * (SoundFactor * oldRate + SoundExcess) + SoundSingles;
  return sound.Requests >= MinSoundRequests && static_cast<double>(sound.Failures) <= allowed;
}

Judgement judge(const DecisionRule &rule, const EvidenceAggregator &book, TimeMs now) {
  Judgement worst;
  Judgement overall;
  const bool align = aligned(rule);
  const EvidenceAggregator::Shifts shifts =
      align ? book.shiftsOf(now) : EvidenceAggregator::Shifts{};
  for (const std::uint64_t buckets : WindowBuckets) {
    const std::vector<EvidenceStratum> strata =
        align ? book.alignedStrata(now, buckets, shifts) : book.strata(now, buckets);
    std::set<RouteName> routes;
    for (const EvidenceStratum &stratum : strata)
      routes.insert(stratum.Route);
    for (const RouteName &route : routes) {
      const Window window = windowOf(strata, &route, book);
      Judgement finding =
          withoutHostFaults(rule, judgeWindow(rule, window, absl::StrCat("route ", route.str())),
                            window, book, now, buckets, &route);
      if (finding.Result > Verdict::Good && finding.Result > worst.Result)
        worst = std::move(finding);
    }
    const Window all = windowOf(strata, nullptr, book);
    overall = withoutHostFaults(rule, judgeWindow(rule, all, "all routes"), all, book, now, buckets,
                                nullptr);
    if (overall.Result > Verdict::Good && overall.Result > worst.Result)
      worst = overall;
    if (worst.Result == Verdict::Bad)
      return worst;
  }
  return worst.Result == Verdict::Suspect ? worst : overall;
}

} // namespace jasmineloom
