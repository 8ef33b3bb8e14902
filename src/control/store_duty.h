/// @file store_duty.h Tells which nodes of a data centre get answers from the store.
#pragma once

#include "ids_type.h"

#include <map>
#include <vector>

namespace jasmineloom {

/// Contact of this node with the store, by its reads and watches of the operators' document.
class StoreContact {
public:
  /// Records that a call is sent.
  /// @param hold time for which the store may hold it, ms.
  void recordCall(DurationMs hold, TimeMs now) { DueAt = now + hold; }
  /// Records the end of the call.
  /// @param answered false: it was refused, or there was no answer.
  void recordEnd(bool answered, TimeMs now);
  /// @returns the time for which the store has owed an answer, ms; 0: it owes none.
  DurationMs silence(TimeMs now) const;

private:
  TimeMs DueAt = 0;        ///< When the answer to the call in progress is due; 0: there is none.
  TimeMs FailingSince = 0; ///< When the first of the calls failed that did in succession; 0: none.
};

/// Statements of the roots of this node's data centre on their contact with the store. A root whose
/// link works may be turned away by the store, which serves others; it then does none of the duties
/// of a root at the store, and the next root takes its place.
class StoreStatements {
public:
  /// @param returnTime time without a statement of silence after which a root counts again.
  explicit StoreStatements(DurationMs returnTime) : ReturnTime(returnTime) {}

  /// @param silent whether the root states that the store does not answer it.
  void record(const HostID &root, bool silent, TimeMs now);
  /// @returns whether the store answers a root, as far as is known.
  bool isAnswered(const HostID &root, TimeMs now) const;

private:
  DurationMs ReturnTime;
  std::map<HostID, TimeMs> SilentUntil;
};

/// A root that ranks before this node, as this node knows it.
struct RootContact {
  bool Responds = false;   ///< Its link works.
  bool IsAnswered = false; ///< See StoreStatements::isAnswered().
  auto operator<=>(const RootContact &) const = default;
};

/// Whether a node does what the StoreRoots of its data centre do at the store: reading the
/// document, proving the configuration, registering, finding other roots.
enum class StoreDuty : std::uint8_t {
  None,
  Own,     ///< Fewer than StoreRoots roots that respond rank before it.
  StandIn, ///< Roots before it respond, but the store does not answer them.
};

/// @param isRoot whether this node is a root of its data centre.
/// @param before the roots that rank before it.
StoreDuty storeDutyOf(bool isRoot, const std::vector<RootContact> &before);

} // namespace jasmineloom
