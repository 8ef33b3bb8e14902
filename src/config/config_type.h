/// @file config_type.h Immutable values of the operators' configuration.
#pragma once

#include "ids_type.h"

#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace jasmineloom {

/// A service and the upstream version that gets its traffic while no rollout runs.
struct ServiceSpec {
  ServiceName Name;
  VersionLabel Version; ///< Empty: the version that most of its upstreams run.
  auto operator<=>(const ServiceSpec &) const = default;
};

/// A service's part of a route's requests.
struct SplitPart {
  ServiceName Service;
  std::uint32_t Weight = 0; ///< Relative to the sum over the route's parts.
  auto operator<=>(const SplitPart &) const = default;
};

/// Sends the requests under a path prefix to a service.
struct RouteSpec {
  RouteName Name;
  std::string Prefix; ///< Matched at segment boundaries; one that ends with '/' matches below only.
  ServiceName Service;          ///< The first part of a split.
  std::string Host;             ///< Host that callers name, in lower case; empty: any.
  std::vector<SplitPart> Split; ///< Empty: all requests go to Service.
  std::uint32_t Attempts = 4;   ///< Upstreams that may be sent one request at most.
  DurationMs Objective = 0;     ///< Latency that callers expect; 0: none is stated.
  bool Idempotent = false;      ///< False: a request runs at most once.
  DurationMs Deadline = 2000;   ///< From the arrival at the first node.
  std::uint32_t Worth = 1;      ///< Higher is kept longer when load is shed.
  auto operator<=>(const RouteSpec &) const = default;
};

/// A move of a service's traffic to another upstream version by a deadline.
struct RolloutSpec {
  RolloutID ID;
  ServiceName Service;
  VersionLabel From;
  VersionLabel To;
  TimeMs Start = 0;
  TimeMs Deadline = 0;
  auto operator<=>(const RolloutSpec &) const = default;
};

using ConfigObject = std::variant<ServiceSpec, RouteSpec, RolloutSpec>;
using ConfigObjectPtr = std::shared_ptr<const ConfigObject>;

/// Key of an object: its kind and its name; orders a snapshot.
using ObjectKey = StrongName<struct ObjectKeyTag>;

/// An object with the hash of its content.
struct SnapshotEntry {
  ConfigObjectPtr Object;
  std::uint64_t Hash = 0;
};

/// The whole accepted configuration at one version. Immutable once published.
struct Snapshot {
  ConfigVersion Version = 0;
  std::uint64_t Digest = 0; ///< Sum of the objects' hashes.
  std::map<ObjectKey, SnapshotEntry> Objects;
};
using SnapshotPtr = std::shared_ptr<const Snapshot>;

/// What leads from one snapshot to a later one.
struct ConfigDelta {
  ConfigVersion Version = 0;
  ConfigVersion BaseVersion = 0; ///< 0: the delta is a full snapshot.
  std::uint64_t Digest = 0;      ///< Of the snapshot after the delta.
  std::vector<ConfigObjectPtr> Upserts;
  std::vector<ObjectKey> Removals;
};

} // namespace jasmineloom
