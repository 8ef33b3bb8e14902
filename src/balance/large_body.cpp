/// @file large_body.cpp Chooses the upstream of a request with a large body, which is sent once.
#include "balance/large_body.h"

namespace jasmineloom {

namespace {

/// Random upstreams with a known free slot that are compared. More would send the bodies of many
/// nodes to the same one.
constexpr std::size_t ComparedEndpoints = 3;

/// @returns the least occupied of a few random endpoints at some positions that are known to have a
/// free slot; null if none is.
const Endpoint *leastOccupied(const ServiceView &service, std::vector<std::uint32_t> positions,
                              const EndpointStats &stats, const std::set<HostID> &tried,
                              std::mt19937_64 &random, TimeMs now) {
  const Endpoint *best = nullptr;
  double bestShare = 0;
  std::size_t compared = 0;
  for (std::size_t n = 0; n < positions.size() && compared < ComparedEndpoints; ++n) {
    // Swap the drawn one to the front so that it is not drawn again.
    std::swap(positions[n], positions[n + random() % (positions.size() - n)]);
    const Endpoint &endpoint = service.Endpoints[positions[n]];
    if (tried.contains(endpoint.Host) || !stats.hasKnownSlot(endpoint, now))
      continue;
    ++compared;
    const double share = static_cast<double>(stats.occupancy(endpoint.Host, now)) / endpoint.Slots;
    if (best != nullptr && share >= bestShare)
      continue;
    best = &endpoint;
    bestShare = share;
  }
  return best;
}

} // namespace

const Endpoint *endpointWithKnownSlot(const ServiceView &service, const PlacementRequest &request,
                                      const EndpointStats &stats, const std::set<HostID> &tried,
                                      const HostID &own, std::mt19937_64 &random, TimeMs now) {
  const VersionPool *pool = service.poolOf(drawnVersion(service, request, now));
  if (pool == nullptr)
    return nullptr;
  for (const std::uint32_t position : pool->Local) {
    const Endpoint &endpoint = service.Endpoints[position];
    if (endpoint.Host == own && !tried.contains(own) && stats.hasKnownSlot(endpoint, now))
      return &endpoint;
  }
  const Endpoint *local = leastOccupied(service, pool->Local, stats, tried, random, now);
  return local != nullptr ? local : leastOccupied(service, pool->Remote, stats, tried, random, now);
}

const Endpoint *nextForLargeBody(EndpointSearch &search, const ServiceView &service,
                                 const PlacementRequest &request, const EndpointStats &stats,
                                 const HostID &own, std::mt19937_64 &random, TimeMs now) {
  const bool maySearch = request.Key.empty() && !search.MayQueue;
  if (maySearch && search.Busy.size() < MaxLargeBodyTries) {
    const Endpoint *endpoint =
        endpointWithKnownSlot(service, request, stats, search.Tried, own, random, now);
    if (endpoint != nullptr)
      return endpoint;
  }
  if (maySearch && search.Busy.size() >= MaxLargeBodyTries)
    search.stopSearch();
  return nextEndpoint(search, service, request, stats, random, now);
}

} // namespace jasmineloom
