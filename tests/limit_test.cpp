/// @file limit_test.cpp Limits of requests per second that upstreams name in their responses.
#define BOOST_TEST_MODULE limit
#include <boost/test/unit_test.hpp>

#include "admission/gate_base.h"
#include "balance/placement.h"
#include "platform_environment.h"
#include "traffic/response_check.h"

#include <cmath>
#include <deque>
#include <random>

using namespace jasmineloom;

namespace {

constexpr TimeMs Now = 10000000;
/// Requests that may reach an upstream in a window of WindowMs: this multiple of what its limit
/// allows, and ExtraRequests.
constexpr double AllowedFactor = 1.5;
constexpr double ExtraRequests = 5;
constexpr DurationMs WindowMs = 4 * MsPerSecond;
constexpr double BusySeconds = 3;

HttpResult responseWith(int status, HeaderFields fields, bool matched = true) {
  HttpResult result;
  result.Complete = true;
  result.Status = status;
  result.Headers = std::move(fields);
  result.Matched = matched;
  return result;
}

LimitStatement statementOf(const HttpResult &result) {
  const HttpHeaderNames names = platform::platformEnvironment().Http;
  return limitStatementOf(names, result, classifyResponse(names, result, "r1"));
}

Gate openGate(const std::string &id = "i-1", TimeMs processStart = 0) {
  Gate gate;
  gate.setUpstream({ServiceName("s"), VersionLabel("v1"), 100, id, processStart});
  return gate;
}

GateRequest request(GateTicket ticket, TimeMs deadline, bool mayQueue = false) {
  GateRequest request{ticket, ServiceName("s"), VersionLabel("v1"), 1, deadline, ticket};
  request.MayQueue = mayQueue;
  return request;
}

} // namespace

BOOST_AUTO_TEST_CASE(no_window_has_more_requests_than_the_limit_allows) {
  for (const double limit : {0.0, 0.3, 1.0, 2.5, 5.0, 24.3, 300.0}) {
    for (std::uint32_t seed = 1; seed <= 5; ++seed) {
      std::mt19937 random(seed);
      Gate gate = openGate();
      gate.applyLimit(LimitNamed{limit}, Now);
      std::deque<TimeMs> starts;
      std::size_t most = 0;
      for (TimeMs now = Now; now < Now + 20000; ++now) {
        // The demand is ten times the limit for BusySeconds, then there is none.
        const bool busy = (now / 1500) % 3 != seed % 3;
        const double perMs = busy ? (10 * limit + 1) / MsPerSecond : 0;
        for (int n = std::poisson_distribution<int>(perMs)(random); n > 0; --n) {
          if (gate.admit(request(now, now + 1000), now).Result != Admission::Run)
            continue;
          gate.finish(now);
          starts.push_back(now);
        }
        while (!starts.empty() && starts.front() + WindowMs <= now)
          starts.pop_front();
        most = std::max(most, starts.size());
      }
      const double seconds = static_cast<double>(WindowMs) / MsPerSecond;
      BOOST_TEST_CONTEXT("limit " << limit << ", seed " << seed) {
        BOOST_TEST(static_cast<double>(most) <= AllowedFactor * limit * seconds + ExtraRequests);
        // The upstream is not starved, so that a response can lift the limit.
        BOOST_TEST(most >= 1U);
        BOOST_TEST(static_cast<double>(most) >= std::floor(limit * BusySeconds * 0.9));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(malformed_limits_state_nothing) {
  const HeaderField signature{"Server-Signature", "x"};
  for (const std::string &text :
       {std::string("-1"), std::string("-0"), std::string("nan"), std::string("inf"),
        std::string("1e999"), std::string(""), std::string("5, 7"), std::string("5 7"),
        std::string("many"), std::string(1 << 20, '9')}) {
    const LimitStatement statement =
        statementOf(responseWith(200, {signature, {"Server-Limit", text}}));
    BOOST_TEST(std::holds_alternative<NoLimitStatement>(statement), text.substr(0, 20));
  }
  BOOST_TEST(
      (statementOf(responseWith(200, {signature, {"Server-Limit", "5"}, {"server-limit", "7"}})) ==
       LimitStatement(NoLimitStatement{})));
}

BOOST_AUTO_TEST_CASE(only_the_upstreams_own_responses_name_or_lift_a_limit) {
  const HeaderField signature{"Server-Signature", "x"};
  const HeaderField limit{"Server-Limit", "0.3"};
  const HeaderField notRun{"Not-Executed", "1"};
  const LimitStatement named = LimitNamed{0.3};
  const LimitStatement lifted = LimitLifted{};
  const LimitStatement nothing = NoLimitStatement{};
  BOOST_TEST((statementOf(responseWith(200, {signature, limit})) == named));
  BOOST_TEST((statementOf(responseWith(500, {signature, limit})) == named));
  BOOST_TEST((statementOf(responseWith(503, {notRun, limit})) == named));
  BOOST_TEST((statementOf(responseWith(200, {signature})) == lifted));
  BOOST_TEST((statementOf(responseWith(500, {signature})) == lifted));
  // A refusal need not repeat the limit, and a failure without a signature may be another's.
  BOOST_TEST((statementOf(responseWith(503, {notRun})) == nothing));
  BOOST_TEST((statementOf(responseWith(502, {})) == nothing));
  BOOST_TEST((statementOf(responseWith(200, {limit})) == nothing));
  BOOST_TEST((statementOf(responseWith(503, {notRun, limit}, false)) == nothing));
  BOOST_TEST(
      (statementOf(responseWith(200, {signature, limit, {"Request-Id", "other"}})) == nothing));
}

BOOST_AUTO_TEST_CASE(a_limit_ends_with_the_process_that_named_it) {
  Gate gate = openGate("i-1", 1000);
  gate.applyLimit(LimitNamed{5}, Now);
  BOOST_TEST(gate.limit().perSecond() == 5.0);
  // The same ID is used again by a process that started later.
  gate.setUpstream({ServiceName("s"), VersionLabel("v1"), 100, "i-1", 2000});
  BOOST_TEST(!gate.limit().active());
  gate.adoptLimit(5, "i-1@1000", Now);
  BOOST_TEST(!gate.limit().active());
}

BOOST_AUTO_TEST_CASE(a_gate_that_starts_again_adopts_the_limit_that_other_nodes_know) {
  Gate gate = openGate("i-1", 1000);
  gate.adoptLimit(5, "i-1@1000", Now);
  BOOST_TEST(gate.limit().perSecond() == 5.0);
  // A response counts for more than what other nodes remember.
  gate.applyLimit(LimitLifted{}, Now + 10);
  gate.adoptLimit(5, "i-1@1000", Now + 20);
  BOOST_TEST(!gate.limit().active());
}

BOOST_AUTO_TEST_CASE(requests_beyond_a_limit_wait_or_are_refused_with_the_time_to_come_back) {
  Gate gate = openGate();
  gate.applyLimit(LimitNamed{2}, Now);
  BOOST_TEST((gate.admit(request(1, Now + 5000), Now).Result == Admission::Run));
  const AdmissionResult refused = gate.admit(request(2, Now + 5000), Now);
  BOOST_TEST((refused.Reason == Refusal::Busy));
  BOOST_TEST(refused.RetryAfter == 500U);
  BOOST_TEST((gate.admit(request(3, Now + 5000, true), Now).Result == Admission::Queued));
  // It can't start before its deadline, so it is refused at once.
  const AdmissionResult late = gate.admit(request(4, Now + 700, true), Now);
  BOOST_TEST((late.Reason == Refusal::Overloaded));
  BOOST_TEST(late.RetryAfter == 1000U);
  BOOST_TEST(gate.tick(Now + 499).Run.empty());
  BOOST_TEST(gate.tick(Now + 500).Run.size() == 1U);
}

BOOST_AUTO_TEST_CASE(an_upstream_whose_limit_is_used_up_is_not_chosen) {
  ServiceView view;
  for (const char *host : {"h0", "h1"})
    view.add({HostID(host), host, VersionLabel(), 12, true, 0, "i-1"});
  EndpointStats stats;
  for (const Endpoint &endpoint : view.Endpoints)
    stats.recordSeen(endpoint, Now);
  const LoadReport limited{0, 0, 10, 0, 2, 0, "i-1"};
  stats.recordLoad(HostID("h0"), limited, Now);
  stats.recordLoad(HostID("h1"), {6, 0, 100, 0}, Now);
  BOOST_TEST(!stats.hasFreeSlot(view.Endpoints[0], Now));
  BOOST_TEST(stats.hasFreeSlot(view.Endpoints[0], Now + 500));
  BOOST_TEST(stats.limitOf(view.Endpoints[0]) == 2.0);
  std::mt19937_64 random(1);
  for (int n = 0; n < 50; ++n)
    BOOST_TEST(chooseEndpoint(view, stats, {}, random, Now)->Host.str() == "h1");
  // A report of an earlier process says nothing about the present one.
  view.Endpoints[0].InstanceID = "i-2";
  BOOST_TEST(stats.hasFreeSlot(view.Endpoints[0], Now));
  BOOST_TEST(stats.limitOf(view.Endpoints[0]) == 0.0);
}

BOOST_AUTO_TEST_CASE(only_a_flag_in_the_upstreams_own_response_states_that_it_leaves) {
  const HttpHeaderNames names = platform::platformEnvironment().Http;
  const auto leaving = [&names](const HttpResult &result) {
    return statesLeaving(names, result, classifyResponse(names, result, "r1"));
  };
  const HeaderField signature{"Server-Signature", "x"};
  BOOST_TEST(leaving(responseWith(200, {signature, {"Server-Leaving", "1"}})));
  BOOST_TEST(leaving(responseWith(500, {signature, {"Server-Leaving", "1"}})));
  BOOST_TEST(leaving(responseWith(503, {{"Not-Executed", "1"}, {"Server-Leaving", "1"}})));
  BOOST_TEST(!leaving(responseWith(200, {signature, {"Server-Leaving", "0"}})));
  BOOST_TEST(!leaving(responseWith(200, {signature})));
  BOOST_TEST(!leaving(responseWith(200, {{"Server-Leaving", "1"}})));
}

BOOST_AUTO_TEST_CASE(the_pace_is_read_from_a_whole_load_only) {
  const HttpHeaderNames names = platform::platformEnvironment().Http;
  const auto pace = [&names](const std::string &load, const HeaderField &proof) {
    const HttpResult result = responseWith(200, {proof, {"Server-Load", load}});
    return paceOf(names, result, classifyResponse(names, result, "r1"));
  };
  const HeaderField signature{"Server-Signature", "x"};
  BOOST_TEST(pace("3,0,18,250", signature) == 250U);
  BOOST_TEST(pace("3,0,18,250", {"X", "x"}) == 0U);
  for (const char *load :
       {"", "3,0,18", "3,0,18,", "3,0,18,-5", "3,0,18,1e3", "3,0,18,0", "3,0,18,9", "3,0,18,10001",
        "3,0,18,99999999999", "3,0,18,250,1", "nan,0,18,x"})
    BOOST_TEST(pace(load, signature) == 0U, "load \"" << load << "\"");
}

BOOST_AUTO_TEST_CASE(an_upstream_that_has_stated_that_it_leaves_is_chosen_by_no_later_request) {
  ServiceView view;
  view.add({HostID("h0"), "h0", VersionLabel(), 12, true, 0, "i-1@5"});
  EndpointStats stats;
  stats.recordSeen(view.Endpoints[0], Now);
  std::mt19937_64 random(1);
  BOOST_TEST(chooseEndpoint(view, stats, {}, random, Now) != nullptr);
  stats.recordLeaving(HostID("h0"), "i-1@5");
  BOOST_TEST(chooseEndpoint(view, stats, {}, random, Now) == nullptr);
  BOOST_TEST(chooseEndpointForKey(view, "k", stats, {}, Now) == nullptr);
  // The next process at this host takes work.
  view.Endpoints[0].InstanceID = "i-1@6";
  BOOST_TEST(chooseEndpoint(view, stats, {}, random, Now) != nullptr);
}
