/// @file rollout_func.h Traffic share of a rollout's new version, and steps of declared rollouts.
#pragma once

#include "config/config_type.h"
#include "rollout/rollout_rule.h"

#include <optional>

namespace jasmineloom {

constexpr std::uint32_t FullShare = 1000; ///< Shares are per mille.

/// Shortest time between a rollout's start and its deadline.
constexpr DurationMs MinRolloutDuration = 8 * MsPerSecond;

/// Time for which a suspect version's share is capped, so that the old version gets enough
/// traffic to compare both.
constexpr DurationMs SuspectHoldTime = 6 * MsPerSecond;
/// Cap on a suspect version's share.
constexpr std::uint32_t MaxSuspectShare = 500;

/// @returns whether the phase of a record goes before that of another record of the same rollout.
bool supersedes(const RolloutProgress &progress, const RolloutProgress &held);

/// Merges progress received from another node.
/// @returns whether \p held changed.
bool mergeProgress(RolloutProgress &held, const RolloutProgress &other);

/// @returns the stage that a rollout enters by \p now without a decision of its controllers; the
/// number of stages means done.
std::uint32_t scheduledStage(const RolloutSpec &spec, TimeMs now);

/// @returns the new version's share of the requests, per mille. A rollout without a deadline
/// follows an order, so its share depends only on its stage.
std::uint32_t newVersionShare(const RolloutSpec &spec, const RolloutProgress &progress, TimeMs now);

/// Decides the next step of a declared rollout.
/// @returns the new progress, or nothing if it does not change.
std::optional<RolloutProgress> nextRolloutProgress(const Judgement &judgement,
                                                   const RolloutSpec &spec,
                                                   const RolloutProgress &progress, TimeMs now);

} // namespace jasmineloom
