/// @file rules_bench.cpp Compares the decision rules of rollouts by their results on seeded traces.
#include "../tests/rollout_trace.h"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <thread>

namespace {

using namespace jasmineloom;
using namespace jasmineloom::testing;

struct NamedRule {
  const char *Name;
  DecisionRule Rule;
};

struct ScenarioResult {
  int Correct = 0;
  int Runs = 0;
  double WorstBadShare = 0;
  std::vector<double> BadShares;
  std::vector<double> StopTimes;
};

double quantile(std::vector<double> values, double q) {
  if (values.empty())
    return 0;
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(q * static_cast<double>(values.size() - 1))];
}

ScenarioResult measure(const NamedRule &namedRule, const TraceScenario &scenario,
                       const TraceSize &size, int seeds) {
  ScenarioResult scenarioResult;
  std::mutex mutex;
  std::atomic<int> next{1};
  std::vector<std::thread> threads;
  for (unsigned n = 0; n < std::max(1U, std::thread::hardware_concurrency()); ++n) {
    threads.emplace_back([&] {
      for (int seed = next++; seed <= seeds; seed = next++) {
        RolloutTrace trace(scenario, size, static_cast<std::uint32_t>(seed));
        const TraceResult result = trace.run(namedRule.Rule);
        const std::lock_guard lock(mutex);
        ++scenarioResult.Runs;
        const bool correct = scenario.Bad ? result.Phase == RolloutPhase::TakenBack : result.InTime;
        scenarioResult.Correct += correct ? 1 : 0;
        scenarioResult.BadShares.push_back(
            100.0 * static_cast<double>(result.BadRequests) /
            static_cast<double>(std::max<std::uint64_t>(1, result.Requests)));
        scenarioResult.StopTimes.push_back(static_cast<double>(result.FaultToStop) / 1000);
      }
    });
  }
  for (std::thread &thread : threads)
    thread.join();
  return scenarioResult;
}

} // namespace

/// Arguments: seeds, rate (1/s), duration (s).
int main(int argc, char **argv) {
  const int seeds = argc > 1 ? std::atoi(argv[1]) : 100;
  TraceSize size;
  size.Rate = argc > 2 ? std::atof(argv[2]) : 200;
  size.Duration = static_cast<DurationMs>(argc > 3 ? std::atoi(argv[3]) : 120) * MsPerSecond;
  const NamedRule rules[] = {{"stratified", StratifiedRule{}},
                             {"sequential ratio", SequentialRatioRule{}},
                             {"score bound", ScoreBoundRule{}},
                             {"threshold", ThresholdRule{}}};
  std::printf("%d seeds, %.0f requests/s, deadline %llu s\n", seeds, size.Rate,
              static_cast<unsigned long long>(size.Duration / MsPerSecond));
  std::printf("%-34s %-17s %8s %12s %12s %10s %10s\n", "new version", "rule", "right %",
              "bad p50 %", "bad p99 %", "stop p50 s", "stop p99 s");
  for (const TraceScenario &scenario : TraceScenarios) {
    for (const NamedRule &namedRule : rules) {
      const ScenarioResult scenarioResult = measure(namedRule, scenario, size, seeds);
      std::printf("%-34s %-17s %8.1f %12.3f %12.3f %10.1f %10.1f\n", scenario.Name, namedRule.Name,
                  100.0 * scenarioResult.Correct / scenarioResult.Runs,
                  quantile(scenarioResult.BadShares, 0.5), quantile(scenarioResult.BadShares, 0.99),
                  quantile(scenarioResult.StopTimes, 0.5),
                  quantile(scenarioResult.StopTimes, 0.99));
      std::fflush(stdout);
    }
  }
  return 0;
}
