/// @file mesh_test.cpp Distribution between a few nodes under message and node faults.
#define BOOST_TEST_MODULE mesh
#include <boost/test/unit_test.hpp>

#include "mesh/mesh_node.h"
#include "rollout/rollout_func.h"

#include "test_config.h"
#include "wire_func.h"
#include "wire_list.h"

#include <capnp/message.h>
#include <kj/exception.h>

#include <functional>
#include <map>
#include <memory>
#include <random>

using namespace jasmineloom;
using namespace jasmineloom::testing;

namespace {

constexpr TimeMs StartTime = 1000000;
constexpr DurationMs ExchangePeriod = 1000;

/// Network fault of one message.
enum class MessageFault : std::uint8_t { None, Lost, Duplicated, Delayed, Reordered };
constexpr MessageFault AllMessageFaults[] = {MessageFault::Lost, MessageFault::Duplicated,
                                             MessageFault::Delayed, MessageFault::Reordered};

/// Part of an exchange that a message fault affects.
enum class FaultPlace : std::uint8_t { Request, Response, Fetch };

/// Fault of one node before an exchange.
enum class NodeFault : std::uint8_t { None, Killed, Paused };

/// A root, a relay with a leaf, and a second relay that lags: the smallest mesh in which a host can
/// restart below a relay with an older version.
class Fixture {
public:
  Fixture() {
    for (const char *name : {"root", "relay", "other", "leaf"})
      start(name);
  }

  void start(const std::string &name) { startWithIncarnation(name, Now + ++Incarnations); }

  /// Starts a process; a lower incarnation than before simulates a clock that was set back.
  void startWithIncarnation(const std::string &name, std::uint64_t incarnation) {
    Nodes[name] = std::make_unique<MeshNode>(
        NodeIdentity{HostID(name), incarnation, DataCentreName("dc"), name + ":1", name + ":2"},
        Now);
  }

  MeshNode &node(const std::string &name) { return *Nodes.at(name); }

  /// One exchange from a child to its parent, with a fault of the request and of the response, and
  /// a fetch of the configuration that the child then lacks, with a fault of its own.
  void exchange(const std::string &child, const std::string &parent, MessageFault request,
                MessageFault response, MessageFault fetchFault = MessageFault::None) {
    Now += ExchangePeriod;
    if (send(node(child).buildMessage(HostID(parent), true), parent, request))
      send(node(parent).buildMessage(HostID(child), false), child, response);
    fetch(child, fetchFault);
  }

  /// Fetches a configuration under a fault. A delayed or reordered one arrives after the next one,
  /// when its fetch was abandoned.
  void fetch(const std::string &name, MessageFault fault) {
    const auto due = std::exchange(DelayedUpdates, {});
    const std::optional<HostID> source = node(name).startFetch(0, Now);
    const bool hasConfig = source.has_value() && node(source->str()).config().heldVersion() != 0;
    if (source.has_value() && !hasConfig)
      node(name).abandonFetch(Now);
    if (hasConfig) {
      const ConfigDelta update = fetchedUpdate(name, source->str());
      const bool arrives = fault == MessageFault::None || fault == MessageFault::Duplicated;
      if (arrives)
        node(name).finishFetch(update, Now);
      else
        node(name).abandonFetch(Now);
      if (fault != MessageFault::None && fault != MessageFault::Lost)
        DelayedUpdates.emplace_back(name, update);
    }
    for (const auto &[to, update] : due)
      node(to).applyConfig(update);
    checkInvariants();
  }

  /// @returns what a node gets if it fetches the configuration of another node.
  ConfigDelta fetchedUpdate(const std::string &name, const std::string &source) {
    const HeldConfig held = node(name).heldForFetch();
    return *decodeDelta(node(source).config().encodedDeltaFrom(held.Version, held.Digest)->Bytes);
  }

  /// Sends a message under a fault. A delayed message is delivered after the next one; Reordered
  /// also holds back the messages that were delayed before.
  /// @returns whether the message was delivered at once.
  bool send(const ExchangeMessage &message, const std::string &to, MessageFault fault) {
    std::vector<std::pair<std::string, ExchangeMessage>> due;
    if (fault != MessageFault::Reordered)
      due = std::exchange(DelayedMessages, {});
    switch (fault) {
    case MessageFault::Lost:
      break;
    case MessageFault::Delayed:
    case MessageFault::Reordered:
      DelayedMessages.emplace_back(to, message);
      break;
    case MessageFault::Duplicated:
      deliver(to, message);
      deliver(to, message);
      break;
    case MessageFault::None:
      deliver(to, message);
      break;
    }
    for (const auto &[name, delayed] : due)
      deliver(name, delayed);
    return fault == MessageFault::None || fault == MessageFault::Duplicated;
  }

  void deliver(const std::string &to, const ExchangeMessage &message) {
    node(to).receiveMessage(message, Now);
    checkInvariants();
  }

  /// Restarts a host without state. It gets its version floor from its relays before it serves.
  void restart(const std::string &name, const std::vector<std::string> &relays) {
    start(name);
    for (const std::string &relay : relays)
      node(name).config().raiseFloor(node(relay).floorFor(HostID(name)));
  }

  /// Checks after each step that no node goes back to an older version, and that each held snapshot
  /// is valid and has the digest of the accepted one.
  void checkInvariants() {
    for (const auto &[name, node] : Nodes) {
      const SnapshotPtr &held = node->config().held();
      if (!held)
        continue;
      ConfigVersion &highest = Highest[name];
      BOOST_TEST(held->Version >= highest, name << " went back from version " << highest);
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
    checkInvariants();
  }

  void converge() {
    for (int n = 0; n < 30; ++n) {
      exchange("relay", "root", MessageFault::None, MessageFault::None);
      exchange("other", "root", MessageFault::None, MessageFault::None);
      exchange("leaf", "relay", MessageFault::None, MessageFault::None);
    }
  }

  TimeMs Now = StartTime;
  std::map<ConfigVersion, SnapshotPtr> Accepted;

private:
  std::map<std::string, std::unique_ptr<MeshNode>> Nodes;
  std::map<std::string, ConfigVersion> Highest;
  std::vector<std::pair<std::string, ExchangeMessage>> DelayedMessages;
  std::vector<std::pair<std::string, ConfigDelta>> DelayedUpdates;
  std::uint64_t Incarnations = 0;
};

/// Exchanges by which a change propagates from the root to all nodes.
struct Exchange {
  const char *Child;
  const char *Parent;
};
constexpr Exchange PropagationExchanges[] = {
    {"relay", "root"}, {"other", "root"}, {"leaf", "relay"}, {"relay", "root"},
    {"leaf", "relay"}, {"leaf", "other"}, {"other", "root"}, {"leaf", "relay"}};

void checkConverged(Fixture &fixture, ConfigVersion version) {
  fixture.converge();
  for (const char *name : {"root", "relay", "other", "leaf"}) {
    BOOST_TEST(fixture.node(name).config().heldVersion() == version, name);
    BOOST_TEST(fixture.node(name).hosts().digest() == fixture.node("root").hosts().digest(), name);
  }
}

} // namespace

BOOST_AUTO_TEST_CASE(mesh_converges_after_any_message_fault_at_any_exchange) {
  int combinations = 0;
  for (std::size_t step = 0; step < std::size(PropagationExchanges); ++step) {
    for (const MessageFault fault : AllMessageFaults) {
      for (const FaultPlace place :
           {FaultPlace::Request, FaultPlace::Response, FaultPlace::Fetch}) {
        BOOST_TEST_CONTEXT("step " << step << " fault " << static_cast<int>(fault) << " place "
                                   << static_cast<int>(place)) {
          Fixture fixture;
          fixture.accept(seededSnapshot(1, 5));
          fixture.converge();
          fixture.accept(seededSnapshot(2, 11));
          for (std::size_t it = 0; it < std::size(PropagationExchanges); ++it) {
            const auto faultAt = [&](FaultPlace at) {
              return it == step && place == at ? fault : MessageFault::None;
            };
            fixture.exchange(PropagationExchanges[it].Child, PropagationExchanges[it].Parent,
                             faultAt(FaultPlace::Request), faultAt(FaultPlace::Response),
                             faultAt(FaultPlace::Fetch));
            if (it == 3)
              fixture.accept(seededSnapshot(3, 19));
          }
          checkConverged(fixture, 3);
        }
        ++combinations;
      }
    }
  }
  BOOST_TEST_MESSAGE(combinations << " combinations");
}

BOOST_AUTO_TEST_CASE(node_killed_at_any_exchange_never_applies_an_older_version) {
  int combinations = 0;
  for (std::size_t step = 0; step < std::size(PropagationExchanges); ++step) {
    for (const char *victim : {"relay", "other", "leaf"}) {
      BOOST_TEST_CONTEXT("step " << step << " victim " << victim) {
        Fixture fixture;
        fixture.accept(seededSnapshot(1, 5));
        fixture.converge();
        fixture.accept(seededSnapshot(2, 11));
        for (std::size_t it = 0; it < std::size(PropagationExchanges); ++it) {
          if (it == step) {
            const bool isLeaf = std::string(victim) == "leaf";
            fixture.restart(victim, isLeaf ? std::vector<std::string>{"relay", "other"}
                                           : std::vector<std::string>{"root"});
          }
          fixture.exchange(PropagationExchanges[it].Child, PropagationExchanges[it].Parent,
                           MessageFault::None, MessageFault::None);
        }
        checkConverged(fixture, 2);
      }
      ++combinations;
    }
  }
  BOOST_TEST_MESSAGE(combinations << " combinations");
}

BOOST_AUTO_TEST_CASE(restarted_node_below_lagging_relay_waits_for_its_version_floor) {
  Fixture fixture;
  fixture.accept(seededSnapshot(1, 5));
  fixture.converge();
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
  checkConverged(fixture, 2);
}

BOOST_AUTO_TEST_CASE(mesh_converges_after_random_message_faults_and_restarts) {
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
        const Exchange &it = PropagationExchanges[random() % std::size(PropagationExchanges)];
        const auto randomFault = [&random] {
          return random() % 3 == 0 ? AllMessageFaults[random() % 4] : MessageFault::None;
        };
        if (random() % 15 == 0)
          fixture.restart("leaf", {"relay", "other"});
        const MessageFault request = randomFault();
        const MessageFault response = randomFault();
        fixture.exchange(it.Child, it.Parent, request, response, randomFault());
      }
      ++version;
      fixture.accept(seededSnapshot(version, 42));
      checkConverged(fixture, version);
    }
  }
}

BOOST_AUTO_TEST_CASE(full_snapshot_follows_a_corrupt_delta) {
  Fixture fixture;
  fixture.accept(seededSnapshot(1, 5));
  fixture.converge();
  fixture.accept(seededSnapshot(2, 11));
  MeshNode &relay = fixture.node("relay");
  MeshNode &root = fixture.node("root");
  fixture.Now += ExchangePeriod;
  root.receiveMessage(relay.buildMessage(HostID("root"), true), fixture.Now);
  relay.receiveMessage(root.buildMessage(HostID("relay"), false), fixture.Now);
  BOOST_REQUIRE(relay.startFetch(0, fixture.Now) == HostID("root"));
  ConfigDelta corrupt = fixture.fetchedUpdate("relay", "root");
  BOOST_REQUIRE(corrupt.BaseVersion == 1U);
  corrupt.Upserts.pop_back();
  relay.finishFetch(corrupt, fixture.Now);
  BOOST_TEST(relay.config().heldVersion() == 1U);
  BOOST_REQUIRE(relay.startFetch(0, fixture.Now) == HostID("root"));
  BOOST_TEST(fixture.fetchedUpdate("relay", "root").BaseVersion == 0U);
  relay.abandonFetch(fixture.Now);
  checkConverged(fixture, 2);
}

BOOST_AUTO_TEST_CASE(silent_child_is_marked_gone_and_refutes_on_its_return) {
  Fixture fixture;
  fixture.converge();
  fixture.Now += ChildTimeout + 1;
  fixture.exchange("relay", "root", MessageFault::None, MessageFault::None);
  fixture.exchange("other", "relay", MessageFault::None, MessageFault::None);
  BOOST_TEST(fixture.node("relay").tick(fixture.Now));
  BOOST_TEST((fixture.node("relay").hosts().find(HostID("leaf"))->State == HostState::Gone));
  fixture.converge();
  for (const char *name : {"root", "relay", "other", "leaf"})
    BOOST_TEST((fixture.node(name).hosts().find(HostID("leaf"))->State != HostState::Gone), name);
}

BOOST_AUTO_TEST_CASE(isolated_node_marks_no_host_gone) {
  Fixture fixture;
  fixture.converge();
  fixture.Now += ChildTimeout + 1;
  MeshNode &relay = fixture.node("relay");
  relay.tick(fixture.Now);
  BOOST_TEST(!relay.markGone(HostID("other"), fixture.Now));
  for (const char *name : {"root", "other", "leaf"})
    BOOST_TEST((relay.hosts().find(HostID(name))->State != HostState::Gone), name);
}

BOOST_AUTO_TEST_CASE(host_with_clock_set_back_supersedes_its_earlier_incarnation) {
  Fixture fixture;
  fixture.converge();
  const std::uint64_t before = fixture.node("leaf").self().Incarnation;
  fixture.startWithIncarnation("leaf", before - 1000);
  fixture.converge();
  fixture.converge();
  BOOST_TEST(fixture.node("leaf").self().Incarnation > before);
  for (const char *name : {"root", "relay", "other"})
    BOOST_TEST((fixture.node(name).hosts().find(HostID("leaf"))->Incarnation ==
                fixture.node("leaf").self().Incarnation),
               name);
}

// Guards against proofs of peers that count no more once a node has raised its incarnation.
BOOST_AUTO_TEST_CASE(answers_to_a_node_that_raised_its_incarnation_are_its_own) {
  Fixture fixture;
  fixture.converge();
  fixture.startWithIncarnation("leaf", 5);
  fixture.converge();
  MeshNode &leaf = fixture.node("leaf");
  BOOST_TEST(leaf.identity().Incarnation > 5U);
  BOOST_TEST(leaf.isAnsweredBy(fixture.node("relay").buildMessage(HostID("leaf"), false)));
}

BOOST_AUTO_TEST_CASE(child_that_moved_is_not_marked_gone_by_its_old_parent) {
  Fixture fixture;
  fixture.converge();
  fixture.node("leaf").refresh(fixture.Now);
  for (int n = 0; n < 12; ++n) {
    fixture.exchange("leaf", "other", MessageFault::None, MessageFault::None);
    fixture.exchange("other", "root", MessageFault::None, MessageFault::None);
    fixture.exchange("relay", "root", MessageFault::None, MessageFault::None);
  }
  fixture.node("relay").tick(fixture.Now);
  BOOST_TEST((fixture.node("relay").hosts().find(HostID("leaf"))->State != HostState::Gone));
}

BOOST_AUTO_TEST_CASE(summary_lists_lagging_hosts) {
  Fixture fixture;
  fixture.accept(seededSnapshot(1, 5));
  fixture.converge();
  BOOST_TEST(fixture.node("root").summary().Nodes == 4U);
  BOOST_TEST(fixture.node("root").summary().MinVersion == 1U);
  fixture.accept(seededSnapshot(2, 11));
  fixture.exchange("relay", "root", MessageFault::None, MessageFault::None);
  fixture.exchange("relay", "root", MessageFault::None, MessageFault::None);
  const SubtreeSummary summary = fixture.node("root").summary();
  BOOST_TEST(summary.MinVersion == 1U);
  BOOST_TEST((std::find(summary.Laggards.begin(), summary.Laggards.end(), HostID("other")) !=
              summary.Laggards.end()));
  BOOST_TEST((std::find(summary.Laggards.begin(), summary.Laggards.end(), HostID("leaf")) !=
              summary.Laggards.end()));
}

BOOST_AUTO_TEST_CASE(updates_for_a_paused_peer_are_merged_into_one_message) {
  Fixture fixture;
  fixture.converge();
  for (ConfigVersion version = 1; version <= 100; ++version)
    fixture.accept(seededSnapshot(version, static_cast<std::uint32_t>(version % 64)));
  const ExchangeMessage message = fixture.node("root").buildMessage(HostID("relay"), false);
  BOOST_TEST(message.Records.size() <= MaxRecordsPerMessage);
  MeshNode &relay = fixture.node("relay");
  relay.receiveMessage(message, fixture.Now);
  BOOST_REQUIRE(relay.startFetch(0, fixture.Now) == HostID("root"));
  relay.finishFetch(fixture.fetchedUpdate("relay", "root"), fixture.Now);
  BOOST_TEST(relay.config().heldVersion() == 100U);
  BOOST_TEST(!relay.startFetch(0, fixture.Now).has_value());
  checkConverged(fixture, 100);
}

BOOST_AUTO_TEST_CASE(diverged_tables_are_repaired_after_digest_mismatches) {
  Fixture fixture;
  fixture.converge();
  // The root gets a record in a message that seems to come from the relay, and so does not send the
  // record to the relay. The relay lacks the record although it has read all of the root's table.
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
  checkConverged(fixture, 0);
  BOOST_TEST(fixture.node("leaf").hosts().find(HostID("stray")) != nullptr);
}

namespace {

/// A node that knows many hosts in several data centres.
struct LargeMesh {
  static constexpr std::size_t Hosts = 60;
  static constexpr std::size_t DataCentres = 3;
  MeshNode Node{{HostID("h0"), 1, dataCentreOf(0), "h0:1", "h0:2"}, StartTime};
  std::vector<HostRecord> Records;

  LargeMesh() {
    for (std::size_t n = 1; n < Hosts; ++n)
      Records.push_back(recordOf(n));
    Node.mergeRecords(Records, HostID("peer"), StartTime);
  }

  static DataCentreName dataCentreOf(std::size_t n) {
    return DataCentreName("dc" + std::to_string(n % DataCentres));
  }

  static HostRecord recordOf(std::size_t n) {
    HostRecord record;
    record.Host = HostID("h" + std::to_string(n));
    record.Incarnation = 1;
    record.DataCentre = dataCentreOf(n);
    record.State = HostState::Ready;
    return record;
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(introduction_of_a_starting_host_does_not_carry_the_host_table, LargeMesh) {
  const TreeShape shape;
  for (std::size_t n = Hosts; n < Hosts + 40; ++n) {
    const HostRecord joining = recordOf(n);
    const std::vector<HostRecord> introduction = Node.introductionFor(joining, {});
    BOOST_TEST(introduction.size() <= 1 + 2 * shape.Roots + MaxParentCandidates);
    MeshNode started({joining.Host, 2, joining.DataCentre, "", ""}, StartTime);
    started.mergeRecords(introduction, HostID("h0"), StartTime);
    Node.mergeRecords({started.self()}, joining.Host, StartTime);
    const TreePosition expected =
        treePositionOf(Node.hosts().members(joining.DataCentre), joining.Host, shape);
    BOOST_TEST((started.treePosition() == expected));
  }
}

BOOST_FIXTURE_TEST_CASE(introduction_tells_an_isolated_host_which_parents_are_gone, LargeMesh) {
  HostRecord gone = recordOf(7);
  gone.State = HostState::Gone;
  Node.mergeRecords({gone}, HostID("peer"), StartTime);
  const std::vector<HostRecord> introduction = Node.introductionFor(recordOf(8), {gone.Host});
  BOOST_TEST((std::find(introduction.begin(), introduction.end(), gone) != introduction.end()));
}

BOOST_FIXTURE_TEST_CASE(living_host_without_a_link_learns_that_it_is_marked_as_gone, LargeMesh) {
  MeshNode living({HostID("h60"), 1, dataCentreOf(60), "h60:1", "h60:2"}, StartTime);
  Node.mergeRecords({living.self()}, HostID("h60"), StartTime);
  HostRecord gone = living.self();
  gone.State = HostState::Gone;
  Node.mergeRecords({gone}, HostID("peer"), StartTime);
  for (int n = 0; n < 2; ++n) {
    Node.mergeRecords({living.self()}, HostID("h60"), StartTime);
    living.mergeRecords(Node.introductionFor(living.self(), {}), HostID(), StartTime);
  }
  BOOST_TEST((Node.hosts().find(HostID("h60"))->State != HostState::Gone));
  const std::vector<HostRecord> introduction = Node.introductionFor(living.self(), {});
  BOOST_TEST(
      (std::find(introduction.begin(), introduction.end(), living.self()) == introduction.end()));
}

BOOST_AUTO_TEST_CASE(tree_positions_form_no_cycle_and_limit_children) {
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

// Guards against a rollout that is taken back after operators were told that it is done, and have
// stopped the old version; in each order in which the news may come.
BOOST_AUTO_TEST_CASE(an_end_that_the_store_holds_is_final) {
  RolloutProgress recorded;
  recorded.Phase = RolloutPhase::Done;
  recorded.Stage = 4;
  recorded.Recorded = true;
  RolloutProgress verdict;
  verdict.Phase = RolloutPhase::TakenBack;
  verdict.Stage = 3;
  for (const bool verdictFirst : {true, false}) {
    RolloutProgress held;
    mergeProgress(held, verdictFirst ? verdict : recorded);
    BOOST_TEST(mergeProgress(held, verdictFirst ? recorded : verdict) == verdictFirst);
    BOOST_TEST((held.Phase == RolloutPhase::Done));
    BOOST_TEST(held.Recorded);
    BOOST_TEST(held.Stage == 4U);
    // It travels with its mark.
    capnp::MallocMessageBuilder message;
    writeProgress(message.initRoot<wire::RolloutProgress>(), held);
    BOOST_TEST((readProgress(message.getRoot<wire::RolloutProgress>().asReader()) == held));
  }
  // An end that nobody was told of yet is overruled by a verdict.
  RolloutProgress unrecorded = recorded;
  unrecorded.Recorded = false;
  BOOST_TEST(mergeProgress(unrecorded, verdict));
  BOOST_TEST((unrecorded.Phase == RolloutPhase::TakenBack));
}

BOOST_AUTO_TEST_CASE(merged_progress_is_monotonic) {
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

/// A list of structures in which no field is set takes no bytes in a message.
BOOST_AUTO_TEST_CASE(messages_with_lists_of_excessive_length_are_refused) {
  const auto isRefused = [](const std::function<void(wire::Exchange::Builder)> &fill) {
    capnp::MallocMessageBuilder builder;
    const auto message = builder.initRoot<wire::Exchange>();
    fill(message);
    const auto failed = kj::runCatchingExceptions([&message] { readExchange(message.asReader()); });
    return failed != nullptr;
  };
  constexpr auto MaxRecords = static_cast<unsigned>(MaxRecordsPerMessage);
  BOOST_TEST(!isRefused([](auto to) { to.initRecords(MaxRecords); }));
  BOOST_TEST(isRefused([](auto to) { to.initRecords(MaxRecords + 1); }));
  BOOST_TEST(isRefused([](auto to) { to.initProgress(MaxListedObjects + 1); }));
  BOOST_TEST(isRefused([](auto to) { to.initSummary().initLaggards(MaxListedHosts + 1); }));
  BOOST_TEST(
      isRefused([](auto to) { to.initRecords(1)[0].setState(static_cast<wire::HostState>(9)); }));
}

// Guards against the loss of an acknowledged departure with the process that acknowledged it.
BOOST_AUTO_TEST_CASE(departure_of_an_upstream_outlives_the_process_of_its_host) {
  Fixture mesh;
  mesh.exchange("leaf", "relay", MessageFault::None, MessageFault::None);
  mesh.node("leaf").recordDeparture("left", StartTime);
  mesh.exchange("leaf", "relay", MessageFault::None, MessageFault::None);
  mesh.start("leaf");
  mesh.exchange("leaf", "relay", MessageFault::None, MessageFault::None);
  BOOST_TEST(mesh.node("relay").departedAt(HostID("leaf")) == "left");
  mesh.exchange("relay", "root", MessageFault::None, MessageFault::None);
  BOOST_TEST(mesh.node("root").departedAt(HostID("leaf")) == "left");
  // A later departure replaces it.
  mesh.node("leaf").recordDeparture("left later", StartTime);
  mesh.exchange("leaf", "relay", MessageFault::None, MessageFault::None);
  BOOST_TEST(mesh.node("relay").departedAt(HostID("leaf")) == "left later");
}

namespace {

/// A node that reads the document itself, and a peer that states versions to it.
class StormFixture {
public:
  explicit StormFixture(bool hasLocalPeer)
      : Reader({HostID("reader"), 1, DataCentreName("b"), "reader:1", "reader:2"}, StartTime),
        Peer({HostID("peer"), 1, DataCentreName(hasLocalPeer ? "b" : "a"), "peer:1", "peer:2"},
             StartTime) {}

  /// Lets the peer hold a newer version and state it.
  void state(ConfigVersion version, TimeMs now) {
    const SnapshotPtr held = Peer.config().held();
    Peer.applyConfig(
        diffSnapshots(held.get(), *seededSnapshot(version, static_cast<std::uint32_t>(version))));
    Reader.receiveMessage(Peer.buildMessage(HostID("reader"), false), now);
  }

  /// Fetches the configuration if the reader would.
  /// @param minAge see MeshNode::startFetch().
  /// @returns whether it did.
  bool fetch(DurationMs minAge, TimeMs now) {
    if (!Reader.startFetch(minAge, now).has_value())
      return false;
    const HeldConfig held = Reader.heldForFetch();
    Reader.finishFetch(
        *decodeDelta(Peer.config().encodedDeltaFrom(held.Version, held.Digest)->Bytes), now);
    return true;
  }

  MeshNode Reader;
  MeshNode Peer;
};

} // namespace

// Guards against a wait that each newer version starts again: the node would get no version for as
// long as a storm lasts.
BOOST_AUTO_TEST_CASE(a_storm_of_versions_does_not_put_off_a_fetch) {
  constexpr DurationMs MinAge = 300;
  for (const bool hasLocalPeer : {true, false}) {
    for (const DurationMs gap : {DurationMs{10}, DurationMs{200}, DurationMs{299}}) {
      StormFixture fixture(hasLocalPeer);
      TimeMs fetchedAt = StartTime;
      for (ConfigVersion version = 1; version <= 200; ++version) {
        const TimeMs now = StartTime + version * gap;
        fixture.state(version, now);
        if (fixture.fetch(MinAge, now))
          fetchedAt = now;
        BOOST_TEST(now - fetchedAt <= MinAge + 2 * gap, "gap " << gap << ", version " << version);
      }
    }
  }
}

// A node that gets each version itself in time fetches none from its peers.
BOOST_AUTO_TEST_CASE(a_version_is_not_fetched_while_the_node_can_still_read_it) {
  StormFixture fixture(true);
  for (ConfigVersion version = 1; version <= 50; ++version) {
    const TimeMs statedAt = StartTime + version * 200;
    fixture.state(version, statedAt);
    BOOST_TEST(!fixture.fetch(300, statedAt + 250));
    const SnapshotPtr held = fixture.Reader.config().held();
    fixture.Reader.applyConfig(
        diffSnapshots(held.get(), *seededSnapshot(version, static_cast<std::uint32_t>(version))));
  }
}

// Guards against a node that asks one slow peer again and again while others could answer.
BOOST_AUTO_TEST_CASE(another_host_is_asked_while_a_slow_peer_is_avoided) {
  StormFixture fixture(true);
  HostRecord other;
  other.Host = HostID("other");
  other.Incarnation = 1;
  other.Sequence = 1;
  other.DataCentre = DataCentreName("b");
  fixture.Reader.mergeRecords({other}, HostID("peer"), StartTime);
  const std::vector<HostID> alternatives = {HostID("unknown"), HostID("peer"), HostID("other")};
  // Nothing is asked for that nobody has stated.
  BOOST_TEST(!fixture.Reader.startFetch(0, StartTime, alternatives).has_value());
  fixture.state(1, StartTime);
  BOOST_TEST((fixture.Reader.startFetch(0, StartTime, alternatives) == HostID("peer")));
  fixture.Reader.abandonFetch(StartTime + 500);
  BOOST_TEST((fixture.Reader.startFetch(0, StartTime + 500, alternatives) == HostID("other")));
  // It did not answer either.
  fixture.Reader.abandonFetch(StartTime + 600);
  BOOST_TEST(!fixture.Reader.startFetch(0, StartTime + 600, alternatives).has_value());
  BOOST_TEST((fixture.Reader.startFetch(0, StartTime + 501 + FetchRetryDelay, alternatives) ==
              HostID("peer")));
}

// Guards against a peer that is avoided for long because an earlier version was refused, although
// it holds a later one.
BOOST_AUTO_TEST_CASE(a_refused_version_does_not_put_off_the_next_one) {
  ConfigFetch fetch(200);
  const ConfigOffer bad{HostID("peer"), 4, StartTime, true, false};
  BOOST_TEST(fetch.start({bad}, 0, StartTime).has_value());
  fetch.endRefused(StartTime);
  BOOST_TEST(!fetch.start({bad}, 0, StartTime + 1000).has_value());
  const ConfigOffer next{HostID("peer"), 5, StartTime, true, false};
  BOOST_TEST(fetch.start({next}, 0, StartTime + 1).has_value());
}
