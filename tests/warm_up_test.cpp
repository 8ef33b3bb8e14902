/// @file warm_up_test.cpp Warm-up limits: requests per second that a cold upstream gets from all
/// nodes, and when its gate takes it for cold.
#define BOOST_TEST_MODULE warm_up
#include <boost/test/unit_test.hpp>

#include "admission/gate_base.h"
#include "platform_environment.h"
#include "traffic/response_check.h"

#include <deque>

using namespace jasmineloom;

namespace {

constexpr TimeMs Now = 1000000;
constexpr WarmUpPolicy Policy{3 * MsPerSecond, 17};
/// Requests of one second that a cold upstream may get.
constexpr std::size_t AllowedInSecond = 17 + 9;

Gate gateWithLimit(TimeMs now) {
  Gate gate;
  gate.setUpstream({ServiceName("s"), VersionLabel("v1"), 8, "u"}, now);
  gate.warmUp().setPolicy(Policy, now);
  return gate;
}

/// A gate whose upstream is known to be warm.
Gate warmGate(TimeMs now) {
  Gate gate = gateWithLimit(now);
  gate.warmUp().recordHealth(0, now, now);
  return gate;
}

/// Offers 500 requests per second and ends each after 10 ms.
/// @returns the most that started within one second.
std::size_t busiestSecond(Gate &gate, TimeMs from, DurationMs time) {
  std::deque<TimeMs> starts;
  std::size_t most = 0;
  GateTicket ticket = 0;
  std::deque<TimeMs> ends;
  for (TimeMs now = from; now < from + time; now += 2) {
    while (!ends.empty() && ends.front() <= now) {
      gate.finish(now);
      gate.warmUp().recordResponse(now);
      ends.pop_front();
    }
    GateRequest request{++ticket, ServiceName("s"), VersionLabel("v1"), 1, now + 1000, ticket};
    request.MayQueue = false;
    if (gate.admit(request, now).Result != Admission::Run)
      continue;
    ends.push_back(now + 10);
    starts.push_back(now);
    while (starts.front() + MsPerSecond <= now)
      starts.pop_front();
    most = std::max(most, starts.size());
  }
  for (; !ends.empty(); ends.pop_front())
    gate.finish(from + time);
  return most;
}

HttpResult healthResponse(int status, HeaderFields fields) {
  HttpResult result;
  result.Complete = true;
  result.Status = status;
  result.Headers = std::move(fields);
  return result;
}

} // namespace

// A cold upstream crashes at a rate well above its limit.
BOOST_AUTO_TEST_CASE(no_second_of_a_cold_upstream_has_more_requests_than_its_limit) {
  struct ColdCase {
    const char *Name;
    void (*Change)(Gate &, TimeMs);
  };
  const std::vector<ColdCase> cases = {
      {"by a heartbeat", [](Gate &gate, TimeMs now) { gate.warmUp().recordHeartbeat(5000, now); }},
      {"by its health response",
       [](Gate &gate, TimeMs now) {
         gate.warmUp().suspect(now);
         gate.warmUp().recordHealth(5000, now, now);
       }},
      {"unreachable", [](Gate &gate, TimeMs now) { gate.warmUp().suspect(now); }},
      {"another process",
       [](Gate &gate, TimeMs now) {
         gate.setUpstream({ServiceName("s"), VersionLabel("v1"), 8, "u2"}, now);
       }},
      {"evacuation taken back", [](Gate &gate, TimeMs now) {
         gate.setEvacuated(true, now);
         gate.setEvacuated(false, now);
       }}};
  for (const ColdCase &it : cases) {
    Gate gate = warmGate(Now);
    BOOST_TEST(busiestSecond(gate, Now, 2000) > 100, it.Name);
    it.Change(gate, Now + 2000);
    const std::size_t most = busiestSecond(gate, Now + 2000, 3000);
    BOOST_TEST(most <= AllowedInSecond, it.Name << " " << most);
    BOOST_TEST(most >= 17, it.Name << " " << most);
  }
}

BOOST_AUTO_TEST_CASE(gate_that_has_just_started_takes_its_upstream_for_cold) {
  Gate gate = gateWithLimit(Now);
  BOOST_TEST(busiestSecond(gate, Now, 1900) <= AllowedInSecond);
  BOOST_TEST(gate.warmUp().wantsHealth(Now + 1900));
  gate.warmUp().recordQuestion(Now + 1900);
  BOOST_TEST(!gate.warmUp().wantsHealth(Now + 1901));
  gate.warmUp().recordHealth(0, Now + 1900, Now + 1902);
  BOOST_TEST(gate.limitPerSecond(Now + 1902) == 0);
  BOOST_TEST(busiestSecond(gate, Now + 1902, 1000) > 100);
}

// Answers an upstream that was away without a refused connection and came back cold.
BOOST_AUTO_TEST_CASE(silence_makes_an_upstream_unproved_once) {
  WarmUp warmUp;
  warmUp.setPolicy(Policy, Now);
  warmUp.recordHealth(0, Now, Now);
  warmUp.recordArrival(Now + MaxSilence - 1);
  BOOST_TEST(!warmUp.active(Now + MaxSilence - 1));
  const TimeMs suspected = Now + MaxSilence;
  warmUp.recordArrival(suspected);
  BOOST_TEST(warmUp.active(suspected));
  // A question sent before the silence was noticed proves nothing.
  warmUp.recordHealth(0, suspected - 1, suspected + 1);
  BOOST_TEST(warmUp.active(suspected + 1));
  warmUp.recordHealth(0, suspected + 1, suspected + 2);
  BOOST_TEST(!warmUp.active(suspected + 2));
  // The first response after a silence without arrivals.
  warmUp.recordResponse(suspected + 2 + MaxSilence);
  BOOST_TEST(warmUp.active(suspected + 2 + MaxSilence));
}

// Answers an upstream whose health path states nothing.
BOOST_AUTO_TEST_CASE(unproved_upstream_is_warm_a_warm_up_time_after_its_first_response) {
  WarmUp warmUp;
  warmUp.setPolicy(Policy, Now);
  BOOST_TEST(warmUp.active(Now + 60000));
  warmUp.recordResponse(Now + 60000);
  for (TimeMs now = Now + 60500; now < Now + 63000; now += 500)
    warmUp.recordResponse(now);
  BOOST_TEST(warmUp.active(Now + 62999));
  BOOST_TEST(!warmUp.active(Now + 63000));
}

BOOST_AUTO_TEST_CASE(service_without_a_limit_is_neither_limited_nor_asked) {
  Gate gate;
  gate.setUpstream({ServiceName("s"), VersionLabel("v1"), 8, "u"}, Now);
  gate.warmUp().recordHeartbeat(5000, Now);
  BOOST_TEST(busiestSecond(gate, Now, 2000) > 100);
  BOOST_TEST(!gate.warmUp().wantsHealth(Now + 2000));
  BOOST_TEST(gate.limitPerSecond(Now + 2000) == 0);
}

// A request that would wait past its deadline is refused at once with the time to come back.
BOOST_AUTO_TEST_CASE(request_that_waits_too_long_for_a_cold_upstream_is_refused_with_a_time) {
  Gate gate = gateWithLimit(Now);
  GateRequest request{1, ServiceName("s"), VersionLabel("v1"), 1, Now + 400, 1};
  BOOST_TEST((gate.admit(request, Now).Result == Admission::Run));
  AdmissionResult result;
  while (result.Reason == Refusal::None) {
    ++request.Ticket;
    result = gate.admit(request, Now);
  }
  BOOST_TEST((result.Reason == Refusal::WarmingUp));
  BOOST_TEST(result.RetryAfter > 400);
  BOOST_TEST(gate.queued() == 6U);
}

BOOST_AUTO_TEST_CASE(health_responses_state_the_remaining_warm_up_time) {
  const HttpHeaderNames names = platform::platformEnvironment().Http;
  struct HealthCase {
    int Status;
    HeaderFields Fields;
    std::optional<DurationMs> Expected;
  };
  const std::vector<HealthCase> cases = {
      {200, {{"Instance-Id", "u"}, {"Cold-Remaining", "1500"}}, 1500},
      {503, {{"Instance-Id", "u"}, {"Cold-Remaining", "1500"}}, 1500},
      {200, {{"Instance-Id", "u"}}, 0},
      {503, {{"Instance-Id", "u"}}, std::nullopt},
      {404, {}, std::nullopt},
      {421, {{"Instance-Id", "other"}}, std::nullopt},
      {200, {{"Instance-Id", "other"}, {"Cold-Remaining", "0"}}, std::nullopt},
      {200, {{"Instance-Id", "u"}, {"Cold-Remaining", "soon"}}, std::nullopt}};
  for (const HealthCase &it : cases)
    BOOST_TEST((warmUpLeftOf(names, healthResponse(it.Status, it.Fields), "u") == it.Expected));
  BOOST_TEST((warmUpLeftOf(names, HttpResult{}, "u") == std::nullopt));
}
