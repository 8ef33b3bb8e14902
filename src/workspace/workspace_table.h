/// @file workspace_table.h Workspaces of a configuration by the keys of their callers.
#pragma once

#include "config/config_type.h"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <vector>

namespace jasmineloom {

/// What requests need to know of a workspace.
struct Workspace {
  WorkspaceName Name;
  std::uint32_t Worth = 0;  ///< Priority of its requests, before the route's; 0: the route's.
  double RatePerSecond = 0; ///< Quota over all nodes; 0: none.
  double Burst = 0;         ///< Requests that may come beyond the rate.
  auto operator<=>(const Workspace &) const = default;
};

/// The workspaces of one configuration. Immutable once built, and shared by routing views.
class WorkspaceTable {
public:
  WorkspaceTable() = default;
  explicit WorkspaceTable(const std::vector<const WorkspaceSpec *> &specs);

  /// @returns the workspace that has a key; null if none has.
  const Workspace *holderOf(const KeyDigest &key) const;
  const std::vector<Workspace> &workspaces() const { return Workspaces; }

private:
  struct Holder {
    KeyDigest Key;
    std::uint32_t Position = 0; ///< In Workspaces.
  };

  std::vector<Workspace> Workspaces;
  /// By the first bytes of the digest; keys that share them are compared in full.
  absl::flat_hash_map<std::uint64_t, std::vector<Holder>> Holders;
};
using WorkspaceTablePtr = std::shared_ptr<const WorkspaceTable>;

/// @returns the workspaces of a snapshot.
WorkspaceTablePtr workspaceTableOf(const Snapshot &snapshot);

} // namespace jasmineloom
