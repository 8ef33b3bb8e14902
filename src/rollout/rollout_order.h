/// @file rollout_order.h Rollouts that an operator orders with a duration: which versions of a
/// service get traffic, and how the share of the new one rises. The share depends on the
/// controllers' decisions only and not on the time of day, so a clock step does not change it.
#pragma once

#include "environment.h"
#include "rollout/rollout_rule.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace jasmineloom {

/// Versions of a service by the traffic that they may get.
struct VersionPolicy {
  VersionLabel Stable;                    ///< Gets the traffic that Running's version does not.
  std::optional<RolloutProgress> Running; ///< Rollout in progress.
  std::set<VersionLabel> RolledBack;      ///< Rolled back (phase TakenBack); get no traffic.
  bool operator==(const VersionPolicy &) const = default;
};

/// Derives a service's policy from its orders.
/// @param orders progress of all the service's orders, in any sequence.
/// @param upstreams number of ready upstreams by version. While no order is done, the stable
/// version is the one with the most upstreams.
VersionPolicy policyOf(std::vector<RolloutProgress> orders,
                       const std::map<VersionLabel, std::uint32_t> &upstreams);

RolloutID orderID(const RolloutOrder &order);

/// Removes the orders that repeat one of an earlier era of the store. After the store has come back
/// from an older copy, an order that the copy had is read again at its old revision, and the latest
/// one before may be written again at any revision. An order for another version is another order,
/// whatever its revision.
/// @param orders progress of all the orders of one service, in any sequence.
/// @returns the others in the sequence in which they were given, with the furthest progress that
/// they and their repetitions have reached.
std::vector<RolloutProgress> distinctOrders(std::vector<RolloutProgress> orders);

/// @returns whether a status that was read from the store is that of an order, or of the one of an
/// earlier era that it repeats.
bool isStatusOf(const RolloutProgress &stored, const RolloutProgress &order);

/// @returns the progress of an order before its first step; its share is 0.
RolloutProgress initialProgress(const RolloutOrder &order);

/// @returns the new version's share at a stage of an order, per mille.
std::uint32_t orderStageShare(std::uint32_t stage);

/// @returns the shortest time from the start of an order to a stage.
DurationMs earliestStageStart(std::uint32_t stage, DurationMs duration);

/// @returns the rule that ordered rollouts are judged by.
DecisionRule orderRule();

/// What a controller has seen of an ordered rollout.
struct OrderEvidence {
  std::size_t Gates = 0;          ///< Ready gates of the service.
  std::size_t ReportingGates = 0; ///< Those that have reported recently.
  std::uint64_t NewRequests = 0;  ///< Requests to the new version that were reported.
  auto operator<=>(const OrderEvidence &) const = default;
};

/// @returns whether a controller may raise the new version's share or complete the order. One to
/// which the gates do not report, as they report to the other controller, knows too little.
bool hasEnoughEvidence(const OrderEvidence &evidence, std::uint32_t stage);

/// Decides the next step of an ordered rollout.
/// @param elapsed time since the controller first received the order.
/// @param stageAge time since the current stage was entered.
/// @param rate requests to the service per second. At a low rate the second share comes earlier, so
/// that the new version gets enough requests to show its faults.
/// @returns the new progress, or nothing if it does not change.
std::optional<RolloutProgress> nextOrderProgress(const Judgement &judgement,
                                                 const RolloutProgress &progress,
                                                 DurationMs elapsed, DurationMs stageAge,
                                                 double rate);

} // namespace jasmineloom
