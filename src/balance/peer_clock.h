/// @file peer_clock.h The steady clock of another host, as told by its responses.
#pragma once

#include "ids_type.h"

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <string>
#include <string_view>

namespace jasmineloom {

/// A time on the steady clock of one process.
struct PeerTime {
  std::uint64_t Incarnation = 0; ///< Of the process.
  TimeMs At = 0;
  auto operator<=>(const PeerTime &) const = default;
};
std::string encodePeerTime(const PeerTime &time);
/// @returns nullopt if the text is malformed.
std::optional<PeerTime> decodePeerTime(std::string_view text);

/// Tells times on the clocks of other hosts. A response takes some time on its way, so the clock
/// that it states is behind; the least behind of them counts. A message that is held up on its way
/// can then be told from one that has just been sent, which a time left can't.
class PeerClocks {
public:
  /// Records the clock that a host's response states.
  /// @param now when the response was received.
  void record(const HostID &host, const PeerTime &stated, TimeMs now);
  /// @param local a time on this host's steady clock.
  /// @returns that time on the other host's clock, or a little earlier; nullopt if the host has
  /// stated no clock.
  std::optional<PeerTime> timeAt(const HostID &host, TimeMs local) const;

private:
  struct Entry {
    std::uint64_t Incarnation = 0;
    std::int64_t Ahead = 0; ///< Of this host's clock, ms.
  };
  absl::flat_hash_map<std::string, Entry> Entries;
};

/// Longest way of a response that the estimate of a clock may leave out.
constexpr DurationMs PeerClockSlack = 100;

/// @returns the earlier of a deadline and the one that the sender stated on this process's clock; a
/// time on another process's clock counts for nothing.
TimeMs statedDeadline(TimeMs deadline, const std::optional<PeerTime> &stated,
                      std::uint64_t incarnation);

} // namespace jasmineloom
