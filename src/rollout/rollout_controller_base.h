/// @file rollout_controller_base.h Choice of the hosts that control a rollout, and their decisions.
#pragma once

#include "mesh/host_table.h"
#include "rollout/rollout_func.h"
#include "rollout/rollout_order.h"

#include <map>
#include <vector>

namespace jasmineloom {

/// Number of hosts that control a rollout at the same time. Both may decide independently, as
/// merging progress never lowers its phase or stage.
constexpr std::size_t ControllersPerRollout = 2;

/// Age up to which a gate's last report is recent; gates report twice a second.
constexpr DurationMs RecentReportTime = 1500;

/// @returns the hosts that control a rollout, by rendezvous hash over the service's hosts, or over
/// all hosts if the service has none.
std::vector<HostID> controllersOf(const RolloutSpec &spec, const HostTable &hosts);

/// Collects evidence on the rollouts that this host controls, and decides their steps.
class RolloutController {
public:
  /// Adds a gate's report on a rollout.
  /// @param now current time. The report's bucket is converted to this clock, by the offset
  /// measured at its sender's first report.
  void addReport(const RolloutSpec &spec, EvidenceReport report, TimeMs now);
  /// Decides the next step of a declared rollout.
  /// @param now Unix time, as in \p spec.
  /// @param steadyNow current time on the clock that addReport() is given.
  std::optional<RolloutProgress> nextProgress(const RolloutSpec &spec,
                                              const RolloutProgress &progress, TimeMs now,
                                              TimeMs steadyNow);
  /// Judges an ordered rollout's new version.
  Judgement orderJudgement(const RolloutSpec &spec, TimeMs now);
  std::vector<EvidenceStratum> strata(const RolloutSpec &spec, TimeMs now);
  /// @returns requests per second to both versions, in the time that the reports cover.
  double requestRate(const RolloutSpec &spec, TimeMs now);
  /// @returns the number of gates that have reported on a rollout within RecentReportTime.
  std::size_t reportingGates(const RolloutSpec &spec, TimeMs now) const;
  /// Drops the evidence of rollouts that are not in the list.
  void keepOnly(const std::vector<RolloutID> &rollouts);

private:
  EvidenceAggregator &aggregatorOf(const RolloutSpec &spec);
  Judgement judgement(const DecisionRule &rule, const RolloutSpec &spec, TimeMs now);

  /// Incarnation of a gate that sends reports.
  struct Sender {
    HostID Host;
    std::uint64_t Incarnation = 0;
    auto operator<=>(const Sender &) const = default;
  };

  std::map<RolloutID, EvidenceAggregator> Aggregators;
  /// By rollout and gate, when its last report arrived.
  std::map<RolloutID, std::map<HostID, TimeMs>> LastReports;
  std::map<Sender, std::uint64_t> ClockOffsets; ///< Own bucket minus the sender's, modulo 2^64.
  DecisionRule DeclaredRule = StratifiedRule{};
  DecisionRule OrderRule = orderRule();
};

} // namespace jasmineloom
