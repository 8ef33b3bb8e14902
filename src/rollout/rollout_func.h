/// @file rollout_func.h Share of a rollout's new version, and the steward's next step.
#pragma once

#include "config/config_type.h"
#include "rollout/rollout_rule.h"

#include <optional>

namespace jasmineloom {

constexpr std::uint32_t FullShare = 1000; ///< Shares are per mille.

/// Shortest time between a rollout's start and its deadline.
constexpr DurationMs MinRolloutDuration = 8 * MsPerSecond;

/// Time for which a suspected version's share is held down to compare both versions.
constexpr DurationMs SuspectTime = 6 * MsPerSecond;
/// Share of a suspected version at most.
constexpr std::uint32_t SuspectShare = 500;

/// Merges progress that came from elsewhere.
/// @returns whether \p held changed.
bool mergeProgress(RolloutProgress &held, const RolloutProgress &other);

/// @returns the latest stage that the schedule allows at \p now; the number of stages means done.
std::uint32_t scheduledStage(const RolloutSpec &spec, TimeMs now);

/// @returns the new version's share in per mille. A rollout without a deadline follows an order:
/// its share is that of its stage.
std::uint32_t newVersionShare(const RolloutSpec &spec, const RolloutProgress &progress, TimeMs now);

/// Decides a rollout's next step.
/// @returns the new progress, or nothing if the rollout stays as it is.
std::optional<RolloutProgress> nextRolloutProgress(const Judgement &finding,
                                                   const RolloutSpec &spec,
                                                   const RolloutProgress &progress, TimeMs now);

} // namespace jasmineloom
