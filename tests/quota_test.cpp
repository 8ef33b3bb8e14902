/// @file quota_test.cpp Quotas of workspaces over many nodes, without a network: what may be sent
/// in a window under skewed demand, bursts, and failures of keepers, links and processes.
#define BOOST_TEST_MODULE quota
#include <boost/test/unit_test.hpp>

#include "quota/quota_keeper.h"
#include "quota/quota_share.h"
#include "task_messages.h"

#include <cmath>
#include <functional>

using namespace jasmineloom;

namespace {

constexpr TimeMs Start = 1000000;
constexpr DurationMs Step = 5;
constexpr DurationMs CallTimeout = 300;
constexpr DurationMs Window = 5 * MsPerSecond;
constexpr DurationMs StartTime = 6 * MsPerSecond; ///< All nodes have lent, and may use their parts.
constexpr std::size_t NodeCount = 24;
const WorkspaceName Busy("busy");
const QuotaLimit Limit{200, 200};

/// A node: its share, its keeper, and its open call.
struct TestNode {
  HostID Name;
  std::vector<QuotaPeer> Ranked;
  QuotaShare Share;
  QuotaKeeper Keeper;
  bool Running = true;
  bool Cut = false;
  std::optional<QuotaCall> Call{};
  TimeMs CallEnds = 0;
  std::optional<QuotaAnswer> Answer{};
};

HostID nameOf(std::size_t node) { return HostID("node-" + std::to_string(node)); }

/// Nodes whose calls take two steps, or time out; the first of a node's ranked keepers is node 0.
class TestMesh {
public:
  TestMesh() {
    for (std::size_t it = 0; it < NodeCount; ++it) {
      Nodes.push_back({nameOf(it),
                       {{nameOf(0), ""}, {nameOf(1), ""}},
                       QuotaShare(nameOf(it), 0, Start),
                       QuotaKeeper(1, Start)});
      // Requests of equal demand don't come in the same moment.
      Due[it] = static_cast<double>(it) / NodeCount;
    }
  }
  /// Runs until \p end. Demand is requests per second of a node at a time.
  void run(DurationMs end, const std::function<double(std::size_t, DurationMs)> &demand) {
    for (; Now < Start + end; Now += Step) {
      for (std::size_t it = 0; it < NodeCount; ++it)
        advance(it, demand(it, Now - Start));
    }
  }
  void restart(std::size_t node) {
    Nodes[node] = {nameOf(node), Nodes[node].Ranked, QuotaShare(nameOf(node), 0, Now),
                   QuotaKeeper(Now, Now)};
  }
  /// @returns the most requests that were sent in a window that ends after \p from.
  std::size_t mostInWindow(DurationMs from = 0, DurationMs window = Window) const {
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < Sent.size(); ++last) {
      while (Sent[first] + window <= Sent[last])
        ++first;
      if (Sent[last] >= Start + from)
        most = std::max(most, last - first + 1);
    }
    return most;
  }
  /// @returns how many were sent from \p from to \p until.
  double sentBetween(DurationMs from, DurationMs until) const {
    return static_cast<double>(std::count_if(Sent.begin(), Sent.end(), [&](TimeMs at) {
      return at >= Start + from && at < Start + until;
    }));
  }

  std::vector<TestNode> Nodes;
  QuotaLimits Limits = {{Busy.str(), Limit}};
  std::size_t Exceeded = 0;
  std::size_t Unproved = 0;

private:
  void advance(std::size_t index, double perSecond) {
    TestNode &node = Nodes[index];
    if (!node.Running)
      return;
    node.Share.setPeers(node.Ranked, NodeCount, Now);
    if (node.Call.has_value() && Now >= node.CallEnds) {
      node.Call.reset();
      const std::optional<QuotaAnswer> answer = std::exchange(node.Answer, std::nullopt);
      count(answer.has_value() ? node.Share.receive(*answer, Now) : node.Share.fail(false, Now));
    }
    Due[index] += perSecond * Step / 1000;
    for (; Due[index] >= 1; --Due[index]) {
      const auto decision = node.Share.take(++LastTicket, Busy, Limits.at(Busy.str()), Now);
      if (decision.has_value())
        count({{LastTicket, *decision}});
    }
    if (std::optional<QuotaCall> call = node.Share.nextCall(Now); call.has_value())
      start(node, *std::move(call));
  }
  void start(TestNode &node, QuotaCall call) {
    const auto peer = std::find_if(Nodes.begin(), Nodes.end(),
                                   [&](const TestNode &it) { return it.Name == call.Keeper.Host; });
    if (!peer->Running) {
      count(node.Share.fail(true, Now));
      return;
    }
    node.Call = std::move(call);
    const bool passes = (!node.Cut && !peer->Cut) || peer->Name == node.Name;
    node.CallEnds = Now + (passes ? 2 * Step : CallTimeout);
    if (passes)
      node.Answer = peer->Keeper.answer(node.Call->Ask, Limits, NodeCount, Now);
  }
  void count(const std::vector<QuotaSettled> &settled) {
    for (const QuotaSettled &it : settled)
      std::visit(Overloaded{[this](const QuotaCredit &) { Sent.push_back(Now); },
                            [this](const QuotaExceeded &) { ++Exceeded; },
                            [this](const QuotaUnproved &) { ++Unproved; }},
                 it.Decision);
  }

  TimeMs Now = Start;
  QuotaTicket LastTicket = 0;
  std::vector<TimeMs> Sent;
  std::array<double, NodeCount> Due{};
};

double allowed(const QuotaLimit &limit, DurationMs window = Window) {
  return limit.PerSecond * static_cast<double>(window) / 1000 + limit.Burst;
}

/// Demand of the same rate at each node, \p total in all.
auto evenly(double total) {
  return [total](std::size_t, DurationMs) { return total / NodeCount; };
}

} // namespace

// Load: nearly all of a workspace's demand is at one node, then moves to another.
BOOST_AUTO_TEST_CASE(skewed_demand_below_the_quota_is_served) {
  TestMesh mesh;
  mesh.run(StartTime, evenly(0));
  const double perSecond = 0.9 * Limit.PerSecond;
  mesh.run(StartTime + 20000, [perSecond](std::size_t node, DurationMs at) {
    return node == (at < StartTime + 10000 ? 5 : 6) ? perSecond : 0.0;
  });
  BOOST_TEST(mesh.sentBetween(StartTime, StartTime + 20000) >= 0.95 * 20 * perSecond);
  BOOST_TEST(mesh.mostInWindow() <= allowed(Limit));
}

// Load: a few requests a second, spread over all nodes, so that hardly one has a second in a row.
BOOST_AUTO_TEST_CASE(sparse_demand_below_the_quota_is_served) {
  TestMesh mesh;
  mesh.Limits[Busy.str()] = {8, 8};
  mesh.run(StartTime, evenly(0));
  mesh.run(StartTime + 20000, evenly(7));
  BOOST_TEST(mesh.sentBetween(StartTime, StartTime + 20000) >= 0.95 * 20 * 7);
  BOOST_TEST(mesh.mostInWindow() <= allowed({8, 8}));
}

// Load: five times the quota at all nodes, then a burst at each of them in the same moment.
BOOST_AUTO_TEST_CASE(demand_beyond_the_quota_gets_the_quota) {
  TestMesh mesh;
  mesh.run(StartTime, evenly(0));
  mesh.run(StartTime + 10000, evenly(5 * Limit.PerSecond));
  BOOST_TEST(mesh.sentBetween(StartTime + 1000, StartTime + 10000) >= 0.95 * 9 * Limit.PerSecond);
  mesh.run(StartTime + 13000, evenly(0));
  mesh.run(StartTime + 13100, [](std::size_t, DurationMs) { return 5000.0; });
  mesh.run(StartTime + 20000, evenly(0));
  BOOST_TEST(mesh.mostInWindow() <= allowed(Limit));
  BOOST_TEST(mesh.mostInWindow(0, 1000) <= allowed(Limit, 1000));
  BOOST_TEST(mesh.Exceeded > 0U);
}

// Failure: the keeper's process dies under five times the quota, and comes back later.
BOOST_AUTO_TEST_CASE(another_keeper_takes_over) {
  TestMesh mesh;
  mesh.run(StartTime, evenly(5 * Limit.PerSecond));
  mesh.Nodes[0].Running = false;
  mesh.run(StartTime + 12000, evenly(5 * Limit.PerSecond));
  BOOST_TEST(mesh.sentBetween(StartTime + 2000, StartTime + 12000) >= 0.9 * 10 * Limit.PerSecond);
  mesh.restart(0);
  mesh.run(StartTime + 24000, evenly(5 * Limit.PerSecond));
  BOOST_TEST(mesh.sentBetween(StartTime + 14000, StartTime + 24000) >= 0.9 * 10 * Limit.PerSecond);
  BOOST_TEST(mesh.mostInWindow() <= allowed(Limit));
}

// Failure: the keeper's process is replaced within its loans' time, with demand beyond the quota.
BOOST_AUTO_TEST_CASE(a_restart_does_not_refill_the_quota) {
  TestMesh mesh;
  for (DurationMs at = StartTime; at < StartTime + 12000; at += 500) {
    mesh.run(at, evenly(5 * Limit.PerSecond));
    mesh.restart(0);
  }
  BOOST_TEST(mesh.mostInWindow() <= allowed(Limit));
}

// Failure: half of the nodes take another one for the keeper, and change their mind every second.
BOOST_AUTO_TEST_CASE(two_keepers_share_the_quota) {
  TestMesh mesh;
  for (int round = 0; round < 20; ++round) {
    for (std::size_t it = 0; it < NodeCount; ++it) {
      const bool swapped = (it + static_cast<std::size_t>(round) / 4) % 2 == 0;
      mesh.Nodes[it].Ranked = {{nameOf(swapped ? 1 : 0), ""}, {nameOf(swapped ? 0 : 1), ""}};
    }
    mesh.run(StartTime + 1000 * static_cast<DurationMs>(round), evenly(5 * Limit.PerSecond));
  }
  BOOST_TEST(mesh.mostInWindow() <= allowed(Limit));
  BOOST_TEST(mesh.sentBetween(StartTime + 1000, StartTime + 19000) >= 0.9 * 18 * Limit.PerSecond);
}

// Failure: two keepers have half of the loans each when a burst comes after a quiet time.
BOOST_AUTO_TEST_CASE(two_keepers_share_the_burst) {
  TestMesh mesh;
  for (std::size_t it = 0; it < NodeCount; it += 2)
    std::swap(mesh.Nodes[it].Ranked[0], mesh.Nodes[it].Ranked[1]);
  mesh.run(StartTime, evenly(0));
  mesh.run(StartTime + 200, [](std::size_t, DurationMs) { return 2000.0; });
  BOOST_TEST(mesh.mostInWindow(0, 200) <= allowed(Limit, 200));
}

// Failure: the keeper dies. The part is lent to the next one only when the loan is over.
BOOST_AUTO_TEST_CASE(a_part_is_lent_once) {
  QuotaShare share(nameOf(3), 0, Start);
  share.setPeers({{nameOf(0), ""}, {nameOf(1), ""}}, 2, Start);
  const auto lendsAt = [&share](TimeMs at, const HostID &keeper) {
    const QuotaCall call = share.nextCall(at).value();
    BOOST_TEST(call.Keeper.Host == keeper);
    return call.Ask.Lends && call.Ask.Stamp.Incarnation != 0;
  };
  BOOST_TEST(!lendsAt(Start, nameOf(0)));
  share.receive({{1, 50}, 2, false, 0, {}}, Start);
  BOOST_TEST(lendsAt(Start, nameOf(0)));
  share.fail(true, Start + 10);
  for (const TimeMs at : {Start + 10, Start + 500, Start + LoanTime - 1}) {
    BOOST_TEST(!lendsAt(at, nameOf(1)));
    share.receive({{2, at}, 2, false, 0, {}}, at);
  }
  BOOST_TEST(lendsAt(Start + LoanTime + 500, nameOf(1)));
}

// Failure: the only keeper takes no loans any more. It is not asked again at once.
BOOST_AUTO_TEST_CASE(a_keeper_that_declines_is_left_alone) {
  QuotaShare share(nameOf(0), 0, Start);
  QuotaKeeper keeper(1, Start);
  share.setPeers({{nameOf(0), ""}}, 1, Start);
  int calls = 0;
  const auto callAll = [&](TimeMs at) {
    for (; calls < 100; ++calls) {
      const std::optional<QuotaCall> call = share.nextCall(at);
      if (!call.has_value())
        break;
      share.receive(keeper.answer(call->Ask, {}, 1, at), at);
    }
  };
  callAll(Start);
  BOOST_TEST(calls == 2);
  keeper.close(Start + 1);
  callAll(Start + 500);
  BOOST_TEST(calls == 3);
}

// Failure: the only keeper dies. The node's part comes back empty when the loan is over.
BOOST_AUTO_TEST_CASE(a_part_comes_back_empty) {
  const TimeMs lent = Start + StartTime;
  const QuotaLimit large{1000, 1000};
  QuotaShare share(nameOf(3), 0, Start);
  share.setPeers({{nameOf(0), ""}}, 2, lent);
  share.nextCall(lent);
  share.receive({{1, lent}, 2, false, 0, {}}, lent);
  share.nextCall(lent);
  share.fail(true, lent);
  const auto mayUse = [&](TimeMs at) {
    return std::holds_alternative<QuotaCredit>(share.take(at, Busy, large, at).value());
  };
  BOOST_TEST(!mayUse(lent + LoanTime - 1));
  BOOST_TEST(!mayUse(lent + LoanTime + 1));
  BOOST_TEST(mayUse(lent + LoanTime + 2));
  BOOST_TEST(!mayUse(lent + LoanTime + 2));
}

// Failure: a third of the nodes are cut off, each alone, while all have demand beyond the quota.
BOOST_AUTO_TEST_CASE(cut_nodes_use_their_own_parts) {
  TestMesh mesh;
  mesh.run(StartTime, evenly(5 * Limit.PerSecond));
  for (std::size_t it = 2; it < NodeCount; it += 3)
    mesh.Nodes[it].Cut = true;
  mesh.run(StartTime + 8000, evenly(5 * Limit.PerSecond));
  BOOST_TEST(mesh.sentBetween(StartTime + 3000, StartTime + 8000) >= 0.9 * 5 * Limit.PerSecond);
  for (TestNode &node : mesh.Nodes)
    node.Cut = false;
  mesh.run(StartTime + 16000, evenly(5 * Limit.PerSecond));
  BOOST_TEST(mesh.mostInWindow() <= allowed(Limit));
}

// Failure: all nodes are cut for longer than a part may be used without a keeper's answer.
BOOST_AUTO_TEST_CASE(a_cut_node_stops_in_time) {
  TestMesh mesh;
  mesh.run(StartTime, evenly(Limit.PerSecond));
  for (TestNode &node : mesh.Nodes)
    node.Cut = true;
  mesh.run(StartTime + OwnPartTime + 1000, evenly(Limit.PerSecond));
  const DurationMs end = StartTime + OwnPartTime + 6000;
  mesh.run(end, [&](std::size_t node, DurationMs) { return node > 1 ? 10.0 : 0.0; });
  BOOST_TEST(mesh.sentBetween(end - 4000, end) == 0);
}

// Failure: a keeper shuts down gracefully; its loans end at once.
BOOST_AUTO_TEST_CASE(a_closing_keeper_returns_its_loans) {
  TestMesh mesh;
  const double perSecond = 0.8 * Limit.PerSecond;
  mesh.run(StartTime, evenly(perSecond));
  const std::size_t before = mesh.Unproved;
  mesh.Nodes[0].Keeper.close(Start + StartTime);
  mesh.run(StartTime + 1000, evenly(perSecond));
  mesh.Nodes[0].Running = false;
  mesh.run(StartTime + 6000, evenly(perSecond));
  BOOST_TEST(mesh.Unproved - before < 0.5 * perSecond);
  BOOST_TEST(mesh.mostInWindow() <= allowed(Limit));
}

// A lower quota binds one window after the nodes have it, a higher one at once.
BOOST_AUTO_TEST_CASE(a_changed_quota_binds) {
  TestMesh mesh;
  mesh.run(StartTime + 5000, evenly(1000));
  mesh.Limits[Busy.str()] = {50, 50};
  mesh.run(StartTime + 15000, evenly(1000));
  BOOST_TEST(mesh.mostInWindow(StartTime + 5000 + Window) <= allowed({50, 50}));
  mesh.Limits[Busy.str()] = {500, 500};
  mesh.run(StartTime + 20000, evenly(1000));
  BOOST_TEST(mesh.sentBetween(StartTime + 16000, StartTime + 20000) >= 0.95 * 4 * 500);
}

// Failure: a call that lends arrives after its host has given up and taken the part back.
BOOST_AUTO_TEST_CASE(late_calls_lend_nothing) {
  QuotaKeeper keeper(7, Start);
  const KeeperStamp stamp = keeper.answer({nameOf(3), 0, 2, {}, true, {}}, {}, 2, Start).Stamp;
  const QuotaAsk late{nameOf(3), 0, 2, stamp, true, {}};
  BOOST_TEST(!keeper.answer(late, {}, 2, Start + LoanTime).Holds);
  BOOST_TEST(keeper.answer(late, {}, 2, Start + 10).Holds);
  BOOST_TEST(!keeper.answer({nameOf(3), 0, 2, {}, false, {}}, {}, 2, Start + 20).Holds);
  BOOST_TEST(!keeper.answer(late, {}, 2, Start + 30).Holds);
  BOOST_TEST(keeper.lentShare() == 0);
}

BOOST_AUTO_TEST_CASE(a_credit_that_was_not_used_is_used_again) {
  QuotaShare share(nameOf(3), 0, Start);
  share.setPeers({{nameOf(0), ""}}, 2, Start);
  BOOST_TEST(!share.take(1, Busy, Limit, Start).has_value());
  BOOST_TEST(share.nextCall(Start).has_value());
  const auto settled = share.receive({{1, Start}, 2, false, 1000, {{Busy, 1, 0}}}, Start + 10);
  BOOST_REQUIRE(settled.size() == 1);
  const QuotaCredit credit = std::get<QuotaCredit>(settled[0].Decision);
  share.giveBack(Busy, credit, Start + 100);
  BOOST_TEST((share.take(2, Busy, Limit, Start + 200) == QuotaDecision{credit}));
  share.giveBack(Busy, credit, Start + CreditLife);
  BOOST_TEST(!share.take(3, Busy, Limit, Start + CreditLife).has_value());
}

BOOST_AUTO_TEST_CASE(keepers_are_the_hosts_with_the_most_cpu) {
  std::vector<QuotaCandidate> hosts;
  for (std::size_t it = 0; it < NodeCount; ++it)
    hosts.push_back({{nameOf(it), ""}, it % 6 == 0 ? 500U : 100U});
  const std::vector<QuotaPeer> ranked = rankKeepers(hosts, 2);
  BOOST_TEST(ranked.size() == 3U);
  for (const QuotaPeer &peer : ranked)
    BOOST_TEST(std::stoul(peer.Host.str().substr(5)) % 6 == 0U);
  std::reverse(hosts.begin(), hosts.end());
  BOOST_TEST((rankKeepers(hosts, 2) == ranked));
}

BOOST_AUTO_TEST_CASE(calls_survive_encoding) {
  const QuotaAsk ask{nameOf(3), 2, 66, {17, 9}, true, {{WorkspaceName("a b"), 3, 4}}};
  BOOST_TEST((decodeAsk(encodeAsk(ask)) == ask));
  const QuotaAnswer answer{{17, 10}, 66, true, 990, {{WorkspaceName("a b"), 5, 6}}};
  BOOST_TEST((decodeAnswer(encodeAnswer(answer)) == answer));
  for (const char *text : {"", "1 2 3", "1 2 x 4 1 node", "0 1 1 1 1 node\n1 2"})
    BOOST_TEST(!decodeAsk(text).has_value(), text);
  // A stamp without an incarnation would be asked for again at once.
  for (const char *text : {"1 1 1 1 1\n-1 2 w", "1 0 1 1 1"})
    BOOST_TEST(!decodeAnswer(text).has_value(), text);
}
