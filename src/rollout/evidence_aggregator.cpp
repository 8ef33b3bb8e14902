/// @file evidence_aggregator.cpp Evidence on one rollout, aggregated from all gates of the service.
#include "rollout/evidence_aggregator.h"

#include <algorithm>
#include <optional>

namespace jasmineloom {

namespace {

/// Minimum number of requests on a route before its counts become the baseline.
constexpr std::uint64_t MinBaselineRequests = 30;

struct StratumKey {
  std::uint64_t Bucket = 0;
  RouteName Route;
  auto operator<=>(const StratumKey &) const = default;
};

/// Minimum number of latency samples for an estimate of a host's speed.
constexpr std::uint32_t MinSpeedSamples = 5;
/// Quantile that represents a host's speed. Responses that a fault slows down are above it.
constexpr double FastQuantile = 0.25;

/// @returns the bucket that holds FastQuantile, or nothing if there are too few samples.
std::optional<int> fastQuantileOf(const std::map<int, std::uint32_t> &counts) {
  std::uint32_t samples = 0;
  for (const auto &[bucket, n] : counts)
    samples += n;
  if (samples < MinSpeedSamples)
    return std::nullopt;
  double cumulated = 0;
  for (const auto &[bucket, n] : counts) {
    cumulated += n;
    if (cumulated >= FastQuantile * samples)
      return bucket;
  }
  return std::nullopt;
}

std::optional<int> fastBucketOf(const VersionCounts &counts) {
  std::map<int, std::uint32_t> filled;
  for (std::size_t it = 0; it < LatencyBuckets; ++it) {
    if (counts.Latency[it] != 0)
      filled[static_cast<int>(it)] = counts.Latency[it];
  }
  return fastQuantileOf(filled);
}

VersionCounts shiftLatencies(const VersionCounts &counts, int shift) {
  VersionCounts result = counts;
  result.Latency.fill(0);
  constexpr int Last = static_cast<int>(LatencyBuckets) - 1;
  for (int it = 0; it <= Last; ++it)
    result.Latency[static_cast<std::size_t>(std::clamp(it - shift, 0, Last))] +=
        counts.Latency[static_cast<std::size_t>(it)];
  return result;
}

/// Corrects latencies for the host's speed. Those of a host of unknown speed are not comparable and
/// are dropped.
VersionCounts normaliseLatencies(const VersionCounts &counts, const std::map<HostID, int> &shifts,
                                 const HostID &host) {
  const auto it = shifts.find(host);
  if (it != shifts.end())
    return shiftLatencies(counts, it->second);
  VersionCounts result = counts;
  result.Latency.fill(0);
  return result;
}

} // namespace

void EvidenceAggregator::addReport(const EvidenceReport &report) {
  ReportEntry &entry = Reports[{report.Bucket, report.Host}];
  if (report.Incarnation < entry.Incarnation)
    return;
  entry = {report.Incarnation, report.Counts};
  while (Reports.begin()->first.Bucket + RetainedEvidenceBuckets + 2 < report.Bucket)
    Reports.erase(Reports.begin());
}

template <typename VisitorT>
void EvidenceAggregator::forEachCount(TimeMs now, std::uint64_t buckets, VisitorT visit) const {
  const std::uint64_t last = now / EvidenceBucketMs;
  const std::uint64_t first = last < buckets ? 0 : last - buckets;
  for (auto it = Reports.lower_bound({first, HostID()}); it != Reports.end(); ++it) {
    if (it->first.Bucket > last + 1)
      break;
    for (const auto &[key, counts] : it->second.Counts)
      visit(it->first, key, counts);
  }
}

std::vector<EvidenceStratum> EvidenceAggregator::strata(TimeMs now, std::uint64_t buckets) const {
  return collectStrata(now, buckets, nullptr);
}

std::vector<EvidenceStratum> EvidenceAggregator::normalisedStrata(TimeMs now, std::uint64_t buckets,
                                                                  const HostShifts &shifts) const {
  return collectStrata(now, buckets, &shifts);
}

double EvidenceAggregator::requestRate(TimeMs now, std::uint64_t buckets) const {
  std::optional<std::uint64_t> first;
  std::uint64_t sum = 0;
  forEachCount(now, buckets,
               [&](const ReportKey &source, const EvidenceKey &, const VersionCounts &counts) {
                 first = std::min(first.value_or(source.Bucket), source.Bucket);
                 sum += counts.Requests;
               });
  if (!first.has_value())
    return 0;
  const TimeMs start = *first * EvidenceBucketMs;
  const DurationMs span = now < start + EvidenceBucketMs ? EvidenceBucketMs : now - start;
  return static_cast<double>(sum) * MsPerSecond / static_cast<double>(span);
}

EvidenceAggregator::HostShifts EvidenceAggregator::hostShifts(TimeMs now) const {
  std::map<RouteName, VersionCounts> old;
  forEachCount(now, RetainedEvidenceBuckets,
               [&](const ReportKey &, const EvidenceKey &key, const VersionCounts &counts) {
                 if (key.Version == OldVersion)
                   old[key.Route] += counts;
               });
  std::map<RouteName, int> fastByRoute;
  for (const auto &[route, counts] : old) {
    if (const std::optional<int> fast = fastBucketOf(counts); fast.has_value())
      fastByRoute[route] = *fast;
  }
  // Latencies of each host relative to the old version's fast responses on the same route.
  std::map<HostID, std::map<int, std::uint32_t>> excess;
  forEachCount(now, RetainedEvidenceBuckets,
               [&](const ReportKey &source, const EvidenceKey &key, const VersionCounts &counts) {
                 const auto fast = fastByRoute.find(key.Route);
                 if (fast == fastByRoute.end())
                   return;
                 for (std::size_t bucket = 0; bucket < LatencyBuckets; ++bucket) {
                   if (counts.Latency[bucket] != 0)
                     excess[source.Host][static_cast<int>(bucket) - fast->second] +=
                         counts.Latency[bucket];
                 }
               });
  HostShifts shifts;
  constexpr int MaxShift = static_cast<int>(MaxHostSpeedDoublings * BucketsPerDoubling);
  for (const auto &[host, counts] : excess) {
    const std::optional<int> shift = fastQuantileOf(counts);
    if (shift.has_value())
      shifts[host] = std::clamp(*shift, -MaxShift, MaxShift);
  }
  return shifts;
}

std::vector<EvidenceStratum> EvidenceAggregator::collectStrata(TimeMs now, std::uint64_t buckets,
                                                               const HostShifts *shifts) const {
  std::map<StratumKey, EvidenceStratum> found;
  forEachCount(now, buckets,
               [&](const ReportKey &source, const EvidenceKey &key, const VersionCounts &counts) {
                 EvidenceStratum &stratum = found[{source.Bucket, key.Route}];
                 stratum.Route = key.Route;
                 const VersionCounts normalised =
                     shifts == nullptr ? counts : normaliseLatencies(counts, *shifts, source.Host);
                 if (key.Version == OldVersion)
                   stratum.Old += normalised;
                 if (key.Version == NewVersion)
                   stratum.New += normalised;
               });
  std::vector<EvidenceStratum> strata;
  strata.reserve(found.size());
  for (auto &[key, stratum] : found)
    strata.push_back(std::move(stratum));
  return strata;
}

std::vector<HostCounts> EvidenceAggregator::newVersionByHost(TimeMs now, std::uint64_t buckets,
                                                             const RouteName *route) const {
  std::map<HostID, HostCounts> found;
  forEachCount(now, buckets,
               [&](const ReportKey &source, const EvidenceKey &key, const VersionCounts &counts) {
                 if (key.Version != NewVersion || (route != nullptr && key.Route != *route))
                   return;
                 HostCounts &host = found[source.Host];
                 host.Host = source.Host;
                 host.Requests += counts.Requests;
                 host.Failures += counts.Failures;
               });
  std::vector<HostCounts> hosts;
  for (const auto &[host, counts] : found)
    hosts.push_back(counts);
  return hosts;
}

void EvidenceAggregator::updateBaseline(TimeMs now) {
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
