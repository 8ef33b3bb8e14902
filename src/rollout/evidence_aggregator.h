/// @file evidence_aggregator.h Evidence on one rollout, aggregated from all gates of the service.
#pragma once

#include "rollout/rollout_type.h"

#include <map>
#include <vector>

namespace jasmineloom {

/// Both versions' counts on one route in one time bucket, within which the versions are compared.
struct EvidenceStratum {
  RouteName Route;
  VersionCounts Old;
  VersionCounts New;
};

/// Requests to the new version on one host.
struct HostCounts {
  HostID Host;
  std::uint64_t Requests = 0;
  std::uint64_t Failures = 0;
};

/// Largest difference in speed between a service's hosts, in doublings of the latency.
constexpr double MaxHostSpeedDoublings = 1.75;

/// Reports of the last RetainedEvidenceBuckets, by time bucket and host. A report replaces the
/// earlier one of its bucket and host.
class EvidenceAggregator {
public:
  /// @param oldVersion version that the rollout moves from.
  EvidenceAggregator(VersionLabel oldVersion, VersionLabel newVersion)
      : OldVersion(std::move(oldVersion)), NewVersion(std::move(newVersion)) {}

  void addReport(const EvidenceReport &report);

  /// @returns the strata of the last \p buckets whole buckets before \p now and of the current one.
  std::vector<EvidenceStratum> strata(TimeMs now, std::uint64_t buckets) const;

  /// Latency buckets to subtract from each host's latencies.
  using HostShifts = std::map<HostID, int>;

  /// @returns by how many latency buckets each host's fast responses are slower than the old
  /// version's. Limited to MaxHostSpeedDoublings, so that a new version that is slow on all its
  /// hosts still appears slow.
  HostShifts hostShifts(TimeMs now) const;

  /// @returns the strata with each host's latencies corrected for the host's speed.
  std::vector<EvidenceStratum> normalisedStrata(TimeMs now, std::uint64_t buckets,
                                                const HostShifts &shifts) const;

  /// @returns the new version's requests by host, in the same time buckets as strata().
  /// @param route null: all routes.
  std::vector<HostCounts> newVersionByHost(TimeMs now, std::uint64_t buckets,
                                           const RouteName *route) const;

  /// @returns requests per second to both versions, since the first bucket with counts among those
  /// that strata() covers; 0 without counts.
  double requestRate(TimeMs now, std::uint64_t buckets) const;

  /// Saves the old version's recent counts as its baseline, for when it gets little traffic.
  void updateBaseline(TimeMs now);

  /// @returns the old version's saved counts on a route; empty if there are none.
  VersionCounts baseline(const RouteName &route) const;
  /// @returns the old version's saved counts over all routes.
  VersionCounts baseline() const;

  const VersionLabel &oldVersion() const { return OldVersion; }
  const VersionLabel &newVersion() const { return NewVersion; }

private:
  struct ReportKey {
    std::uint64_t Bucket = 0;
    HostID Host;
    auto operator<=>(const ReportKey &) const = default;
  };
  struct ReportEntry {
    std::uint64_t Incarnation = 0;
    EvidenceCounts Counts;
  };

  /// Calls a visitor for all counts in the time buckets that strata() covers.
  template <typename VisitorT>
  void forEachCount(TimeMs now, std::uint64_t buckets, VisitorT visit) const;
  std::vector<EvidenceStratum> collectStrata(TimeMs now, std::uint64_t buckets,
                                             const HostShifts *shifts) const;

  VersionLabel OldVersion;
  VersionLabel NewVersion;
  std::map<ReportKey, ReportEntry> Reports;
  std::map<RouteName, VersionCounts> Baseline;
  std::uint64_t BaselineBucket = 0;
};

} // namespace jasmineloom
