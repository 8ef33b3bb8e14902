/// @file routing_view.h Routing data of a node: routes, services and their upstreams.
#pragma once

#include "config/config_type.h"
#include "mesh/host_type.h"
#include "quota/quota_type.h"
#include "rollout/rollout_type.h"
#include "workspace/workspace_table.h"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace jasmineloom {

/// An upstream that can receive requests.
struct Endpoint {
  HostID Host;
  std::string GateAddress;
  VersionLabel Version;
  std::uint32_t Slots = 1;
  bool Local = false;       ///< In the node's own data centre.
  TimeMs StartedAt = 0;     ///< Start of its process, for the slow start; 0: long ago.
  std::string InstanceID{}; ///< Identity of its process.
};

/// Endpoints of one version, as indices into ServiceView::Endpoints.
struct VersionPool {
  VersionLabel Version;
  std::vector<std::uint32_t> Local;  ///< In the node's own data centre.
  std::vector<std::uint32_t> Remote; ///< In others.
  std::vector<std::uint32_t> All;
};

/// A service with its upstreams and its rollout.
struct ServiceView {
  ServiceName Name;
  VersionLabel Version;               ///< Receives the traffic that the rollout doesn't.
  std::optional<RolloutSpec> Rollout; ///< Times of a declared one are on the steady clock.
  RolloutProgress Progress;
  std::set<VersionLabel> RolledBack; ///< Rolled back earlier; they receive no traffic.
  std::vector<Endpoint> Endpoints;
  std::vector<VersionPool> Pools;
  DurationMs WarmUpTime = 0;  ///< See ServiceSpec.
  double WarmUpPerSecond = 0; ///< See ServiceSpec.
  /// Versions with ready upstreams in evacuated data centres, which are no endpoints. Their share
  /// of a rollout stays theirs.
  std::set<VersionLabel> EvacuatedVersions;

  /// Adds an endpoint and updates the pool of its version.
  void add(Endpoint endpoint);
  /// @returns null if the version has no endpoint.
  const VersionPool *poolOf(const VersionLabel &version) const;
  /// @returns whether a version has ready upstreams, be it only in evacuated data centres.
  bool hasUpstreamsOf(const VersionLabel &version) const {
    return poolOf(version) != nullptr || EvacuatedVersions.contains(version);
  }
  /// @returns whether all ready upstreams are in evacuated data centres.
  bool evacuated() const { return Endpoints.empty() && !EvacuatedVersions.empty(); }
};

/// Immutable routing data of a node; replaced as a whole on each change.
struct RoutingView {
  ConfigVersion Version = 0;
  absl::flat_hash_map<std::string, RouteSpec> Routes; ///< By host and prefix.
  absl::flat_hash_map<std::string, ServiceView> Services;
  WorkspaceTablePtr Workspaces = std::make_shared<const WorkspaceTable>(); ///< Never null.
  bool NeedsKeys = false;             ///< A route needs a key, also if there is no workspace left.
  std::set<DataCentreName> Evacuated; ///< Nothing is sent to the upstreams there.
  std::vector<HostRecord> Hosts;      ///< Hosts that have announced a service, including gone ones.
  QuotaLimits Quotas;                 ///< Of the workspaces that have one.
  std::uint32_t QuotaHosts = 0;       ///< Hosts that divide the quotas; see PartRetention.

  /// Finds the route with the longest matching prefix; routes of the host take precedence over
  /// those without a host.
  /// @param host value of the Host header, with or without a port; may be empty.
  /// @returns null if none matches.
  const RouteSpec *routeFor(std::string_view path, std::string_view host = {}) const;
  /// @returns null if there is no such service.
  const ServiceView *serviceNamed(const ServiceName &name) const;
};
using RoutingViewPtr = std::shared_ptr<const RoutingView>;

/// Builds the view of one snapshot. Omits only routes with a service that the snapshot lacks.
/// @param steadyOffset steady clock minus Unix time in ms; converts the times of declared rollouts.
/// @param workspaces those of the snapshot; null: they are read from it.
/// @param evacuated data centres whose upstreams get nothing: they are no endpoints, but count
/// where the versions of a service are counted, as for all nodes and before the evacuation.
/// @param quotaHosts see RoutingView::QuotaHosts.
RoutingViewPtr buildRoutingView(const Snapshot &snapshot, const std::vector<HostRecord> &hosts,
                                const std::map<RolloutID, RolloutProgress> &progress,
                                const DataCentreName &local, std::int64_t steadyOffset = 0,
                                WorkspaceTablePtr workspaces = nullptr,
                                const std::set<DataCentreName> &evacuated = {},
                                std::uint32_t quotaHosts = 0);

/// @returns whether a version may receive the service's traffic: the current version, or the target
/// of the rollout unless it was rolled back. A service without version and rollout accepts any
/// version that was not rolled back.
bool mayServe(const ServiceView &service, const VersionLabel &version);

} // namespace jasmineloom
