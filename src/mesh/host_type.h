/// @file host_type.h The record by which a host is known to all others.
#pragma once

#include "ids_type.h"

#include <compare>
#include <cstdint>
#include <string>

namespace jasmineloom {

/// Life of a host's node and its upstream; order matters: a later state wins at equal sequence.
enum class HostState : std::uint8_t {
  Starting, ///< The node runs; it has no upstream that takes work.
  Ready,    ///< The upstream takes work.
  Draining, ///< No new work; work in flight ends.
  Gone,     ///< Stopped, or found dead by others.
};

/// What a host says of itself. Only the host raises the sequence; others may add Gone.
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
  std::uint32_t Slots = 0; ///< Requests that the upstream runs at once.
  std::uint64_t ReplacedIncarnation =
      0;                       ///< Incarnation that this one followed, 0 if none is known.
  std::string Upstream;        ///< Identity of the upstream's process; empty if it has none.
  bool KeysHandedOver = false; ///< Gone, and its idempotency keys are at all others of its service.
  auto operator<=>(const HostRecord &) const = default;
};

/// @returns whether \p left replaces \p right.
inline bool replaces(const HostRecord &left, const HostRecord &right) {
  if (left.Incarnation != right.Incarnation)
    return left.Incarnation > right.Incarnation;
  if (left.Sequence != right.Sequence)
    return left.Sequence > right.Sequence;
  return left.State == HostState::Gone && right.State != HostState::Gone;
}

} // namespace jasmineloom
