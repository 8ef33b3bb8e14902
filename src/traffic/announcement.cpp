/// @file announcement.cpp Which of the local upstream's heartbeats are still true.
#include "traffic/announcement.h"

namespace jasmineloom {

bool UpstreamTracker::hasLeft(const Announcement &announcement, TimeMs now) const {
  const auto it = Left.find(announcement.ID);
  return it != Left.end() && now < it->second.At + LeaveMemory &&
         announcement.ProcessStart < it->second.Unix;
}

bool UpstreamTracker::overtaken(const Announcement &announcement, TimeMs now) const {
  if (hasLeft(announcement, now))
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
  if (overtaken(announcement, now))
    return HeartbeatResult::Stale;
  Announcement known = Current.value_or(Announcement{});
  known.Sequence = announcement.Sequence;
  known.WarmUpLeft = announcement.WarmUpLeft;
  const bool changed = !Current.has_value() || Withdrawn || Silent || known != announcement;
  Current = announcement;
  Heard = now;
  Withdrawn = false;
  Silent = false;
  return changed ? HeartbeatResult::Changed : HeartbeatResult::Renewed;
}

bool UpstreamTracker::withdraw(const UpstreamID &id, TimeMs now, TimeMs unixNow) {
  if (!Current.has_value() || Current->ID != id) {
    std::erase_if(Left, [now](const auto &it) { return now >= it.second.At + LeaveMemory; });
    Left[id] = {now, unixNow};
    return false;
  }
  Withdrawn = true;
  return true;
}

bool UpstreamTracker::checkTimeout(TimeMs now) {
  if (!acceptsWork() || now < Heard + Silence)
    return false;
  Silent = true;
  return true;
}

bool UpstreamTracker::acceptsWork() const {
  return Current.has_value() && !Current->Draining && !Withdrawn && !Silent;
}

} // namespace jasmineloom
