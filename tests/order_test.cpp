/// @file order_test.cpp Ordered rollouts: versions that get traffic, and steps.
#define BOOST_TEST_MODULE order
#include <boost/test/unit_test.hpp>

#include "rollout/rollout_controller_base.h"
#include "rollout/rollout_func.h"
#include "rollout/rollout_order.h"

using namespace jasmineloom;

namespace {

RolloutProgress progressOf(std::uint64_t order, RolloutPhase phase, const char *to) {
  RolloutProgress progress;
  progress.ID = RolloutID("s." + std::to_string(order));
  progress.Order = order;
  progress.Phase = phase;
  progress.To = VersionLabel(to);
  progress.Service = ServiceName("s");
  progress.Duration = 10000;
  return progress;
}

} // namespace

BOOST_AUTO_TEST_CASE(the_policy_follows_the_orders) {
  const std::map<VersionLabel, std::uint32_t> mostlyOld = {{VersionLabel("v1"), 4},
                                                           {VersionLabel("v2"), 3}};
  const std::map<VersionLabel, std::uint32_t> mostlyNew = {{VersionLabel("v1"), 2},
                                                           {VersionLabel("v2"), 4}};
  // Without an order, the version of most upstreams is stable.
  BOOST_TEST(policyOf({}, mostlyOld).Stable.str() == "v1");
  // The new version of a running rollout is never stable, however many upstreams run it.
  const VersionPolicy running = policyOf({progressOf(1, RolloutPhase::Running, "v2")}, mostlyNew);
  BOOST_TEST(running.Stable.str() == "v1");
  BOOST_TEST(running.Running.has_value());
  BOOST_TEST(policyOf({progressOf(1, RolloutPhase::Done, "v2")}, mostlyOld).Stable.str() == "v2");
  const VersionPolicy rolledBack =
      policyOf({progressOf(1, RolloutPhase::TakenBack, "v2")}, mostlyNew);
  BOOST_TEST(rolledBack.Stable.str() == "v1");
  BOOST_TEST(rolledBack.RolledBack.contains(VersionLabel("v2")));
  // A later order of a version that was rolled back gives it traffic again. The sequence in which
  // the orders are passed does not matter.
  const VersionPolicy orderedAgain = policyOf(
      {progressOf(5, RolloutPhase::Running, "v2"), progressOf(1, RolloutPhase::TakenBack, "v2")},
      mostlyOld);
  BOOST_TEST(orderedAgain.RolledBack.empty());
  BOOST_TEST((orderedAgain.Running->Order == 5U));
  // A rollout of a third version does not give traffic to the second one, which was rolled back.
  const VersionPolicy thirdVersion = policyOf(
      {progressOf(1, RolloutPhase::TakenBack, "v2"), progressOf(2, RolloutPhase::Running, "v3")},
      {{VersionLabel("v1"), 1}, {VersionLabel("v2"), 4}, {VersionLabel("v3"), 4}});
  BOOST_TEST(thirdVersion.Stable.str() == "v1");
  BOOST_TEST(thirdVersion.RolledBack.contains(VersionLabel("v2")));
}

BOOST_AUTO_TEST_CASE(a_controller_to_which_few_gates_report_does_not_raise_the_share) {
  constexpr std::uint32_t ComparisonStage = 5;
  // The second controller of an order sees only what its own gate has served.
  BOOST_TEST(!hasEnoughEvidence({276, 1, 14}, ComparisonStage));
  BOOST_TEST(!hasEnoughEvidence({276, 0, 14}, ComparisonStage));
  BOOST_TEST(hasEnoughEvidence({276, 138, 900}, ComparisonStage));
  BOOST_TEST(hasEnoughEvidence({3, 2, 14}, 1));
  BOOST_TEST(!hasEnoughEvidence({3, 3, 0}, 1));
  // The first share needs none, as no gate reports before it.
  BOOST_TEST(hasEnoughEvidence({276, 0, 0}, 0));
}

BOOST_AUTO_TEST_CASE(gates_are_counted_for_each_rollout_while_their_reports_are_recent) {
  RolloutController controller;
  const RolloutSpec first{
      RolloutID("a.1"), ServiceName("a"), VersionLabel("v1"), VersionLabel("v2"), 0, 0};
  const RolloutSpec second{
      RolloutID("b.2"), ServiceName("b"), VersionLabel("v1"), VersionLabel("v2"), 0, 0};
  constexpr TimeMs Now = 100000;
  controller.addReport(first, {first.ID, HostID("g1"), 1, 5, {}, 0}, Now);
  controller.addReport(first, {first.ID, HostID("g2"), 1, 9, {}, 0}, Now + 1000);
  controller.addReport(second, {second.ID, HostID("g3"), 1, 7, {}, 0}, Now + 1000);
  BOOST_TEST(controller.reportingGates(first, Now + 1000) == 2U);
  BOOST_TEST(controller.reportingGates(second, Now + 1000) == 1U);
  BOOST_TEST(controller.reportingGates(first, Now + RecentReportTime + 1) == 1U);
}

BOOST_AUTO_TEST_CASE(a_busy_service_is_not_taken_for_one_of_low_rate_as_its_evidence_is_short) {
  constexpr TimeMs Now = 100000;
  constexpr DurationMs Duration = 16000;
  constexpr DurationMs Elapsed = 3000;
  const RolloutSpec spec{
      RolloutID("s.1"), ServiceName("s"), VersionLabel("v1"), VersionLabel("v2"), 0, 0};
  const auto stageAfter = [&](std::uint64_t oldRequests, std::uint64_t newRequests) {
    RolloutController controller;
    EvidenceReport report{spec.ID, HostID("g1"), 1, 0, {}, 0};
    for (std::uint64_t bucket = 0; bucket < Elapsed / EvidenceBucketMs; ++bucket) {
      report.Bucket = bucket;
      report.Counts[{RouteName("r"), spec.From}].Requests = oldRequests;
      report.Counts[{RouteName("r"), spec.To}].Requests = newRequests;
      controller.addReport(spec, report, Now - Elapsed + bucket * EvidenceBucketMs);
    }
    RolloutProgress progress = progressOf(1, RolloutPhase::Running, "v2");
    progress.Duration = Duration;
    progress.Stage = 1;
    const double rate = controller.requestRate(spec, Now);
    BOOST_TEST(rate == static_cast<double>(oldRequests + newRequests),
               boost::test_tools::tolerance(0.01));
    return nextOrderProgress({Verdict::Undecided, ""}, progress, Elapsed, Elapsed, rate)
        .value_or(progress)
        .Stage;
  };
  BOOST_TEST(stageAfter(168, 12) == 1U);
  BOOST_TEST(stageAfter(18, 2) == 2U);
}

BOOST_AUTO_TEST_CASE(a_suspect_verdict_at_full_share_starts_one_more_comparison) {
  RolloutProgress progress = progressOf(1, RolloutPhase::Running, "v2");
  progress.Stage = 4;
  BOOST_TEST(orderStageShare(progress.Stage) == FullShare);
  const auto compared = nextOrderProgress({Verdict::Suspect, ""}, progress, 8000, 100, 100);
  BOOST_REQUIRE(compared.has_value());
  BOOST_TEST(orderStageShare(compared->Stage) < FullShare / 2);
  BOOST_TEST((compared->Phase == RolloutPhase::Running));
  // The comparison ends after its fixed time, even if the verdict stays Suspect.
  BOOST_TEST(!nextOrderProgress({Verdict::Suspect, ""}, *compared, 9000, 800, 100).has_value());
  const auto ended = nextOrderProgress({Verdict::Suspect, ""}, *compared, 9000, 1600, 100);
  BOOST_REQUIRE(ended.has_value());
  BOOST_TEST(orderStageShare(ended->Stage) == FullShare);
}
