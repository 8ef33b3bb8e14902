/// @file rollout_func.cpp Traffic share of a rollout's new version, and steps of declared rollouts.
#include "rollout/rollout_func.h"

#include "rollout/rollout_order.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace jasmineloom {

namespace {

struct RampStage {
  std::uint32_t Share; ///< Per mille.
  double LatestStart;  ///< Fraction of the rollout's duration.
};

/// The last stage leaves 2 % of the traffic on the old version, so that a fault of both versions is
/// recognised as such.
constexpr std::array<RampStage, 5> Ramp = {RampStage{20, 0.0}, RampStage{50, 0.30},
                                           RampStage{250, 0.40}, RampStage{500, 0.55},
                                           RampStage{980, 0.70}};
/// Fraction of the duration after which a rollout without a fault is done.
constexpr double DoneFraction = 0.92;
/// Minimum length of a stage, as a fraction of the duration.
constexpr double MinStageFraction = 0.05;

constexpr auto LastStage = static_cast<std::uint32_t>(Ramp.size()) - 1;

} // namespace

std::string_view nameOf(RolloutPhase phase) {
  switch (phase) {
  case RolloutPhase::Running:
    return "running";
  case RolloutPhase::Done:
    return "done";
  case RolloutPhase::TakenBack:
    return "taken back";
  }
  return "running";
}

std::size_t latencyBucket(double latencyUs) {
  if (latencyUs <= FirstLatencyBoundUs)
    return 0;
  const double steps = BucketsPerDoubling * std::log2(latencyUs / FirstLatencyBoundUs);
  return std::min(LatencyBuckets - 1, static_cast<std::size_t>(std::ceil(steps)));
}

VersionCounts &VersionCounts::operator+=(const VersionCounts &other) {
  Requests += other.Requests;
  Failures += other.Failures;
  for (std::size_t it = 0; it < LatencyBuckets; ++it)
    Latency[it] += other.Latency[it];
  return *this;
}

bool supersedes(const RolloutProgress &progress, const RolloutProgress &held) {
  return std::tie(progress.Recorded, progress.Phase) > std::tie(held.Recorded, held.Phase);
}

bool mergeProgress(RolloutProgress &held, const RolloutProgress &other) {
  const TimeMs suspect = std::max(held.SuspectUntil, other.SuspectUntil);
  const std::uint32_t stage = std::max(held.Stage, other.Stage);
  const std::uint64_t era = std::max(held.Era, other.Era);
  const bool later = supersedes(other, held);
  const bool further = !later && !supersedes(held, other) && other.Stage > held.Stage;
  const bool changed =
      later || further || suspect != held.SuspectUntil || stage != held.Stage || era != held.Era;
  if (later || further)
    held = other;
  held.Stage = stage;
  held.SuspectUntil = suspect;
  held.Era = era;
  return changed;
}

std::uint32_t scheduledStage(const RolloutSpec &spec, TimeMs now) {
  if (now <= spec.Start)
    return 0;
  const double elapsed =
      static_cast<double>(now - spec.Start) / static_cast<double>(spec.Deadline - spec.Start);
  if (elapsed >= DoneFraction)
    return LastStage + 1;
  std::uint32_t stage = 0;
  for (std::uint32_t it = 0; it <= LastStage; ++it) {
    if (elapsed >= Ramp[it].LatestStart)
      stage = it;
  }
  return stage;
}

std::uint32_t newVersionShare(const RolloutSpec &spec, const RolloutProgress &progress,
                              TimeMs now) {
  if (progress.Phase == RolloutPhase::TakenBack || now < spec.Start)
    return 0;
  if (progress.Phase == RolloutPhase::Done)
    return FullShare;
  if (spec.Deadline == 0)
    return orderStageShare(progress.Stage);
  const std::uint32_t stage = std::max(progress.Stage, scheduledStage(spec, now));
  const std::uint32_t share = stage > LastStage ? FullShare : Ramp[stage].Share;
  return now < progress.SuspectUntil ? std::min(share, MaxSuspectShare) : share;
}

std::optional<RolloutProgress> nextRolloutProgress(const Judgement &judgement,
                                                   const RolloutSpec &spec,
                                                   const RolloutProgress &progress, TimeMs now) {
  if (progress.Phase != RolloutPhase::Running || now < spec.Start)
    return std::nullopt;
  RolloutProgress next = progress;
  next.ID = spec.ID;
  next.Service = spec.Service;
  next.To = spec.To;
  if (judgement.Result == Verdict::Bad) {
    next.Phase = RolloutPhase::TakenBack;
    next.Reason = judgement.Reason;
    next.Time = now;
    return next;
  }
  const std::uint32_t scheduled = scheduledStage(spec, now);
  if (scheduled > LastStage && now >= progress.SuspectUntil) {
    next.Phase = RolloutPhase::Done;
    next.Stage = LastStage;
    next.Reason = absl::StrCat("version ", spec.To.str(), " took over without a fault");
    next.Time = now;
    return next;
  }
  const auto duration = static_cast<double>(spec.Deadline - spec.Start);
  const auto minStage = static_cast<DurationMs>(MinStageFraction * duration);
  const TimeMs stageStart = std::max(progress.Time, spec.Start);
  const bool advances = judgement.Result == Verdict::Good && now >= stageStart + minStage;
  const std::uint32_t stage = std::max(progress.Stage, std::min(scheduled, LastStage));
  next.Stage = advances && stage < LastStage ? stage + 1 : stage;
  if (next.Stage != progress.Stage)
    next.Time = now;
  // Caps the share so that the old version gets enough traffic to compare. A cap is not extended
  // while it holds.
  const bool suspect = judgement.Result == Verdict::Suspect &&
                       newVersionShare(spec, progress, now) > MaxSuspectShare &&
                       now >= progress.SuspectUntil;
  if (suspect)
    next.SuspectUntil = now + SuspectHoldTime;
  if (next.Stage == progress.Stage && !suspect)
    return std::nullopt;
  return next;
}

} // namespace jasmineloom
