/// @file announcement.cpp Heartbeats of the local upstream, and failure detection from them.
#include "traffic/announcement.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>

namespace jasmineloom {

std::string_view nameOf(HeartbeatResult result) {
  switch (result) {
  case HeartbeatResult::Changed:
    return "changed";
  case HeartbeatResult::Renewed:
    return "renewed";
  case HeartbeatResult::Stale:
    return "stale";
  case HeartbeatResult::Unproved:
    return "unproved";
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

std::optional<UpstreamDeparture>
UpstreamTracker::departureOf(const Announcement &announcement) const {
  if (isOfCurrentProcess(announcement))
    return departure();
  if (!announcement.Draining)
    return std::nullopt;
  return UpstreamDeparture{announcement.ID, announcement.ProcessStart + 1, announcement.Sequence};
}

bool UpstreamTracker::hasTombstone(const Announcement &announcement, TimeMs now) const {
  const auto it = Tombstones.find(announcement.ID);
  return it != Tombstones.end() && now < it->second.At + TombstoneTime &&
         announcement.ProcessStart < it->second.Departure.StartedBefore &&
         announcement.Sequence <= it->second.Departure.Sequence;
}

bool UpstreamTracker::isOfCurrentProcess(const Announcement &announcement) const {
  return Current.has_value() && announcement.ID == Current->ID &&
         announcement.ProcessStart == Current->ProcessStart;
}

bool UpstreamTracker::hasConfiguredService(const Announcement &announcement) const {
  return ConfiguredService.empty() || announcement.Service == ConfiguredService;
}

bool UpstreamTracker::isCurrentSilent(TimeMs now) const {
  const bool ended = Current->Draining || Withdrawn || Leaving || TimedOut || Absent;
  return ended || now >= LastHeartbeatAt + HeartbeatInterval + HeartbeatInterval / 2;
}

bool UpstreamTracker::replacesCurrent(const Announcement &announcement, bool beats,
                                      TimeMs now) const {
  const bool fits = hasConfiguredService(announcement);
  const bool currentFits = hasConfiguredService(*Current);
  if (fits && !currentFits)
    return true;
  const bool startedLater =
      announcement.ProcessStart == 0 || announcement.ProcessStart >= Current->ProcessStart;
  const bool isExpected = startedLater && (fits || !currentFits);
  return isCurrentSilent(now) && (isExpected || beats);
}

bool UpstreamTracker::trackRival(const Announcement &announcement, TimeMs now) {
  const bool isKnown = LatestRival.has_value() && announcement.ID == LatestRival->ID &&
                       announcement.ProcessStart == LatestRival->ProcessStart;
  if (!isKnown) {
    LatestRival = {announcement.ID, announcement.ProcessStart, announcement.Sequence, now};
    return false;
  }
  const bool rises = announcement.Sequence == 0 || announcement.Sequence > LatestRival->Sequence;
  LatestRival->Sequence = std::max(LatestRival->Sequence, announcement.Sequence);
  return rises && now >= LatestRival->FirstAt + HeartbeatInterval / 2;
}

HeartbeatResult UpstreamTracker::applyHeartbeat(const Announcement &announcement, TimeMs now) {
  if (hasTombstone(announcement, now))
    return HeartbeatResult::Stale;
  const bool sameProcess = isOfCurrentProcess(announcement);
  const bool isOld = Withdrawn || (announcement.Sequence != 0 && Current.has_value() &&
                                   announcement.Sequence <= Current->Sequence);
  if (sameProcess && isOld)
    return HeartbeatResult::Stale;
  if (Current.has_value() && !sameProcess) {
    const bool beats = trackRival(announcement, now);
    if (!replacesCurrent(announcement, beats, now)) {
      if (const auto departed = departureOf(announcement); departed.has_value())
        Tombstones[announcement.ID] = {now, *departed};
      return HeartbeatResult::Unproved;
    }
    if (const std::optional<UpstreamDeparture> departed = departure(); departed.has_value())
      Tombstones[Current->ID] = {now, *departed};
  }
  LatestRival.reset();
  Announcement known = Current.value_or(Announcement{});
  known.Sequence = announcement.Sequence;
  known.WarmUpLeft = announcement.WarmUpLeft;
  const bool changed = !Current.has_value() || Withdrawn || TimedOut || known != announcement;
  // An upstream without an identity may have been replaced while it was silent.
  Leaving &= sameProcess && !TimedOut;
  Current = announcement;
  LastHeartbeatAt = now;
  Withdrawn = false;
  TimedOut = false;
  Absent = false;
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
  if (!acceptsWork() || now < LastHeartbeatAt + MaxMissedHeartbeats * HeartbeatInterval)
    return false;
  TimedOut = true;
  return true;
}

bool UpstreamTracker::acceptsWork() const {
  return Restored && Current.has_value() && !Current->Draining && !Withdrawn && !Leaving &&
         !TimedOut;
}

} // namespace jasmineloom
