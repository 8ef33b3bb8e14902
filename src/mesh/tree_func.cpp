/// @file tree_func.cpp Position of a host in the distribution tree of its data centre.
#include "mesh/tree_func.h"

#include <xxhash.h>

#include <algorithm>

namespace jasmineloom {

namespace {

std::uint64_t rankOf(const HostID &host) {
  return XXH3_64bits(host.str().data(), host.str().size());
}

std::uint64_t weightOf(const HostID &host, const std::string &key) {
  return XXH3_64bits_withSeed(host.str().data(), host.str().size(),
                              XXH3_64bits(key.data(), key.size()));
}

/// Sorts hosts by a key that is computed once for each.
template <typename KeyT> void sortByKey(std::vector<HostID> &hosts, KeyT keyOf) {
  std::vector<std::pair<std::uint64_t, HostID>> keyed;
  keyed.reserve(hosts.size());
  for (HostID &host : hosts) {
    const std::uint64_t key = keyOf(host);
    keyed.emplace_back(key, std::move(host));
  }
  std::sort(keyed.begin(), keyed.end());
  for (std::size_t n = 0; n < hosts.size(); ++n)
    hosts[n] = std::move(keyed[n].second);
}

void sortByRank(std::vector<HostID> &hosts) { sortByKey(hosts, rankOf); }

} // namespace

std::vector<HostID> rendezvousOrder(std::vector<HostID> hosts, const std::string &key) {
  // Ascending by the complement is descending by weight.
  sortByKey(hosts, [&key](const HostID &host) { return ~weightOf(host, key); });
  return hosts;
}

TreePosition treePositionOf(std::vector<HostID> members, const HostID &self, TreeShape shape) {
  if (std::find(members.begin(), members.end(), self) == members.end())
    members.push_back(self);
  sortByRank(members);
  const auto it = std::find(members.begin(), members.end(), self);
  const auto index = static_cast<std::size_t>(it - members.begin());
  TreePosition position;
  if (index < shape.Roots) {
    position.Root = true;
    position.Parents.assign(members.begin(), it);
    return position;
  }
  std::size_t begin = 0;
  std::size_t end = shape.Roots;
  std::size_t width = shape.Roots;
  while (index >= end + width * TreeDegree) {
    width *= TreeDegree;
    begin = end;
    end += width;
  }
  const auto first = members.begin() + static_cast<std::ptrdiff_t>(begin);
  const auto last = members.begin() + static_cast<std::ptrdiff_t>(end);
  position.Parents = rendezvousOrder({first, last}, self.str());
  if (position.Parents.size() > MaxParentCandidates)
    position.Parents.resize(MaxParentCandidates);
  return position;
}

std::vector<HostID> rootsOf(std::vector<HostID> members, TreeShape shape) {
  sortByRank(members);
  if (members.size() > shape.Roots)
    members.resize(shape.Roots);
  return members;
}

HostID chooseRemoteRoot(const std::vector<HostID> &remoteRoots, const HostID &self) {
  if (remoteRoots.empty())
    return {};
  return rendezvousOrder(remoteRoots, self.str()).front();
}

} // namespace jasmineloom
