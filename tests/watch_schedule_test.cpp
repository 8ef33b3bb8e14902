/// @file watch_schedule_test.cpp Watches of the document during and after a silence of the store.
#define BOOST_TEST_MODULE watch_schedule
#include <boost/test/unit_test.hpp>

#include "control/watch_schedule.h"
#include "mesh/mesh_timings.h"
#include "mesh/tree_func.h"
#include "store/store_client.h"

#include <algorithm>
#include <vector>

using namespace jasmineloom;

namespace {

/// Limits of the backoff after a failure; it doubles, and the delay is at most twice as long.
constexpr DurationMs MinBackoff = 50;
constexpr DurationMs MaxBackoff = 800;

/// One watcher of a data centre.
struct Watcher {
  WatchSchedule Schedule;
  WatchShare Share;
  TimeMs SentAt = 0;
  DurationMs Hold = 0;
  DurationMs Backoff = 0;

  void send(TimeMs now) {
    SentAt = now;
    Hold = Schedule.nextHold(Share);
  }
};

/// Silence of the store: watches that are sent or pending in it are never answered.
struct Silence {
  TimeMs From = 0;
  TimeMs To = 0;
};

/// @returns the time from the end of the silence until one of the watchers has sent a watch that is
/// answered.
DurationMs deafTime(std::vector<Watcher> watchers, Silence silence) {
  for (;;) {
    const auto next = std::min_element(watchers.begin(), watchers.end(),
                                       [&](const Watcher &left, const Watcher &right) {
                                         return left.SentAt + left.Hold < right.SentAt + right.Hold;
                                       });
    if (next->SentAt >= silence.To)
      return next->SentAt - silence.To;
    const TimeMs end = next->SentAt + next->Hold;
    if (end < silence.From) {
      next->Schedule.recordAnswer(false);
      next->Backoff = 0;
      next->send(end);
      continue;
    }
    next->Schedule.recordFailure();
    next->Backoff = std::clamp(2 * next->Backoff, MinBackoff, MaxBackoff);
    next->send(end + StoreTimeout + 2 * next->Backoff);
  }
}

std::vector<Watcher> watchersOf(std::size_t count, DurationMs period, TimeMs now) {
  std::vector<Watcher> watchers;
  for (std::size_t rank = 0; rank < count; ++rank) {
    watchers.push_back({WatchSchedule(period), {rank, count}, 0, 0, 0});
    watchers.back().send(now);
  }
  return watchers;
}

} // namespace

// Guards against a store that answers again while every node is deaf to it.
BOOST_AUTO_TEST_CASE(no_phase_or_length_of_a_silence_leaves_a_data_centre_deaf) {
  constexpr DurationMs Bound = 2 * MsPerSecond;
  // Machines count as in touch from this time after the end of a disruption on.
  constexpr DurationMs StableWindow = 3 * MsPerSecond;
  const DurationMs period = MeshTimings::forPropagationBound(Bound).WatchPeriod;
  constexpr TimeMs Start = 1000000;
  for (std::size_t count = 1; count <= 3; ++count) {
    for (TimeMs from = Start; from < Start + 10 * MsPerSecond; from += 50) {
      for (const DurationMs length : {50, 500, 1000, 2500, 4500, 9000, 25000}) {
        const DurationMs deaf = deafTime(watchersOf(count, period, Start), {from, from + length});
        BOOST_TEST(deaf <= StableWindow, count << " watchers, silence at " << from - Start
                                               << " ms, " << length << " ms long: deaf for "
                                               << deaf);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(watchers_take_turns_after_a_change) {
  for (std::size_t rank = 0; rank < 3; ++rank) {
    WatchSchedule schedule(1000);
    schedule.recordAnswer(true);
    BOOST_TEST(schedule.nextHold({rank, 3}) == 1000 * (rank + 1));
    schedule.recordAnswer(false);
    BOOST_TEST(schedule.nextHold({rank, 3}) == 3000U);
  }
}

BOOST_AUTO_TEST_CASE(after_a_failure_the_store_has_to_answer_before_it_holds_a_watch) {
  WatchSchedule schedule(1000);
  schedule.recordAnswer(false);
  schedule.recordFailure();
  BOOST_TEST(schedule.nextHold({2, 3}) == CatchUpHold);
  schedule.recordFailure();
  BOOST_TEST(schedule.nextHold({2, 3}) == CatchUpHold);
  schedule.recordAnswer(false);
  BOOST_TEST(schedule.nextHold({2, 3}) == 3000U);
  BOOST_TEST(schedule.nextHold({0, 3}) == 1000U);
}

BOOST_AUTO_TEST_CASE(hold_times_stay_within_what_the_store_allows) {
  constexpr DurationMs MaxHold = 30 * MsPerSecond;
  for (const DurationMs bound : {500, 2000, 3000, 19000, 600000}) {
    WatchSchedule schedule(MeshTimings::forPropagationBound(bound).WatchPeriod);
    schedule.recordAnswer(false);
    BOOST_TEST(schedule.nextHold({0, StoreRoots}) <= MaxHold);
  }
}
