/// @file placement_test.cpp Which upstream gets a request: room, speed, distance, failures, cold
/// starts.
#define BOOST_TEST_MODULE placement
#include <boost/test/unit_test.hpp>

#include "traffic/placement.h"
#include "traffic/response_check.h"
#include "traffic/retry_rule.h"

#include <map>

using namespace jasmineloom;

namespace {

constexpr TimeMs Now = 50000;

/// Three upstreams, the first in the own data centre.
ServiceView threeUpstreams() {
  ServiceView view;
  view.Name = ServiceName("s");
  view.Version = VersionLabel("v1");
  for (int n = 0; n < 3; ++n)
    view.add({HostID("h" + std::to_string(n)), "127.0.0.1:1", VersionLabel("v1"), 10, n == 0, 0,
              "u" + std::to_string(n)});
  return view;
}

std::map<std::string, int> drawn(const ServiceView &view, const EndpointStats &ledger) {
  std::map<std::string, int> counts;
  std::mt19937_64 random(7);
  for (int n = 0; n < 1000; ++n)
    ++counts[chooseEndpoint(view, ledger, {}, random, Now)->Host.str()];
  return counts;
}

} // namespace

BOOST_AUTO_TEST_CASE(work_stays_near_while_there_is_room) {
  const ServiceView view = threeUpstreams();
  EndpointStats ledger;
  for (const char *host : {"h0", "h1", "h2"})
    ledger.recordLoad(HostID(host), {3, 0, 100, 0}, Now);
  BOOST_TEST(drawn(view, ledger)["h0"] == 1000);
  // Full at the near one: everything leaves.
  ledger.recordLoad(HostID("h0"), {10, 0, 100, 0}, Now);
  BOOST_TEST(drawn(view, ledger)["h0"] == 0);
  // Full everywhere: the near one is one of those that are asked to let it wait.
  ledger.recordLoad(HostID("h1"), {10, 0, 100, 0}, Now);
  ledger.recordLoad(HostID("h2"), {10, 0, 100, 0}, Now);
  BOOST_TEST(drawn(view, ledger)["h0"] == 1000);
}

BOOST_AUTO_TEST_CASE(a_request_looks_for_a_slot_only_where_one_may_be) {
  const ServiceView view = threeUpstreams();
  std::mt19937_64 random(7);
  EndpointStats ledger;
  for (const char *host : {"h0", "h1", "h2"})
    ledger.recordLoad(HostID(host), {3, 0, 100, 0}, Now);
  EndpointSearch search;
  BOOST_TEST(nextEndpoint(search, view, "", ledger, random, Now, 1)->Host.str() == "h0");
  BOOST_TEST(!search.MayQueue);
  // The gate had none after all: the others are asked.
  ledger.recordLoad(HostID("h0"), {10, 2, 100, 0}, Now);
  search.Tried = search.Busy = {HostID("h0")};
  BOOST_TEST(nextEndpoint(search, view, "", ledger, random, Now, 1)->Host.str() != "h0");
  BOOST_TEST(!search.MayQueue);
  // All are known to be full: it waits at once where it is expected to wait least.
  ledger.recordLoad(HostID("h1"), {10, 9, 100, 0}, Now);
  ledger.recordLoad(HostID("h2"), {10, 9, 100, 0}, Now);
  BOOST_TEST(nextEndpoint(search, view, "", ledger, random, Now, 1)->Host.str() == "h0");
  BOOST_TEST(search.MayQueue);
  EndpointSearch fresh;
  BOOST_TEST(nextEndpoint(fresh, view, "", ledger, random, Now, 1)->Host.str() == "h0");
  BOOST_TEST(fresh.MayQueue);
  // Nothing is left: it is not sent.
  fresh.Tried = {HostID("h0"), HostID("h1"), HostID("h2")};
  BOOST_TEST(nextEndpoint(fresh, view, "", ledger, random, Now, 1) == nullptr);
}

BOOST_AUTO_TEST_CASE(a_near_upstream_that_is_slow_loses_to_fast_ones) {
  const ServiceView view = threeUpstreams();
  EndpointStats ledger;
  ledger.recordLoad(HostID("h0"), {3, 0, 600, 0}, Now);
  ledger.recordLoad(HostID("h1"), {3, 0, 100, 0}, Now);
  ledger.recordLoad(HostID("h2"), {3, 0, 100, 0}, Now);
  BOOST_TEST(drawn(view, ledger)["h0"] == 0);
}

BOOST_AUTO_TEST_CASE(an_upstream_that_fails_more_than_its_siblings_is_left_out) {
  const ServiceView view = threeUpstreams();
  EndpointStats ledger;
  ledger.recordLoad(HostID("h0"), {3, 0, 100, 450}, Now);
  ledger.recordLoad(HostID("h1"), {3, 0, 100, 10}, Now);
  ledger.recordLoad(HostID("h2"), {3, 0, 100, 10}, Now);
  BOOST_TEST(drawn(view, ledger)["h0"] == 0);
  // What fails everywhere says nothing of one of them.
  ledger.recordLoad(HostID("h1"), {3, 0, 100, 430}, Now);
  ledger.recordLoad(HostID("h2"), {3, 0, 100, 430}, Now);
  BOOST_TEST(drawn(view, ledger)["h0"] == 1000);
  // The report lapses, so that a repaired one is tried again.
  ledger.recordLoad(HostID("h1"), {3, 0, 100, 10}, Now);
  ledger.recordLoad(HostID("h2"), {3, 0, 100, 10}, Now);
  BOOST_TEST(ledger.failurePerMille(HostID("h0"), Now + LoadReportLifetime) == 0U);
}

BOOST_AUTO_TEST_CASE(what_this_node_sent_counts_until_the_next_report) {
  EndpointStats ledger;
  const HostID host("h");
  ledger.recordLoad(host, {4, 1, 100, 0}, Now);
  ledger.recordSent(host);
  ledger.recordSent(host);
  BOOST_TEST(ledger.occupancy(host, Now) == 7U);
  ledger.recordDone(host);
  BOOST_TEST(ledger.occupancy(host, Now) == 6U);
  // An old report says nothing; what this node holds there does.
  BOOST_TEST(ledger.occupancy(host, Now + LoadReportLifetime) == 1U);
}

BOOST_AUTO_TEST_CASE(a_new_process_starts_cold_and_with_a_clean_record) {
  ServiceView view = threeUpstreams();
  EndpointStats ledger;
  for (const Endpoint &endpoint : view.Endpoints)
    ledger.recordSeen(endpoint, Now - 20000);
  // What the first view held has been there before.
  BOOST_TEST(ledger.firstSeenAt(HostID("h1")) == 0U);
  ledger.recordUnreachable(HostID("h1"), Now);
  BOOST_TEST(ledger.ejected(HostID("h1"), Now + 1));
  view.Endpoints[1].Upstream = "another";
  ledger.recordSeen(view.Endpoints[1], Now);
  BOOST_TEST(ledger.firstSeenAt(HostID("h1")) == Now);
  BOOST_TEST(!ledger.ejected(HostID("h1"), Now + 1));
}

BOOST_AUTO_TEST_CASE(an_ordered_version_gets_its_share_and_no_more) {
  ServiceView view = threeUpstreams();
  view.Rollout =
      RolloutSpec{RolloutID("s.1"), ServiceName("s"), VersionLabel("v1"), VersionLabel("v2"), 0, 0};
  view.add({HostID("new"), "127.0.0.1:1", VersionLabel("v2"), 10, true, 0, "n"});
  EndpointStats ledger;
  std::mt19937_64 random(3);
  // At stage 0 it gets nothing, also where all old upstreams were tried.
  const std::set<HostID> old = {HostID("h0"), HostID("h1"), HostID("h2")};
  for (int n = 0; n < 200; ++n) {
    BOOST_TEST(chooseEndpoint(view, ledger, {}, random, Now)->Version.str() == "v1");
    BOOST_TEST(chooseEndpoint(view, ledger, old, random, Now) == nullptr);
  }
  // A request meant for the new version may fall back to the old one.
  view.Progress.Stage = 4;
  BOOST_TEST(chooseEndpoint(view, ledger, {HostID("new")}, random, Now)->Version.str() == "v1");
}

BOOST_AUTO_TEST_CASE(a_split_follows_its_weights) {
  RouteSpec route;
  route.Service = ServiceName("a");
  route.Split = {{ServiceName("a"), 90}, {ServiceName("b"), 10}, {ServiceName("c"), 0}};
  std::map<std::string, int> counts;
  for (std::uint64_t draw = 0; draw < 1000; ++draw)
    ++counts[chooseService(route, draw).str()];
  BOOST_TEST(counts["a"] == 900);
  BOOST_TEST(counts["b"] == 100);
  BOOST_TEST(!counts.contains("c"));
  route.Split.clear();
  BOOST_TEST(chooseService(route, 5).str() == "a");
}

BOOST_AUTO_TEST_CASE(retries_are_not_saved_up) {
  RetryBudget budget(3);
  for (int n = 0; n < 10000; ++n)
    budget.deposit();
  int taken = 0;
  while (budget.tryWithdraw())
    ++taken;
  BOOST_TEST(taken == 3);
}

BOOST_AUTO_TEST_CASE(the_slack_is_shared_by_all_nodes) {
  for (const std::size_t nodes : {13U, 15U, 73U, 90U, 1000U})
    BOOST_TEST(maxRetryTokens(60, nodes) * static_cast<double>(nodes) <= 60);
  RetryBudget budget(10);
  budget.setMaxTokens(2);
  BOOST_TEST(budget.tryWithdraw());
  BOOST_TEST(budget.tryWithdraw());
  BOOST_TEST(!budget.tryWithdraw());
}

struct AnswerCase {
  const char *Name;
  int Status;
  HeaderFields Headers;
  ResponseKind Expected;
};

BOOST_AUTO_TEST_CASE(only_an_upstreams_own_answer_is_passed_on) {
  const HttpDialect dialect = {"", "request-id", "", "expected", "is", "not-run", "signature"};
  const std::vector<AnswerCase> cases = {
      {"own", 200, {{"Request-Id", "r1"}, {"Signature", "s"}}, ResponseKind::Valid},
      {"own failure", 500, {{"Request-Id", "r1"}}, ResponseKind::Valid},
      {"another request's", 200, {{"Request-Id", "r0"}, {"Signature", "s"}}, ResponseKind::Invalid},
      {"another request's refusal",
       503,
       {{"Request-Id", "r0"}, {"Not-Run", "1"}},
       ResponseKind::Invalid},
      {"no signature", 200, {{"Request-Id", "r1"}}, ResponseKind::Invalid},
      {"encoded",
       200,
       {{"Request-Id", "r1"}, {"Signature", "s"}, {"Content-Encoding", "gzip"}},
       ResponseKind::Invalid},
      {"refused", 503, {{"Not-Run", "1"}}, ResponseKind::NotRun},
      {"misdirected", 421, {}, ResponseKind::NotRun},
      {"refusal that proves nothing", 503, {{"Request-Id", "r1"}}, ResponseKind::Valid},
  };
  for (const AnswerCase &it : cases) {
    HttpResult result;
    result.Complete = true;
    result.Status = it.Status;
    result.Headers = it.Headers;
    BOOST_TEST((classifyResponse(dialect, result, "r1") == it.Expected), it.Name);
  }
}
