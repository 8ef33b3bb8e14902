/// @file placement.cpp Chooses the upstream of a request by what the node has seen of each.
#include "traffic/placement.h"

#include "mesh/tree_func.h"
#include "rollout/rollout_func.h"

#include <algorithm>

namespace jasmineloom {

namespace {

/// Service time that is taken for an upstream of which nothing is known, ms.
constexpr double UnknownServiceMs = 100;
/// Cost of leaving the data centre: the way there and back in ms, and for the bytes that are paid
/// for a share of the service time, so that work leaves when the near upstreams are nearly full.
constexpr double RemotePenaltyMs = 6;
constexpr double RemotePenaltyShare = 0.5;
/// Added part of the service time at full slots: upstreams slow down when they are nearly full.
constexpr double CrowdedFactor = 0.5;

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

/// @returns the part of its speed that an upstream has by now.
double warmth(const Endpoint &endpoint, const EndpointStats &ledger, TimeMs now) {
  const TimeMs since = std::max(endpoint.Since, ledger.firstSeenAt(endpoint.Host));
  if (since == 0)
    return 1;
  const double age = now > since ? static_cast<double>(now - since) : 0;
  return std::clamp(age / static_cast<double>(SlowStart), ColdWeight, 1.0);
}

/// @returns the time until an answer is expected, ms.
double costOf(const Endpoint &endpoint, const EndpointStats &ledger, TimeMs now) {
  const std::uint32_t known = ledger.meanServiceMs(endpoint.Host);
  const double service =
      (known == 0 ? UnknownServiceMs : static_cast<double>(known)) / warmth(endpoint, ledger, now);
  const double slots = endpoint.Slots;
  const double held = ledger.occupancy(endpoint.Host, now);
  const double ahead = std::max(0.0, held + 1 - slots);
  const double crowd = std::min(1.0, held / slots);
  return service * (1 + ahead / slots + CrowdedFactor * crowd * crowd) +
         (endpoint.Local ? 0 : RemotePenaltyMs + RemotePenaltyShare * service);
}

/// Failures per mille by which an upstream may be worse than the best one before it is left out.
constexpr std::uint32_t FailingMargin = 150;

/// Leaves out the upstreams that fail clearly more than the best one. What fails everywhere says
/// nothing of one upstream, and at least half of the endpoints stay.
void dropFailing(std::vector<const Endpoint *> &endpoints, const EndpointStats &ledger,
                 TimeMs now) {
  std::vector<const Endpoint *> sound;
  std::uint32_t best = FullShare;
  for (const Endpoint *endpoint : endpoints)
    best = std::min(best, ledger.failurePerMille(endpoint->Host, now));
  for (const Endpoint *endpoint : endpoints) {
    if (ledger.failurePerMille(endpoint->Host, now) <= best + FailingMargin)
      sound.push_back(endpoint);
  }
  if (sound.size() * 2 >= endpoints.size())
    endpoints = std::move(sound);
}

/// @returns the usable endpoints of a version: with room, else not ejected, else any.
std::vector<const Endpoint *> candidates(const ServiceView &service, const VersionLabel &version,
                                         const EndpointStats &ledger, const std::set<HostID> &tried,
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
    if (ledger.ejected(endpoint.Host, now))
      continue;
    healthy.push_back(&endpoint);
    if (ledger.hasFreeSlot(endpoint, now))
      free.push_back(&endpoint);
  }
  dropFailing(free, ledger, now);
  if (!free.empty())
    return free;
  return healthy.empty() ? any : healthy;
}

/// Draws that are made before all endpoints of a large pool are looked at.
constexpr int MaxDraws = 6;
/// Pools up to this size are looked at whole.
constexpr std::size_t SmallPool = 32;

/// Draws an endpoint of a large pool, of the own data centre if it has any.
/// @returns null if the draws found none with room.
const Endpoint *drawNear(const ServiceView &service, const VersionPool &pool,
                         const EndpointStats &ledger, const std::set<HostID> &tried,
                         std::mt19937_64 &random, TimeMs now) {
  const std::vector<std::uint32_t> &positions = pool.Local.empty() ? pool.All : pool.Local;
  for (int n = 0; n < MaxDraws; ++n) {
    const Endpoint &endpoint = service.Endpoints[positions[random() % positions.size()]];
    const bool usable = ledger.hasFreeSlot(endpoint, now) && !ledger.ejected(endpoint.Host, now);
    if (usable && !tried.contains(endpoint.Host))
      return &endpoint;
  }
  return nullptr;
}

const Endpoint *cheaper(const Endpoint *left, const Endpoint *right, const EndpointStats &ledger,
                        TimeMs now) {
  return costOf(*left, ledger, now) <= costOf(*right, ledger, now) ? left : right;
}

/// Endpoints that are drawn near by, and elsewhere. A third draw near by finds a fast host where
/// hosts differ in speed, so that less work leaves the data centre.
constexpr std::size_t NearDraws = 3;
constexpr std::size_t RemoteDraws = 2;

/// Draws different endpoints and takes the one that is expected to answer first.
/// @returns null if there is none.
const Endpoint *bestOfDrawn(std::vector<const Endpoint *> choices, std::size_t draws,
                            const EndpointStats &ledger, std::mt19937_64 &random, TimeMs now) {
  const Endpoint *best = nullptr;
  for (std::size_t n = 0; n < draws && n < choices.size(); ++n) {
    // Moves the drawn one to the front, so that it is not drawn again.
    std::swap(choices[n], choices[n + random() % (choices.size() - n)]);
    best = best == nullptr ? choices[n] : cheaper(best, choices[n], ledger, now);
  }
  return best;
}

/// @returns the endpoints of a version; of the other one if the first has none at all.
std::vector<const Endpoint *> choicesFor(const ServiceView &service, const VersionLabel &version,
                                         const EndpointStats &ledger, const std::set<HostID> &tried,
                                         TimeMs now) {
  std::vector<const Endpoint *> choices = candidates(service, version, ledger, tried, now);
  const bool none = service.poolOf(version) == nullptr;
  const bool takenBack = service.Progress.Phase == RolloutPhase::TakenBack;
  const VersionLabel other = otherVersion(service, version);
  const bool ordered = service.Rollout.has_value() && service.Rollout->Deadline == 0;
  // An ordered rollout's new version gets its share and no more while the old one has upstreams.
  const bool allowed = !ordered || none || other == service.Rollout->From;
  if (choices.empty() && !takenBack && allowed)
    choices = candidates(service, other, ledger, tried, now);
  return choices;
}

} // namespace

void EndpointStats::recordSent(const HostID &host) {
  Entry &entry = Entries[host.str()];
  ++entry.InFlight;
  ++entry.SentSince;
}

void EndpointStats::recordDone(const HostID &host) {
  Entry &entry = Entries[host.str()];
  if (entry.InFlight > 0)
    --entry.InFlight;
  if (entry.SentSince > 0)
    --entry.SentSince;
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
  entry.SentSince = 0;
}

void EndpointStats::recordSeen(const Endpoint &endpoint, TimeMs now) {
  if (FirstView == 0)
    FirstView = now;
  Entry &entry = Entries[endpoint.Host.str()];
  if (entry.Upstream == endpoint.Upstream && !entry.Upstream.empty())
    return;
  // What a starting node meets in its first view has been there before.
  entry.SeenSince = now == FirstView ? 0 : now;
  entry.Upstream = endpoint.Upstream;
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
  return std::max(entry.InFlight, entry.Report.Running + entry.Report.Queued + entry.SentSince);
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
  return it == Entries.end() ? 0 : it->second.SeenSince;
}

const Endpoint *chooseEndpoint(const ServiceView &service, const EndpointStats &ledger,
                               const std::set<HostID> &tried, std::mt19937_64 &random, TimeMs now) {
  return chooseEndpoint(service, ledger, tried, random, now, random());
}

const Endpoint *chooseEndpoint(const ServiceView &service, const EndpointStats &ledger,
                               const std::set<HostID> &tried, std::mt19937_64 &random, TimeMs now,
                               std::uint64_t draw) {
  const VersionLabel version = versionFor(service, draw, now);
  const VersionPool *pool = service.poolOf(version);
  if (pool != nullptr && pool->All.size() > SmallPool) {
    const Endpoint *one = drawNear(service, *pool, ledger, tried, random, now);
    const Endpoint *other =
        one == nullptr ? nullptr : drawNear(service, *pool, ledger, tried, random, now);
    if (other != nullptr)
      return cheaper(one, other, ledger, now);
  }
  const std::vector<const Endpoint *> choices = choicesFor(service, version, ledger, tried, now);
  std::vector<const Endpoint *> near;
  std::vector<const Endpoint *> remote;
  for (const Endpoint *endpoint : choices)
    (endpoint->Local ? near : remote).push_back(endpoint);
  const Endpoint *own = bestOfDrawn(near, NearDraws, ledger, random, now);
  const Endpoint *other = bestOfDrawn(remote, RemoteDraws, ledger, random, now);
  if (own == nullptr || other == nullptr)
    return own == nullptr ? other : own;
  return cheaper(own, other, ledger, now);
}

const Endpoint *chooseEndpointForKey(const ServiceView &service, const std::string &key,
                                     const EndpointStats &ledger, const std::set<HostID> &tried,
                                     TimeMs now) {
  const VersionLabel version = versionFor(service, std::hash<std::string>()(key), now);
  const std::vector<const Endpoint *> choices = choicesFor(service, version, ledger, tried, now);
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
                             const std::string &key, const EndpointStats &ledger,
                             std::mt19937_64 &random, TimeMs now, std::uint64_t draw) {
  const auto choose = [&] {
    return key.empty() ? chooseEndpoint(service, ledger, search.Tried, random, now, draw)
                       : chooseEndpointForKey(service, key, ledger, search.Tried, now);
  };
  const bool searched = !key.empty() || search.Busy.size() >= FreeSlotTries;
  if (!search.MayQueue && !searched) {
    const Endpoint *endpoint = choose();
    if (endpoint != nullptr && ledger.hasFreeSlot(*endpoint, now))
      return endpoint;
  }
  if (!search.MayQueue) {
    // Those that had no free slot may let it wait.
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
