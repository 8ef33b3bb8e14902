/// @file ingress_base.h Chooses the upstream of a request, and whether it may be tried again.
#pragma once

#include "config_type.h"
#include "host_type.h"
#include "rollout_type.h"
#include "traffic_type.h"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string_view>
#include <vector>

namespace jasmineloom {

/// An upstream as a node sees it.
struct Endpoint {
  HostID Host;
  std::string GateAddress;
  VersionLabel Version;
  std::uint32_t Slots = 1;
  bool Local = false; ///< In the node's own data centre.
  TimeMs Since = 0;   ///< Start of its process, for the slow start.
};

/// Endpoints of one version, as positions in the service's list.
struct VersionPool {
  VersionLabel Version;
  std::vector<std::uint32_t> Local; ///< In the node's own data centre.
  std::vector<std::uint32_t> All;
};

/// A service with its upstreams and its rollout.
struct ServiceView {
  ServiceName Name;
  VersionLabel Version;
  std::optional<RolloutSpec> Rollout;
  RolloutProgress Progress;
  std::vector<Endpoint> Endpoints;
  std::vector<VersionPool> Pools;

  /// Adds an endpoint to the list and to its pools.
  void add(Endpoint endpoint);
  /// @returns the endpoints of a version, or null.
  const VersionPool *poolOf(const VersionLabel &version) const;
};

/// All that a node routes by: one immutable value, replaced as a whole.
struct RoutingView {
  ConfigVersion Version = 0;
  absl::flat_hash_map<std::string, RouteSpec> Routes; ///< By prefix.
  absl::flat_hash_map<std::string, ServiceView> Services;
  std::vector<HostRecord> Hosts; ///< Hosts with an upstream, gone ones included.

  /// @returns the route with the longest prefix that matches at a segment boundary, or null.
  const RouteSpec *routeFor(std::string_view path) const;
  const ServiceView *serviceNamed(const ServiceName &name) const;
};
using RoutingViewPtr = std::shared_ptr<const RoutingView>;

/// Builds the view of one snapshot; a route is left out only if the snapshot lacks its service.
RoutingViewPtr buildRoutingView(const Snapshot &snapshot, const std::vector<HostRecord> &hosts,
                                const std::map<RolloutID, RolloutProgress> &progress,
                                const DataCentreName &local);

/// @returns whether a version may get the service's traffic: it is the current one, or the one that
/// a rollout moves from or to unless it was taken back.
bool mayServe(const ServiceView &service, const VersionLabel &version);

/// Weight of a cold upstream at its start, as a fraction.
constexpr double ColdWeight = 0.1;
/// Time in which a cold upstream comes to its full weight.
constexpr DurationMs SlowStart = 10 * MsPerSecond;
/// Time for which an upstream that couldn't be reached is left out; doubles up to the maximum.
constexpr DurationMs MinEjection = 500;
constexpr DurationMs MaxEjection = 15 * MsPerSecond;

/// What a node has seen of the upstreams itself; reports of others lag.
class EndpointLedger {
public:
  void noteSent(const HostID &host);
  void noteDone(const HostID &host);
  /// Notes that the host couldn't be reached or refused everything.
  void noteUnreachable(const HostID &host, TimeMs now);
  void noteReachable(const HostID &host);
  std::uint32_t inFlight(const HostID &host) const;
  bool ejected(const HostID &host, TimeMs now) const;

private:
  struct Entry {
    std::uint32_t InFlight = 0;
    std::uint32_t Failures = 0;
    TimeMs EjectedUntil = 0;
  };
  absl::flat_hash_map<std::string, Entry> Entries;
};

/// Chooses an upstream: the version by the rollout's share, then own data centre first, then the
/// less loaded of two at random. Source of the last: M. Mitzenmacher, IEEE TPDS 12 (2001).
/// @param tried hosts that have refused this request.
/// @returns null if no upstream is left.
const Endpoint *chooseEndpoint(const ServiceView &service, const EndpointLedger &ledger,
                               const std::set<HostID> &tried, std::mt19937_64 &random, TimeMs now);

/// Chooses a host for a request with a key: always the same one while it lives.
const Endpoint *chooseEndpointForKey(const ServiceView &service, const std::string &key,
                                     const EndpointLedger &ledger, const std::set<HostID> &tried,
                                     TimeMs now);

/// Keeps retries to a share of fresh requests.
class RetryBudget {
public:
  void noteFresh();
  /// @returns whether a retry may be made; takes it from the budget if so.
  bool take();

private:
  double Tokens = 10;
};

/// Result of one attempt.
enum class AttemptResult : std::uint8_t { Answered, NotRun, Unknown };

/// What follows an attempt.
enum class NextStep : std::uint8_t { Reply, TryAgain };

/// Decides whether a request may be sent again. A request that may have run is sent again only if
/// it is idempotent.
NextStep decideRetry(AttemptResult result, bool idempotent, bool budgetLeft, std::uint32_t attempts,
                     TimeMs deadline, TimeMs now);

/// Upstreams that one request may lose before it is given up.
constexpr std::uint32_t MaxUpstreamCuts = 2;

/// Attempts at most, the first included.
constexpr std::uint32_t MaxAttempts = 4;

} // namespace jasmineloom
