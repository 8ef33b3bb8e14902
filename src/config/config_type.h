/// @file config_type.h Immutable configuration objects, snapshots and deltas.
#pragma once

#include "ids_type.h"

#include <array>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace jasmineloom {

/// A service and the upstream version that receives its traffic while no rollout is running.
struct ServiceSpec {
  ServiceName Name;
  VersionLabel Version; ///< Empty: the version that most of its upstreams run.
  /// Time after its start in which an upstream warms up; 0: not stated.
  DurationMs WarmUpTime = 0;
  /// Requests per second that an upstream takes from all nodes while it warms up; 0: no limit.
  double WarmUpPerSecond = 0;
  auto operator<=>(const ServiceSpec &) const = default;
};

/// Bounds of what a route may state.
constexpr DurationMs MaxRouteDeadline = 600 * MsPerSecond;
constexpr std::uint32_t MaxRouteAttempts = 16;

/// Share of a route's requests that goes to a service.
struct SplitPart {
  ServiceName Service;
  double Weight = 0; ///< Relative to the sum of the route's weights; finite and not negative.
  auto operator<=>(const SplitPart &) const = default;
};

/// Routes requests under a path prefix to a service.
struct RouteSpec {
  RouteName Name;
  std::string Prefix; ///< Matched at segment boundaries; one that ends with '/' matches below only.
  ServiceName Service; ///< With a split: the service of its first part.
  std::string Host;    ///< Value of the Host header, without port, in lower case; empty: any.
  std::vector<SplitPart> Split; ///< Empty: all requests go to Service.
  std::uint32_t Attempts = 4;   ///< Maximum number of upstreams that a request may be sent to.
  DurationMs Objective = 0;     ///< Latency objective of callers; 0: none.
  bool Idempotent = false;      ///< False: a request is executed at most once.
  DurationMs Deadline = 2000;   ///< Measured from arrival at the first node.
  std::uint32_t Worth = 1;      ///< Priority in load shedding; lower values are shed first.
  bool NeedsKey = false;        ///< Callers must present the key of a workspace.
  bool LargeBody = false;       ///< A request is sent only where it is expected to run at once.
  auto operator<=>(const RouteSpec &) const = default;
};

/// Shifts a service's traffic to another upstream version by a deadline.
struct RolloutSpec {
  RolloutID ID;
  ServiceName Service;
  VersionLabel From;
  VersionLabel To;
  TimeMs Start = 0;
  TimeMs Deadline = 0;
  auto operator<=>(const RolloutSpec &) const = default;
};

/// Bytes of a digest of an API key.
constexpr std::size_t KeyDigestBytes = 32;
/// Digest of an API key. The keys themselves are neither kept nor sent between nodes.
using KeyDigest = std::array<std::uint8_t, KeyDigestBytes>;

/// A customer's part of the mesh: the keys by which its callers are known, and its quota.
struct WorkspaceSpec {
  WorkspaceName Name;
  std::vector<KeyDigest> Keys;
  std::uint32_t Worth = 0;  ///< Priority of its requests, before the route's; 0: the route's.
  double RatePerSecond = 0; ///< Quota over all nodes, requests per second; 0: none.
  double Burst = 0;         ///< Requests that may come beyond the rate.
  auto operator<=>(const WorkspaceSpec &) const = default;
};

using ConfigObject = std::variant<ServiceSpec, RouteSpec, RolloutSpec, WorkspaceSpec>;
using ConfigObjectPtr = std::shared_ptr<const ConfigObject>;

/// Kind and name of an object, for instance "route/orders"; snapshots are sorted by it.
using ObjectKey = StrongName<struct ObjectKeyTag>;

/// An object with the hash of its content.
struct SnapshotEntry {
  ConfigObjectPtr Object;
  std::uint64_t Hash = 0;
};

/// The complete accepted configuration at one version. Immutable once published.
struct Snapshot {
  ConfigVersion Version = 0;
  std::uint64_t Digest = 0; ///< Sum of the objects' hashes.
  std::map<ObjectKey, SnapshotEntry> Objects;
};
using SnapshotPtr = std::shared_ptr<const Snapshot>;

/// Difference between two snapshots.
struct ConfigDelta {
  ConfigVersion Version = 0;
  ConfigVersion BaseVersion = 0; ///< 0: the delta is a full snapshot.
  std::uint64_t Digest = 0;      ///< Digest of the snapshot after the delta.
  std::vector<ConfigObjectPtr> Upserts;
  std::vector<ObjectKey> Removals;
};

} // namespace jasmineloom
