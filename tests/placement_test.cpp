/// @file placement_test.cpp Endpoint choice by free slots, speed, distance, failures and slow
/// start; retry budgets; response checks.
#define BOOST_TEST_MODULE placement
#include <boost/test/unit_test.hpp>

#include "balance/placement.h"
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

/// @returns how many of 1000 choices fall on each host.
std::map<std::string, int> countChoices(const ServiceView &view, const EndpointStats &stats) {
  std::map<std::string, int> counts;
  std::mt19937_64 random(7);
  for (int n = 0; n < 1000; ++n)
    ++counts[chooseEndpoint(view, stats, {}, random, Now)->Host.str()];
  return counts;
}

} // namespace

BOOST_AUTO_TEST_CASE(requests_stay_in_the_data_centre_while_slots_are_free) {
  const ServiceView view = threeUpstreams();
  EndpointStats stats;
  for (const char *host : {"h0", "h1", "h2"})
    stats.recordLoad(HostID(host), {3, 0, 100, 0}, Now);
  BOOST_TEST(countChoices(view, stats)["h0"] == 1000);
  // The local upstream is full: all requests go to other data centres.
  stats.recordLoad(HostID("h0"), {10, 0, 100, 0}, Now);
  BOOST_TEST(countChoices(view, stats)["h0"] == 0);
  // All are full: the local upstream has the shortest expected wait.
  stats.recordLoad(HostID("h1"), {10, 0, 100, 0}, Now);
  stats.recordLoad(HostID("h2"), {10, 0, 100, 0}, Now);
  BOOST_TEST(countChoices(view, stats)["h0"] == 1000);
}

BOOST_AUTO_TEST_CASE(requests_queue_only_if_no_free_slot_is_expected) {
  const ServiceView view = threeUpstreams();
  std::mt19937_64 random(7);
  EndpointStats stats;
  for (const char *host : {"h0", "h1", "h2"})
    stats.recordLoad(HostID(host), {3, 0, 100, 0}, Now);
  EndpointSearch search;
  BOOST_TEST(nextEndpoint(search, view, {1}, stats, random, Now)->Host.str() == "h0");
  BOOST_TEST(!search.MayQueue);
  // Its gate had no free slot after all: another host is tried.
  stats.recordLoad(HostID("h0"), {10, 2, 100, 0}, Now);
  search.Tried = search.Busy = {HostID("h0")};
  BOOST_TEST(nextEndpoint(search, view, {1}, stats, random, Now)->Host.str() != "h0");
  BOOST_TEST(!search.MayQueue);
  // All are known to be full: queue at the host with the shortest expected wait.
  stats.recordLoad(HostID("h1"), {10, 9, 100, 0}, Now);
  stats.recordLoad(HostID("h2"), {10, 9, 100, 0}, Now);
  BOOST_TEST(nextEndpoint(search, view, {1}, stats, random, Now)->Host.str() == "h0");
  BOOST_TEST(search.MayQueue);
  EndpointSearch newSearch;
  BOOST_TEST(nextEndpoint(newSearch, view, {1}, stats, random, Now)->Host.str() == "h0");
  BOOST_TEST(newSearch.MayQueue);
  // No host is left.
  newSearch.Tried = {HostID("h0"), HostID("h1"), HostID("h2")};
  BOOST_TEST(nextEndpoint(newSearch, view, {1}, stats, random, Now) == nullptr);
}

BOOST_AUTO_TEST_CASE(fast_remote_upstreams_win_over_a_slow_local_one) {
  const ServiceView view = threeUpstreams();
  EndpointStats stats;
  stats.recordLoad(HostID("h0"), {3, 0, 600, 0}, Now);
  stats.recordLoad(HostID("h1"), {3, 0, 100, 0}, Now);
  stats.recordLoad(HostID("h2"), {3, 0, 100, 0}, Now);
  BOOST_TEST(countChoices(view, stats)["h0"] == 0);
}

BOOST_AUTO_TEST_CASE(an_upstream_that_fails_more_than_the_others_is_left_out) {
  const ServiceView view = threeUpstreams();
  EndpointStats stats;
  stats.recordLoad(HostID("h0"), {3, 0, 100, 450}, Now);
  stats.recordLoad(HostID("h1"), {3, 0, 100, 10}, Now);
  stats.recordLoad(HostID("h2"), {3, 0, 100, 10}, Now);
  BOOST_TEST(countChoices(view, stats)["h0"] == 0);
  // Failures common to all upstreams exclude none.
  stats.recordLoad(HostID("h1"), {3, 0, 100, 430}, Now);
  stats.recordLoad(HostID("h2"), {3, 0, 100, 430}, Now);
  BOOST_TEST(countChoices(view, stats)["h0"] == 1000);
  // The report expires, so that a repaired upstream gets requests again.
  stats.recordLoad(HostID("h1"), {3, 0, 100, 10}, Now);
  stats.recordLoad(HostID("h2"), {3, 0, 100, 10}, Now);
  BOOST_TEST(stats.failurePerMille(HostID("h0"), Now + LoadReportLifetime) == 0U);
}

BOOST_AUTO_TEST_CASE(requests_sent_since_the_last_report_count_as_occupancy) {
  EndpointStats stats;
  const HostID host("h");
  stats.recordLoad(host, {4, 1, 100, 0}, Now);
  stats.recordSent(host);
  stats.recordSent(host);
  BOOST_TEST(stats.occupancy(host, Now) == 7U);
  stats.recordDone(host);
  BOOST_TEST(stats.occupancy(host, Now) == 6U);
  // After the report expires only requests of this node in flight count.
  BOOST_TEST(stats.occupancy(host, Now + LoadReportLifetime) == 1U);
}

BOOST_AUTO_TEST_CASE(a_new_process_starts_cold_and_without_ejection) {
  ServiceView view = threeUpstreams();
  EndpointStats stats;
  for (const Endpoint &endpoint : view.Endpoints)
    stats.recordSeen(endpoint, Now - 20000);
  // Upstreams in the first view count as started long ago.
  BOOST_TEST(stats.firstSeenAt(HostID("h1")) == 0U);
  stats.recordUnreachable(HostID("h1"), view.Endpoints[1].InstanceID, Now);
  BOOST_TEST(stats.ejected(HostID("h1"), Now + 1));
  view.Endpoints[1].InstanceID = "another";
  stats.recordSeen(view.Endpoints[1], Now);
  BOOST_TEST(stats.firstSeenAt(HostID("h1")) == Now);
  BOOST_TEST(!stats.ejected(HostID("h1"), Now + 1));
}

// Guards against a new process that is avoided because of requests that its predecessor refused.
BOOST_AUTO_TEST_CASE(late_failure_of_an_earlier_process_does_not_eject_the_present_one) {
  ServiceView view = threeUpstreams();
  const std::string earlier = view.Endpoints[1].InstanceID;
  EndpointStats stats;
  stats.recordSeen(view.Endpoints[1], Now);
  view.Endpoints[1].InstanceID = "another";
  stats.recordSeen(view.Endpoints[1], Now + 1);
  stats.recordUnreachable(HostID("h1"), earlier, Now + 2);
  BOOST_TEST(!stats.ejected(HostID("h1"), Now + 3));
  stats.recordUnreachable(HostID("h1"), "another", Now + 4);
  BOOST_TEST(stats.ejected(HostID("h1"), Now + 5));
}

BOOST_AUTO_TEST_CASE(an_ordered_version_never_exceeds_its_share) {
  ServiceView view = threeUpstreams();
  view.Rollout =
      RolloutSpec{RolloutID("s.1"), ServiceName("s"), VersionLabel("v1"), VersionLabel("v2"), 0, 0};
  view.add({HostID("new"), "127.0.0.1:1", VersionLabel("v2"), 10, true, 0, "n"});
  EndpointStats stats;
  std::mt19937_64 random(3);
  // At stage 0 it gets no requests, even if all upstreams of the old version were tried.
  const std::set<HostID> old = {HostID("h0"), HostID("h1"), HostID("h2")};
  for (int n = 0; n < 200; ++n) {
    BOOST_TEST(chooseEndpoint(view, stats, {}, random, Now)->Version.str() == "v1");
    BOOST_TEST(chooseEndpoint(view, stats, old, random, Now) == nullptr);
  }
  // A request drawn for the new version may fall back to the old one.
  view.Progress.Stage = 4;
  BOOST_TEST(chooseEndpoint(view, stats, {HostID("new")}, random, Now)->Version.str() == "v1");
}

BOOST_AUTO_TEST_CASE(a_split_follows_its_weights) {
  RouteSpec route;
  route.Service = ServiceName("a");
  route.Split = {{ServiceName("a"), 90}, {ServiceName("b"), 10}, {ServiceName("c"), 0}};
  std::map<std::string, int> counts;
  constexpr std::uint64_t Draws = 1000;
  for (std::uint64_t n = 0; n < Draws; ++n)
    ++counts[chooseService(route, n * (~std::uint64_t{0} / Draws)).str()];
  BOOST_TEST(counts["a"] == 900);
  BOOST_TEST(counts["b"] == 100);
  BOOST_TEST(!counts.contains("c"));
  route.Split.clear();
  BOOST_TEST(chooseService(route, 5).str() == "a");
}

BOOST_AUTO_TEST_CASE(unused_retry_tokens_are_limited) {
  RetryBudget budget(3);
  for (int n = 0; n < 10000; ++n)
    budget.deposit();
  int retries = 0;
  while (budget.tryWithdraw())
    ++retries;
  BOOST_TEST(retries == 3);
}

BOOST_AUTO_TEST_CASE(all_nodes_share_the_retry_slack) {
  for (const std::size_t nodes : {13U, 15U, 73U, 90U, 1000U})
    BOOST_TEST(maxRetryTokens(60, nodes) * static_cast<double>(nodes) <= 60);
  RetryBudget budget(10);
  budget.setMaxTokens(2);
  BOOST_TEST(budget.tryWithdraw());
  BOOST_TEST(budget.tryWithdraw());
  BOOST_TEST(!budget.tryWithdraw());
}

struct ResponseCase {
  const char *Name;
  int Status;
  HeaderFields Headers;
  ResponseKind Expected;
  bool Matched = true; ///< Can only be the response to this request.
};

BOOST_AUTO_TEST_CASE(responses_are_classified_by_identity_and_signature) {
  const HttpHeaderNames headerNames = {"",   "request-id", "",         "expected",
                                       "is", "not-run",    "signature"};
  const std::vector<ResponseCase> cases = {
      {"success", 200, {{"Request-Id", "r1"}, {"Signature", "s"}}, ResponseKind::Valid},
      {"failure", 500, {{"Request-Id", "r1"}}, ResponseKind::Valid},
      {"response to another request",
       200,
       {{"Request-Id", "r0"}, {"Signature", "s"}},
       ResponseKind::Invalid},
      {"refusal of another request",
       503,
       {{"Request-Id", "r0"}, {"Not-Run", "1"}},
       ResponseKind::Invalid},
      {"no signature", 200, {{"Request-Id", "r1"}}, ResponseKind::Invalid},
      {"content encoded after signing",
       200,
       {{"Request-Id", "r1"}, {"Signature", "s"}, {"Content-Encoding", "gzip"}},
       ResponseKind::Invalid},
      {"refused", 503, {{"Not-Run", "1"}}, ResponseKind::NotRun},
      {"misdirected", 421, {}, ResponseKind::NotRun},
      {"refusal that may be an earlier one", 503, {{"Not-Run", "1"}}, ResponseKind::Invalid, false},
      {"421 that may be an earlier one", 421, {}, ResponseKind::Invalid, false},
      {"503 without the not-run header", 503, {{"Request-Id", "r1"}}, ResponseKind::Valid},
      {"no status", 0, {{"Request-Id", "r1"}, {"Signature", "s"}}, ResponseKind::Invalid},
      {"switch of protocols", 101, {{"Request-Id", "r1"}}, ResponseKind::Invalid},
      {"last status", 599, {{"Request-Id", "r1"}}, ResponseKind::Valid},
      {"beyond the last status", 600, {{"Request-Id", "r1"}}, ResponseKind::Invalid},
      {"refusal beyond the last status", 999, {{"Not-Run", "1"}}, ResponseKind::Invalid},
  };
  for (const ResponseCase &it : cases) {
    HttpResult result;
    result.Complete = true;
    result.Status = it.Status;
    result.Headers = it.Headers;
    result.Matched = it.Matched;
    BOOST_TEST((classifyResponse(headerNames, result, "r1") == it.Expected), it.Name);
  }
}
