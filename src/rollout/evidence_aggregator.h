/// @file evidence_aggregator.h Evidence of one rollout, merged from all gates of the service.
#pragma once

#include "rollout/rollout_type.h"

#include <map>
#include <vector>

namespace jasmineloom {

/// Both versions' counts on one route in one time bucket: what is compared like with like.
struct EvidenceStratum {
  RouteName Route;
  VersionCounts Old;
  VersionCounts New;
};

/// What one host's upstream of the new version did.
struct HostCounts {
  HostID Host;
  std::uint64_t Requests = 0;
  std::uint64_t Failures = 0;
};

/// Doublings by which the speeds of a service's hosts differ at most.
constexpr double MaxSpeedDoublings = 1.75;

/// Reports of the last buckets, by host. A report replaces the earlier one of its host and bucket.
class EvidenceAggregator {
public:
  /// @param oldVersion version that the rollout moves from.
  EvidenceAggregator(VersionLabel oldVersion, VersionLabel newVersion)
      : OldVersion(std::move(oldVersion)), NewVersion(std::move(newVersion)) {}

  void addReport(const EvidenceReport &report);

  /// @returns the strata of the last \p buckets whole buckets before \p now.
  std::vector<EvidenceStratum> strata(TimeMs now, std::uint64_t buckets) const;

  using Shifts = std::map<HostID, int>; ///< Latency buckets to take off a host's answers.

  /// @returns by how much each host's fast answers take longer than the old version's do. A version
  /// that is slow as a whole stays slow: hosts differ in speed by MaxSpeedDoublings at most.
  Shifts shiftsOf(TimeMs now) const;

  /// @returns the strata with each host's latencies shifted.
  std::vector<EvidenceStratum> alignedStrata(TimeMs now, std::uint64_t buckets,
                                             const Shifts &shifts) const;

  /// @returns the counts of each host that ran the new version in the last \p buckets whole
  /// buckets.
  /// @param route null: all routes.
  std::vector<HostCounts> newByHost(TimeMs now, std::uint64_t buckets,
                                    const RouteName *route) const;

  /// Remembers the old version's behaviour, for when it gets little traffic.
  void noteBaseline(TimeMs now);

  /// @returns the remembered counts of the old version on a route; empty if there are none.
  VersionCounts baseline(const RouteName &route) const;
  /// @returns the remembered counts of the old version over all routes.
  VersionCounts baseline() const;

  const VersionLabel &oldVersion() const { return OldVersion; }
  const VersionLabel &newVersion() const { return NewVersion; }

private:
  struct Cell {
    std::uint64_t Bucket = 0;
    HostID Host;
    auto operator<=>(const Cell &) const = default;
  };
  struct CellContent {
    std::uint64_t Incarnation = 0;
    EvidenceCounts Counts;
  };

  /// Calls a visitor for each count of the last \p buckets whole buckets before \p now.
  template <typename VisitorT>
  void eachCount(TimeMs now, std::uint64_t buckets, VisitorT visit) const;
  std::vector<EvidenceStratum> collect(TimeMs now, std::uint64_t buckets,
                                       const Shifts *shifts) const;

  VersionLabel OldVersion;
  VersionLabel NewVersion;
  std::map<Cell, CellContent> Cells;
  std::map<RouteName, VersionCounts> Baseline;
  std::uint64_t BaselineBucket = 0;
};

} // namespace jasmineloom
