/// @file tree_func.h Place of a host in its data centre's distribution tree.
#pragma once

#include "mesh/host_table.h"

#include <vector>

namespace jasmineloom {

/// Shape of the tree of a data centre; the same on all nodes.
struct TreeShape {
  std::size_t Roots = 3; ///< Hosts that watch the store and link to other data centres.
  bool operator==(const TreeShape &) const = default;
};
/// Children for which a parent is meant.
constexpr std::size_t TreeDegree = 18;
/// Children that a parent accepts at most; the next are sent to another parent.
constexpr std::size_t MaxChildren = 36;
/// Parents that a host tries before it starts again.
constexpr std::size_t MaxParentCandidates = 3;

/// Place of a host in the tree.
struct TreePosition {
  bool Root = false;
  std::vector<HostID> Parents; ///< In the order to try; empty for the first root.
  bool operator==(const TreePosition &) const = default;
};

/// Works out a host's place by rendezvous hash over the members of its data centre.
/// Each parent has a lower rank than its child under any view of the members, so that hosts with
/// different views never form a cycle.
/// @param members hosts of the data centre that are not gone.
/// @param self the host; taken as a member whether listed or not.
TreePosition treePositionOf(std::vector<HostID> members, const HostID &self, TreeShape shape = {});

/// @returns the roots of a data centre, first root first.
std::vector<HostID> rootsOf(std::vector<HostID> members, TreeShape shape = {});

/// @returns the root of another data centre to which a root links.
HostID chooseRemoteRoot(const std::vector<HostID> &remoteRoots, const HostID &self);

/// Orders hosts by their rendezvous weight for a key, the highest first.
std::vector<HostID> rendezvousOrder(std::vector<HostID> hosts, const std::string &key);

} // namespace jasmineloom
