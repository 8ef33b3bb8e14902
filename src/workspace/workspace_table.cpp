/// @file workspace_table.cpp Workspaces of a configuration by the keys of their callers.
#include "workspace/workspace_table.h"

#include "config/config_func.h"

#include <sodium.h>

#include <cstring>

namespace jasmineloom {

namespace {

std::uint64_t prefixOf(const KeyDigest &key) {
  std::uint64_t prefix = 0;
  std::memcpy(&prefix, key.data(), sizeof(prefix));
  return prefix;
}

} // namespace

WorkspaceTable::WorkspaceTable(const std::vector<const WorkspaceSpec *> &specs) {
  for (const WorkspaceSpec *spec : specs) {
    const auto position = static_cast<std::uint32_t>(Workspaces.size());
    Workspaces.push_back({spec->Name, spec->Worth, spec->RatePerSecond, spec->Burst});
    for (const KeyDigest &key : spec->Keys)
      Holders[prefixOf(key)].push_back({key, position});
  }
}

const Workspace *WorkspaceTable::holderOf(const KeyDigest &key) const {
  const auto it = Holders.find(prefixOf(key));
  if (it == Holders.end())
    return nullptr;
  for (const Holder &holder : it->second) {
    if (sodium_memcmp(holder.Key.data(), key.data(), key.size()) == 0)
      return &Workspaces[holder.Position];
  }
  return nullptr;
}

WorkspaceTablePtr workspaceTableOf(const Snapshot &snapshot) {
  return std::make_shared<const WorkspaceTable>(workspacesOf(snapshot));
}

} // namespace jasmineloom
