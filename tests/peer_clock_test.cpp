/// @file peer_clock_test.cpp Deadlines of requests that are held up on a full link.
#define BOOST_TEST_MODULE peer_clock
#include <boost/test/unit_test.hpp>

#include "admission/gate_base.h"
#include "balance/peer_clock.h"

using namespace jasmineloom;

namespace {

constexpr std::uint64_t Incarnation = 7;
/// Difference between the clocks of the gate and the sender.
constexpr TimeMs GateAhead = 500000;
const HostID GateHost("h2");

} // namespace

BOOST_AUTO_TEST_CASE(times_survive_the_way_between_nodes) {
  const PeerTime time{Incarnation, 123456};
  BOOST_TEST((decodePeerTime(encodePeerTime(time)) == time));
  for (const char *text : {"", "7", "7,", ",5", "7,x", "-1,5"})
    BOOST_TEST(!decodePeerTime(text).has_value(), text);
}

// Load: bodies fill the link to a gate, so that a small request waits behind them for seconds, and
// the sender's close behind the request. Guards against requests that run after their callers left.
BOOST_AUTO_TEST_CASE(a_request_that_was_held_up_past_its_deadline_is_not_run) {
  PeerClocks clocks;
  // Of two responses the second was held up by 800 ms.
  clocks.record(GateHost, {Incarnation, GateAhead + 1000}, 1001);
  clocks.record(GateHost, {Incarnation, GateAhead + 1200}, 2000);
  constexpr TimeMs SentAt = 3000;
  constexpr DurationMs Left = 1200;
  const std::optional<PeerTime> stated = clocks.timeAt(GateHost, SentAt + Left);
  BOOST_REQUIRE(stated.has_value());
  struct Case {
    DurationMs HeldUp;
    Refusal Expected;
  };
  for (const Case &it :
       {Case{1, Refusal::None}, Case{900, Refusal::None}, Case{2500, Refusal::Deadline}}) {
    const TimeMs now = GateAhead + SentAt + it.HeldUp;
    Gate gate;
    gate.setUpstream({ServiceName("s"), VersionLabel("v1"), 4, "i-1"}, now);
    GateRequest request;
    request.Service = ServiceName("s");
    request.Version = VersionLabel("v1");
    request.Deadline = statedDeadline(now + Left, stated, Incarnation);
    BOOST_TEST((gate.admit(request, now).Reason == it.Expected), it.HeldUp);
  }
}

BOOST_AUTO_TEST_CASE(the_clock_of_another_process_counts_for_nothing) {
  PeerClocks clocks;
  BOOST_TEST(!clocks.timeAt(GateHost, 1000).has_value());
  BOOST_TEST(statedDeadline(5000, std::nullopt, Incarnation) == 5000U);
  BOOST_TEST(statedDeadline(5000, PeerTime{Incarnation - 1, 10}, Incarnation) == 5000U);
  clocks.record(GateHost, {Incarnation, 900000}, 1000);
  // The host has started again with another clock.
  clocks.record(GateHost, {Incarnation + 1, 2000}, 1100);
  BOOST_TEST((clocks.timeAt(GateHost, 1200) == PeerTime{Incarnation + 1, 2100}));
}
