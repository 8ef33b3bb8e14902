/// @file evacuation_test.cpp Evacuation of data centres: what nodes believe, where requests go,
/// what gates refuse.
#define BOOST_TEST_MODULE evacuation
#include <boost/test/unit_test.hpp>

#include "admission/gate_base.h"
#include "balance/placement.h"
#include "mesh/mesh_node.h"
#include "rollout/rollout_order.h"
#include "wire_func.h"

#include "test_config.h"

using namespace jasmineloom;
using namespace jasmineloom::testing;

namespace {

constexpr TimeMs Now = 1000000;
const DataCentreName East("east");
const DataCentreName West("west");

MeshNode meshNode(const char *name) {
  return MeshNode(NodeIdentity{HostID(name), 1, East, std::string(name) + ":1", ""}, Now);
}

HostRecord upstreamAt(const std::string &host, const DataCentreName &dataCentre,
                      const std::string &version) {
  HostRecord record;
  record.Host = HostID(host);
  record.State = HostState::Ready;
  record.DataCentre = dataCentre;
  record.Service = ServiceName("s");
  record.Version = VersionLabel(version);
  record.Slots = 8;
  record.Upstream = "u-" + host;
  return record;
}

/// Hosts of a service whose rollout from v1 to v2 is at its first share.
RoutingViewPtr viewDuringRollout(const std::vector<HostRecord> &hosts,
                                 const std::set<DataCentreName> &evacuated) {
  RolloutProgress progress =
      initialProgress({ServiceName("s"), VersionLabel("v2"), 60 * MsPerSecond, 7});
  progress.Stage = 1;
  return buildRoutingView(*snapshotOf(1, {service("s", ""), route("r", "/", "s")}), hosts,
                          {{progress.ID, progress}}, East, 0, nullptr, evacuated);
}

/// @returns how many of 1000 requests go to each version; refused ones count as "".
std::map<std::string, int> countVersions(const ServiceView &view, bool keyed) {
  std::map<std::string, int> counts;
  const EndpointStats stats;
  std::mt19937_64 random(3);
  for (int n = 0; n < 1000; ++n) {
    const Endpoint *endpoint =
        keyed ? chooseEndpointForKey(view, "k" + std::to_string(n), stats, {}, Now)
              : chooseEndpoint(view, stats, {}, random, Now);
    ++counts[endpoint == nullptr ? "" : endpoint->Version.str()];
  }
  return counts;
}

} // namespace

// Guards against a delayed or repeated message, or an old list, that brings an evacuation back or
// ends it.
BOOST_AUTO_TEST_CASE(latest_era_and_then_revision_of_an_evacuation_holds) {
  const std::vector<Evacuation> sequence = {
      {East, 1, 10, true}, {East, 1, 30, false}, {East, 2, 5, true}, {East, 2, 9, false}};
  for (std::size_t last = 0; last < sequence.size(); ++last) {
    MeshNode node = meshNode("n");
    BOOST_TEST(node.updateEvacuation(sequence[last]));
    for (std::size_t n = 0; n <= last; ++n)
      BOOST_TEST(!node.updateEvacuation(sequence[n]));
    BOOST_TEST(node.evacuated().contains(East) == sequence[last].Active);
  }
}

// Answers a watch that misses the removal of the order.
BOOST_AUTO_TEST_CASE(list_without_an_evacuation_takes_it_back) {
  MeshNode node = meshNode("n");
  node.updateEvacuation({East, 1, 10, true});
  node.updateEvacuation({West, 1, 11, true});
  BOOST_TEST(node.retainEvacuations({West}, 1, 9).empty()); // A list older than the order.
  BOOST_TEST((node.retainEvacuations({West}, 1, 20) == std::vector<DataCentreName>{East}));
  BOOST_TEST((node.evacuated() == std::set<DataCentreName>{West}));
  BOOST_TEST((node.retainEvacuations({}, 2, 3) == std::vector<DataCentreName>{West}));
  BOOST_TEST(node.updateEvacuation({West, 2, 4, true}));
}

// Answers a lost message, and a restart of half of the nodes while the store is lost.
BOOST_AUTO_TEST_CASE(evacuations_pass_over_links_and_come_back_after_a_restart) {
  MeshNode root = meshNode("root");
  root.updateEvacuation({West, 1, 10, true});
  MeshNode child = meshNode("child");
  child.receiveMessage(root.buildMessage(HostID("child"), false), Now);
  BOOST_TEST(child.evacuated().contains(West));
  BOOST_TEST(child.hasUpdatesFor(HostID("root"), true));
  root.updateEvacuation({West, 1, 12, false});
  BOOST_TEST(root.hasUpdatesFor(HostID("child"), false));
  static_cast<void>(root.buildMessage(HostID("child"), false)); // Lost.
  const ExchangeMessage next = root.buildMessage(HostID("child"), false);
  BOOST_TEST(child.receiveMessage(next, Now).EvacuationsChanged);
  BOOST_TEST(child.evacuated().empty());
  BOOST_TEST(!child.receiveMessage(next, Now).EvacuationsChanged);
  root.updateEvacuation({West, 1, 15, true});
  MeshNode restarted = meshNode("root");
  child.receiveMessage(root.buildMessage(HostID("child"), false), Now);
  restarted.receiveMessage(child.buildMessage(HostID("root"), true), Now);
  BOOST_TEST(restarted.evacuated().contains(West));
}

// Guards against an evacuation that moves a rollout: the new version would get requests beyond its
// share as the old one has no upstream left.
BOOST_AUTO_TEST_CASE(evacuation_leaves_the_versions_of_a_rollout_their_shares) {
  const std::vector<HostRecord> hosts = {upstreamAt("a", East, "v1"), upstreamAt("b", East, "v1"),
                                         upstreamAt("c", West, "v2")};
  for (const bool keyed : {false, true}) {
    const RoutingViewPtr before = viewDuringRollout(hosts, {});
    const RoutingViewPtr oldGone = viewDuringRollout(hosts, {East});
    const RoutingViewPtr newGone = viewDuringRollout(hosts, {West});
    const int share = countVersions(*before->serviceNamed(ServiceName("s")), keyed)["v2"];
    BOOST_TEST(share > 0);
    std::map<std::string, int> counts =
        countVersions(*oldGone->serviceNamed(ServiceName("s")), keyed);
    BOOST_TEST(counts["v1"] == 0);
    BOOST_TEST(counts["v2"] <= share * 2);
    BOOST_TEST((oldGone->serviceNamed(ServiceName("s"))->Version == VersionLabel("v1")));
    counts = countVersions(*newGone->serviceNamed(ServiceName("s")), keyed);
    BOOST_TEST(counts["v1"] == 1000);
  }
}

BOOST_AUTO_TEST_CASE(service_with_upstreams_only_in_evacuated_data_centres_has_none) {
  const std::vector<HostRecord> hosts = {upstreamAt("c", West, "v1")};
  const SnapshotPtr snapshot = snapshotOf(1, {service("s", ""), route("r", "/", "s")});
  const RoutingViewPtr there = buildRoutingView(*snapshot, hosts, {}, East, 0, nullptr, {West});
  BOOST_TEST(there->serviceNamed(ServiceName("s"))->evacuated());
  const RoutingViewPtr back = buildRoutingView(*snapshot, hosts, {}, East, 0, nullptr, {});
  BOOST_TEST(!back->serviceNamed(ServiceName("s"))->evacuated());
  BOOST_TEST(countVersions(*back->serviceNamed(ServiceName("s")), true)["v1"] == 1000);
}

// The queue of a gate is work that has not been sent; what runs is left to finish.
BOOST_AUTO_TEST_CASE(gate_of_an_evacuated_data_centre_refuses_new_and_queued_requests) {
  Gate gate;
  gate.setUpstream({ServiceName("s"), VersionLabel("v1"), 1, "u"}, Now);
  GateRequest request{1, ServiceName("s"), VersionLabel("v1"), 1, Now + 60000, 1};
  BOOST_TEST((gate.admit(request, Now).Result == Admission::Run));
  request.Ticket = 2;
  BOOST_TEST((gate.admit(request, Now).Result == Admission::Queued));
  BOOST_TEST(gate.setEvacuated(true, Now));
  const DequeueResult released = gate.tick(Now);
  BOOST_TEST((released.Excluded == std::vector<ExcludedRequest>{{2, Refusal::Evacuated}}));
  BOOST_TEST(gate.inFlight() == 1U);
  request.Ticket = 3;
  BOOST_TEST((gate.admit(request, Now).Reason == Refusal::Evacuated));
  gate.finish(Now);
  BOOST_TEST(gate.setEvacuated(false, Now));
  BOOST_TEST((gate.admit(request, Now).Result == Admission::Run));
}
