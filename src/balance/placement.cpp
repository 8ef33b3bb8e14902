/// @file placement.cpp Load balancing: chooses the upstream of a request from observed load.
#include "balance/placement.h"

#include "config/config_func.h"
#include "mesh/tree_func.h"
#include "rollout/rollout_func.h"

#include <algorithm>
#include <cmath>
#include <limits>

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
/// @param typicalMs service time of an upstream of which nothing is known.
double expectedLatencyMs(const Endpoint &endpoint, const EndpointStats &stats, double typicalMs,
                         TimeMs now) {
  const double service =
      stats.serviceMs(endpoint.Host, typicalMs, now) / slowStartWeight(endpoint, stats, now);
  const double slots = endpoint.Slots;
  const double held = stats.occupancy(endpoint.Host, now);
  const double ahead = std::max(0.0, held + 1 - slots);
  const double utilisation = std::min(1.0, held / slots);
  return service * (1 + ahead / slots + FullLoadSlowdown * utilisation * utilisation) +
         stats.limitWaitMs(endpoint, now) +
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
    if (tried.contains(endpoint.Host) || stats.leaves(endpoint))
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

/// Endpoints with a free slot that are compared, in the local data centre and in others. With six,
/// fast hosts get most of the requests where hosts differ in speed; with all, the nodes would send
/// theirs to the same host.
constexpr std::size_t LocalSamples = 6;
constexpr std::size_t RemoteSamples = 2;
/// Endpoints that are examined for a free slot, of each of the two kinds.
constexpr std::size_t MaxDraws = 48;

/// Random endpoints of one version.
struct EndpointSample {
  std::vector<const Endpoint *> Free;    ///< Expected to have a free slot.
  std::vector<const Endpoint *> Healthy; ///< Not ejected.
  std::vector<const Endpoint *> Any;     ///< Untried.
};

/// Draws endpoints until \p wanted of them have a free slot.
void drawEndpoints(EndpointSample &sample, const ServiceView &service,
                   std::vector<std::uint32_t> positions, std::size_t wanted,
                   const EndpointStats &stats, const std::set<HostID> &tried,
                   std::mt19937_64 &random, TimeMs now) {
  const std::size_t draws = std::min(positions.size(), MaxDraws);
  for (std::size_t n = 0; n < draws && wanted > 0; ++n) {
    // Swap the drawn one to the front so that it is not drawn again.
    std::swap(positions[n], positions[n + random() % (positions.size() - n)]);
    const Endpoint &endpoint = service.Endpoints[positions[n]];
    if (tried.contains(endpoint.Host) || stats.leaves(endpoint))
      continue;
    sample.Any.push_back(&endpoint);
    if (stats.ejected(endpoint.Host, now))
      continue;
    sample.Healthy.push_back(&endpoint);
    if (!stats.hasFreeSlot(endpoint, now))
      continue;
    sample.Free.push_back(&endpoint);
    --wanted;
  }
}

/// Samples the endpoints of a version.
/// @returns those with a free slot, else those not ejected, else all that were drawn.
std::vector<const Endpoint *> sampleVersion(const ServiceView &service, const VersionLabel &version,
                                            const EndpointStats &stats,
                                            const std::set<HostID> &tried, std::mt19937_64 &random,
                                            TimeMs now) {
  const VersionPool *pool = service.poolOf(version);
  if (pool == nullptr)
    return {};
  EndpointSample sample;
  drawEndpoints(sample, service, pool->Local, LocalSamples, stats, tried, random, now);
  drawEndpoints(sample, service, pool->Remote, RemoteSamples, stats, tried, random, now);
  removeOutliers(sample.Free, stats, now);
  if (!sample.Free.empty())
    return sample.Free;
  return sample.Healthy.empty() ? sample.Any : sample.Healthy;
}

/// @returns the mean of the known service times.
double typicalServiceMs(const std::vector<const Endpoint *> &endpoints,
                        const EndpointStats &stats) {
  double sum = 0;
  double known = 0;
  for (const Endpoint *endpoint : endpoints) {
    const std::uint32_t mean = stats.meanServiceMs(endpoint->Host);
    sum += mean;
    known += mean == 0 ? 0 : 1;
  }
  return known == 0 ? UnknownServiceMs : sum / known;
}

/// Multiple of the expected latency that must be left of the objective for a local upstream to be
/// chosen over a faster one in another data centre. At a logarithmic spread of 0.5, one response in
/// fifteen takes longer than twice the mean.
constexpr double LocalObjectiveMargin = 2;

/// @param objectiveLeft time left of the request's objective; 0: none.
/// @returns null if there is no choice.
const Endpoint *fastestOf(const std::vector<const Endpoint *> &choices, const EndpointStats &stats,
                          DurationMs objectiveLeft, TimeMs now) {
  const double typicalMs = typicalServiceMs(choices, stats);
  const Endpoint *best = nullptr;
  const Endpoint *bestLocal = nullptr;
  double bestMs = 0;
  double bestLocalMs = 0;
  for (const Endpoint *endpoint : choices) {
    const double ms = expectedLatencyMs(*endpoint, stats, typicalMs, now);
    if (best == nullptr || ms < bestMs) {
      best = endpoint;
      bestMs = ms;
    }
    if (endpoint->Local && (bestLocal == nullptr || ms < bestLocalMs)) {
      bestLocal = endpoint;
      bestLocalMs = ms;
    }
  }
  const bool localInTime = bestLocal != nullptr && stats.hasFreeSlot(*bestLocal, now) &&
                           LocalObjectiveMargin * bestLocalMs <= static_cast<double>(objectiveLeft);
  return localInTime ? bestLocal : best;
}

/// Applies a choice to the endpoints of a version, or to those of the rollout's other version if it
/// has none.
template <typename ChooseT>
std::vector<const Endpoint *> withFallback(const ServiceView &service, const VersionLabel &version,
                                           ChooseT choose) {
  std::vector<const Endpoint *> choices = choose(version);
  const bool none = !service.hasUpstreamsOf(version);
  const bool takenBack = service.Progress.Phase == RolloutPhase::TakenBack;
  const VersionLabel other = otherVersion(service, version);
  const bool ordered = service.Rollout.has_value() && service.Rollout->Deadline == 0;
  // The new version of an ordered rollout never exceeds its share while the old one has upstreams.
  const bool allowed = !ordered || none || other == service.Rollout->From;
  if (choices.empty() && !takenBack && allowed)
    choices = choose(other);
  return choices;
}

} // namespace

void EndpointStats::recordSent(const HostID &host) {
  Entry &entry = Entries[host.str()];
  ++entry.InFlight;
  ++entry.SentSinceReport;
  ++entry.AllSentSinceReport;
}

void EndpointStats::recordDone(const HostID &host) {
  Entry &entry = Entries[host.str()];
  if (entry.InFlight > 0)
    --entry.InFlight;
  if (entry.SentSinceReport > 0)
    --entry.SentSinceReport;
}

void EndpointStats::recordUnreachable(const HostID &host, const std::string &process, TimeMs now) {
  Entry &entry = Entries[host.str()];
  if (process != entry.InstanceID)
    return;
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
  entry.AllSentSinceReport = 0;
}

void EndpointStats::recordLeaving(const HostID &host, const std::string &process) {
  Entries[host.str()].LeavingProcess = process;
}

bool EndpointStats::leaves(const Endpoint &endpoint) const {
  const auto it = Entries.find(endpoint.Host.str());
  return it != Entries.end() && !endpoint.InstanceID.empty() &&
         it->second.LeavingProcess == endpoint.InstanceID;
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

DurationMs EndpointStats::ejectionLeft(const HostID &host, TimeMs now) const {
  const auto it = Entries.find(host.str());
  return ejected(host, now) ? it->second.EjectedUntil - now : 0;
}

std::optional<DurationMs> EndpointStats::reportAge(const HostID &host, TimeMs now) const {
  const auto it = Entries.find(host.str());
  if (it == Entries.end() || it->second.ReportedAt == 0)
    return std::nullopt;
  return now > it->second.ReportedAt ? now - it->second.ReportedAt : 0;
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
  return occupancy(endpoint.Host, now) < endpoint.Slots && limitWaitMs(endpoint, now) == 0;
}

bool EndpointStats::hasKnownSlot(const Endpoint &endpoint, TimeMs now) const {
  const auto it = Entries.find(endpoint.Host.str());
  const bool recent = it != Entries.end() && it->second.ReportedAt != 0 &&
                      now < it->second.ReportedAt + LoadReportLifetime;
  return recent && hasFreeSlot(endpoint, now) && !ejected(endpoint.Host, now) && !leaves(endpoint);
}

double EndpointStats::limitOf(const Endpoint &endpoint) const {
  const auto it = Entries.find(endpoint.Host.str());
  if (it == Entries.end() || it->second.Report.LimitProcess != endpoint.InstanceID)
    return 0;
  return it->second.Report.LimitPerSecond;
}

double EndpointStats::limitWaitMs(const Endpoint &endpoint, TimeMs now) const {
  const double limit = limitOf(endpoint);
  if (limit == 0)
    return 0;
  const Entry &entry = Entries.at(endpoint.Host.str());
  const double age =
      now > entry.ReportedAt ? static_cast<double>(now - entry.ReportedAt) / MsPerSecond : 0;
  const double available =
      entry.Report.LimitAvailable + age * limit - static_cast<double>(entry.AllSentSinceReport);
  const double missing = 1 + entry.Report.Queued - available;
  return std::max(0.0, missing) / limit * MsPerSecond;
}

std::uint32_t EndpointStats::meanServiceMs(const HostID &host) const {
  const auto it = Entries.find(host.str());
  return it == Entries.end() ? 0 : it->second.Report.ServiceMs;
}

double EndpointStats::serviceMs(const HostID &host, double typicalMs, TimeMs now) const {
  const auto it = Entries.find(host.str());
  if (it == Entries.end() || it->second.Report.ServiceMs == 0)
    return typicalMs;
  const Entry &entry = it->second;
  const double age = now > entry.ReportedAt ? static_cast<double>(now - entry.ReportedAt) : 0;
  const double weight = std::exp2(-age / static_cast<double>(ServiceTimeHalfLife));
  return typicalMs + weight * (entry.Report.ServiceMs - typicalMs);
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

VersionLabel drawnVersion(const ServiceView &service, const PlacementRequest &request, TimeMs now) {
  const std::uint64_t draw =
      request.Key.empty() ? request.Draw : std::hash<std::string>()(request.Key);
  return versionFor(service, draw, now);
}

const Endpoint *chooseEndpoint(const ServiceView &service, const EndpointStats &stats,
                               const std::set<HostID> &tried, std::mt19937_64 &random, TimeMs now) {
  return chooseEndpoint(service, stats, tried, random, now, PlacementRequest{random(), 0, {}});
}

const Endpoint *chooseEndpoint(const ServiceView &service, const EndpointStats &stats,
                               const std::set<HostID> &tried, std::mt19937_64 &random, TimeMs now,
                               const PlacementRequest &request) {
  const VersionLabel drawn = drawnVersion(service, request, now);
  const std::vector<const Endpoint *> choices =
      withFallback(service, drawn, [&](const VersionLabel &version) {
        return sampleVersion(service, version, stats, tried, random, now);
      });
  return fastestOf(choices, stats, request.ObjectiveLeft, now);
}

const Endpoint *chooseEndpointForKey(const ServiceView &service, const std::string &key,
                                     const EndpointStats &stats, const std::set<HostID> &tried,
                                     TimeMs now) {
  const VersionLabel version = drawnVersion(service, PlacementRequest{0, 0, key}, now);
  const std::vector<const Endpoint *> choices =
      withFallback(service, version, [&](const VersionLabel &it) {
        return candidates(service, it, stats, tried, now);
      });
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

void EndpointSearch::stopSearch() {
  MayQueue = true;
  for (const HostID &host : Busy)
    Tried.erase(host);
}

const Endpoint *nextEndpoint(EndpointSearch &search, const ServiceView &service,
                             const PlacementRequest &request, const EndpointStats &stats,
                             std::mt19937_64 &random, TimeMs now) {
  const auto choose = [&] {
    return request.Key.empty()
               ? chooseEndpoint(service, stats, search.Tried, random, now, request)
               : chooseEndpointForKey(service, request.Key, stats, search.Tried, now);
  };
  const bool searched = !request.Key.empty() || search.Busy.size() >= MaxFreeSlotTries;
  if (!search.MayQueue && !searched) {
    const Endpoint *endpoint = choose();
    if (endpoint != nullptr && stats.hasFreeSlot(*endpoint, now))
      return endpoint;
  }
  if (!search.MayQueue)
    search.stopSearch();
  return choose();
}

namespace {

/// @returns a number from 0 to below 1 that is uniform if \p draw is.
double fractionOf(std::uint64_t draw) {
  constexpr int MantissaBits = std::numeric_limits<double>::digits;
  constexpr int DrawBits = std::numeric_limits<std::uint64_t>::digits;
  return std::ldexp(static_cast<double>(draw >> (DrawBits - MantissaBits)), -MantissaBits);
}

} // namespace

const ServiceName &chooseService(const RouteSpec &route, std::uint64_t draw) {
  const std::vector<double> shares = splitShares(route.Split);
  const ServiceName *chosen = &route.Service;
  double left = fractionOf(draw);
  for (std::size_t n = 0; n < shares.size(); ++n) {
    if (shares[n] == 0)
      continue;
    // Also taken if rounding leaves the sum of the shares just below the draw.
    chosen = &route.Split[n].Service;
    if (left < shares[n])
      break;
    left -= shares[n];
  }
  return *chosen;
}

} // namespace jasmineloom
