/// @file rollout_test.cpp Declared rollouts on seeded traces: good versions get all traffic by the
/// deadline, bad ones are rolled back.
#define BOOST_TEST_MODULE rollout
#include <boost/test/unit_test.hpp>

#include "mesh/host_table.h"
#include "rollout/rollout_controller_base.h"
#include "rollout_trace.h"

#include "test_config.h"

using namespace jasmineloom;
using namespace jasmineloom::testing;

namespace {
constexpr std::uint32_t Seeds = 12;
constexpr double MaxBadShare = 0.01;                ///< Target, of the service's requests.
constexpr DurationMs MaxStopTime = 2 * MsPerSecond; ///< Target, from the verdict.
} // namespace

BOOST_AUTO_TEST_CASE(every_scenario_ends_in_the_expected_phase) {
  for (const TraceScenario &scenario : TraceScenarios) {
    double badShare = 0;
    for (std::uint32_t seed = 1; seed <= Seeds; ++seed) {
      RolloutTrace trace(scenario, TraceSize{}, seed);
      const TraceResult result = trace.run(StratifiedRule{});
      const RolloutPhase expected = scenario.Bad ? RolloutPhase::TakenBack : RolloutPhase::Done;
      BOOST_TEST((result.Phase == expected), scenario.Name << " seed " << seed);
      badShare += static_cast<double>(result.BadRequests) /
                  static_cast<double>(std::max<std::uint64_t>(1, result.Requests)) / Seeds;
    }
    const bool isSlowTail = scenario.Kind == TraceKind::SlowTail;
    // rollout_target_test checks the slow tail's share. It fails at present, see KNOWN-RED.txt.
    if (!isSlowTail)
      BOOST_TEST(badShare < MaxBadShare, scenario.Name << " served " << badShare);
  }
}

BOOST_AUTO_TEST_CASE(a_busy_service_is_judged_within_a_minute) {
  TraceSize busy;
  busy.Hosts = 200;
  busy.Rate = 2000;
  busy.Duration = 60 * MsPerSecond;
  for (const TraceScenario &scenario : TraceScenarios) {
    for (std::uint32_t seed = 1; seed <= 2; ++seed) {
      RolloutTrace trace(scenario, busy, seed);
      const TraceResult result = trace.run(StratifiedRule{});
      const RolloutPhase expected = scenario.Bad ? RolloutPhase::TakenBack : RolloutPhase::Done;
      BOOST_TEST((result.Phase == expected), scenario.Name << " seed " << seed);
    }
  }
}

BOOST_AUTO_TEST_CASE(the_schedule_ends_in_time_without_a_controller) {
  const RolloutSpec spec = rollout("r", "s", "v1", "v2", 1000, 101000);
  const RolloutProgress none;
  std::uint32_t last = 0;
  for (TimeMs now = 0; now < 101000; now += 100) {
    const std::uint32_t share = newVersionShare(spec, none, now);
    BOOST_TEST(share >= last);
    last = share;
  }
  BOOST_TEST(newVersionShare(spec, none, 500) == 0U);
  BOOST_TEST(last == FullShare);
}

BOOST_AUTO_TEST_CASE(two_controllers_with_half_the_evidence_converge) {
  // Each report reaches one of the two controllers, which decides on its own evidence. Progress is
  // merged in both directions from time to time.
  for (std::uint32_t seed = 1; seed <= 50; ++seed) {
    std::mt19937 random(seed);
    const RolloutSpec spec = rollout("r", "s", "v1", "v2", 1000, 61000);
    const bool bad = seed % 2 == 0;
    EvidenceAggregator aggregators[2] = {{spec.From, spec.To}, {spec.From, spec.To}};
    RolloutProgress held[2];
    RolloutPhase highest = RolloutPhase::Running;
    for (TimeMs now = 0; now < 61000; now += 500) {
      EvidenceReport report;
      report.Rollout = spec.ID;
      report.Host = HostID("gate");
      report.Bucket = now / EvidenceBucketMs;
      report.Counts[{RouteName("a"), spec.From}].Requests = 100;
      report.Counts[{RouteName("a"), spec.To}] = {50, bad ? 30U : 0U, {}};
      const std::size_t receiver = random() % 2;
      aggregators[receiver].addReport(report);
      const auto next = nextRolloutProgress(judge(StratifiedRule{}, aggregators[receiver], now),
                                            spec, held[receiver], now);
      if (next.has_value())
        mergeProgress(held[receiver], *next);
      if (random() % 4 == 0) {
        mergeProgress(held[0], held[1]);
        mergeProgress(held[1], held[0]);
      }
      const RolloutPhase phase = std::max(held[0].Phase, held[1].Phase);
      BOOST_TEST((phase >= highest));
      highest = phase;
    }
    mergeProgress(held[0], held[1]);
    mergeProgress(held[1], held[0]);
    BOOST_TEST((held[0].Phase == held[1].Phase));
    BOOST_TEST((held[0].Phase == (bad ? RolloutPhase::TakenBack : RolloutPhase::Done)),
               "seed " << seed);
  }
}

BOOST_AUTO_TEST_CASE(a_bad_verdict_sets_the_share_to_zero_at_once) {
  const RolloutSpec spec = rollout("r", "s", "v1", "v2", 1000, 61000);
  EvidenceAggregator aggregator(spec.From, spec.To);
  EvidenceReport report;
  report.Host = HostID("gate");
  report.Bucket = 5;
  report.Counts[{RouteName("a"), spec.From}].Requests = 1000;
  report.Counts[{RouteName("a"), spec.To}] = {20, 20, {}};
  aggregator.addReport(report);
  const auto next = nextRolloutProgress(judge(StratifiedRule{}, aggregator, 5600), spec, {}, 5600);
  BOOST_REQUIRE(next.has_value());
  BOOST_TEST((next->Phase == RolloutPhase::TakenBack));
  BOOST_TEST(next->Reason.find("20 failures in 20 requests") != std::string::npos, next->Reason);
  BOOST_TEST(newVersionShare(spec, *next, 5600) == 0U);
  BOOST_TEST(!nextRolloutProgress(judge(StratifiedRule{}, aggregator, 5600 + MaxStopTime), spec,
                                  *next, 5600 + MaxStopTime)
                  .has_value());
}

BOOST_AUTO_TEST_CASE(a_repeated_report_replaces_the_earlier_one) {
  EvidenceAggregator aggregator(VersionLabel("v1"), VersionLabel("v2"));
  EvidenceReport report;
  report.Host = HostID("gate");
  report.Bucket = 5;
  report.Counts[{RouteName("a"), VersionLabel("v2")}] = {10, 3, {}};
  aggregator.addReport(report);
  aggregator.addReport(report);
  report.Counts[{RouteName("a"), VersionLabel("v2")}] = {12, 4, {}};
  aggregator.addReport(report);
  const auto strata = aggregator.strata(5500, 3);
  BOOST_REQUIRE(strata.size() == 1U);
  BOOST_TEST(strata.front().New.Requests == 12U);
  BOOST_TEST(strata.front().New.Failures == 4U);
}

BOOST_AUTO_TEST_CASE(controllers_belong_to_the_service_and_are_replaced_when_gone) {
  HostTable hosts;
  const RolloutSpec spec = rollout("r", "s", "v1", "v2");
  for (int n = 0; n < 20; ++n) {
    HostRecord record;
    record.Host = HostID("h" + std::to_string(n));
    record.Incarnation = 1;
    record.Service = ServiceName(n < 5 ? "s" : "t");
    record.State = HostState::Ready;
    hosts.merge(record, HostID("x"), 1);
  }
  const std::vector<HostID> before = controllersOf(spec, hosts);
  BOOST_REQUIRE(before.size() == ControllersPerRollout);
  for (const HostID &it : before)
    BOOST_TEST(hosts.find(it)->Service.str() == "s");
  HostRecord gone = *hosts.find(before.front());
  gone.State = HostState::Gone;
  hosts.merge(gone, HostID("x"), 2);
  BOOST_TEST((controllersOf(spec, hosts).front() == before.back()));
}
