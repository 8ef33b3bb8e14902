/// @file tree_func.h Position of a host in the distribution tree of its data centre.
#pragma once

#include "mesh/host_table.h"

#include <vector>

namespace jasmineloom {

/// Shape of the tree of a data centre. Must be the same on all nodes.
struct TreeShape {
  std::size_t Roots = 3; ///< Number of hosts that watch the store and link to other data centres.
  bool operator==(const TreeShape &) const = default;
};

/// Number of children per parent for which the levels of the tree are laid out.
constexpr std::size_t TreeDegree = 18;
/// Maximum number of children that a parent accepts; others have to try another parent.
constexpr std::size_t MaxChildren = 36;
/// Number of parents that a host tries before it starts again with the first.
constexpr std::size_t MaxParentCandidates = 3;

/// Roots of a data centre, the first by rank of those that respond, that watch the store, register
/// there and link to other data centres.
constexpr std::size_t StoreRoots = 3;

struct TreePosition {
  bool Root = false;
  /// Candidates in order of preference; for a root those that rank before it.
  std::vector<HostID> Parents;
  bool operator==(const TreePosition &) const = default;
};

/// Computes the position of a host by rendezvous hashing over the members of its data centre. Under
/// any view of the members a parent has a lower rank than its child, so hosts with different views
/// never form a cycle.
/// @param members hosts of the data centre that are not gone.
/// @param self host to place; counts as a member even if it is not listed.
TreePosition treePositionOf(std::vector<HostID> members, const HostID &self, TreeShape shape = {});

/// @returns the roots of a data centre in order of rank.
std::vector<HostID> rootsOf(std::vector<HostID> members, TreeShape shape = {});

/// Chooses the root of another data centre to which the root \p self links.
/// @returns an empty ID if \p remoteRoots is empty.
HostID chooseRemoteRoot(const std::vector<HostID> &remoteRoots, const HostID &self);

/// Orders hosts by descending rendezvous weight for a key.
std::vector<HostID> rendezvousOrder(std::vector<HostID> hosts, const std::string &key);

} // namespace jasmineloom
