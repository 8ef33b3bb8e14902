/// @file announcement_test.cpp Heartbeats that come late, twice, out of order or from the dead.
#define BOOST_TEST_MODULE announcement
#include <boost/test/unit_test.hpp>

#include "traffic/announcement.h"

using namespace jasmineloom;

namespace {

constexpr TimeMs Now = 1000;
constexpr DurationMs Silence = 6000;

Announcement beat(const char *id, TimeMs born, std::uint64_t sequence, bool draining = false) {
  Announcement announcement;
  announcement.ID = UpstreamID(id);
  announcement.ProcessStart = born;
  announcement.Sequence = sequence;
  announcement.Service = ServiceName("s");
  announcement.Version = VersionLabel("v1");
  announcement.Address = "10.0.0.1:80";
  announcement.Slots = 9;
  announcement.Draining = draining;
  return announcement;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_late_heartbeat_changes_nothing) {
  UpstreamTracker known(Silence);
  BOOST_TEST((known.applyHeartbeat(beat("i-1", 10, 5), Now) == HeartbeatResult::Changed));
  BOOST_TEST((known.applyHeartbeat(beat("i-1", 10, 6), Now) == HeartbeatResult::Renewed));
  BOOST_TEST((known.applyHeartbeat(beat("i-1", 10, 7, true), Now) == HeartbeatResult::Changed));
  BOOST_TEST((known.applyHeartbeat(beat("i-1", 10, 6), Now) == HeartbeatResult::Stale));
  BOOST_TEST((known.applyHeartbeat(beat("i-1", 10, 7), Now) == HeartbeatResult::Stale));
  BOOST_TEST(!known.acceptsWork());
}

BOOST_AUTO_TEST_CASE(a_new_start_replaces_the_old_one_and_not_the_other_way_round) {
  UpstreamTracker known(Silence);
  known.applyHeartbeat(beat("i-1", 10, 50), Now);
  BOOST_TEST((known.applyHeartbeat(beat("i-2", 20, 1), Now) == HeartbeatResult::Changed));
  // A heartbeat of the one that crashed was held up on its way.
  BOOST_TEST((known.applyHeartbeat(beat("i-1", 10, 51), Now) == HeartbeatResult::Stale));
  BOOST_TEST(known.current()->ID.str() == "i-2");
  // The same id may start again; its count starts anew.
  BOOST_TEST((known.applyHeartbeat(beat("i-2", 30, 1), Now) == HeartbeatResult::Changed));
  BOOST_TEST((known.applyHeartbeat(beat("i-2", 20, 9), Now) == HeartbeatResult::Stale));
}

BOOST_AUTO_TEST_CASE(a_node_that_has_just_started_remembers_who_left) {
  // The node restarts, the upstream says that it leaves, and a heartbeat from before comes late.
  UpstreamTracker known(Silence);
  BOOST_TEST(!known.withdraw(UpstreamID("i-1"), Now, 500));
  BOOST_TEST((known.applyHeartbeat(beat("i-1", 10, 7), Now + 2200) == HeartbeatResult::Stale));
  BOOST_TEST(!known.acceptsWork());
  // Another upstream, or a later start under the same id, takes work.
  BOOST_TEST((known.applyHeartbeat(beat("i-1", 600, 1), Now + 2300) == HeartbeatResult::Changed));
  BOOST_TEST(known.acceptsWork());
  UpstreamTracker other(Silence);
  other.withdraw(UpstreamID("i-1"), Now, 500);
  BOOST_TEST((other.applyHeartbeat(beat("i-2", 10, 7), Now + 2200) == HeartbeatResult::Changed));
  BOOST_TEST(other.acceptsWork());
}

BOOST_AUTO_TEST_CASE(one_that_has_left_stays_away_until_it_starts_again) {
  UpstreamTracker known(Silence);
  known.applyHeartbeat(beat("i-1", 10, 5), Now);
  BOOST_TEST(!known.withdraw(UpstreamID("i-0"), Now, 30));
  BOOST_TEST(known.acceptsWork());
  BOOST_TEST(known.withdraw(UpstreamID("i-1"), Now, 30));
  BOOST_TEST(!known.acceptsWork());
  BOOST_TEST((known.applyHeartbeat(beat("i-1", 10, 6), Now) == HeartbeatResult::Stale));
  BOOST_TEST(!known.acceptsWork());
  BOOST_TEST((known.applyHeartbeat(beat("i-1", 40, 1), Now) == HeartbeatResult::Changed));
  BOOST_TEST(known.acceptsWork());
}

BOOST_AUTO_TEST_CASE(silence_is_told_once_and_a_heartbeat_ends_it) {
  UpstreamTracker known(Silence);
  BOOST_TEST(!known.checkTimeout(Now));
  known.applyHeartbeat(beat("i-1", 10, 5), Now);
  BOOST_TEST(!known.checkTimeout(Now + Silence - 1));
  BOOST_TEST(known.checkTimeout(Now + Silence));
  BOOST_TEST(!known.checkTimeout(Now + Silence + 1));
  BOOST_TEST(!known.acceptsWork());
  BOOST_TEST(
      (known.applyHeartbeat(beat("i-1", 10, 6), Now + Silence + 2) == HeartbeatResult::Changed));
  BOOST_TEST(known.acceptsWork());
}

BOOST_AUTO_TEST_CASE(announcements_without_identity_follow_each_other) {
  UpstreamTracker known(Silence);
  BOOST_TEST((known.applyHeartbeat(beat("", 0, 0), Now) == HeartbeatResult::Changed));
  BOOST_TEST((known.applyHeartbeat(beat("", 0, 0), Now) == HeartbeatResult::Renewed));
  BOOST_TEST((known.applyHeartbeat(beat("", 0, 0, true), Now) == HeartbeatResult::Changed));
  BOOST_TEST((known.applyHeartbeat(beat("", 0, 0), Now) == HeartbeatResult::Changed));
}
