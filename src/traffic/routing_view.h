/// @file routing_view.h All that a node routes by: routes, services and their upstreams.
#pragma once

#include "config/config_type.h"
#include "mesh/host_type.h"
#include "rollout/rollout_type.h"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <optional>
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
  bool Local = false;     ///< In the node's own data centre.
  TimeMs Since = 0;       ///< Start of its process, for the slow start; 0: long ago.
  std::string Upstream{}; ///< Identity of its process.
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
  VersionLabel Version;               ///< Gets what the rollout doesn't.
  std::optional<RolloutSpec> Rollout; ///< Times of a declared one are on the steady clock.
  RolloutProgress Progress;
  std::set<VersionLabel> RolledBack; ///< Taken back earlier; they get nothing.
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
  absl::flat_hash_map<std::string, RouteSpec> Routes; ///< By host and prefix.
  absl::flat_hash_map<std::string, ServiceView> Services;
  std::vector<HostRecord> Hosts; ///< Hosts with an upstream, gone ones included.

  /// Finds the route with the longest prefix that matches; routes of the host go first.
  /// @param host host that the caller named, with or without a port; may be empty.
  /// @returns null if none matches.
  const RouteSpec *routeFor(std::string_view path, std::string_view host = {}) const;
  const ServiceView *serviceNamed(const ServiceName &name) const;
};
using RoutingViewPtr = std::shared_ptr<const RoutingView>;

/// Builds the view of one snapshot; a route is left out only if the snapshot lacks a service of it.
/// @param steadyOffset steady clock less Unix time; moves declared rollouts to the steady clock.
RoutingViewPtr buildRoutingView(const Snapshot &snapshot, const std::vector<HostRecord> &hosts,
                                const std::map<RolloutID, RolloutProgress> &progress,
                                const DataCentreName &local, std::int64_t steadyOffset = 0);

/// @returns whether a version may get the service's traffic: it is the current one, or the one that
/// a rollout moves from or to unless it was taken back.
bool mayServe(const ServiceView &service, const VersionLabel &version);

} // namespace jasmineloom
