/// @file watch_schedule.cpp Decides how long the store may hold the next watch of the document.
#include "control/watch_schedule.h"

namespace jasmineloom {

DurationMs WatchSchedule::nextHold(const WatchShare &share) const {
  switch (Current) {
  case Phase::Failed:
    return CatchUpHold;
  case Phase::Aligned:
    return Period * (share.Rank % share.Watchers + 1);
  case Phase::Staggered:
    break;
  }
  return Period * share.Watchers;
}

} // namespace jasmineloom
