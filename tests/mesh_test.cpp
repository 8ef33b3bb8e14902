/// @file mesh_test.cpp Distribution between a few nodes: every message fault at every exchange.
#define BOOST_TEST_MODULE mesh
#include <boost/test/unit_test.hpp>

#include "mesh/mesh_node.h"
#include "rollout/rollout_func.h"

#include "test_config.h"

#include <map>
#include <memory>
#include <random>

using namespace jasmineloom;
using namespace jasmineloom::testing;

namespace {

constexpr TimeMs Begin = 1000000;
constexpr DurationMs ExchangePeriod = 1000;

/// What happens to one message.
enum class MessageFault : std::uint8_t { None, Lost, Doubled, Late, Crossed };
constexpr MessageFault AllMessageFaults[] = {MessageFault::Lost, MessageFault::Doubled,
                                             MessageFault::Late, MessageFault::Crossed};

/// What happens to one node before an exchange.
enum class NodeFault : std::uint8_t { None, Killed, Paused };

/// A parent with a child each, and a second parent that lags: the smallest set in which a host can
/// come back below an older relay.
class Fixture {
public:
  Fixture() {
    for (const char *name : {"root", "relay", "other", "leaf"})
      start(name);
  }

  void start(const std::string &name) { startAs(name, Now + ++Incarnations); }

  /// Starts a process whose clock may have been set back since the last one.
  void startAs(const std::string &name, std::uint64_t incarnation) {
    Nodes[name] = std::make_unique<MeshNode>(
        NodeIdentity{HostID(name), incarnation, DataCentreName("dc"), name + ":1", name + ":2"},
        Now);
  }

  MeshNode &node(const std::string &name) { return *Nodes.at(name); }

  /// One exchange that a child opens, under a fault of its request and of its answer.
  void exchange(const std::string &child, const std::string &parent, MessageFault request,
                MessageFault answer) {
    Now += ExchangePeriod;
    if (!send(node(child).buildMessage(HostID(parent), true, Now), parent, request))
      return;
    send(node(parent).buildMessage(HostID(child), false, Now), child, answer);
  }

  /// Delivers a message under a fault.
  /// @returns whether it was delivered now.
  bool send(const ExchangeMessage &message, const std::string &to, MessageFault fault) {
    std::vector<std::pair<std::string, ExchangeMessage>> due;
    if (fault != MessageFault::Crossed)
      due = std::exchange(Delayed, {});
    switch (fault) {
    case MessageFault::Lost:
      break;
    case MessageFault::Late:
    case MessageFault::Crossed:
      Delayed.emplace_back(to, message);
      break;
    case MessageFault::Doubled:
      deliver(to, message);
      deliver(to, message);
      break;
    case MessageFault::None:
      deliver(to, message);
      break;
    }
    for (const auto &[name, late] : due)
      deliver(name, late);
    return fault == MessageFault::None || fault == MessageFault::Doubled;
  }

  void deliver(const std::string &to, const ExchangeMessage &message) {
    node(to).receiveMessage(message, Now);
    check();
  }

  /// A host comes back without memory: it asks its relays for its floor before it serves.
  void restart(const std::string &name, const std::vector<std::string> &relays) {
    start(name);
    for (const std::string &relay : relays)
      node(name).config().raiseFloor(node(relay).floorFor(HostID(name)));
  }

  /// The promises, after each step.
  void check() {
    for (const auto &[name, node] : Nodes) {
      const SnapshotPtr &held = node->config().held();
      if (!held)
        continue;
      ConfigVersion &highest = Highest[name];
      BOOST_TEST(held->Version >= highest, name << " went back from " << highest);
      highest = std::max(highest, held->Version);
      BOOST_TEST(validateSnapshot(*held).ok());
      if (Accepted.contains(held->Version))
        BOOST_TEST(held->Digest == Accepted.at(held->Version)->Digest);
    }
  }

  void accept(const SnapshotPtr &next) {
    Accepted[next->Version] = next;
    const SnapshotPtr held = node("root").config().held();
    node("root").applyConfig(diffSnapshots(held.get(), *next));
    check();
  }

  void settle() {
    for (int n = 0; n < 30; ++n) {
      exchange("relay", "root", MessageFault::None, MessageFault::None);
      exchange("other", "root", MessageFault::None, MessageFault::None);
      exchange("leaf", "relay", MessageFault::None, MessageFault::None);
    }
  }

  TimeMs Now = Begin;
  std::map<ConfigVersion, SnapshotPtr> Accepted;

private:
  std::map<std::string, std::unique_ptr<MeshNode>> Nodes;
  std::map<std::string, ConfigVersion> Highest;
  std::vector<std::pair<std::string, ExchangeMessage>> Delayed;
  std::uint64_t Incarnations = 0;
};

/// The script of a change's way down: three exchanges a version, each with a request and an answer.
struct Exchange {
  const char *Child;
  const char *Parent;
};
constexpr Exchange Script[] = {{"relay", "root"}, {"other", "root"}, {"leaf", "relay"},
                               {"relay", "root"}, {"leaf", "relay"}, {"leaf", "other"},
                               {"other", "root"}, {"leaf", "relay"}};

void checkSettled(Fixture &fixture, ConfigVersion version) {
  fixture.settle();
  for (const char *name : {"root", "relay", "other", "leaf"}) {
    BOOST_TEST(fixture.node(name).config().heldVersion() == version, name);
    BOOST_TEST(fixture.node(name).hosts().digest() == fixture.node("root").hosts().digest(), name);
  }
}

} // namespace

BOOST_AUTO_TEST_CASE(every_message_fault_at_every_exchange_of_a_change) {
  int cells = 0;
  for (std::size_t step = 0; step < std::size(Script); ++step) {
    for (const MessageFault fault : AllMessageFaults) {
      for (const bool onAnswer : {false, true}) {
        BOOST_TEST_CONTEXT("step " << step << " fault " << static_cast<int>(fault) << " answer "
                                   << onAnswer) {
          Fixture fixture;
          fixture.accept(seededSnapshot(1, 5));
          fixture.settle();
          fixture.accept(seededSnapshot(2, 11));
          for (std::size_t it = 0; it < std::size(Script); ++it) {
            const MessageFault now = it == step ? fault : MessageFault::None;
            fixture.exchange(Script[it].Child, Script[it].Parent,
                             onAnswer ? MessageFault::None : now,
                             onAnswer ? now : MessageFault::None);
            if (it == 3)
              fixture.accept(seededSnapshot(3, 19));
          }
          checkSettled(fixture, 3);
        }
        ++cells;
      }
    }
  }
  BOOST_TEST_MESSAGE(cells << " cells");
}

BOOST_AUTO_TEST_CASE(a_node_killed_at_every_exchange_never_comes_back_older) {
  int cells = 0;
  for (std::size_t step = 0; step < std::size(Script); ++step) {
    for (const char *victim : {"relay", "other", "leaf"}) {
      BOOST_TEST_CONTEXT("step " << step << " victim " << victim) {
        Fixture fixture;
        fixture.accept(seededSnapshot(1, 5));
        fixture.settle();
        fixture.accept(seededSnapshot(2, 11));
        for (std::size_t it = 0; it < std::size(Script); ++it) {
          if (it == step) {
            const bool isLeaf = std::string(victim) == "leaf";
            fixture.restart(victim, isLeaf ? std::vector<std::string>{"relay", "other"}
                                           : std::vector<std::string>{"root"});
          }
          fixture.exchange(Script[it].Child, Script[it].Parent, MessageFault::None,
                           MessageFault::None);
        }
        checkSettled(fixture, 2);
      }
      ++cells;
    }
  }
  BOOST_TEST_MESSAGE(cells << " cells");
}

BOOST_AUTO_TEST_CASE(a_fresh_node_below_a_lagging_relay_waits_for_its_floor) {
  Fixture fixture;
  fixture.accept(seededSnapshot(1, 5));
  fixture.settle();
  fixture.exchange("leaf", "other", MessageFault::None, MessageFault::None);
  fixture.accept(seededSnapshot(2, 11));
  fixture.exchange("relay", "root", MessageFault::None, MessageFault::None);
  fixture.exchange("leaf", "relay", MessageFault::None, MessageFault::None);
  fixture.exchange("leaf", "relay", MessageFault::None, MessageFault::None);
  BOOST_REQUIRE(fixture.node("leaf").config().heldVersion() == 2U);
  fixture.restart("leaf", {"relay", "other"});
  for (int n = 0; n < 3; ++n)
    fixture.exchange("leaf", "other", MessageFault::None, MessageFault::None);
  BOOST_TEST(fixture.node("leaf").config().heldVersion() == 0U);
  checkSettled(fixture, 2);
}

BOOST_AUTO_TEST_CASE(random_faults_of_messages_and_nodes) {
  for (std::uint32_t seed = 1; seed <= 400; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      std::mt19937 random(seed);
      Fixture fixture;
      ConfigVersion version = 0;
      for (int step = 0; step < 60; ++step) {
        if (random() % 6 == 0) {
          ++version;
          fixture.accept(seededSnapshot(version, random() % 64));
        }
        const Exchange &it = Script[random() % std::size(Script)];
        const auto draw = [&random] {
          return random() % 3 == 0 ? AllMessageFaults[random() % 4] : MessageFault::None;
        };
        if (random() % 15 == 0)
          fixture.restart("leaf", {"relay", "other"});
        const MessageFault request = draw();
        fixture.exchange(it.Child, it.Parent, request, draw());
      }
      ++version;
      fixture.accept(seededSnapshot(version, 42));
      checkSettled(fixture, version);
    }
  }
}

BOOST_AUTO_TEST_CASE(a_corrupt_delta_makes_a_full_snapshot_follow) {
  Fixture fixture;
  fixture.accept(seededSnapshot(1, 5));
  fixture.settle();
  fixture.accept(seededSnapshot(2, 11));
  MeshNode &relay = fixture.node("relay");
  MeshNode &root = fixture.node("root");
  fixture.Now += ExchangePeriod;
  root.receiveMessage(relay.buildMessage(HostID("root"), true, fixture.Now), fixture.Now);
  ExchangeMessage answer = root.buildMessage(HostID("relay"), false, fixture.Now);
  BOOST_REQUIRE(answer.Config.has_value());
  answer.Config->Upserts.pop_back();
  relay.receiveMessage(answer, fixture.Now);
  BOOST_TEST(relay.config().heldVersion() == 1U);
  checkSettled(fixture, 2);
}

BOOST_AUTO_TEST_CASE(a_silent_child_is_buried_and_refutes_when_it_comes_back) {
  Fixture fixture;
  fixture.settle();
  fixture.Now += ChildTimeout + 1;
  fixture.exchange("relay", "root", MessageFault::None, MessageFault::None);
  fixture.exchange("other", "relay", MessageFault::None, MessageFault::None);
  BOOST_TEST(fixture.node("relay").tick(fixture.Now));
  BOOST_TEST((fixture.node("relay").hosts().find(HostID("leaf"))->State == HostState::Gone));
  fixture.settle();
  for (const char *name : {"root", "relay", "other", "leaf"})
    BOOST_TEST((fixture.node(name).hosts().find(HostID("leaf"))->State != HostState::Gone), name);
}

BOOST_AUTO_TEST_CASE(a_node_that_hears_nobody_buries_nobody) {
  Fixture fixture;
  fixture.settle();
  fixture.Now += ChildTimeout + 1;
  MeshNode &relay = fixture.node("relay");
  relay.tick(fixture.Now);
  BOOST_TEST(!relay.markGone(HostID("other"), fixture.Now));
  for (const char *name : {"root", "other", "leaf"})
    BOOST_TEST((relay.hosts().find(HostID(name))->State != HostState::Gone), name);
}

BOOST_AUTO_TEST_CASE(a_host_whose_clock_was_set_back_outlives_its_earlier_process) {
  Fixture fixture;
  fixture.settle();
  const std::uint64_t before = fixture.node("leaf").self().Incarnation;
  fixture.startAs("leaf", before - 1000);
  fixture.settle();
  fixture.settle();
  BOOST_TEST(fixture.node("leaf").self().Incarnation > before);
  for (const char *name : {"root", "relay", "other"})
    BOOST_TEST((fixture.node(name).hosts().find(HostID("leaf"))->Incarnation ==
                fixture.node("leaf").self().Incarnation),
               name);
}

BOOST_AUTO_TEST_CASE(a_child_that_moved_is_not_buried_by_its_old_parent) {
  Fixture fixture;
  fixture.settle();
  fixture.node("leaf").refresh(fixture.Now);
  for (int n = 0; n < 12; ++n) {
    fixture.exchange("leaf", "other", MessageFault::None, MessageFault::None);
    fixture.exchange("other", "root", MessageFault::None, MessageFault::None);
    fixture.exchange("relay", "root", MessageFault::None, MessageFault::None);
  }
  fixture.node("relay").tick(fixture.Now);
  BOOST_TEST((fixture.node("relay").hosts().find(HostID("leaf"))->State != HostState::Gone));
}

BOOST_AUTO_TEST_CASE(the_summary_names_those_that_lag) {
  Fixture fixture;
  fixture.accept(seededSnapshot(1, 5));
  fixture.settle();
  BOOST_TEST(fixture.node("root").summary().Nodes == 4U);
  BOOST_TEST(fixture.node("root").summary().MinVersion == 1U);
  fixture.accept(seededSnapshot(2, 11));
  fixture.exchange("relay", "root", MessageFault::None, MessageFault::None);
  fixture.exchange("relay", "root", MessageFault::None, MessageFault::None);
  const SubtreeSummary sum = fixture.node("root").summary();
  BOOST_TEST(sum.MinVersion == 1U);
  BOOST_TEST(
      (std::find(sum.Laggards.begin(), sum.Laggards.end(), HostID("other")) != sum.Laggards.end()));
  BOOST_TEST(
      (std::find(sum.Laggards.begin(), sum.Laggards.end(), HostID("leaf")) != sum.Laggards.end()));
}

BOOST_AUTO_TEST_CASE(a_paused_peer_costs_no_queue) {
  Fixture fixture;
  fixture.settle();
  for (ConfigVersion version = 1; version <= 100; ++version)
    fixture.accept(seededSnapshot(version, static_cast<std::uint32_t>(version % 64)));
  const ExchangeMessage message =
      fixture.node("root").buildMessage(HostID("relay"), false, fixture.Now);
  BOOST_TEST(message.Config.has_value());
  BOOST_TEST(message.Records.size() <= MaxRecordsPerMessage);
  checkSettled(fixture, 100);
}

BOOST_AUTO_TEST_CASE(tables_drift_apart_and_are_repaired_by_their_digests) {
  Fixture fixture;
  fixture.settle();
  // The relay believes that it has read all of the root's table, though it lacks a record.
  HostRecord record;
  record.Host = HostID("stray");
  record.Incarnation = 5;
  record.DataCentre = DataCentreName("dc");
  MeshNode &root = fixture.node("root");
  ExchangeMessage stray;
  stray.Host = HostID("relay");
  stray.Incarnation = fixture.node("relay").identity().Incarnation;
  stray.Joining = true;
  stray.Records = {record};
  stray.SeenIncarnation = root.identity().Incarnation;
  root.receiveMessage(stray, fixture.Now);
  checkSettled(fixture, 0);
  BOOST_TEST(fixture.node("leaf").hosts().find(HostID("stray")) != nullptr);
}

BOOST_AUTO_TEST_CASE(places_in_the_tree_form_no_cycle_and_bound_the_children) {
  std::vector<HostID> members;
  for (int n = 0; n < 890; ++n)
    members.emplace_back("host-" + std::to_string(n));
  std::mt19937 random(7);
  std::map<HostID, int> children;
  std::map<HostID, HostID> parentOf;
  int roots = 0;
  for (const HostID &host : members) {
    // Each host has its own view, in which some members are missing.
    std::vector<HostID> view;
    for (const HostID &it : members) {
      if (random() % 20 != 0)
        view.push_back(it);
    }
    const TreePosition position = treePositionOf(view, host);
    roots += position.Root ? 1 : 0;
    if (position.Parents.empty())
      continue;
    parentOf[host] = position.Parents.front();
    ++children[position.Parents.front()];
  }
  BOOST_TEST(roots >= 1);
  BOOST_TEST(roots <= 8);
  for (const auto &[host, n] : children)
    BOOST_TEST(n <= 2 * static_cast<int>(MaxChildren));
  for (const HostID &host : members) {
    HostID it = host;
    int depth = 0;
    while (parentOf.contains(it) && depth < 20) {
      it = parentOf.at(it);
      ++depth;
    }
    BOOST_TEST(depth < 20);
  }
}

BOOST_AUTO_TEST_CASE(progress_only_rises_in_any_order) {
  std::mt19937 random(3);
  for (int run = 0; run < 200; ++run) {
    RolloutProgress held;
    RolloutPhase highest = RolloutPhase::Running;
    for (int n = 0; n < 20; ++n) {
      RolloutProgress other;
      other.Phase = static_cast<RolloutPhase>(random() % 3);
      other.Stage = random() % 5;
      const std::uint32_t stage = held.Stage;
      mergeProgress(held, other);
      highest = std::max(highest, other.Phase);
      BOOST_TEST((held.Phase == highest));
      BOOST_TEST(held.Stage >= stage);
    }
  }
}
