/// @file rollout_type.h Progress of a rollout and the evidence on its two versions.
#pragma once

#include "ids_type.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace jasmineloom {

/// Order matters: a later phase replaces an earlier one.
enum class RolloutPhase : std::uint8_t { Running, Done, TakenBack };

/// How far a rollout has come. Merging takes the later phase and the higher stage.
struct RolloutProgress {
  RolloutID ID;
  RolloutPhase Phase = RolloutPhase::Running;
  std::uint32_t Stage = 0;
  std::string Reason;
  TimeMs Time = 0; ///< When the phase or stage was entered.
  ServiceName Service;
  VersionLabel To;
  TimeMs SuspectUntil = 0; ///< Until then the share is held down to compare both versions.
  std::uint64_t Order = 0; ///< Number of the order that the move follows; 0: it is declared.
  DurationMs Duration = 0; ///< Time that the order gives the move.
  auto operator<=>(const RolloutProgress &) const = default;
};

/// Latency buckets in which a latency doubles.
constexpr double BucketsPerDoubling = 4;
/// Number of latency buckets; the last one ends at 26 s and takes all above.
constexpr std::size_t LatencyBuckets = 72;
/// Upper bound of the first latency bucket, microseconds.
constexpr double FirstLatencyBoundUs = 100;

/// @returns the bucket of a latency in microseconds.
std::size_t latencyBucket(double latencyUs);

/// Counts of one upstream version's requests.
struct VersionCounts {
  std::uint64_t Requests = 0;
  std::uint64_t Failures = 0;
  std::array<std::uint32_t, LatencyBuckets> Latency{};
  VersionCounts &operator+=(const VersionCounts &other);
  auto operator<=>(const VersionCounts &) const = default;
};

/// Key of counts: a route and an upstream version.
struct EvidenceKey {
  RouteName Route;
  VersionLabel Version;
  auto operator<=>(const EvidenceKey &) const = default;
};

using EvidenceCounts = std::map<EvidenceKey, VersionCounts>;

/// All that a gate counted in one time bucket; sent again it replaces what was sent before.
struct EvidenceReport {
  RolloutID Rollout;
  HostID Host;
  std::uint64_t Incarnation = 0;
  std::uint64_t Bucket = 0; ///< On the host's own clock.
  EvidenceCounts Counts;
  std::uint32_t Age = 0; ///< Buckets between this one and the present one when it was sent.
};

/// Length of an evidence bucket.
constexpr DurationMs EvidenceBucketMs = 1000;
/// Buckets that a steward keeps.
constexpr std::uint64_t RetainedEvidenceBuckets = 30;

} // namespace jasmineloom
