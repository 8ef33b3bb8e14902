/// @file watch_schedule.h Decides how long the store may hold the next watch of the document.
#pragma once

#include "ids_type.h"

#include <cstddef>

namespace jasmineloom {

/// Hold time of a watch that only reads the changes that have been made already.
constexpr DurationMs CatchUpHold = 1;

/// Place of a node among those of its data centre that watch the document.
struct WatchShare {
  std::size_t Rank = 0;     ///< Watchers before this one.
  std::size_t Watchers = 1; ///< At least 1.
  bool operator==(const WatchShare &) const = default;
};

/// Hold times of the successive watches of one node. A watch that is sent into a silence of the
/// store, or over a connection that has gone silent, is never answered, and the node is deaf until
/// the watch fails. The watchers of a data centre therefore take turns, so that one of them starts
/// a new watch in each period, and a watch follows a failure only after the store has answered.
class WatchSchedule {
public:
  /// @param period time in which one of the watchers of a data centre starts a new watch.
  explicit WatchSchedule(DurationMs period) : Period(period) {}

  /// @returns the hold time of the next watch, ms.
  DurationMs nextHold(const WatchShare &share) const;
  /// Records the answer to a watch or to a read of the whole document.
  void recordAnswer(bool hasChanges) {
    Current = hasChanges || Current == Phase::Failed ? Phase::Aligned : Phase::Staggered;
  }
  void recordFailure() { Current = Phase::Failed; }

private:
  enum class Phase : std::uint8_t {
    Aligned, ///< The watchers have started together: a change or an outage has ended their watches.
    Staggered, ///< The watchers take turns.
    Failed,
  };

  DurationMs Period;
  Phase Current = Phase::Aligned;
};

} // namespace jasmineloom
