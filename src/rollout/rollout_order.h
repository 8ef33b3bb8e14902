/// @file rollout_order.h Rollouts that are ordered with a duration: which versions of a service get
/// traffic, and how the share of the new one moves. The share follows the steward's steps only, so
/// that a clock that steps moves nothing.
#pragma once

#include "environment.h"
#include "rollout/rollout_rule.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace jasmineloom {

/// Which versions of a service get its traffic.
struct VersionPolicy {
  VersionLabel Stable;                    ///< Gets what the running rollout doesn't.
  std::optional<RolloutProgress> Running; ///< The rollout that is under way.
  std::set<VersionLabel> RolledBack;      ///< Taken back; they get nothing.
  bool operator==(const VersionPolicy &) const = default;
};

/// Works out the policy of a service.
/// @param orders progress of all its orders, in any order.
/// @param upstreams number of ready upstreams by version; decides the base while no order has
/// ended.
VersionPolicy policyOf(std::vector<RolloutProgress> orders,
                       const std::map<VersionLabel, std::uint32_t> &upstreams);

/// @returns the identity of an order.
RolloutID orderID(const RolloutOrder &order);

/// @returns the progress of an order that nobody has acted on yet; its share is 0.
RolloutProgress initialProgress(const RolloutOrder &order);

/// @returns the new version's share at a stage of an order, in per mille.
std::uint32_t orderStageShare(std::uint32_t stage);

/// @returns the time of an order after which a stage is reached at the earliest.
DurationMs earliestStageStart(std::uint32_t stage, DurationMs duration);

/// @returns the rule by which ordered rollouts are judged.
DecisionRule orderRule();

/// Decides an order's next step.
/// @param elapsed time since the steward first knew the order.
/// @param settled time since the last step.
/// @param rate requests to the service, per second; where they are few the new version gets more of
/// them sooner, so that its faults can show.
/// @returns the new progress, or nothing if the order stays as it is.
std::optional<RolloutProgress> nextOrderProgress(const Judgement &finding,
                                                 const RolloutProgress &progress,
                                                 DurationMs elapsed, DurationMs settled,
                                                 double rate);

} // namespace jasmineloom
