/// @file large_body.h Chooses the upstream of a request with a large body, which is sent once.
#pragma once

#include "balance/placement.h"

namespace jasmineloom {

/// Gates without a free slot after which a request with a large body queues at one. A refusal costs
/// a round trip and a connection, as the gate decides by the header, but the body follows the
/// header without waiting.
constexpr std::size_t MaxLargeBodyTries = 1;

/// Chooses an upstream for the body of a request on a route with RouteSpec::LargeBody. Answers
/// bodies whose transfer takes as long as a good part of the work: a gate that refuses them late
/// costs the transfer again. Those that have recently reported a free slot go first: the one on the
/// node's own host, which needs no transfer, then the least occupied of a few random ones of the
/// own data centre, then of the others.
/// @param own the node's own host.
/// @returns null if no upstream of the request's version is known to have a free slot.
const Endpoint *endpointWithKnownSlot(const ServiceView &service, const PlacementRequest &request,
                                      const EndpointStats &stats, const std::set<HostID> &tried,
                                      const HostID &own, std::mt19937_64 &random, TimeMs now);

/// Finds the upstream for the next attempt of a request with a large body: one that is known to
/// have a free slot, else as nextEndpoint(), with at most MaxLargeBodyTries gates that had none.
/// @returns null if no upstream is left.
const Endpoint *nextForLargeBody(EndpointSearch &search, const ServiceView &service,
                                 const PlacementRequest &request, const EndpointStats &stats,
                                 const HostID &own, std::mt19937_64 &random, TimeMs now);

} // namespace jasmineloom
