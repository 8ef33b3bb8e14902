/// @file wire_list.h Limits of the lists in messages between nodes.
#pragma once

#include <kj/debug.h>

namespace jasmineloom {

/// Objects in one configuration, or in one message about rollouts.
constexpr unsigned MaxListedObjects = 100000;
/// Hosts named in one message other than by their records.
constexpr unsigned MaxListedHosts = 1000;
/// Parts of a route's split.
constexpr unsigned MaxSplitParts = 1000;

/// Checks the length of a received list. Empty structures take no bytes in a message, so that its
/// size does not limit the length of a list.
/// @throws kj::Exception if the list is longer than \p limit.
template <typename ListT> ListT limitedList(ListT list, unsigned limit) {
  KJ_REQUIRE(list.size() <= limit, "the message has a list of excessive length", list.size(),
             limit);
  return list;
}

} // namespace jasmineloom
