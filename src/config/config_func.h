/// @file config_func.h Hashing, validation, comparison and serialisation of configuration objects.
#pragma once

#include "config/config_type.h"
#include "jasmineloom.capnp.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

namespace jasmineloom {

ObjectKey keyOf(const ConfigObject &object);
ObjectKey serviceKey(const ServiceName &name);
ObjectKey routeKey(const RouteName &name);
ObjectKey rolloutKey(const RolloutID &id);
ObjectKey workspaceKey(const WorkspaceName &name);

/// @returns a 64-bit hash of the object's content, the same on every node.
std::uint64_t hashOf(const ConfigObject &object);

/// Builds a snapshot; of several objects with the same key, the last one is used.
SnapshotPtr makeSnapshot(ConfigVersion version, const std::vector<ConfigObjectPtr> &objects);

/// Validates references, prefixes, limits and rollouts of a snapshot.
/// @returns InvalidArgument with the object, the field and the reason.
absl::Status validateSnapshot(const Snapshot &snapshot);

/// @returns the delta from \p base to \p next; a full snapshot if \p base is null.
ConfigDelta diffSnapshots(const Snapshot *base, const Snapshot &next);

/// Applies a delta to a copy of the base; there is no partial result.
/// @returns FailedPrecondition if the base has another version than the delta requires, DataLoss if
/// the digest of the result doesn't match.
absl::StatusOr<SnapshotPtr> applyDelta(const Snapshot *base, const ConfigDelta &delta);

/// @returns one line for each object that a delta adds, changes or removes.
std::vector<std::string> describeDelta(const Snapshot *base, const ConfigDelta &delta);

/// @returns the share of each part in a split, 0 to 1; all 0 if no part has a weight.
std::vector<double> splitShares(const std::vector<SplitPart> &split);

const ServiceSpec *findService(const Snapshot &snapshot, const ServiceName &name);
const RouteSpec *findRoute(const Snapshot &snapshot, const RouteName &name);
const RolloutSpec *findRollout(const Snapshot &snapshot, const RolloutID &id);
std::vector<const ServiceSpec *> servicesOf(const Snapshot &snapshot);
std::vector<const RouteSpec *> routesOf(const Snapshot &snapshot);
std::vector<const RolloutSpec *> rolloutsOf(const Snapshot &snapshot);
std::vector<const WorkspaceSpec *> workspacesOf(const Snapshot &snapshot);
/// @returns the service's rollout, or null if it has none.
const RolloutSpec *rolloutOfService(const Snapshot &snapshot, const ServiceName &name);

void writeObject(wire::ConfigObject::Builder to, const ConfigObject &object);
ConfigObject readObject(wire::ConfigObject::Reader from);
void writeSplitPart(wire::SplitPart::Builder to, const SplitPart &part);
SplitPart readSplitPart(wire::SplitPart::Reader from);
void writeRollout(wire::Rollout::Builder to, const RolloutSpec &spec);
RolloutSpec readRollout(wire::Rollout::Reader from);
void writeDelta(wire::ConfigUpdate::Builder to, const ConfigDelta &delta);
ConfigDelta readDelta(wire::ConfigUpdate::Reader from);
std::vector<ConfigObject> readDeclarations(wire::Declarations::Reader from);
/// Writes the services, routes and workspaces of a snapshot as declarations.
void writeDeclarations(wire::Declarations::Builder to, const Snapshot &snapshot);

} // namespace jasmineloom
