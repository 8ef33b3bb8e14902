/// @file placement.cpp Load balancing: chooses the upstream of a request from observed load.
#include "traffic/placement.h"

#include "mesh/tree_func.h"
#include "rollout/rollout_func.h"

#include <algorithm>

namespace jasmineloom {

namespace {

/// Assumed service time of an upstream without samples, ms.
constexpr double UnknownServiceMs = 100;
/// Penalty of another data centre: the round trip in ms, plus a share of the service time because
/// traffic between data centres is charged for. With it, work leaves the data centre only when the
/// local upstreams are nearly full.
constexpr double RemotePenaltyMs = 6;
constexpr double RemotePenaltyShare = 0.5;
/// Increase of the service time when all slots are in use: upstreams slow down as they fill up.
constexpr double FullLoadSlowdown = 0.5;

/// Splits requests between the versions of a rollout.
VersionLabel versionFor(const ServiceView &service, std::uint64_t draw, TimeMs now) {
  if (!service.Rollout.has_value())
    return service.Version;
  const std::uint32_t share = newVersionShare(*service.Rollout, service.Progress, now);
  return draw % FullShare < share ? service.Rollout->To : service.Rollout->From;
}

VersionLabel otherVersion(const ServiceView &service, const VersionLabel &version) {
  if (!service.Rollout.has_value())
    return version;
  return version == service.Rollout->To ? service.Rollout->From : service.Rollout->To;
}

/// @returns the fraction of its full speed that an upstream is assumed to have reached.
double slowStartWeight(const Endpoint &endpoint, const EndpointStats &stats, TimeMs now) {
  const TimeMs since = std::max(endpoint.StartedAt, stats.firstSeenAt(endpoint.Host));
  if (since == 0)
    return 1;
  const double age = now > since ? static_cast<double>(now - since) : 0;
  return std::clamp(age / static_cast<double>(SlowStartWindow), SlowStartMinWeight, 1.0);
}

/// @returns the expected time until the response in ms, including the remote penalty.
double expectedLatencyMs(const Endpoint &endpoint, const EndpointStats &stats, TimeMs now) {
  const std::uint32_t known = stats.meanServiceMs(endpoint.Host);
  const double service = (known == 0 ? UnknownServiceMs : static_cast<double>(known)) /
                         slowStartWeight(endpoint, stats, now);
  const double slots = endpoint.Slots;
  const double held = stats.occupancy(endpoint.Host, now);
  const double ahead = std::max(0.0, held + 1 - slots);
  const double utilisation = std::min(1.0, held / slots);
  return service * (1 + ahead / slots + FullLoadSlowdown * utilisation * utilisation) +
         (endpoint.Local ? 0 : RemotePenaltyMs + RemotePenaltyShare * service);
}

/// Failures per mille above the best upstream at which an upstream counts as an outlier.
constexpr std::uint32_t OutlierMargin = 150;

/// Removes the upstreams that fail clearly more than the best one. Failures common to all upstreams
/// remove none, and no endpoint is removed if less than half would remain.
void removeOutliers(std::vector<const Endpoint *> &endpoints, const EndpointStats &stats,
                    TimeMs now) {
  std::vector<const Endpoint *> healthy;
  std::uint32_t best = FullShare;
  for (const Endpoint *endpoint : endpoints)
    best = std::min(best, stats.failurePerMille(endpoint->Host, now));
  for (const Endpoint *endpoint : endpoints) {
    if (stats.failurePerMille(endpoint->Host, now) <= best + OutlierMargin)
      healthy.push_back(endpoint);
  }
  if (healthy.size() * 2 >= endpoints.size())
    endpoints = std::move(healthy);
}

/// @returns the untried endpoints of a version: those with a free slot, else those not ejected,
/// else all.
std::vector<const Endpoint *> candidates(const ServiceView &service, const VersionLabel &version,
                                         const EndpointStats &stats, const std::set<HostID> &tried,
                                         TimeMs now) {
  std::vector<const Endpoint *> free;
  std::vector<const Endpoint *> healthy;
  std::vector<const Endpoint *> any;
  const VersionPool *pool = service.poolOf(version);
  if (pool == nullptr)
    return any;
  for (const std::uint32_t position : pool->All) {
    const Endpoint &endpoint = service.Endpoints[position];
    if (tried.contains(endpoint.Host))
      continue;
    any.push_back(&endpoint);
    if (stats.ejected(endpoint.Host, now))
      continue;
    healthy.push_back(&endpoint);
    if (stats.hasFreeSlot(endpoint, now))
      free.push_back(&endpoint);
  }
  removeOutliers(free, stats, now);
  if (!free.empty())
    return free;
  return healthy.empty() ? any : healthy;
}

/// Random draws from a large pool before all its endpoints are examined.
constexpr int MaxDraws = 6;
/// Size up to which all endpoints of a pool are examined.
constexpr std::size_t MaxScannedPool = 32;

/// Draws an endpoint of a large pool, from the local data centre if it has any there.
/// @returns null if no drawn endpoint had a free slot.
const Endpoint *sampleLargePool(const ServiceView &service, const VersionPool &pool,
                                const EndpointStats &stats, const std::set<HostID> &tried,
                                std::mt19937_64 &random, TimeMs now) {
  const std::vector<std::uint32_t> &positions = pool.Local.empty() ? pool.All : pool.Local;
  for (int n = 0; n < MaxDraws; ++n) {
    const Endpoint &endpoint = service.Endpoints[positions[random() % positions.size()]];
    const bool usable = stats.hasFreeSlot(endpoint, now) && !stats.ejected(endpoint.Host, now);
    if (usable && !tried.contains(endpoint.Host))
      return &endpoint;
  }
  return nullptr;
}

const Endpoint *faster(const Endpoint *left, const Endpoint *right, const EndpointStats &stats,
                       TimeMs now) {
  return expectedLatencyMs(*left, stats, now) <= expectedLatencyMs(*right, stats, now) ? left
                                                                                       : right;
}

/// Endpoints sampled in the local data centre and in others. A third local sample finds a fast host
/// where hosts differ in speed, so that less work leaves the data centre.
constexpr std::size_t LocalSamples = 3;
constexpr std::size_t RemoteSamples = 2;

/// Samples distinct endpoints and returns the one with the lowest expected latency.
/// @returns null if there is no choice.
const Endpoint *bestOfSample(std::vector<const Endpoint *> choices, std::size_t draws,
                             const EndpointStats &stats, std::mt19937_64 &random, TimeMs now) {
  const Endpoint *best = nullptr;
  for (std::size_t n = 0; n < draws && n < choices.size(); ++n) {
    // Swap the sample to the front so that it is not drawn again.
    std::swap(choices[n], choices[n + random() % (choices.size() - n)]);
    best = best == nullptr ? choices[n] : faster(best, choices[n], stats, now);
  }
  return best;
}

/// @returns the candidates of a version, or those of the rollout's other version if it has none.
std::vector<const Endpoint *> candidatesOrFallback(const ServiceView &service,
                                                   const VersionLabel &version,
                                                   const EndpointStats &stats,
                                                   const std::set<HostID> &tried, TimeMs now) {
  std::vector<const Endpoint *> choices = candidates(service, version, stats, tried, now);
  const bool none = service.poolOf(version) == nullptr;
  const bool takenBack = service.Progress.Phase == RolloutPhase::TakenBack;
  const VersionLabel other = otherVersion(service, version);
  const bool ordered = service.Rollout.has_value() && service.Rollout->Deadline == 0;
  // The new version of an ordered rollout never exceeds its share while the old one has upstreams.
  const bool allowed = !ordered || none || other == service.Rollout->From;
  if (choices.empty() && !takenBack && allowed)
    choices = candidates(service, other, stats, tried, now);
  return choices;
}

} // namespace

void EndpointStats::recordSent(const HostID &host) {
  Entry &entry = Entries[host.str()];
  ++entry.InFlight;
  ++entry.SentSinceReport;
}

void EndpointStats::recordDone(const HostID &host) {
  Entry &entry = Entries[host.str()];
  if (entry.InFlight > 0)
    --entry.InFlight;
  if (entry.SentSinceReport > 0)
    --entry.SentSinceReport;
}

void EndpointStats::recordUnreachable(const HostID &host, TimeMs now) {
  Entry &entry = Entries[host.str()];
  const std::uint32_t doublings = std::min<std::uint32_t>(entry.Failures, 3);
  entry.EjectedUntil = now + std::min(MaxEjectionTime, MinEjectionTime << doublings);
  ++entry.Failures;
}

void EndpointStats::recordReachable(const HostID &host) {
  Entry &entry = Entries[host.str()];
  entry.Failures = 0;
  entry.EjectedUntil = 0;
}

void EndpointStats::recordLoad(const HostID &host, const LoadReport &report, TimeMs now) {
  Entry &entry = Entries[host.str()];
  entry.Report = report;
  entry.ReportedAt = now;
  entry.SentSinceReport = 0;
}

void EndpointStats::recordSeen(const Endpoint &endpoint, TimeMs now) {
  if (FirstViewAt == 0)
    FirstViewAt = now;
  Entry &entry = Entries[endpoint.Host.str()];
  if (entry.InstanceID == endpoint.InstanceID && !entry.InstanceID.empty())
    return;
  // Upstreams in the first view of a starting node are assumed to have started long ago.
  entry.FirstSeenAt = now == FirstViewAt ? 0 : now;
  entry.InstanceID = endpoint.InstanceID;
  entry.Report = {};
  entry.ReportedAt = 0;
  entry.Failures = 0;
  entry.EjectedUntil = 0;
}

std::uint32_t EndpointStats::inFlight(const HostID &host) const {
  const auto it = Entries.find(host.str());
  return it == Entries.end() ? 0 : it->second.InFlight;
}

bool EndpointStats::ejected(const HostID &host, TimeMs now) const {
  const auto it = Entries.find(host.str());
  return it != Entries.end() && now < it->second.EjectedUntil;
}

std::uint32_t EndpointStats::occupancy(const HostID &host, TimeMs now) const {
  const auto it = Entries.find(host.str());
  if (it == Entries.end())
    return 0;
  const Entry &entry = it->second;
  if (entry.ReportedAt == 0 || now >= entry.ReportedAt + LoadReportLifetime)
    return entry.InFlight;
  return std::max(entry.InFlight,
                  entry.Report.Running + entry.Report.Queued + entry.SentSinceReport);
}

bool EndpointStats::hasFreeSlot(const Endpoint &endpoint, TimeMs now) const {
  return occupancy(endpoint.Host, now) < endpoint.Slots;
}

std::uint32_t EndpointStats::meanServiceMs(const HostID &host) const {
  const auto it = Entries.find(host.str());
  return it == Entries.end() ? 0 : it->second.Report.ServiceMs;
}

std::uint32_t EndpointStats::failurePerMille(const HostID &host, TimeMs now) const {
  const auto it = Entries.find(host.str());
  if (it == Entries.end() || now >= it->second.ReportedAt + LoadReportLifetime)
    return 0;
  return it->second.Report.FailurePerMille;
}

TimeMs EndpointStats::firstSeenAt(const HostID &host) const {
  const auto it = Entries.find(host.str());
  return it == Entries.end() ? 0 : it->second.FirstSeenAt;
}

const Endpoint *chooseEndpoint(const ServiceView &service, const EndpointStats &stats,
                               const std::set<HostID> &tried, std::mt19937_64 &random, TimeMs now) {
  return chooseEndpoint(service, stats, tried, random, now, random());
}

const Endpoint *chooseEndpoint(const ServiceView &service, const EndpointStats &stats,
                               const std::set<HostID> &tried, std::mt19937_64 &random, TimeMs now,
                               std::uint64_t draw) {
  const VersionLabel version = versionFor(service, draw, now);
  const VersionPool *pool = service.poolOf(version);
  if (pool != nullptr && pool->All.size() > MaxScannedPool) {
    const Endpoint *first = sampleLargePool(service, *pool, stats, tried, random, now);
    const Endpoint *second =
        first == nullptr ? nullptr : sampleLargePool(service, *pool, stats, tried, random, now);
    if (second != nullptr)
      return faster(first, second, stats, now);
  }
  const std::vector<const Endpoint *> choices =
      candidatesOrFallback(service, version, stats, tried, now);
  std::vector<const Endpoint *> local;
  std::vector<const Endpoint *> remote;
  for (const Endpoint *endpoint : choices)
    (endpoint->Local ? local : remote).push_back(endpoint);
  const Endpoint *bestLocal = bestOfSample(local, LocalSamples, stats, random, now);
  const Endpoint *bestRemote = bestOfSample(remote, RemoteSamples, stats, random, now);
  if (bestLocal == nullptr || bestRemote == nullptr)
    return bestLocal == nullptr ? bestRemote : bestLocal;
  return faster(bestLocal, bestRemote, stats, now);
}

const Endpoint *chooseEndpointForKey(const ServiceView &service, const std::string &key,
                                     const EndpointStats &stats, const std::set<HostID> &tried,
                                     TimeMs now) {
  const VersionLabel version = versionFor(service, std::hash<std::string>()(key), now);
  const std::vector<const Endpoint *> choices =
      candidatesOrFallback(service, version, stats, tried, now);
  std::vector<HostID> hosts;
  for (const Endpoint *endpoint : choices)
    hosts.push_back(endpoint->Host);
  if (hosts.empty())
    return nullptr;
  const HostID best = rendezvousOrder(std::move(hosts), key).front();
  const auto it = std::find_if(choices.begin(), choices.end(), [&best](const Endpoint *endpoint) {
    return endpoint->Host == best;
  });
  return *it;
}

const Endpoint *nextEndpoint(EndpointSearch &search, const ServiceView &service,
                             const std::string &key, const EndpointStats &stats,
                             std::mt19937_64 &random, TimeMs now, std::uint64_t draw) {
  const auto choose = [&] {
    return key.empty() ? chooseEndpoint(service, stats, search.Tried, random, now, draw)
                       : chooseEndpointForKey(service, key, stats, search.Tried, now);
  };
  const bool searched = !key.empty() || search.Busy.size() >= MaxFreeSlotTries;
  if (!search.MayQueue && !searched) {
    const Endpoint *endpoint = choose();
    if (endpoint != nullptr && stats.hasFreeSlot(*endpoint, now))
      return endpoint;
  }
  if (!search.MayQueue) {
    // Hosts without a free slot may now queue the request.
    search.MayQueue = true;
    for (const HostID &host : search.Busy)
      search.Tried.erase(host);
  }
  return choose();
}

const ServiceName &chooseService(const RouteSpec &route, std::uint64_t draw) {
  std::uint64_t sum = 0;
  for (const SplitPart &part : route.Split)
    sum += part.Weight;
  if (sum == 0)
    return route.Service;
  std::uint64_t left = draw % sum;
  for (const SplitPart &part : route.Split) {
    if (left < part.Weight)
      return part.Service;
    left -= part.Weight;
  }
  return route.Service;
}

} // namespace jasmineloom
