/// @file rollout_type.h Progress of a rollout, and request counts of its two versions.
#pragma once

#include "ids_type.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace jasmineloom {

/// Merging progress keeps the phase with the higher value, so the order of the values matters.
enum class RolloutPhase : std::uint8_t { Running, Done, TakenBack };

/// @returns the name used in the time line.
std::string_view nameOf(RolloutPhase phase);

/// Current state of a rollout. Merging keeps a recorded end, else the later phase, and the higher
/// stage.
struct RolloutProgress {
  RolloutID ID;
  RolloutPhase Phase = RolloutPhase::Running;
  std::uint32_t Stage = 0;
  std::string Reason;
  TimeMs Time = 0; ///< When the phase or stage was entered.
  ServiceName Service;
  VersionLabel To;
  TimeMs SuspectUntil = 0; ///< End of the cap on a suspect version's share.
  std::uint64_t Order = 0; ///< Number of the operator's order; 0: a declared rollout.
  DurationMs Duration = 0; ///< Time that the order allows for the rollout.
  std::uint64_t Era = 0;   ///< Era of the store in which the order was read; 0: not stated.
  /// The store holds this end, and operators have acted on it: it is final.
  bool Recorded = false;
  auto operator<=>(const RolloutProgress &) const = default;
};

/// Number of latency buckets per doubling of the latency.
constexpr double BucketsPerDoubling = 4;
/// Number of latency buckets; the last one begins at 18.5 s and has no upper bound.
constexpr std::size_t LatencyBuckets = 72;
/// Upper bound of the first latency bucket, microseconds.
constexpr double FirstLatencyBoundUs = 100;

std::size_t latencyBucket(double latencyUs);

/// Requests to one upstream version.
struct VersionCounts {
  std::uint64_t Requests = 0;
  std::uint64_t Failures = 0;
  std::array<std::uint32_t, LatencyBuckets> Latency{};
  VersionCounts &operator+=(const VersionCounts &other);
  auto operator<=>(const VersionCounts &) const = default;
};

struct EvidenceKey {
  RouteName Route;
  VersionLabel Version;
  auto operator<=>(const EvidenceKey &) const = default;
};

using EvidenceCounts = std::map<EvidenceKey, VersionCounts>;

/// Counts of one gate in one time bucket. A repeated report replaces the earlier one.
struct EvidenceReport {
  RolloutID Rollout;
  HostID Host;
  std::uint64_t Incarnation = 0;
  std::uint64_t Bucket = 0; ///< Number of the time bucket on the host's own clock.
  EvidenceCounts Counts;
  std::uint32_t Age = 0; ///< Buckets from this one to the host's current one, when sent.
};

constexpr DurationMs EvidenceBucketMs = 1000;
/// Time buckets that a rollout controller retains.
constexpr std::uint64_t RetainedEvidenceBuckets = 30;

} // namespace jasmineloom
