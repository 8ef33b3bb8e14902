/// @file stall_watch.h Detects event loops that handle their events late.
#pragma once

#include "ids_type.h"

#include <algorithm>

namespace jasmineloom {

/// Lateness of a periodic timer from which its event loop counts as stalled.
constexpr DurationMs MinStall = 100;

/// Measures how late the periodic timer of an event loop fires.
class StallWatch {
public:
  /// @param due time for which the timer was set.
  /// @returns the lateness if the loop was stalled, otherwise 0.
  DurationMs recordFired(TimeMs due, TimeMs now) {
    const DurationMs late = now > due ? now - due : 0;
    Longest = std::max(Longest, late);
    return late < MinStall ? 0 : late;
  }
  /// @returns the longest lateness so far.
  DurationMs longest() const { return Longest; }

private:
  DurationMs Longest = 0;
};

} // namespace jasmineloom
