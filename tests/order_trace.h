/// @file order_trace.h Simulates ordered rollouts on seeded traces of the requests that gates
/// count, on hosts of different speed.
#pragma once

#include "rollout/rollout_controller_base.h"
#include "rollout/rollout_func.h"
#include "rollout/rollout_order.h"

#include <cmath>
#include <deque>
#include <random>

namespace jasmineloom::testing {

constexpr double ExposureShare = 0.1;    ///< Limit for a bad version, of the service's requests.
constexpr double ExposureSlack = 50;     ///< Requests allowed beyond the share.
constexpr DurationMs MaxStopTime = 5000; ///< Limit, from the 50th bad response.
constexpr std::uint64_t BadResponseCount = 50;

/// Fault of the new version.
enum class OrderFault : std::uint8_t {
  None,
  Errors,
  Slow,
  LateErrors,
  LateSlow,
  UnderLoad,
  UnderLoadPartly, ///< A fifth of the requests fails from two fifths of the load.
  HostFault,       ///< Some of the new version's hosts fail for 4 s; the version is good.
};

struct OrderScenario {
  const char *Name;
  OrderFault Fault;
  double Background; ///< Share of requests that fail on either version.
};

struct OrderResult {
  RolloutPhase Phase = RolloutPhase::Running;
  std::string Reason; ///< Of the phase.
  DurationMs EndedAfter = 0;
  std::uint64_t Requests = 0;
  std::uint64_t NewRequests = 0;
  DurationMs LastRequestAfterBad = 0; ///< From the 50th bad response to the last request; 0: none.
};

/// Size of the service.
struct OrderTraceSize {
  double Rate = 0; ///< Requests per second.
  DurationMs Duration = 0;
  std::size_t Hosts = 4;       ///< Of each version.
  std::size_t FaultyHosts = 2; ///< Of the new version, while a part of them fails.
  DurationMs Propagation = 0;  ///< Until all nodes know a decision.
};

/// Simulates an ordered rollout on hosts of different speeds.
class OrderTrace {
public:
  OrderTrace(const OrderScenario &scenario, const OrderTraceSize &size, std::uint32_t seed)
      : Scenario(scenario), Size(size), Random(seed), Speeds(2 * size.Hosts) {
    for (double &speed : Speeds)
      speed = std::array<double, 4>{0.5, 1, 1, 1.5}[Random() % 4];
    Spec = {RolloutID("s.1"), ServiceName("s"), VersionLabel("v1"), VersionLabel("v2"), 0, 0};
  }

  OrderResult run() {
    OrderResult result;
    RolloutProgress progress =
        initialProgress({ServiceName("s"), VersionLabel("v2"), Size.Duration, 1});
    TimeMs stageStart = Start;
    TimeMs fiftiethBadTime = 0;
    std::poisson_distribution<int> arrivals(Size.Rate * StepMs / MsPerSecond);
    // The old version serves for 10 s before the order, which gives its baseline.
    for (TimeMs now = Start - 10000; now < Start + Size.Duration + 4000; now += StepMs) {
      const bool started = now >= Start;
      const std::uint32_t share = started ? newVersionShare(Spec, known(progress, now), now) : 0;
      for (int n = arrivals(Random); n > 0; --n) {
        const bool isNew = Random() % FullShare < share;
        if (started && now < Start + Size.Duration) {
          ++result.Requests;
          result.NewRequests += isNew ? 1 : 0;
        }
        if (isNew && fiftiethBadTime != 0)
          result.LastRequestAfterBad = now - fiftiethBadTime;
        if (serve(now, isNew, share) && isNew && ++BadResponses == BadResponseCount)
          fiftiethBadTime = now;
      }
      report(now);
      if (started && now % ControllerStepMs == 0)
        step(progress, stageStart, now, result);
    }
    result.Phase = progress.Phase;
    result.Reason = progress.Reason;
    return result;
  }

private:
  static constexpr TimeMs Start = 100000;
  static constexpr TimeMs StepMs = 50;
  static constexpr TimeMs ControllerStepMs = 250;
  static constexpr TimeMs ReportMs = 500;

  /// @returns the progress that nodes know of.
  const RolloutProgress &known(const RolloutProgress &progress, TimeMs now) {
    if (Decisions.empty() || Decisions.back().second != progress)
      Decisions.emplace_back(now, progress);
    while (Decisions.size() > 1 && now >= Decisions[1].first + Size.Propagation)
      Decisions.pop_front();
    return Decisions.front().second;
  }

  /// @returns whether the response is bad because of the version's own fault.
  bool serve(TimeMs now, bool isNew, std::uint32_t share) {
    std::uniform_real_distribution<> uniform(0, 1);
    std::lognormal_distribution<> workMs(std::log(140), 0.5);
    const bool late = now >= Start + 3000;
    const bool half = uniform(Random) < 0.5;
    const OrderFault fault = isNew && half ? Scenario.Fault : OrderFault::None;
    const bool fails = fault == OrderFault::Errors || (fault == OrderFault::LateErrors && late) ||
                       (fault == OrderFault::UnderLoad && share >= FullShare / 5) ||
                       (Scenario.Fault == OrderFault::UnderLoadPartly && isNew &&
                        share >= FullShare * 2 / 5 && uniform(Random) < 0.2);
    const bool slow = fault == OrderFault::Slow || (fault == OrderFault::LateSlow && late);
    const std::size_t host = (isNew ? Size.Hosts : 0) + Random() % Size.Hosts;
    // Starts when the new version has most of the traffic.
    const TimeMs faultAt = Start + Size.Duration * 6 / 10;
    const bool hostFails = Scenario.Fault == OrderFault::HostFault && isNew &&
                           host - Size.Hosts < Size.FaultyHosts && now >= faultAt &&
                           now < faultAt + 4000 && uniform(Random) < 0.4;
    double latency = workMs(Random) / Speeds[host];
    latency *= slow ? 8 : 1;
    VersionCounts &counts =
        Counts[host][now / EvidenceBucketMs]
              [{RouteName(half ? "a" : "b"), VersionLabel(isNew ? "v2" : "v1")}];
    ++counts.Requests;
    const bool failed = fails || hostFails || uniform(Random) < Scenario.Background;
    counts.Failures += failed ? 1 : 0;
    if (!failed)
      ++counts.Latency[latencyBucket(latency * 1000)];
    return fails || slow;
  }

  void report(TimeMs now) {
    if (now % ReportMs != 0)
      return;
    const std::uint64_t currentBucket = now / EvidenceBucketMs;
    for (auto &[host, buckets] : Counts) {
      for (const auto &[bucket, counts] : buckets)
        Controller.addReport(Spec,
                             {Spec.ID, HostID("gate" + std::to_string(host)), 1, bucket, counts,
                              static_cast<std::uint32_t>(currentBucket - bucket)},
                             now);
      std::erase_if(buckets,
                    [currentBucket](const auto &it) { return it.first + 2 < currentBucket; });
    }
  }

  void step(RolloutProgress &progress, TimeMs &stageStart, TimeMs now, OrderResult &result) {
    const auto next = nextOrderProgress(Controller.orderJudgement(Spec, now), progress, now - Start,
                                        now - stageStart, Size.Rate);
    if (!next.has_value())
      return;
    if (next->Stage != progress.Stage)
      stageStart = now;
    progress = *next;
    if (progress.Phase != RolloutPhase::Running)
      result.EndedAfter = now - Start;
  }

  OrderScenario Scenario;
  OrderTraceSize Size;
  std::mt19937 Random;
  std::vector<double> Speeds;
  RolloutSpec Spec;
  RolloutController Controller;
  std::map<std::size_t, std::map<std::uint64_t, EvidenceCounts>> Counts; ///< By host and bucket.
  std::uint64_t BadResponses = 0;
  std::deque<std::pair<TimeMs, RolloutProgress>> Decisions; ///< By time; the first is known.
};

} // namespace jasmineloom::testing
