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
    markWithdrawn(now);
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

void UpstreamTracker::setConfiguredService(const ServiceName &service) {
  // Heartbeats from before the change do not tell who has the address now.
  if (service != ConfiguredService)
    CurrentSince.reset();
  ConfiguredService = service;
}

bool UpstreamTracker::hasConfiguredService(const Announcement &announcement) const {
  return ConfiguredService.empty() || announcement.Service == ConfiguredService;
}

bool UpstreamTracker::isCurrentSilent(TimeMs now) const {
  const bool ended = Current->Draining || Withdrawn || Leaving || TimedOut || Absent;
  return ended || now >= LastHeartbeatAt + HeartbeatInterval + HeartbeatInterval / 2;
}

bool UpstreamTracker::hasCurrentBeaten() const {
  return CurrentSince.has_value() && LastHeartbeatAt >= *CurrentSince + HeartbeatInterval / 2;
}

bool UpstreamTracker::replacesCurrent(const Announcement &announcement, bool beats,
                                      TimeMs now) const {
  const bool fits = hasConfiguredService(announcement);
  const bool currentFits = hasConfiguredService(*Current);
  const bool startedLater =
      announcement.ProcessStart == 0 || announcement.ProcessStart >= Current->ProcessStart;
  const bool hasSameID = announcement.ID == Current->ID;
  if (hasSameID && startedLater)
    return true;
  const bool isExpected = fits == currentFits ? startedLater : fits && (startedLater || !hasSameID);
  const bool isSilent = isCurrentSilent(now);
  return (isExpected && (isSilent || !hasCurrentBeaten())) || (isSilent && beats);
}

bool UpstreamTracker::trackRival(const Announcement &announcement, TimeMs now) {
  const auto known = std::find_if(Rivals.begin(), Rivals.end(), [&announcement](const Rival &it) {
    return announcement.ID == it.ID && announcement.ProcessStart == it.ProcessStart;
  });
  if (known == Rivals.end()) {
    if (Rivals.size() >= MaxRivals)
      Rivals.erase(
          std::min_element(Rivals.begin(), Rivals.end(), [](const Rival &left, const Rival &right) {
            return left.LastAt < right.LastAt;
          }));
    Rivals.push_back({announcement.ID, announcement.ProcessStart, announcement.Sequence, now, now});
    return false;
  }
  const bool rises = announcement.Sequence == 0 || announcement.Sequence > known->Sequence;
  known->Sequence = std::max(known->Sequence, announcement.Sequence);
  known->LastAt = now;
  return rises && now >= known->FirstAt + HeartbeatInterval / 2;
}

bool UpstreamTracker::contradictsWithdrawal(const Announcement &announcement, TimeMs now) {
  return now >= WithdrawnAt + TombstoneTime && trackRival(announcement, now);
}

HeartbeatResult UpstreamTracker::applyHeartbeat(const Announcement &announcement, TimeMs now) {
  if (hasTombstone(announcement, now))
    return HeartbeatResult::Stale;
  const bool sameProcess = isOfCurrentProcess(announcement);
  const bool isOld = announcement.Sequence != 0 && Current.has_value() &&
                     announcement.Sequence <= Current->Sequence;
  if (sameProcess && (isOld || (Withdrawn && !contradictsWithdrawal(announcement, now))))
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
  Rivals.clear();
  Announcement known = Current.value_or(Announcement{});
  known.Sequence = announcement.Sequence;
  known.WarmUpLeft = announcement.WarmUpLeft;
  const bool changed = !Current.has_value() || Withdrawn || TimedOut || known != announcement;
  // An upstream without an identity may have been replaced while it was silent.
  Leaving &= sameProcess && !TimedOut;
  if (!sameProcess || !CurrentSince.has_value())
    CurrentSince = now;
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
  markWithdrawn(now);
  return true;
}

void UpstreamTracker::markWithdrawn(TimeMs now) {
  Withdrawn = true;
  WithdrawnAt = now;
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
