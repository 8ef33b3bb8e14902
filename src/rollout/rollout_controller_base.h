/// @file rollout_controller_base.h Which hosts steer a rollout, and what they decide.
#pragma once

#include "mesh/host_table.h"
#include "rollout/rollout_func.h"
#include "rollout/rollout_order.h"

#include <map>
#include <vector>

namespace jasmineloom {

/// Hosts that steer a rollout at the same time. Both may decide: progress only rises.
constexpr std::size_t ControllersPerRollout = 2;

/// @returns the hosts that steer a rollout, by rendezvous hash over the service's hosts, or over
/// all hosts if the service has none.
std::vector<HostID> controllersOf(const RolloutSpec &spec, const HostTable &hosts);

/// Evidence on all rollouts that this host steers.
class RolloutController {
public:
  /// Takes a gate's report on a rollout.
  /// @param now present time; the report's bucket is moved to this clock by its age.
  void addReport(const RolloutSpec &spec, EvidenceReport report, TimeMs now);
  /// Decides a declared rollout's next step.
  /// @param now Unix time, as in the rollout's record.
  /// @param evidenceNow present time on the clock on which evidence was taken.
  std::optional<RolloutProgress> nextProgress(const RolloutSpec &spec,
                                              const RolloutProgress &progress, TimeMs now,
                                              TimeMs evidenceNow);
  /// Judges an ordered rollout's new version.
  Judgement orderJudgement(const RolloutSpec &spec, TimeMs now);
  /// @returns the recent evidence on a rollout.
  std::vector<EvidenceStratum> strata(const RolloutSpec &spec, TimeMs now);
  /// Forgets the evidence of rollouts that are not in the list.
  void keepOnly(const std::vector<RolloutID> &rollouts);

private:
  EvidenceAggregator &bookOf(const RolloutSpec &spec);
  Judgement finding(const DecisionRule &rule, const RolloutSpec &spec, TimeMs now);

  /// A process whose reports are taken.
  struct Sender {
    HostID Host;
    std::uint64_t Incarnation = 0;
    auto operator<=>(const Sender &) const = default;
  };

  std::map<RolloutID, EvidenceAggregator> Books;
  std::map<Sender, std::uint64_t> ClockOffsets; ///< Our bucket less the sender's, modulo 2^64.
  DecisionRule Rule = StratifiedRule{};
  DecisionRule OrderRule = orderRule();
};

} // namespace jasmineloom
