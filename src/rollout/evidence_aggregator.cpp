/// @file evidence_aggregator.cpp Evidence of one rollout, merged from all gates of the service.
#include "rollout/evidence_aggregator.h"

#include <algorithm>
#include <optional>

namespace jasmineloom {

namespace {

/// Requests that make a route's baseline worth remembering.
constexpr std::uint64_t MinBaselineRequests = 30;

struct StratumKey {
  std::uint64_t Bucket = 0;
  RouteName Route;
  auto operator<=>(const StratumKey &) const = default;
};

/// Answers that are needed to tell a host's speed.
constexpr std::uint32_t MinSpeedSamples = 5;
/// Quantile that stands for a host's speed: answers that a fault slows down are above it.
constexpr double FastQuantile = 0.25;

/// @returns the bucket of the fast ones among counted answers, or nothing if there are too few.
std::optional<int> fastOf(const std::map<int, std::uint32_t> &counts) {
  std::uint32_t samples = 0;
  for (const auto &[bucket, n] : counts)
    samples += n;
  if (samples < MinSpeedSamples)
    return std::nullopt;
  double seen = 0;
  for (const auto &[bucket, n] : counts) {
    seen += n;
    if (seen >= FastQuantile * samples)
      return bucket;
  }
  return std::nullopt;
}

std::optional<int> fastBucket(const VersionCounts &counts) {
  std::map<int, std::uint32_t> filled;
  for (std::size_t it = 0; it < LatencyBuckets; ++it) {
    if (counts.Latency[it] != 0)
      filled[static_cast<int>(it)] = counts.Latency[it];
  }
  return fastOf(filled);
}

/// Takes buckets off all latencies.
VersionCounts shifted(const VersionCounts &counts, int shift) {
  VersionCounts moved = counts;
  moved.Latency.fill(0);
  constexpr int Last = static_cast<int>(LatencyBuckets) - 1;
  for (int it = 0; it <= Last; ++it)
    moved.Latency[static_cast<std::size_t>(std::clamp(it - shift, 0, Last))] +=
        counts.Latency[static_cast<std::size_t>(it)];
  return moved;
}

/// Aligns a host's latencies; those of a host whose speed is not known say nothing.
VersionCounts aligned(const VersionCounts &counts, const std::map<HostID, int> &shifts,
                      const HostID &host) {
  const auto it = shifts.find(host);
  if (it != shifts.end())
    return shifted(counts, it->second);
  VersionCounts without = counts;
  without.Latency.fill(0);
  return without;
}

} // namespace

void EvidenceAggregator::addReport(const EvidenceReport &report) {
  CellContent &content = Cells[{report.Bucket, report.Host}];
  if (report.Incarnation < content.Incarnation)
    return;
  content = {report.Incarnation, report.Counts};
  while (Cells.begin()->first.Bucket + RetainedEvidenceBuckets + 2 < report.Bucket)
    Cells.erase(Cells.begin());
}

template <typename VisitorT>
void EvidenceAggregator::eachCount(TimeMs now, std::uint64_t buckets, VisitorT visit) const {
  const std::uint64_t last = now / EvidenceBucketMs;
  const std::uint64_t first = last < buckets ? 0 : last - buckets;
  for (auto it = Cells.lower_bound({first, HostID()}); it != Cells.end(); ++it) {
    if (it->first.Bucket > last + 1)
      break;
    for (const auto &[key, counts] : it->second.Counts)
      visit(it->first, key, counts);
  }
}

std::vector<EvidenceStratum> EvidenceAggregator::strata(TimeMs now, std::uint64_t buckets) const {
  return collect(now, buckets, nullptr);
}

std::vector<EvidenceStratum> EvidenceAggregator::alignedStrata(TimeMs now, std::uint64_t buckets,
                                                               const Shifts &shifts) const {
  return collect(now, buckets, &shifts);
}

EvidenceAggregator::Shifts EvidenceAggregator::shiftsOf(TimeMs now) const {
  std::map<RouteName, VersionCounts> old;
  eachCount(now, RetainedEvidenceBuckets,
            [&](const Cell &, const EvidenceKey &key, const VersionCounts &counts) {
              if (key.Version == OldVersion)
                old[key.Route] += counts;
            });
  std::map<RouteName, int> usual;
  for (const auto &[route, counts] : old) {
    if (const std::optional<int> fast = fastBucket(counts); fast.has_value())
      usual[route] = *fast;
  }
  // How much longer each host's answers took than the usual fast ones of their routes.
  std::map<HostID, std::map<int, std::uint32_t>> excess;
  eachCount(now, RetainedEvidenceBuckets,
            [&](const Cell &cell, const EvidenceKey &key, const VersionCounts &counts) {
              const auto fast = usual.find(key.Route);
              if (fast == usual.end())
                return;
              for (std::size_t bucket = 0; bucket < LatencyBuckets; ++bucket) {
                if (counts.Latency[bucket] != 0)
                  excess[cell.Host][static_cast<int>(bucket) - fast->second] +=
                      counts.Latency[bucket];
              }
            });
  Shifts shifts;
  constexpr int MaxShift = static_cast<int>(MaxSpeedDoublings * BucketsPerDoubling);
  for (const auto &[host, counts] : excess) {
    const std::optional<int> own = fastOf(counts);
    if (own.has_value())
      shifts[host] = std::clamp(*own, -MaxShift, MaxShift);
  }
  return shifts;
}

std::vector<EvidenceStratum> EvidenceAggregator::collect(TimeMs now, std::uint64_t buckets,
                                                         const Shifts *shifts) const {
  std::map<StratumKey, EvidenceStratum> found;
  eachCount(now, buckets,
            [&](const Cell &cell, const EvidenceKey &key, const VersionCounts &counts) {
              EvidenceStratum &stratum = found[{cell.Bucket, key.Route}];
              stratum.Route = key.Route;
              const VersionCounts moved =
                  shifts == nullptr ? counts : aligned(counts, *shifts, cell.Host);
              if (key.Version == OldVersion)
                stratum.Old += moved;
              if (key.Version == NewVersion)
                stratum.New += moved;
            });
  std::vector<EvidenceStratum> strata;
  strata.reserve(found.size());
  for (auto &[key, stratum] : found)
    strata.push_back(std::move(stratum));
  return strata;
}

std::vector<HostCounts> EvidenceAggregator::newByHost(TimeMs now, std::uint64_t buckets,
                                                      const RouteName *route) const {
  std::map<HostID, HostCounts> found;
  eachCount(now, buckets,
            [&](const Cell &cell, const EvidenceKey &key, const VersionCounts &counts) {
              if (key.Version != NewVersion || (route != nullptr && key.Route != *route))
                return;
              HostCounts &host = found[cell.Host];
              host.Host = cell.Host;
              host.Requests += counts.Requests;
              host.Failures += counts.Failures;
            });
  std::vector<HostCounts> hosts;
  for (const auto &[host, counts] : found)
    hosts.push_back(counts);
  return hosts;
}

void EvidenceAggregator::noteBaseline(TimeMs now) {
  const std::uint64_t bucket = now / EvidenceBucketMs;
  if (BaselineBucket != 0 && bucket < BaselineBucket + RetainedEvidenceBuckets / 2)
    return;
  std::map<RouteName, VersionCounts> recent;
  for (const EvidenceStratum &it : strata(now, RetainedEvidenceBuckets))
    recent[it.Route] += it.Old;
  for (const auto &[route, counts] : recent) {
    if (counts.Requests < MinBaselineRequests)
      continue;
    Baseline[route] = counts;
    BaselineBucket = bucket;
  }
}

VersionCounts EvidenceAggregator::baseline(const RouteName &route) const {
  const auto it = Baseline.find(route);
  return it == Baseline.end() ? VersionCounts{} : it->second;
}

VersionCounts EvidenceAggregator::baseline() const {
  VersionCounts sum;
  for (const auto &[route, counts] : Baseline)
    sum += counts;
  return sum;
}

} // namespace jasmineloom
