/// @file placement.h Load balancing: chooses the upstream of a request from observed load.
#pragma once

#include "routing/routing_view.h"

#include <random>
#include <set>

namespace jasmineloom {

/// Fraction of its full speed that an upstream is assumed to have when it has just started.
constexpr double SlowStartMinWeight = 0.1;
/// Time after its start until an upstream counts at full speed: upstreams are slow for about 3 s.
constexpr DurationMs SlowStartWindow = 4 * MsPerSecond;
/// Time for which an unreachable upstream is ejected; doubles with each failure in succession.
constexpr DurationMs MinEjectionTime = 500;
constexpr DurationMs MaxEjectionTime = 4 * MsPerSecond;
/// Age at which a load report is ignored: the requests that it counted have ended by then.
constexpr DurationMs LoadReportLifetime = 1 * MsPerSecond;
/// Age at which the service time in a load report has half of its weight.
constexpr DurationMs ServiceTimeHalfLife = 8 * MsPerSecond;

/// Load of an upstream, sent by its gate with each response.
struct LoadReport {
  std::uint32_t Running = 0;
  std::uint32_t Queued = 0;
  std::uint32_t ServiceMs = 0;       ///< Moving average of the service time.
  std::uint32_t FailurePerMille = 0; ///< Recent requests that it failed or rejected.
  double LimitPerSecond = 0;         ///< Requests per second that the upstream takes; 0: no limit.
  double LimitAvailable = 0;         ///< Requests that may start within the limit.
  std::string LimitProcess{};        ///< Process that named the limit.
  auto operator<=>(const LoadReport &) const = default;
};

/// Load and failures of the upstreams as this node observes them. Load reports of other nodes lag
/// behind, so this node's own observations count as well.
class EndpointStats {
public:
  void recordSent(const HostID &host);
  void recordDone(const HostID &host);
  /// Ejects an unreachable host.
  /// @param process upstream process that the request was meant for; no effect if another one has
  /// been seen at the host since.
  void recordUnreachable(const HostID &host, const std::string &process, TimeMs now);
  void recordReachable(const HostID &host);
  /// Stores the load report of a host's gate.
  void recordLoad(const HostID &host, const LoadReport &report, TimeMs now);
  /// Records that a process of a host's upstream leaves.
  void recordLeaving(const HostID &host, const std::string &process);
  /// @returns whether the endpoint's upstream has stated to this node that it leaves.
  bool leaves(const Endpoint &endpoint) const;
  /// Records the first sight of an upstream's process and resets the statistics of an earlier one.
  void recordSeen(const Endpoint &endpoint, TimeMs now);

  /// @returns whether the upstream is expected to have a free slot.
  bool hasFreeSlot(const Endpoint &endpoint, TimeMs now) const;
  /// @returns whether a recent report of its gate, and what this node has sent since, show a free
  /// slot at an upstream that is neither ejected nor leaving.
  bool hasKnownSlot(const Endpoint &endpoint, TimeMs now) const;
  /// @returns the expected wait for the limit of the endpoint's upstream, ms.
  double limitWaitMs(const Endpoint &endpoint, TimeMs now) const;
  /// @returns the limit that the endpoint's upstream named last, to be passed on to its gate; 0:
  /// none.
  double limitOf(const Endpoint &endpoint) const;
  std::uint32_t inFlight(const HostID &host) const;
  bool ejected(const HostID &host, TimeMs now) const;
  /// @returns the time until an unreachable host is tried again, ms; 0 if it is not ejected.
  DurationMs ejectionLeft(const HostID &host, TimeMs now) const;
  /// @returns the age of the host's last load report; nullopt if there is none.
  std::optional<DurationMs> reportAge(const HostID &host, TimeMs now) const;
  /// @returns estimated requests of all nodes that run or wait at the host.
  std::uint32_t occupancy(const HostID &host, TimeMs now) const;
  /// @returns the host's mean service time in ms; 0: unknown.
  std::uint32_t meanServiceMs(const HostID &host) const;
  /// Estimates the service time of a host. Its last report counts for less as it ages, so that a
  /// host that was slow for some time is tried again.
  /// @param typicalMs service time of a host of which nothing is known.
  double serviceMs(const HostID &host, double typicalMs, TimeMs now) const;
  /// @returns the upstream's recent failure rate in per mille; 0 without a current report.
  std::uint32_t failurePerMille(const HostID &host, TimeMs now) const;
  /// @returns when the host's current upstream was first seen; 0: in the first view, or never.
  TimeMs firstSeenAt(const HostID &host) const;

private:
  struct Entry {
    std::uint32_t InFlight = 0;
    std::uint32_t Failures = 0;
    TimeMs EjectedUntil = 0;
    LoadReport Report;
    TimeMs ReportedAt = 0;
    std::uint32_t SentSinceReport = 0; ///< Requests sent since the report that have not ended.
    std::uint32_t AllSentSinceReport = 0;
    std::string InstanceID;
    std::string LeavingProcess; ///< Process that has stated that it leaves; empty: none.
    TimeMs FirstSeenAt = 0;
  };
  absl::flat_hash_map<std::string, Entry> Entries;
  TimeMs FirstViewAt = 0;
};

/// A request as load balancing sees it.
struct PlacementRequest {
  std::uint64_t Draw = 0;       ///< Random; keeps all attempts of the request on one version.
  DurationMs ObjectiveLeft = 0; ///< Time left of the latency objective; 0: none, or it has passed.
  std::string Key{};            ///< Idempotency key; empty: none.
};

/// Chooses an upstream. The version follows from the rollout's share; of a few random endpoints of
/// that version the one with the lowest expected latency is chosen, with a penalty for other data
/// centres. Power of d choices: M. Mitzenmacher, IEEE TPDS 12 (2001). Answers the load of services
/// of any size whose hosts differ in speed, also where a node hears of each host only every few
/// seconds: the gate itself knows whether it has a free slot, so an old report need only tell how
/// fast the host is.
/// @param tried hosts that have refused this request.
/// @param request attributes of the request; by default without an objective.
/// @returns null if no upstream is left.
const Endpoint *chooseEndpoint(const ServiceView &service, const EndpointStats &stats,
                               const std::set<HostID> &tried, std::mt19937_64 &random, TimeMs now);
const Endpoint *chooseEndpoint(const ServiceView &service, const EndpointStats &stats,
                               const std::set<HostID> &tried, std::mt19937_64 &random, TimeMs now,
                               const PlacementRequest &request);

/// Chooses the host of a request with an idempotency key by rendezvous hashing, so that retries
/// reach the same host while it is available.
const Endpoint *chooseEndpointForKey(const ServiceView &service, const std::string &key,
                                     const EndpointStats &stats, const std::set<HostID> &tried,
                                     TimeMs now);

/// Gates without a free slot after which a request queues at one.
constexpr std::size_t MaxFreeSlotTries = 3;

/// Progress of the search for an upstream of one request.
struct EndpointSearch {
  std::set<HostID> Tried; ///< Hosts that have refused the request.
  std::set<HostID> Busy;  ///< Those of Tried that had no free slot.
  bool MayQueue = false;  ///< The request queues at the next host if no slot is free.
  /// Lets the request queue, also at the hosts that had no free slot.
  void stopSearch();
  bool operator==(const EndpointSearch &) const = default;
};

/// @returns the version that a request is meant for by its draw or key. It goes to the rollout's
/// other version if this one has no upstream.
VersionLabel drawnVersion(const ServiceView &service, const PlacementRequest &request, TimeMs now);

/// Finds the upstream for the next attempt of a request: one with a free slot or, if none is
/// expected to have one or too many had none, the one with the shortest expected wait. Each attempt
/// sends the whole request, so hosts that are known to be full are not tried for a free slot.
/// @returns null if no upstream is left.
const Endpoint *nextEndpoint(EndpointSearch &search, const ServiceView &service,
                             const PlacementRequest &request, const EndpointStats &stats,
                             std::mt19937_64 &random, TimeMs now);

/// Chooses the service of a request by the weights of its route's split.
const ServiceName &chooseService(const RouteSpec &route, std::uint64_t draw);

} // namespace jasmineloom
