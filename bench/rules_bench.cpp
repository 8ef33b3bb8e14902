/// @file rules_bench.cpp Compares the decision rules of rollouts on seeded traces.
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

struct RuleRow {
  const char *Name;
  DecisionRule Rule;
};

struct Cell {
  int Right = 0;
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

Cell measure(const RuleRow &row, const TraceScenario &scenario, const TraceSize &size, int seeds) {
  Cell cell;
  std::mutex mutex;
  std::atomic<int> next{1};
  std::vector<std::thread> threads;
  for (unsigned n = 0; n < std::max(1U, std::thread::hardware_concurrency()); ++n) {
    threads.emplace_back([&] {
      for (int seed = next++; seed <= seeds; seed = next++) {
        RolloutTrace trace(scenario, size, static_cast<std::uint32_t>(seed));
        const TraceResult result = trace.play(row.Rule);
        const std::lock_guard lock(mutex);
        ++cell.Runs;
        const bool right = scenario.Bad ? result.Phase == RolloutPhase::TakenBack : result.InTime;
        cell.Right += right ? 1 : 0;
        cell.BadShares.push_back(100.0 * static_cast<double>(result.BadRequests) /
                                 static_cast<double>(std::max<std::uint64_t>(1, result.Requests)));
        cell.StopTimes.push_back(static_cast<double>(result.FaultToStop) / 1000);
      }
    });
  }
  for (std::thread &thread : threads)
    thread.join();
  return cell;
}

} // namespace

/// Arguments: seeds, rate (1/s), duration (s).
int main(int argc, char **argv) {
  const int seeds = argc > 1 ? std::atoi(argv[1]) : 100;
  TraceSize size;
  size.Rate = argc > 2 ? std::atof(argv[2]) : 200;
  size.Duration = static_cast<DurationMs>(argc > 3 ? std::atoi(argv[3]) : 120) * MsPerSecond;
  const RuleRow rules[] = {{"stratified", StratifiedRule{}},
                           {"sequential ratio", SequentialRatioRule{}},
                           {"score bound", ScoreBoundRule{}},
                           {"threshold", ThresholdRule{}}};
  std::printf("%d seeds, %.0f requests/s, deadline %llu s\n", seeds, size.Rate,
              static_cast<unsigned long long>(size.Duration / MsPerSecond));
  std::printf("%-34s %-17s %8s %12s %12s %10s %10s\n", "new version", "rule", "right %",
              "bad p50 %", "bad p99 %", "stop p50 s", "stop p99 s");
  for (const TraceScenario &scenario : TraceScenarios) {
    for (const RuleRow &row : rules) {
      const Cell cell = measure(row, scenario, size, seeds);
      std::printf("%-34s %-17s %8.1f %12.3f %12.3f %10.1f %10.1f\n", scenario.Name, row.Name,
                  100.0 * cell.Right / cell.Runs, quantile(cell.BadShares, 0.5),
                  quantile(cell.BadShares, 0.99), quantile(cell.StopTimes, 0.5),
                  quantile(cell.StopTimes, 0.99));
      std::fflush(stdout);
    }
  }
  return 0;
}
