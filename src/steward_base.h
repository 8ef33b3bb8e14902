/// @file steward_base.h Which hosts steer a rollout, and what they decide.
#pragma once

#include "host_table.h"
#include "rollout_func.h"

#include <map>
#include <vector>

namespace jasmineloom {

/// Hosts that steer a rollout at the same time. Both may decide: progress only rises.
constexpr std::size_t StewardsPerRollout = 2;

/// @returns the hosts that steer a rollout, by rendezvous hash over the service's hosts, or over
/// all hosts if the service has none.
std::vector<HostID> stewardsOf(const RolloutSpec &spec, const HostTable &hosts);

/// Evidence on all rollouts that this host steers.
class Steward {
public:
  /// Takes a gate's report on a rollout.
  void take(const RolloutSpec &spec, const EvidenceReport &report);
  /// Decides a rollout's next step; forgets the evidence of rollouts that are over.
  std::optional<RolloutProgress> decide(const RolloutSpec &spec, const RolloutProgress &progress,
                                        TimeMs now);
  /// Forgets the evidence of rollouts that are not in the list.
  void keepOnly(const std::vector<RolloutID> &rollouts);

private:
  EvidenceBook &bookOf(const RolloutSpec &spec);

  std::map<RolloutID, EvidenceBook> Books;
  DecisionRule Rule = StratifiedRule{};
};

} // namespace jasmineloom
