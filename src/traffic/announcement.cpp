/// @file announcement.cpp Heartbeats of the local upstream, and failure detection from them.
#include "traffic/announcement.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

namespace jasmineloom {

std::string_view nameOf(HeartbeatResult result) {
  switch (result) {
  case HeartbeatResult::Changed:
    return "changed";
  case HeartbeatResult::Renewed:
    return "renewed";
  case HeartbeatResult::Stale:
    return "stale";
  }
  return "";
}

std::string describe(const Announcement &announcement) {
  return absl::StrCat(announcement.ID.str(), " of ", announcement.Service.str(), " ",
                      announcement.Version.str(), " (born ", announcement.ProcessStart,
                      ", sequence ", announcement.Sequence, ")");
}

std::string encodeDeparture(const UpstreamDeparture &departure) {
  return absl::StrCat(departure.Sequence, " ", departure.StartedBefore, " ", departure.ID.str());
}

std::optional<UpstreamDeparture> decodeDeparture(const std::string &text) {
  const std::vector<std::string> parts = absl::StrSplit(text, absl::MaxSplits(' ', 2));
  UpstreamDeparture departure;
  if (parts.size() != 3 || !absl::SimpleAtoi(parts[0], &departure.Sequence) ||
      !absl::SimpleAtoi(parts[1], &departure.StartedBefore) || parts[2].empty())
    return std::nullopt;
  departure.ID = UpstreamID(parts[2]);
  return departure;
}

void UpstreamTracker::restore(const std::vector<UpstreamDeparture> &departures, TimeMs now) {
  for (const UpstreamDeparture &it : departures)
    Tombstones[it.ID] = {now, it};
  // Its heartbeat may have arrived before the departures were known.
  if (Current.has_value() && hasTombstone(*Current, now))
    Withdrawn = true;
}

std::optional<UpstreamDeparture> UpstreamTracker::departure() const {
  const bool departed = Current.has_value() && (Current->Draining || Withdrawn || Leaving);
  if (!departed)
    return std::nullopt;
  UpstreamDeparture departure{Current->ID, Current->ProcessStart + 1};
  if (!Withdrawn && !Leaving)
    departure.Sequence = Current->Sequence;
  return departure;
}

bool UpstreamTracker::hasTombstone(const Announcement &announcement, TimeMs now) const {
  const auto it = Tombstones.find(announcement.ID);
  return it != Tombstones.end() && now < it->second.At + TombstoneTime &&
         announcement.ProcessStart < it->second.Departure.StartedBefore &&
         announcement.Sequence <= it->second.Departure.Sequence;
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
    Tombstones[id] = {now, {id, unixNow}};
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
  return Restored && Current.has_value() && !Current->Draining && !Withdrawn && !Leaving &&
         !TimedOut;
}

} // namespace jasmineloom
