/// @file rollout_trace.h Simulates rollouts on seeded traces of the requests that gates count.
#pragma once

#include "rollout/rollout_func.h"

#include <cmath>
#include <random>
#include <string>
#include <vector>

namespace jasmineloom::testing {

/// Behaviour of the new version, or of both. The old one is healthy otherwise.
enum class TraceKind : std::uint8_t {
  FailsAtOnce,
  FivePercentErrors,
  SlowTwice,
  SlowTail,
  BadLate,
  BadUnderLoad,
  BadOnOneRoute,
  GoodPlain,
  GoodCold,
  GoodNoisy,
  GoodSlower,
  SharedFault,
  OldVersionWorse,
  BothBad,
};

struct TraceScenario {
  TraceKind Kind;
  const char *Name;
  bool Bad; ///< Expected result: the new version is rolled back.
};

constexpr TraceScenario TraceScenarios[] = {
    {TraceKind::FailsAtOnce, "fails at once", true},
    {TraceKind::FivePercentErrors, "5% errors", true},
    {TraceKind::SlowTwice, "slow by 2x", true},
    {TraceKind::SlowTail, "p99 slow by 2x", true},
    {TraceKind::BadLate, "20% errors after 60% of the time", true},
    {TraceKind::BadUnderLoad, "20% errors from half the load", true},
    {TraceKind::BadOnOneRoute, "30% errors on one route of ten", true},
    {TraceKind::GoodPlain, "good", false},
    {TraceKind::GoodCold, "good but cold", false},
    {TraceKind::GoodNoisy, "good but noisy", false},
    {TraceKind::GoodSlower, "good, slower by 15%", false},
    {TraceKind::SharedFault, "both hit by a shared fault", false},
    {TraceKind::OldVersionWorse, "the old one worse", false},
    {TraceKind::BothBad, "both with 5% errors", false},
};

/// Size of the service.
struct TraceSize {
  std::uint32_t Hosts = 5;
  double Rate = 200; ///< Requests per second.
  DurationMs Duration = 120 * MsPerSecond;
};

struct TraceResult {
  RolloutPhase Phase = RolloutPhase::Running;
  bool InTime = false;
  std::uint64_t Requests = 0;    ///< To both versions, from the start of the rollout.
  std::uint64_t BadRequests = 0; ///< To the new version while its fault shows.
  DurationMs FaultToStop = 0;    ///< From the first bad request to a share of 0.
};

/// Simulates a rollout. Gates report twice a second; a decision takes effect one report later.
class RolloutTrace {
public:
  RolloutTrace(const TraceScenario &scenario, const TraceSize &size, std::uint32_t seed)
      : Scenario(scenario), Size(size), Random(seed) {
    Spec.ID = RolloutID("trace");
    Spec.Service = ServiceName("service");
    Spec.From = VersionLabel("old");
    Spec.To = VersionLabel("new");
    Spec.Start = Start;
    Spec.Deadline = Start + size.Duration;
  }

  TraceResult run(const DecisionRule &rule) {
    EvidenceAggregator evidence(Spec.From, Spec.To);
    RolloutProgress progress;
    RolloutProgress applied;
    TimeMs faultStart = 0;
    TraceResult result;
    // The old version alone serves for 10 s before the start, which gives its baseline.
    for (TimeMs now = Start - 10 * MsPerSecond; now < Spec.Deadline; now += Step) {
      applied = progress;
      const std::uint32_t share = newVersionShare(Spec, applied, now);
      if (share == 0 && faultStart != 0 && result.FaultToStop == 0)
        result.FaultToStop = now - faultStart;
      const std::uint64_t before = FaultyRequests;
      serve(now, share, result);
      if (FaultyRequests > before && faultStart == 0)
        faultStart = now;
      report(evidence, now);
      evidence.updateBaseline(now);
      const auto next = nextRolloutProgress(judge(rule, evidence, now), Spec, progress, now);
      if (next.has_value())
        mergeProgress(progress, *next);
      if (progress.Phase == RolloutPhase::Done)
        break;
    }
    result.Phase = progress.Phase;
    result.InTime = progress.Phase == RolloutPhase::Done;
    return result;
  }

private:
  static constexpr TimeMs Start = 1000 * MsPerSecond;
  static constexpr DurationMs Step = 500;
  static constexpr int Routes = 10;
  static constexpr DurationMs ColdTime = 8 * MsPerSecond; ///< Time for which GoodCold is slow.
  /// Time from the start in which gates don't count the new version's latencies.
  static constexpr DurationMs WarmUp = 10 * MsPerSecond;

  double uniform() { return std::uniform_real_distribution<>(0, 1)(Random); }

  bool sharedFault(TimeMs now) const {
    const DurationMs from = Size.Duration / 3;
    return now >= Start + from && now < Start + from + 10 * MsPerSecond;
  }

  double errorRate(bool isNew, int route, std::uint32_t share, TimeMs now) const {
    switch (Scenario.Kind) {
    case TraceKind::FailsAtOnce:
      return isNew ? 1 : 0.001;
    case TraceKind::FivePercentErrors:
      return isNew ? 0.05 : 0.001;
    case TraceKind::BadLate:
      return isNew && now >= Start + Size.Duration * 6 / 10 ? 0.2 : 0.001;
    case TraceKind::BadUnderLoad:
      return isNew && share >= 500 ? 0.2 : 0.001;
    case TraceKind::BadOnOneRoute:
      return isNew && route == 3 ? 0.3 : 0.001;
    case TraceKind::GoodNoisy:
      return 0.01;
    case TraceKind::SharedFault:
      return sharedFault(now) ? 0.3 : 0.001;
    case TraceKind::OldVersionWorse:
      return isNew ? 0.001 : 0.05;
    case TraceKind::BothBad:
      return 0.05;
    default:
      return 0.001;
    }
  }

  double latencyUs(bool isNew, TimeMs now) {
    const double sigma = Scenario.Kind == TraceKind::GoodNoisy ? 0.9 : 0.4;
    double latency = 4000 * std::lognormal_distribution<>(0, sigma)(Random);
    if (Scenario.Kind == TraceKind::SlowTwice && isNew)
      latency *= 2;
    if (Scenario.Kind == TraceKind::GoodSlower && isNew)
      latency *= 1.15;
    if (Scenario.Kind == TraceKind::SlowTail && isNew && uniform() < 0.1)
      latency *= 2.6;
    if (Scenario.Kind == TraceKind::GoodCold && isNew && now < Start + ColdTime)
      latency *= 4;
    if (Scenario.Kind == TraceKind::GoodNoisy && now / 2000 % 10 == 0)
      latency *= 3;
    return latency;
  }

  /// @returns whether the new version's fault affects requests to a route at \p now.
  bool faultShows(int route, std::uint32_t share, TimeMs now) const {
    if (!Scenario.Bad)
      return false;
    if (Scenario.Kind == TraceKind::SlowTwice || Scenario.Kind == TraceKind::SlowTail)
      return true;
    return errorRate(true, route, share, now) > 0.01;
  }

  void serve(TimeMs now, std::uint32_t share, TraceResult &result) {
    const double expectedRequests = Size.Rate * static_cast<double>(Step) / 1000;
    const int n = std::poisson_distribution<>(expectedRequests)(Random);
    for (int it = 0; it < n; ++it) {
      const bool isNew = Random() % FullShare < share;
      const int route = static_cast<int>(Random() % Routes);
      const std::size_t host = Random() % Reporters;
      const bool warm = now >= Start + WarmUp;
      VersionCounts &counts =
          Pending[host][now / EvidenceBucketMs]
                 [{RouteName("route" + std::to_string(route)), isNew ? Spec.To : Spec.From}];
      ++counts.Requests;
      const bool failed = uniform() < errorRate(isNew, route, share, now);
      counts.Failures += failed ? 1 : 0;
      if (!failed && (!isNew || warm))
        ++counts.Latency[latencyBucket(latencyUs(isNew, now))];
      if (now < Start)
        continue;
      ++result.Requests;
      if (isNew && faultShows(route, share, now)) {
        ++result.BadRequests;
        ++FaultyRequests;
      }
    }
  }

  void report(EvidenceAggregator &evidence, TimeMs now) {
    const std::uint64_t bucket = now / EvidenceBucketMs;
    for (std::size_t host = 0; host < Reporters; ++host) {
      for (const auto &[index, counts] : Pending[host])
        evidence.addReport({Spec.ID, HostID("gate" + std::to_string(host)), 1, index, counts});
      std::erase_if(Pending[host], [bucket](const auto &it) { return it.first < bucket; });
    }
  }

  static constexpr std::size_t Reporters = 4; ///< Gates that report.

  TraceScenario Scenario;
  TraceSize Size;
  std::mt19937_64 Random;
  RolloutSpec Spec;
  std::map<std::uint64_t, EvidenceCounts> Pending[Reporters];
  std::uint64_t FaultyRequests = 0;
};

} // namespace jasmineloom::testing
