/// @file announcement_test.cpp Heartbeats that are delayed, duplicated, reordered or sent by a
/// process that has ended.
#define BOOST_TEST_MODULE announcement
#include <boost/test/unit_test.hpp>

#include "traffic/announcement.h"

#include <absl/strings/str_join.h>

using namespace jasmineloom;

namespace {

constexpr TimeMs Now = 1000;
constexpr DurationMs HeartbeatInterval = 1500;
constexpr DurationMs HeartbeatTimeout = 6000;
/// Time after the last heartbeat of a process at which another one may have taken its place.
constexpr DurationMs Silence = 2 * HeartbeatInterval;

Announcement heartbeat(const char *id, TimeMs processStart, std::uint64_t sequence,
                       bool draining = false) {
  Announcement announcement;
  announcement.ID = UpstreamID(id);
  announcement.ProcessStart = processStart;
  announcement.Sequence = sequence;
  announcement.Service = ServiceName("s");
  announcement.Version = VersionLabel("v1");
  announcement.Address = "10.0.0.1:80";
  announcement.Slots = 9;
  announcement.Draining = draining;
  return announcement;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_stale_heartbeat_is_ignored) {
  UpstreamTracker tracker(HeartbeatInterval);
  BOOST_TEST((tracker.applyHeartbeat(heartbeat("i-1", 10, 5), Now) == HeartbeatResult::Changed));
  BOOST_TEST((tracker.applyHeartbeat(heartbeat("i-1", 10, 6), Now) == HeartbeatResult::Renewed));
  BOOST_TEST(
      (tracker.applyHeartbeat(heartbeat("i-1", 10, 7, true), Now) == HeartbeatResult::Changed));
  BOOST_TEST((tracker.applyHeartbeat(heartbeat("i-1", 10, 6), Now) == HeartbeatResult::Stale));
  BOOST_TEST((tracker.applyHeartbeat(heartbeat("i-1", 10, 7), Now) == HeartbeatResult::Stale));
  BOOST_TEST(!tracker.acceptsWork());
}

BOOST_AUTO_TEST_CASE(a_later_process_replaces_an_earlier_one_but_never_the_reverse) {
  UpstreamTracker tracker(HeartbeatInterval);
  tracker.applyHeartbeat(heartbeat("i-1", 10, 50), Now);
  TimeMs now = Now + Silence;
  BOOST_TEST((tracker.applyHeartbeat(heartbeat("i-2", 20, 1), now) == HeartbeatResult::Changed));
  // A delayed heartbeat of the crashed process arrives.
  BOOST_TEST((tracker.applyHeartbeat(heartbeat("i-1", 10, 51), now) == HeartbeatResult::Unproved));
  BOOST_TEST(tracker.current()->ID.str() == "i-2");
  // A restart under the same ID begins a new sequence.
  now += Silence;
  BOOST_TEST((tracker.applyHeartbeat(heartbeat("i-2", 30, 1), now) == HeartbeatResult::Changed));
  BOOST_TEST((tracker.applyHeartbeat(heartbeat("i-2", 20, 9), now) == HeartbeatResult::Unproved));
  BOOST_TEST(tracker.current()->ProcessStart == 30U);
}

BOOST_AUTO_TEST_CASE(a_restarted_node_keeps_a_tombstone_for_a_deregistered_upstream) {
  // The node restarts, the upstream deregisters, and an earlier heartbeat arrives afterwards.
  UpstreamTracker tracker(HeartbeatInterval);
  BOOST_TEST(!tracker.withdraw(UpstreamID("i-1"), Now, 500));
  BOOST_TEST(
      (tracker.applyHeartbeat(heartbeat("i-1", 10, 7), Now + 2200) == HeartbeatResult::Stale));
  BOOST_TEST(!tracker.acceptsWork());
  // Another upstream, or a later process with the same ID, is accepted.
  BOOST_TEST(
      (tracker.applyHeartbeat(heartbeat("i-1", 600, 1), Now + 2300) == HeartbeatResult::Changed));
  BOOST_TEST(tracker.acceptsWork());
  UpstreamTracker other(HeartbeatInterval);
  other.withdraw(UpstreamID("i-1"), Now, 500);
  BOOST_TEST(
      (other.applyHeartbeat(heartbeat("i-2", 10, 7), Now + 2200) == HeartbeatResult::Changed));
  BOOST_TEST(other.acceptsWork());
}

BOOST_AUTO_TEST_CASE(a_deregistered_upstream_stays_out_until_it_restarts) {
  UpstreamTracker tracker(HeartbeatInterval);
  tracker.applyHeartbeat(heartbeat("i-1", 10, 5), Now);
  BOOST_TEST(!tracker.withdraw(UpstreamID("i-0"), Now, 30));
  BOOST_TEST(tracker.acceptsWork());
  BOOST_TEST(tracker.withdraw(UpstreamID("i-1"), Now, 30));
  BOOST_TEST(!tracker.acceptsWork());
  BOOST_TEST((tracker.applyHeartbeat(heartbeat("i-1", 10, 6), Now) == HeartbeatResult::Stale));
  BOOST_TEST(!tracker.acceptsWork());
  BOOST_TEST((tracker.applyHeartbeat(heartbeat("i-1", 40, 1), Now) == HeartbeatResult::Changed));
  BOOST_TEST(tracker.acceptsWork());
}

BOOST_AUTO_TEST_CASE(a_heartbeat_timeout_is_reported_once_and_ended_by_a_heartbeat) {
  UpstreamTracker tracker(HeartbeatInterval);
  BOOST_TEST(!tracker.checkTimeout(Now));
  tracker.applyHeartbeat(heartbeat("i-1", 10, 5), Now);
  BOOST_TEST(!tracker.checkTimeout(Now + HeartbeatTimeout - 1));
  BOOST_TEST(tracker.checkTimeout(Now + HeartbeatTimeout));
  BOOST_TEST(!tracker.checkTimeout(Now + HeartbeatTimeout + 1));
  BOOST_TEST(!tracker.acceptsWork());
  BOOST_TEST((tracker.applyHeartbeat(heartbeat("i-1", 10, 6), Now + HeartbeatTimeout + 2) ==
              HeartbeatResult::Changed));
  BOOST_TEST(tracker.acceptsWork());
}

BOOST_AUTO_TEST_CASE(announcements_without_identity_apply_in_order_of_arrival) {
  UpstreamTracker tracker(HeartbeatInterval);
  BOOST_TEST((tracker.applyHeartbeat(heartbeat("", 0, 0), Now) == HeartbeatResult::Changed));
  BOOST_TEST((tracker.applyHeartbeat(heartbeat("", 0, 0), Now) == HeartbeatResult::Renewed));
  BOOST_TEST((tracker.applyHeartbeat(heartbeat("", 0, 0, true), Now) == HeartbeatResult::Changed));
  BOOST_TEST((tracker.applyHeartbeat(heartbeat("", 0, 0), Now) == HeartbeatResult::Changed));
}

BOOST_AUTO_TEST_CASE(
    an_upstream_that_leaves_by_its_responses_accepts_no_work_whatever_its_heartbeats) {
  UpstreamTracker tracker(HeartbeatInterval);
  tracker.applyHeartbeat(heartbeat("i-1", 10, 5), Now);
  BOOST_TEST(tracker.markLeaving());
  BOOST_TEST(!tracker.markLeaving());
  tracker.applyHeartbeat(heartbeat("i-1", 10, 6), Now + 100);
  BOOST_TEST(!tracker.acceptsWork());
  // A later process with the same ID does not leave.
  tracker.applyHeartbeat(heartbeat("i-1", 20, 1), Now + 200);
  BOOST_TEST(tracker.acceptsWork());
}

// Guards against a restarted node that believes a heartbeat from before a departure that it has
// acknowledged.
BOOST_AUTO_TEST_CASE(departure_from_before_a_restart_makes_earlier_heartbeats_stale) {
  for (const bool drains : {false, true}) {
    UpstreamTracker before(HeartbeatInterval);
    BOOST_TEST(!before.departure().has_value());
    before.applyHeartbeat(heartbeat("i-1", 10, 5), Now);
    if (drains)
      before.applyHeartbeat(heartbeat("i-1", 10, 7, true), Now);
    else
      before.withdraw(UpstreamID("i-1"), Now, 30);
    const auto departure = decodeDeparture(encodeDeparture(*before.departure()));
    BOOST_REQUIRE(departure.has_value());
    for (const bool heartbeatFirst : {false, true}) {
      BOOST_TEST_CONTEXT("drains " << drains << ", heartbeat first " << heartbeatFirst) {
        UpstreamTracker after(HeartbeatInterval);
        after.awaitDepartures();
        if (heartbeatFirst)
          after.applyHeartbeat(heartbeat("i-1", 10, 6), Now + 600);
        BOOST_TEST(!after.acceptsWork());
        after.restore({*departure}, Now + 700);
        after.endWait();
        after.applyHeartbeat(heartbeat("i-1", 10, 6), Now + 3000);
        BOOST_TEST(!after.acceptsWork());
        // The same ID with a later start, or another process, is believed at once.
        after.applyHeartbeat(heartbeat("i-1", 40, 1), Now + 4000);
        BOOST_TEST(after.acceptsWork());
      }
    }
  }
}

// Guards against a sound upstream that stays out after a restart of its node.
BOOST_AUTO_TEST_CASE(upstream_that_has_not_departed_is_back_once_the_departures_are_known) {
  UpstreamTracker tracker(HeartbeatInterval);
  tracker.awaitDepartures();
  tracker.applyHeartbeat(heartbeat("i-2", 20, 9), Now);
  BOOST_TEST(!tracker.acceptsWork());
  tracker.restore({UpstreamDeparture{UpstreamID("i-1"), 11}}, Now + 100);
  tracker.endWait();
  BOOST_TEST(tracker.acceptsWork());
}

BOOST_AUTO_TEST_CASE(malformed_departures_are_refused) {
  for (const char *text : {"", "1", "1 2", "1 2 ", "x 2 i-1", "1 y i-1", "-1 2 i-1", "1  2 i-1"})
    BOOST_TEST(!decodeDeparture(text).has_value(), text);
  const UpstreamDeparture departure{UpstreamID("an id with blanks"), 12, 3};
  BOOST_TEST((decodeDeparture(encodeDeparture(departure)) == departure));
}

namespace {

struct TimedHeartbeat {
  DurationMs At; ///< After Now.
  Announcement Heartbeat;
};

Announcement ofService(const char *service, Announcement announcement) {
  announcement.Service = ServiceName(service);
  return announcement;
}

struct OrderCase {
  const char *Name;
  std::vector<TimedHeartbeat> Heartbeats;
  const char *Current; ///< Process that is believed after each of the heartbeats, comma-separated.
};

} // namespace

// Guards against a living upstream that is shut out by a held-up heartbeat of an earlier one at its
// address.
BOOST_AUTO_TEST_CASE(living_process_outlasts_held_up_heartbeats_whatever_the_clocks) {
  const Announcement old = heartbeat("i-0", 20, 40);
  const Announcement later = heartbeat("i-0", 20, 41);
  const auto living = [](std::uint64_t sequence) { return heartbeat("i-1", 10, sequence); };
  const std::vector<OrderCase> cases = {
      {"beside a process that beats",
       {{0, living(1)}, {1500, living(2)}, {1600, old}, {2900, later}, {3000, living(3)}},
       "i-1,i-1,i-1,i-1,i-1"},
      {"as the first heartbeat",
       {{0, old}, {200, living(1)}, {1700, living(2)}, {3200, living(3)}, {4700, living(4)}},
       "i-0,i-0,i-0,i-1,i-1"},
      {"the living process had been silent",
       {{0, living(1)}, {4000, old}, {4100, living(2)}, {5600, living(3)}, {7100, living(4)}},
       "i-1,i-0,i-0,i-0,i-1"},
      {"the same heartbeat again and again",
       {{0, living(1)}, {3100, heartbeat("i-0", 5, 40)}, {4100, heartbeat("i-0", 5, 40)}},
       "i-1,i-1,i-1"},
      {"a clock that was set back",
       {{0, heartbeat("i-1", 100, 9)}, {5000, living(1)}, {6500, living(2)}},
       "i-1,i-1,i-1"},
  };
  for (const OrderCase &it : cases) {
    UpstreamTracker tracker(HeartbeatInterval);
    std::vector<std::string> believed;
    for (const TimedHeartbeat &one : it.Heartbeats) {
      tracker.applyHeartbeat(one.Heartbeat, Now + one.At);
      believed.push_back(tracker.current()->ID.str());
    }
    BOOST_TEST(absl::StrJoin(believed, ",") == it.Current, it.Name);
  }
  // A restart under the same ID after the clock was set back.
  UpstreamTracker tracker(HeartbeatInterval);
  tracker.applyHeartbeat(heartbeat("i-1", 100, 9), Now);
  tracker.applyHeartbeat(living(1), Now + 5000);
  tracker.applyHeartbeat(living(2), Now + 6500);
  BOOST_TEST(tracker.current()->ProcessStart == 10U);
}

// Guards against an upstream that is kept out, or replaced, by a heartbeat from before its host had
// its service.
BOOST_AUTO_TEST_CASE(settings_decide_between_two_processes_of_different_services) {
  const Announcement ours = ofService("s", heartbeat("i-1", 10, 1));
  const Announcement foreign = ofService("t", heartbeat("i-0", 20, 40));
  UpstreamTracker first(HeartbeatInterval);
  first.setConfiguredService(ServiceName("s"));
  first.applyHeartbeat(foreign, Now);
  BOOST_TEST((first.applyHeartbeat(ours, Now + 100) == HeartbeatResult::Changed));
  BOOST_TEST(first.current()->ID.str() == "i-1");
  UpstreamTracker silent(HeartbeatInterval);
  silent.setConfiguredService(ServiceName("s"));
  silent.applyHeartbeat(ours, Now);
  BOOST_TEST((silent.applyHeartbeat(foreign, Now + 5000) == HeartbeatResult::Unproved));
  BOOST_TEST(silent.current()->ID.str() == "i-1");
  // The settings name the other service now.
  silent.setConfiguredService(ServiceName("t"));
  BOOST_TEST((silent.applyHeartbeat(foreign, Now + 5100) == HeartbeatResult::Changed));
  BOOST_TEST(silent.current()->ID.str() == "i-0");
}

// Guards against an upstream that has departed and is believed again because its successor is
// silent.
BOOST_AUTO_TEST_CASE(departed_process_stays_out_after_another_one_has_replaced_it) {
  UpstreamTracker tracker(HeartbeatInterval);
  tracker.applyHeartbeat(heartbeat("i-1", 10, 5), Now);
  tracker.withdraw(UpstreamID("i-1"), Now, 30);
  tracker.applyHeartbeat(heartbeat("i-2", 20, 1), Now + 100);
  for (const DurationMs after : {4000, 5500, 7000})
    BOOST_TEST((tracker.applyHeartbeat(heartbeat("i-1", 10, 5 + after), Now + after) ==
                HeartbeatResult::Stale));
  BOOST_TEST(tracker.current()->ID.str() == "i-2");
}

// Guards against a successor that is kept out although its predecessor is known to be gone.
BOOST_AUTO_TEST_CASE(process_that_the_address_denies_is_replaced_without_waiting) {
  UpstreamTracker tracker(HeartbeatInterval);
  tracker.applyHeartbeat(heartbeat("i-1", 10, 5), Now);
  TimeMs now = Now + HeartbeatInterval;
  tracker.applyHeartbeat(heartbeat("i-1", 10, 6), now);
  BOOST_TEST(
      (tracker.applyHeartbeat(heartbeat("i-2", 20, 1), now + 100) == HeartbeatResult::Unproved));
  tracker.markAbsent();
  BOOST_TEST(tracker.acceptsWork());
  BOOST_TEST(
      (tracker.applyHeartbeat(heartbeat("i-2", 20, 2), now + 200) == HeartbeatResult::Changed));
  // Its own heartbeat proves that it is there.
  tracker.markAbsent();
  now += HeartbeatInterval;
  tracker.applyHeartbeat(heartbeat("i-2", 20, 3), now + 200);
  BOOST_TEST(
      (tracker.applyHeartbeat(heartbeat("i-3", 30, 1), now + 300) == HeartbeatResult::Unproved));
}

// Guards against requests for the version of before that a restarted process runs.
BOOST_AUTO_TEST_CASE(restart_under_the_same_id_is_believed_at_its_first_heartbeat) {
  UpstreamTracker tracker(HeartbeatInterval);
  tracker.applyHeartbeat(heartbeat("i-1", 10, 5), Now);
  tracker.applyHeartbeat(heartbeat("i-1", 10, 6), Now + 1500);
  Announcement restarted = heartbeat("i-1", 20, 1);
  restarted.Version = VersionLabel("v2");
  // Also while the settings still name the service of before.
  restarted.Service = ServiceName("t");
  tracker.setConfiguredService(ServiceName("s"));
  BOOST_TEST((tracker.applyHeartbeat(restarted, Now + 2100) == HeartbeatResult::Changed));
  BOOST_TEST(tracker.current()->Version.str() == "v2");
  // A held-up heartbeat of the process of before.
  BOOST_TEST(
      (tracker.applyHeartbeat(heartbeat("i-1", 10, 7), Now + 2200) == HeartbeatResult::Unproved));
}

// Guards against a living upstream that a restarted node keeps out because a held-up heartbeat of
// its predecessor arrived first.
BOOST_AUTO_TEST_CASE(later_process_replaces_one_that_has_not_been_heard_to_beat) {
  UpstreamTracker tracker(HeartbeatInterval);
  // Two held-up heartbeats that arrive together show no more than one.
  tracker.applyHeartbeat(heartbeat("i-1", 10, 5), Now);
  tracker.applyHeartbeat(heartbeat("i-1", 10, 6), Now + 10);
  BOOST_TEST(
      (tracker.applyHeartbeat(heartbeat("i-2", 20, 1), Now + 200) == HeartbeatResult::Changed));
  BOOST_TEST(
      (tracker.applyHeartbeat(heartbeat("i-1", 10, 7), Now + 300) == HeartbeatResult::Unproved));
  BOOST_TEST(tracker.current()->ID.str() == "i-2");
}

// Guards against a living upstream that is replaced while its settings are late, by a held-up
// heartbeat of the service that they still name.
BOOST_AUTO_TEST_CASE(late_settings_do_not_replace_a_process_that_beats) {
  const auto living = [](std::uint64_t sequence) {
    return ofService("t", heartbeat("i-2", 20, sequence));
  };
  UpstreamTracker tracker(HeartbeatInterval);
  tracker.setConfiguredService(ServiceName("s"));
  tracker.applyHeartbeat(living(1), Now);
  tracker.applyHeartbeat(living(2), Now + 1500);
  const Announcement old = heartbeat("i-1", 10, 40);
  BOOST_TEST((tracker.applyHeartbeat(old, Now + 1600) == HeartbeatResult::Unproved));
  BOOST_TEST(tracker.current()->ID.str() == "i-2");
  // Settings that change say that it is gone.
  tracker.setConfiguredService(ServiceName("u"));
  const Announcement next = ofService("u", heartbeat("i-3", 5, 1));
  BOOST_TEST((tracker.applyHeartbeat(next, Now + 1700) == HeartbeatResult::Changed));
}

// Guards against a living upstream that stays out for good because a held-up withdrawal of an
// earlier process with its ID arrived.
BOOST_AUTO_TEST_CASE(process_that_beats_long_after_its_withdrawal_is_back) {
  UpstreamTracker tracker(HeartbeatInterval);
  tracker.applyHeartbeat(heartbeat("i-1", 10, 5), Now);
  tracker.withdraw(UpstreamID("i-1"), Now + 100, 30);
  std::uint64_t sequence = 5;
  DurationMs after = HeartbeatInterval;
  for (; after < TombstoneTime; after += HeartbeatInterval) {
    BOOST_TEST((tracker.applyHeartbeat(heartbeat("i-1", 10, ++sequence), Now + after) ==
                HeartbeatResult::Stale));
    BOOST_TEST(!tracker.acceptsWork());
  }
  // One heartbeat may have been held up for as long, and so may one that is received twice.
  after += HeartbeatInterval;
  for (const DurationMs later : {0, 1500})
    BOOST_TEST((tracker.applyHeartbeat(heartbeat("i-1", 10, sequence + 1), Now + after + later) ==
                HeartbeatResult::Stale));
  after += 2 * HeartbeatInterval;
  BOOST_TEST((tracker.applyHeartbeat(heartbeat("i-1", 10, sequence + 2), Now + after) ==
              HeartbeatResult::Changed));
  BOOST_TEST(tracker.acceptsWork());
  BOOST_TEST(!tracker.departure().has_value());
}

// Guards against an acknowledged drain that is forgotten because another process was believed.
BOOST_AUTO_TEST_CASE(drain_of_a_process_that_is_not_believed_yet_is_kept) {
  UpstreamTracker tracker(HeartbeatInterval);
  tracker.applyHeartbeat(heartbeat("i-1", 10, 5), Now);
  tracker.applyHeartbeat(heartbeat("i-1", 10, 6), Now + HeartbeatInterval);
  const Announcement draining = heartbeat("i-2", 20, 7, true);
  BOOST_TEST((tracker.applyHeartbeat(draining, Now + 1600) == HeartbeatResult::Unproved));
  BOOST_TEST((tracker.departureOf(draining) == UpstreamDeparture{UpstreamID("i-2"), 21, 7}));
  BOOST_TEST(!tracker.departureOf(heartbeat("i-1", 10, 6)).has_value());
  // Its heartbeats from before the drain arrive late, and the other process falls silent.
  for (const std::uint64_t sequence : {5, 6})
    BOOST_TEST((tracker.applyHeartbeat(heartbeat("i-2", 20, sequence), Now + sequence * 1000) ==
                HeartbeatResult::Stale));
  BOOST_TEST(tracker.current()->ID.str() == "i-1");
}

// Guards against a living process that is kept out because each late heartbeat of an earlier one
// starts the wait for its next heartbeat again.
BOOST_AUTO_TEST_CASE(late_heartbeats_between_those_of_a_process_do_not_keep_it_out) {
  UpstreamTracker tracker(HeartbeatInterval);
  // The clock of the process that has ended was ahead of the living one's.
  tracker.applyHeartbeat(heartbeat("i-3", 90, 5), Now);
  TimeMs now = Now + Silence;
  for (std::uint64_t sequence = 1; sequence <= 4; ++sequence) {
    tracker.applyHeartbeat(heartbeat("i-2", 20, sequence), now);
    tracker.applyHeartbeat(heartbeat("i-1", 10, 40 + sequence), now + HeartbeatInterval / 2);
    now += HeartbeatInterval;
  }
  BOOST_TEST(tracker.current()->ID.str() == "i-2");
  BOOST_TEST(tracker.acceptsWork());
}
