/// @file host_type.h Membership record of a host.
#pragma once

#include "ids_type.h"

#include <compare>
#include <cstdint>
#include <string>

namespace jasmineloom {

/// Lifecycle state of a host's node and its upstream. At equal sequence Gone wins.
enum class HostState : std::uint8_t {
  Starting, ///< The node runs, but has no upstream that accepts requests.
  Ready,    ///< The upstream accepts requests.
  Draining, ///< New requests are rejected; requests in flight are completed.
  Gone,     ///< Stopped, or declared dead by another node.
};

/// Membership record of a host, replicated to all nodes. Only the host itself raises Sequence;
/// other nodes may only set State to Gone.
struct HostRecord {
  HostID Host;
  std::uint64_t Incarnation = 0; ///< Start of the node's process, Unix time in ms.
  std::uint64_t Sequence = 0;    ///< Rises with each change within an incarnation.
  HostState State = HostState::Starting;
  DataCentreName DataCentre;
  std::string RpcAddress;  ///< IP:port of the links between nodes.
  std::string GateAddress; ///< IP:port of the gate in front of the upstream.
  ServiceName Service;     ///< Empty if the host has announced no upstream.
  VersionLabel Version;
  std::uint32_t Slots = 0; ///< Number of requests that the upstream runs concurrently.
  /// Latest earlier incarnation that ended without handing over its idempotency keys; 0: none
  /// known.
  std::uint64_t ReplacedIncarnation = 0;
  std::string Upstream; ///< Instance id of the upstream's process; may be empty.
  /// The host is gone, and all other hosts of its service have its idempotency keys.
  bool KeysHandedOver = false;
  /// Last process of the upstream that has left or drains, see encodeDeparture(); empty: none
  /// known. Outlives the node's process: a later incarnation without one takes it over.
  std::string Departed{};
  std::uint32_t Capacity = 0; ///< CPU of the host, thousandths of a core; 0: not known.
  auto operator<=>(const HostRecord &) const = default;
};

/// Order that nothing more be sent to the upstreams of a data centre, or its withdrawal. The one
/// that was read last from the store holds; a later era of the store goes before a higher revision.
struct Evacuation {
  DataCentreName DataCentre;
  std::uint64_t Era = 0;      ///< Of the store.
  std::uint64_t Revision = 0; ///< Store revision at which the state was read.
  bool Active = false;        ///< False: taken back.
  auto operator<=>(const Evacuation &) const = default;
};

/// @returns whether \p left is newer than \p right, a record of the same host.
inline bool replaces(const HostRecord &left, const HostRecord &right) {
  if (left.Incarnation != right.Incarnation)
    return left.Incarnation > right.Incarnation;
  if (left.Sequence != right.Sequence)
    return left.Sequence > right.Sequence;
  return left.State == HostState::Gone && right.State != HostState::Gone;
}

} // namespace jasmineloom
