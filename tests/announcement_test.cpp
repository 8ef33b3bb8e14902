/// @file announcement_test.cpp Heartbeats that are delayed, duplicated, reordered or sent by a
/// process that has ended.
#define BOOST_TEST_MODULE announcement
#include <boost/test/unit_test.hpp>

#include "traffic/announcement.h"

using namespace jasmineloom;

namespace {

constexpr TimeMs Now = 1000;
constexpr DurationMs HeartbeatTimeout = 6000;

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
  UpstreamTracker tracker(HeartbeatTimeout);
  BOOST_TEST((tracker.applyHeartbeat(heartbeat("i-1", 10, 5), Now) == HeartbeatResult::Changed));
  BOOST_TEST((tracker.applyHeartbeat(heartbeat("i-1", 10, 6), Now) == HeartbeatResult::Renewed));
  BOOST_TEST(
      (tracker.applyHeartbeat(heartbeat("i-1", 10, 7, true), Now) == HeartbeatResult::Changed));
  BOOST_TEST((tracker.applyHeartbeat(heartbeat("i-1", 10, 6), Now) == HeartbeatResult::Stale));
  BOOST_TEST((tracker.applyHeartbeat(heartbeat("i-1", 10, 7), Now) == HeartbeatResult::Stale));
  BOOST_TEST(!tracker.acceptsWork());
}

BOOST_AUTO_TEST_CASE(a_later_process_replaces_an_earlier_one_but_never_the_reverse) {
  UpstreamTracker tracker(HeartbeatTimeout);
  tracker.applyHeartbeat(heartbeat("i-1", 10, 50), Now);
  BOOST_TEST((tracker.applyHeartbeat(heartbeat("i-2", 20, 1), Now) == HeartbeatResult::Changed));
  // A delayed heartbeat of the crashed process arrives.
  BOOST_TEST((tracker.applyHeartbeat(heartbeat("i-1", 10, 51), Now) == HeartbeatResult::Stale));
  BOOST_TEST(tracker.current()->ID.str() == "i-2");
  // A restart under the same ID begins a new sequence.
  BOOST_TEST((tracker.applyHeartbeat(heartbeat("i-2", 30, 1), Now) == HeartbeatResult::Changed));
  BOOST_TEST((tracker.applyHeartbeat(heartbeat("i-2", 20, 9), Now) == HeartbeatResult::Stale));
}

BOOST_AUTO_TEST_CASE(a_restarted_node_keeps_a_tombstone_for_a_deregistered_upstream) {
  // The node restarts, the upstream deregisters, and an earlier heartbeat arrives afterwards.
  UpstreamTracker tracker(HeartbeatTimeout);
  BOOST_TEST(!tracker.withdraw(UpstreamID("i-1"), Now, 500));
  BOOST_TEST(
      (tracker.applyHeartbeat(heartbeat("i-1", 10, 7), Now + 2200) == HeartbeatResult::Stale));
  BOOST_TEST(!tracker.acceptsWork());
  // Another upstream, or a later process with the same ID, is accepted.
  BOOST_TEST(
      (tracker.applyHeartbeat(heartbeat("i-1", 600, 1), Now + 2300) == HeartbeatResult::Changed));
  BOOST_TEST(tracker.acceptsWork());
  UpstreamTracker other(HeartbeatTimeout);
  other.withdraw(UpstreamID("i-1"), Now, 500);
  BOOST_TEST(
      (other.applyHeartbeat(heartbeat("i-2", 10, 7), Now + 2200) == HeartbeatResult::Changed));
  BOOST_TEST(other.acceptsWork());
}

BOOST_AUTO_TEST_CASE(a_deregistered_upstream_stays_out_until_it_restarts) {
  UpstreamTracker tracker(HeartbeatTimeout);
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
  UpstreamTracker tracker(HeartbeatTimeout);
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
  UpstreamTracker tracker(HeartbeatTimeout);
  BOOST_TEST((tracker.applyHeartbeat(heartbeat("", 0, 0), Now) == HeartbeatResult::Changed));
  BOOST_TEST((tracker.applyHeartbeat(heartbeat("", 0, 0), Now) == HeartbeatResult::Renewed));
  BOOST_TEST((tracker.applyHeartbeat(heartbeat("", 0, 0, true), Now) == HeartbeatResult::Changed));
  BOOST_TEST((tracker.applyHeartbeat(heartbeat("", 0, 0), Now) == HeartbeatResult::Changed));
}

BOOST_AUTO_TEST_CASE(
    an_upstream_that_leaves_by_its_responses_accepts_no_work_whatever_its_heartbeats) {
  UpstreamTracker tracker(HeartbeatTimeout);
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
    UpstreamTracker before(HeartbeatTimeout);
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
        UpstreamTracker after(HeartbeatTimeout);
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
  UpstreamTracker tracker(HeartbeatTimeout);
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
