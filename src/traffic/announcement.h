/// @file announcement.h What the local upstream says of itself, and which of it is still true.
#pragma once

#include "ids_type.h"

#include <map>
#include <optional>
#include <string>

namespace jasmineloom {

using UpstreamID = StrongName<struct UpstreamTag>;

/// One heartbeat of an upstream.
struct Announcement {
  UpstreamID ID;              ///< Of one start of the process, or of several one after the other.
  TimeMs ProcessStart = 0;    ///< Start of the process, Unix time; 0: not told.
  std::uint64_t Sequence = 0; ///< Rises with each heartbeat of a start; 0: not told.
  ServiceName Service;
  VersionLabel Version;
  std::string Address; ///< IP:port.
  std::uint32_t Slots = 0;
  bool Draining = false;
  DurationMs WarmUpLeft = 0; ///< Time for which the upstream is still slow after its start.
  auto operator<=>(const Announcement &) const = default;
};

/// What became of a heartbeat.
enum class HeartbeatResult : std::uint8_t {
  Changed, ///< It tells something new.
  Renewed, ///< It repeats what is known.
  Stale,   ///< It was overtaken by a later one; nothing changed.
};

/// Time for which an upstream that left is remembered: its last heartbeats may be seconds late.
constexpr DurationMs LeaveMemory = 30 * MsPerSecond;

/// The local upstream as its heartbeats tell. Heartbeats may come late, twice or out of order, and
/// after their sender has ended and another process has taken its address.
class UpstreamTracker {
public:
  /// @param silence time without a heartbeat after which the upstream gets no new work.
  explicit UpstreamTracker(DurationMs silence) : Silence(silence) {}

  HeartbeatResult applyHeartbeat(const Announcement &announcement, TimeMs now);
  /// Takes an upstream's word that it leaves; it counts as draining from now on. One that isn't
  /// known, as this process has just started, is remembered: its last heartbeats may still come.
  /// @param unixNow time of day, to tell a later start under the same id.
  /// @returns false if the id is not the present upstream's.
  bool withdraw(const UpstreamID &id, TimeMs now, TimeMs unixNow);
  /// @returns whether the upstream has just fallen silent; told once.
  bool checkTimeout(TimeMs now);

  /// @returns the newest announcement, or nothing before the first one.
  const std::optional<Announcement> &current() const { return Current; }
  /// @returns whether the upstream takes new work.
  bool acceptsWork() const;

private:
  /// When an upstream that wasn't known left.
  struct Leave {
    TimeMs At = 0;   ///< Steady time.
    TimeMs Unix = 0; ///< Time of day.
  };

  bool overtaken(const Announcement &announcement, TimeMs now) const;
  bool hasLeft(const Announcement &announcement, TimeMs now) const;

  DurationMs Silence;
  std::optional<Announcement> Current;
  std::map<UpstreamID, Leave> Left;
  TimeMs Heard = 0;
  bool Withdrawn = false;
  bool Silent = false;
};

} // namespace jasmineloom
