/// @file placement.h Chooses the upstream of a request by what the node has seen of each.
#pragma once

#include "traffic/routing_view.h"

#include <random>
#include <set>

namespace jasmineloom {

/// Weight of a cold upstream at its start, as a fraction.
constexpr double ColdWeight = 0.1;
/// Time in which a cold upstream comes to its full weight: upstreams are slow for about 3 s.
constexpr DurationMs SlowStart = 4 * MsPerSecond;
/// Time for which an upstream that couldn't be reached is left out; doubles up to the maximum.
constexpr DurationMs MinEjectionTime = 500;
constexpr DurationMs MaxEjectionTime = 4 * MsPerSecond;
/// Age at which a gate's report says nothing any more: requests end within it.
constexpr DurationMs LoadReportLifetime = 1 * MsPerSecond;

/// What a gate says of its upstream with each answer.
struct LoadReport {
  std::uint32_t Running = 0;
  std::uint32_t Queued = 0;
  std::uint32_t ServiceMs = 0;       ///< Recent mean time of a request at the upstream.
  std::uint32_t FailurePerMille = 0; ///< Recent requests that it failed or turned away, per mille.
  auto operator<=>(const LoadReport &) const = default;
};

/// What a node has seen of the upstreams itself; reports of others lag.
class EndpointStats {
public:
  void recordSent(const HostID &host);
  void recordDone(const HostID &host);
  /// Notes that the host couldn't be reached.
  void recordUnreachable(const HostID &host, TimeMs now);
  void recordReachable(const HostID &host);
  /// Takes the report of a host's gate.
  void recordLoad(const HostID &host, const LoadReport &report, TimeMs now);
  /// Notes when an upstream's process was first seen.
  void recordSeen(const Endpoint &endpoint, TimeMs now);

  /// @returns whether the upstream is thought to have a free slot.
  bool hasFreeSlot(const Endpoint &endpoint, TimeMs now) const;
  std::uint32_t inFlight(const HostID &host) const;
  bool ejected(const HostID &host, TimeMs now) const;
  /// @returns requests that the host is thought to hold, of all nodes.
  std::uint32_t occupancy(const HostID &host, TimeMs now) const;
  /// @returns the host's mean service time in ms; 0: not known.
  std::uint32_t meanServiceMs(const HostID &host) const;
  /// @returns the share of requests that the host's upstream has failed lately, per mille.
  std::uint32_t failurePerMille(const HostID &host, TimeMs now) const;
  /// @returns when the host's present upstream was first seen; 0: with the first view, or never.
  TimeMs firstSeenAt(const HostID &host) const;

private:
  struct Entry {
    std::uint32_t InFlight = 0;
    std::uint32_t Failures = 0;
    TimeMs EjectedUntil = 0;
    LoadReport Report;
    TimeMs ReportedAt = 0;
    std::uint32_t SentSince = 0; ///< Sent by this node after the report.
    std::string Upstream;
    TimeMs SeenSince = 0;
  };
  absl::flat_hash_map<std::string, Entry> Entries;
  TimeMs FirstView = 0;
};

/// Chooses an upstream: the version by the rollout's share, then the one that is expected to answer
/// first of a few at random, near ones before others. Source of the choice among a few:
/// M. Mitzenmacher, IEEE TPDS 12 (2001).
/// @param tried hosts that have refused this request.
/// @param draw fixes the version, so that all attempts of a request stay with one.
/// @returns null if no upstream is left.
const Endpoint *chooseEndpoint(const ServiceView &service, const EndpointStats &ledger,
                               const std::set<HostID> &tried, std::mt19937_64 &random, TimeMs now);
const Endpoint *chooseEndpoint(const ServiceView &service, const EndpointStats &ledger,
                               const std::set<HostID> &tried, std::mt19937_64 &random, TimeMs now,
                               std::uint64_t draw);

/// Chooses a host for a request with a key: always the same one while it lives.
const Endpoint *chooseEndpointForKey(const ServiceView &service, const std::string &key,
                                     const EndpointStats &ledger, const std::set<HostID> &tried,
                                     TimeMs now);

/// Gates that may refuse a request for want of a free slot before it queues at one.
constexpr std::size_t FreeSlotTries = 3;

/// How far the search for an upstream of one request has come.
struct EndpointSearch {
  std::set<HostID> Tried; ///< Hosts that have refused the request.
  std::set<HostID> Busy;  ///< Of those, the ones that had no free slot.
  bool MayQueue = false;  ///< The request waits for a slot at the host that it goes to next.
  bool operator==(const EndpointSearch &) const = default;
};

/// Finds the upstream that a request goes to next: one with a free slot; where none is thought to
/// have one, or too many had none, the one at which it is expected to wait least. A request that
/// is refused has been sent whole, so that looking for a slot where there is none costs bytes.
/// @param key idempotency key of the request; empty: it has none.
/// @param draw fixes the version, so that all attempts of a request stay with one.
/// @returns null if no upstream is left.
const Endpoint *nextEndpoint(EndpointSearch &search, const ServiceView &service,
                             const std::string &key, const EndpointStats &ledger,
                             std::mt19937_64 &random, TimeMs now, std::uint64_t draw);

/// Chooses the service of a request among the parts of its route.
const ServiceName &chooseService(const RouteSpec &route, std::uint64_t draw);

} // namespace jasmineloom
