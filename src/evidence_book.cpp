/// @file evidence_book.cpp Evidence of one rollout, merged from all gates of the service.
#include "evidence_book.h"

namespace jasmineloom {

namespace {

/// Requests that make a route's baseline worth remembering.
constexpr std::uint64_t MinBaselineRequests = 30;

struct StratumKey {
  std::uint64_t Bucket = 0;
  RouteName Route;
  auto operator<=>(const StratumKey &) const = default;
};

} // namespace

void EvidenceBook::take(const EvidenceReport &report) {
  CellContent &content = Cells[{report.Bucket, report.Host}];
  if (report.Incarnation < content.Incarnation)
    return;
  content = {report.Incarnation, report.Counts};
  while (Cells.begin()->first.Bucket + EvidenceBuckets + 2 < report.Bucket)
    Cells.erase(Cells.begin());
}

std::vector<EvidenceStratum> EvidenceBook::strata(TimeMs now, std::uint64_t buckets) const {
  const std::uint64_t last = now / EvidenceBucketMs;
  const std::uint64_t first = last < buckets ? 0 : last - buckets;
  std::map<StratumKey, EvidenceStratum> found;
  for (auto it = Cells.lower_bound({first, HostID()}); it != Cells.end(); ++it) {
    if (it->first.Bucket > last + 1)
      break;
    for (const auto &[key, counts] : it->second.Counts) {
      EvidenceStratum &stratum = found[{it->first.Bucket, key.Route}];
      stratum.Route = key.Route;
      if (key.Version == OldVersion)
        stratum.Old += counts;
      if (key.Version == NewVersion)
        stratum.New += counts;
    }
  }
  std::vector<EvidenceStratum> strata;
  strata.reserve(found.size());
  for (auto &[key, stratum] : found)
    strata.push_back(std::move(stratum));
  return strata;
}

void EvidenceBook::noteBaseline(TimeMs now) {
  const std::uint64_t bucket = now / EvidenceBucketMs;
  if (BaselineBucket != 0 && bucket < BaselineBucket + EvidenceBuckets / 2)
    return;
  std::map<RouteName, VersionCounts> recent;
  for (const EvidenceStratum &it : strata(now, EvidenceBuckets))
    recent[it.Route] += it.Old;
  for (const auto &[route, counts] : recent) {
    if (counts.Requests < MinBaselineRequests)
      continue;
    Baseline[route] = counts;
    BaselineBucket = bucket;
  }
}

VersionCounts EvidenceBook::baseline(const RouteName &route) const {
  const auto it = Baseline.find(route);
  return it == Baseline.end() ? VersionCounts{} : it->second;
}

VersionCounts EvidenceBook::baseline() const {
  VersionCounts sum;
  for (const auto &[route, counts] : Baseline)
    sum += counts;
  return sum;
}

} // namespace jasmineloom
