/// @file announcement.cpp Heartbeats of the local upstream, and failure detection from them.
#include "traffic/announcement.h"

namespace jasmineloom {

bool UpstreamTracker::hasTombstone(const Announcement &announcement, TimeMs now) const {
  const auto it = Tombstones.find(announcement.ID);
  return it != Tombstones.end() && now < it->second.At + TombstoneTime &&
         announcement.ProcessStart < it->second.UnixAt;
}

bool UpstreamTracker::isStale(const Announcement &announcement, TimeMs now) const {
  if (hasTombstone(announcement, now))
    return true;
  if (!Current.has_value())
    return false;
  if (announcement.ProcessStart != Current->ProcessStart)
    return announcement.ProcessStart != 0 && announcement.ProcessStart < Current->ProcessStart;
  if (announcement.ID != Current->ID)
    return false;
  if (Withdrawn)
    return true;
  return announcement.Sequence != 0 && announcement.Sequence <= Current->Sequence;
}

HeartbeatResult UpstreamTracker::applyHeartbeat(const Announcement &announcement, TimeMs now) {
  if (isStale(announcement, now))
    return HeartbeatResult::Stale;
  Announcement known = Current.value_or(Announcement{});
  known.Sequence = announcement.Sequence;
  known.WarmUpLeft = announcement.WarmUpLeft;
  const bool changed = !Current.has_value() || Withdrawn || TimedOut || known != announcement;
  // An upstream without an identity may have been replaced while it was silent.
  const bool sameProcess = Current.has_value() && !TimedOut && announcement.ID == Current->ID &&
                           announcement.ProcessStart == Current->ProcessStart;
  Leaving &= sameProcess;
  Current = announcement;
  LastHeartbeatAt = now;
  Withdrawn = false;
  TimedOut = false;
  return changed ? HeartbeatResult::Changed : HeartbeatResult::Renewed;
}

bool UpstreamTracker::withdraw(const UpstreamID &id, TimeMs now, TimeMs unixNow) {
  if (!Current.has_value() || Current->ID != id) {
    std::erase_if(Tombstones,
                  [now](const auto &it) { return now >= it.second.At + TombstoneTime; });
    Tombstones[id] = {now, unixNow};
    return false;
  }
  Withdrawn = true;
  return true;
}

bool UpstreamTracker::markLeaving() {
  const bool accepted = acceptsWork();
  Leaving = true;
  return accepted;
}

bool UpstreamTracker::checkTimeout(TimeMs now) {
  if (!acceptsWork() || now < LastHeartbeatAt + HeartbeatTimeout)
    return false;
  TimedOut = true;
  return true;
}

bool UpstreamTracker::acceptsWork() const {
  return Current.has_value() && !Current->Draining && !Withdrawn && !Leaving && !TimedOut;
}

} // namespace jasmineloom
