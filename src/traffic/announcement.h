/// @file announcement.h Heartbeats of the local upstream, and failure detection from them.
#pragma once

#include "ids_type.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jasmineloom {

using UpstreamID = StrongName<struct UpstreamTag>;

/// One heartbeat of an upstream.
struct Announcement {
  UpstreamID ID;              ///< Identity of the process; may be reused after a restart.
  TimeMs ProcessStart = 0;    ///< Unix time; 0: not announced.
  std::uint64_t Sequence = 0; ///< Rises with each heartbeat of one process; 0: not announced.
  ServiceName Service;
  VersionLabel Version;
  std::string Address; ///< IP:port.
  std::uint32_t Slots = 0;
  bool Draining = false;
  DurationMs WarmUpLeft = 0; ///< Remaining time in which the upstream is slow after its start.
  auto operator<=>(const Announcement &) const = default;
};

/// Departure of an upstream's process: it has deregistered, drains or states that it leaves. Kept
/// in the store and by other nodes, because an earlier heartbeat may arrive after this node's
/// restart.
struct UpstreamDeparture {
  UpstreamID ID;
  TimeMs StartedBefore = 0; ///< Unix time; processes with the ID that start later have not left.
  /// Heartbeats of the process up to this one are older than its departure.
  std::uint64_t Sequence = ~std::uint64_t{0};
  auto operator<=>(const UpstreamDeparture &) const = default;
};
std::string encodeDeparture(const UpstreamDeparture &departure);
/// @returns nullopt if the text is malformed.
std::optional<UpstreamDeparture> decodeDeparture(const std::string &text);

/// Largest number of slots that an upstream may announce.
constexpr std::uint64_t MaxAnnouncedSlots = 100000;
/// Processes beside the current one whose heartbeats are followed, at most.
constexpr std::size_t MaxRivals = 8;
/// Longest warm-up of an upstream that is believed.
constexpr DurationMs MaxWarmUpLeft = 600 * MsPerSecond;

/// Effect of a heartbeat.
enum class HeartbeatResult : std::uint8_t {
  Changed, ///< The state of the upstream changed.
  Renewed, ///< The state stayed the same; the timeout was extended.
  Stale,   ///< Older than the current state; ignored.
  /// Of another process, which has not been shown to be the one at the address; ignored.
  Unproved,
};
/// @returns the name used in metrics.
std::string_view nameOf(HeartbeatResult result);
/// @returns the process, its service and its sequence, for logs.
std::string describe(const Announcement &announcement);

/// Heartbeat intervals without a heartbeat after which the upstream gets no new requests.
constexpr DurationMs MaxMissedHeartbeats = 4;

/// Time for which the tombstone of an upstream is kept: its last heartbeats may be seconds late.
constexpr DurationMs TombstoneTime = 30 * MsPerSecond;

/// State of the local upstream, derived from its heartbeats. Heartbeats may be delayed, duplicated
/// or reordered, and may arrive after their sender has ended and another process uses its address.
///
/// One process has the address at a time. Another one is believed instead once the current one is
/// silent and the other has started later, alone has the service that the settings name, or goes on
/// beating. Starts are told by the clocks of different hosts, and settings may be late, so that
/// they alone neither replace a process that beats nor shut one out; they decide at once against
/// a process that was heard at one time only. Processes with one ID have one clock: the later start
/// decides between them.
class UpstreamTracker {
public:
  explicit UpstreamTracker(DurationMs heartbeatInterval) : HeartbeatInterval(heartbeatInterval) {}

  void setHeartbeatInterval(DurationMs interval) { HeartbeatInterval = interval; }
  /// @param service service that the settings name; may be empty.
  void setConfiguredService(const ServiceName &service);
  /// Accepts no work until endWait(): this node may have acknowledged departures before a restart.
  void awaitDepartures() { Restored = false; }
  void endWait() { Restored = true; }
  /// Adds departures that were recorded before a restart of this node.
  void restore(const std::vector<UpstreamDeparture> &departures, TimeMs now);
  bool restored() const { return Restored; }
  /// @returns the departure of the sender of a heartbeat, which the response to it acknowledges;
  /// nullopt if it has not departed.
  std::optional<UpstreamDeparture> departureOf(const Announcement &announcement) const;
  /// @returns the departure of the current upstream; nullopt if it has not departed.
  std::optional<UpstreamDeparture> departure() const;

  HeartbeatResult applyHeartbeat(const Announcement &announcement, TimeMs now);
  /// Deregisters an upstream, which counts as draining from then on. If it is not the current one,
  /// because this node has just started, a tombstone makes its delayed heartbeats stale.
  /// @param unixNow Unix time; a process with the same ID that starts later is accepted.
  /// @returns false if the ID is not that of the current upstream.
  bool withdraw(const UpstreamID &id, TimeMs now, TimeMs unixNow);
  /// Marks the current upstream as leaving, as its responses state; its heartbeats may go on to say
  /// that it is ready. Ends with its process.
  /// @returns whether it accepted new requests until now.
  bool markLeaving();
  /// Another process, or none, answers at the address. Until its next heartbeat the current process
  /// counts as silent.
  void markAbsent() { Absent = true; }
  /// Checks the heartbeat timeout.
  /// @returns true once for each timeout.
  bool checkTimeout(TimeMs now);

  /// @returns the latest announcement, or nothing before the first one.
  const std::optional<Announcement> &current() const { return Current; }
  /// @returns whether the upstream accepts new requests.
  bool acceptsWork() const;
  /// @returns whether the upstream has deregistered or sends no heartbeats any more.
  bool hasLeft() const { return Withdrawn || TimedOut; }

private:
  /// A process other than the current one, or the current one after its withdrawal, heard since the
  /// last heartbeat that was believed.
  struct Rival {
    UpstreamID ID;
    TimeMs ProcessStart = 0;
    std::uint64_t Sequence = 0; ///< Highest so far.
    TimeMs FirstAt = 0;         ///< Steady clock.
    TimeMs LastAt = 0;          ///< Steady clock.
  };
  /// Record of an upstream that departed while it was not the current one.
  struct Tombstone {
    TimeMs At = 0; ///< Steady clock.
    UpstreamDeparture Departure;
  };

  bool isOfCurrentProcess(const Announcement &announcement) const;
  bool hasConfiguredService(const Announcement &announcement) const;
  /// @returns whether the current process no longer accepts work, is absent or misses a heartbeat.
  bool isCurrentSilent(TimeMs now) const;
  /// @returns whether the current process has gone on beating, which held-up heartbeats do not.
  bool hasCurrentBeaten() const;
  /// @returns whether another process is to be believed instead of the current one.
  bool replacesCurrent(const Announcement &announcement, bool beats, TimeMs now) const;
  /// Follows the heartbeats of another process.
  /// @returns whether it goes on beating, which a held-up heartbeat does not.
  bool trackRival(const Announcement &announcement, TimeMs now);
  void markWithdrawn(TimeMs now);
  /// @returns whether the current process still beats so long after its withdrawal that it was the
  /// late one of an earlier process with its ID.
  bool contradictsWithdrawal(const Announcement &announcement, TimeMs now);
  bool hasTombstone(const Announcement &announcement, TimeMs now) const;

  DurationMs HeartbeatInterval;
  ServiceName ConfiguredService;
  std::optional<Announcement> Current;
  std::vector<Rival> Rivals;
  std::map<UpstreamID, Tombstone> Tombstones;
  TimeMs LastHeartbeatAt = 0;
  bool Withdrawn = false;
  TimeMs WithdrawnAt = 0; ///< Steady clock.
  bool Leaving = false;   ///< Stated in responses of the current process.
  bool TimedOut = false;
  bool Absent = false;
  /// Steady clock; first heartbeat of the current process since the settings named their service.
  std::optional<TimeMs> CurrentSince;
  bool Restored = true;
};

} // namespace jasmineloom
