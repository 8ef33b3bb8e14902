/// @file store_duty_test.cpp Which nodes count as answered by the store.
#define BOOST_TEST_MODULE store_duty
#include <boost/test/unit_test.hpp>

#include "control/store_duty.h"
#include "mesh/mesh_timings.h"
#include "mesh/tree_func.h"

#include <vector>

using namespace jasmineloom;

namespace {

constexpr TimeMs Start = 100000;
constexpr DurationMs Limit = 500;
constexpr DurationMs ReturnTime = 3000;

/// How the store treats the calls of a node from Start on.
struct StoreFault {
  const char *Name;
  DurationMs FailsAfter;   ///< Time after which each call fails; 0: calls stay without an answer.
  DurationMs AnswersAfter; ///< Time after which each call is answered; 0: it fails.
};

/// @returns the longest silence of a node that calls a store under a fault again and again.
/// @param hold time for which the store may hold each call.
DurationMs longestSilence(const StoreFault &fault, DurationMs hold) {
  StoreContact contact;
  DurationMs longest = 0;
  TimeMs sentAt = Start;
  contact.recordCall(hold, sentAt);
  for (TimeMs now = Start; now < Start + 10000; now += 10) {
    const bool answered = fault.AnswersAfter != 0 && now >= sentAt + fault.AnswersAfter;
    const bool failed = fault.FailsAfter != 0 && now >= sentAt + fault.FailsAfter;
    longest = std::max(longest, contact.silence(now));
    if (!answered && !failed)
      continue;
    contact.recordEnd(answered, now);
    sentAt = now;
    contact.recordCall(hold, sentAt);
  }
  return longest;
}

} // namespace

// Guards against a root that keeps its duties although the store turns it away, in any of the ways
// in which a store may do so.
BOOST_AUTO_TEST_CASE(each_way_of_turning_a_node_away_is_noticed) {
  const std::vector<StoreFault> faults = {
      {"refused at once (503, 429, reset)", 10, 0},
      {"answer lost", 1000, 0},
      {"no answer, no end of the call", 0, 0},
      {"seconds late", 0, 4000},
  };
  for (const StoreFault &fault : faults) {
    for (const DurationMs hold : {DurationMs{0}, DurationMs{500}, DurationMs{1500}})
      BOOST_TEST(longestSilence(fault, hold) > Limit, fault.Name << ", hold " << hold);
  }
}

// Calm days must cost no calls: answers within the time for which the store may hold a watch, and a
// little later, are no silence.
BOOST_AUTO_TEST_CASE(answers_in_time_are_no_silence) {
  for (const DurationMs hold : {DurationMs{0}, DurationMs{500}, DurationMs{1500}}) {
    BOOST_TEST(longestSilence({"in time", 0, hold + 10}, hold) <= 10);
    BOOST_TEST(longestSilence({"slow", 0, hold + 400}, hold) <= Limit);
  }
  BOOST_TEST(StoreContact{}.silence(Start) == 0U);
}

BOOST_AUTO_TEST_CASE(one_answer_ends_a_silence) {
  StoreContact contact;
  contact.recordCall(0, Start);
  contact.recordEnd(false, Start + 5);
  contact.recordCall(0, Start + 100);
  contact.recordEnd(false, Start + 105);
  BOOST_TEST(contact.silence(Start + 200) == 200U);
  contact.recordCall(0, Start + 300);
  contact.recordEnd(true, Start + 304);
  BOOST_TEST(contact.silence(Start + 400) == 0U);
}

// A root that is answered now and then, or comes back, gets its duties only after a while without
// silence, so that the two do not change places with each answer.
BOOST_AUTO_TEST_CASE(a_root_counts_again_some_time_after_its_last_silence) {
  StoreStatements statements(ReturnTime);
  const HostID root("r1");
  BOOST_TEST(statements.isAnswered(root, Start));
  for (TimeMs now = Start; now < Start + 20000; now += 1000) {
    statements.record(root, now % 2000 == 0, now);
    BOOST_TEST(!statements.isAnswered(root, now));
  }
  const TimeMs last = Start + 18000;
  statements.record(root, false, last + 2500);
  BOOST_TEST(!statements.isAnswered(root, last + ReturnTime - 1));
  BOOST_TEST(statements.isAnswered(root, last + ReturnTime));
  BOOST_TEST(statements.isAnswered(HostID("r2"), Start));
}

// Guards against a duty that counts as done because the link to its holder works. Each root may be
// answered by the store, turned away by it, or down.
BOOST_AUTO_TEST_CASE(as_many_roots_read_the_store_as_can) {
  constexpr std::size_t Roots = 6;
  constexpr int States = 3;
  constexpr int Cases = 729; // States to the power of Roots.
  for (int draw = 0; draw < Cases; ++draw) {
    std::vector<RootContact> before;
    std::size_t answered = 0;
    std::size_t readers = 0;
    std::size_t standIns = 0;
    int left = draw;
    for (std::size_t n = 0; n < Roots; ++n, left /= States) {
      const RootContact root{left % States != 2, left % States == 0};
      const StoreDuty duty = storeDutyOf(true, before);
      answered += root.Responds && root.IsAnswered ? 1 : 0;
      readers += root.Responds && root.IsAnswered && duty != StoreDuty::None ? 1 : 0;
      standIns += duty == StoreDuty::StandIn ? 1 : 0;
      before.push_back(root);
    }
    BOOST_TEST(readers == std::min<std::size_t>(answered, StoreRoots), "case " << draw);
    if (draw == 0)
      BOOST_TEST(standIns == 0U);
    BOOST_TEST((storeDutyOf(false, before) == StoreDuty::None));
  }
}

// A silent root states it with each exchange; it must not count again between two of them.
BOOST_AUTO_TEST_CASE(a_silence_is_stated_again_before_it_is_forgotten) {
  for (const DurationMs bound : {DurationMs{500}, DurationMs{2000}, DurationMs{3000},
                                 DurationMs{19000}, DurationMs{60000}}) {
    const MeshTimings times = MeshTimings::forPropagationBound(bound);
    BOOST_TEST(times.StoreReturnTime > times.ExchangeHold + times.LinkResponseTimeout,
               "bound " << bound);
  }
}
