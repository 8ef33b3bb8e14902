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

void sortByRank(std::vector<HostID> &hosts) {
  std::sort(hosts.begin(), hosts.end(), [](const HostID &left, const HostID &right) {
    const std::uint64_t leftRank = rankOf(left);
    const std::uint64_t rightRank = rankOf(right);
    return leftRank != rightRank ? leftRank < rightRank : left < right;
  });
}

} // namespace

std::vector<HostID> rendezvousOrder(std::vector<HostID> hosts, const std::string &key) {
  std::sort(hosts.begin(), hosts.end(), [&key](const HostID &left, const HostID &right) {
    const std::uint64_t leftWeight = weightOf(left, key);
    const std::uint64_t rightWeight = weightOf(right, key);
    return leftWeight != rightWeight ? leftWeight > rightWeight : left < right;
  });
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
