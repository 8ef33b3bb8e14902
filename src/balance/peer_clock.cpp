/// @file peer_clock.cpp The steady clock of another host, as told by its responses.
#include "balance/peer_clock.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

namespace jasmineloom {

std::string encodePeerTime(const PeerTime &time) {
  return absl::StrCat(time.Incarnation, ",", time.At);
}

std::optional<PeerTime> decodePeerTime(std::string_view text) {
  const std::size_t comma = text.find(',');
  PeerTime time;
  const bool valid =
      comma != std::string_view::npos &&
      absl::SimpleAtoi(absl::string_view(text.data(), comma), &time.Incarnation) &&
      absl::SimpleAtoi(absl::string_view(text.data() + comma + 1, text.size() - comma - 1),
                       &time.At);
  if (!valid)
    return std::nullopt;
  return time;
}

void PeerClocks::record(const HostID &host, const PeerTime &stated, TimeMs now) {
  const std::int64_t ahead = static_cast<std::int64_t>(stated.At) - static_cast<std::int64_t>(now);
  const auto [it, added] = Entries.try_emplace(host.str(), Entry{stated.Incarnation, ahead});
  Entry &entry = it->second;
  if (entry.Incarnation == stated.Incarnation)
    entry.Ahead = std::max(entry.Ahead, ahead);
  else
    entry = {stated.Incarnation, ahead};
}

std::optional<PeerTime> PeerClocks::timeAt(const HostID &host, TimeMs local) const {
  const auto it = Entries.find(host.str());
  if (it == Entries.end())
    return std::nullopt;
  const std::int64_t at = static_cast<std::int64_t>(local) + it->second.Ahead;
  return PeerTime{it->second.Incarnation, static_cast<TimeMs>(std::max<std::int64_t>(at, 0))};
}

TimeMs statedDeadline(TimeMs deadline, const std::optional<PeerTime> &stated,
                      std::uint64_t incarnation) {
  if (!stated.has_value() || stated->Incarnation != incarnation)
    return deadline;
  return std::min(deadline, stated->At + PeerClockSlack);
}

} // namespace jasmineloom
