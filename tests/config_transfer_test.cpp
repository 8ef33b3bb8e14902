/// @file config_transfer_test.cpp Number of copies of a configuration that are sent to a node.
#define BOOST_TEST_MODULE config_transfer
#include <boost/test/unit_test.hpp>

#include "mesh/mesh_node.h"

#include "test_config.h"

using namespace jasmineloom;
using namespace jasmineloom::testing;

namespace {

constexpr TimeMs StartTime = 1000000;
constexpr DurationMs ExchangePeriod = 100;
constexpr int Routes = 1600;

SnapshotPtr largeSnapshot(ConfigVersion version) {
  std::vector<ConfigObject> objects = {service("lookups")};
  for (int n = 0; n < Routes; ++n)
    objects.emplace_back(
        route("r" + std::to_string(n), "/added" + std::to_string(n) + "/", "lookups"));
  return snapshotOf(version, objects);
}

/// A child and two hosts that hold a version which the child lacks.
struct Fixture {
  MeshNode Child = makeNode("child");
  MeshNode First = makeNode("first");
  MeshNode Second = makeNode("second");
  TimeMs Now = StartTime;
  int Transfers = 0; ///< Copies that were sent to the child; none of them arrives.

  Fixture() {
    const SnapshotPtr small = seededSnapshot(1, 1);
    for (MeshNode *node : {&Child, &First, &Second})
      node->applyConfig(diffSnapshots(nullptr, *small));
    exchangeWith(First);
    exchangeWith(Second);
    for (MeshNode *node : {&First, &Second})
      node->applyConfig(diffSnapshots(small.get(), *largeSnapshot(2)));
  }

  static MeshNode makeNode(const std::string &name) {
    return MeshNode({HostID(name), 1, DataCentreName("dc"), name + ":1", name + ":2"}, StartTime);
  }

  /// An exchange that the child starts because its own record changed. A configuration in the
  /// response is still in transit when the test ends.
  void exchangeWith(MeshNode &parent) {
    Now += ExchangePeriod;
    Child.refresh(Now);
    parent.receiveMessage(Child.buildMessage(parent.identity().Host, true, Now), Now);
    ExchangeMessage response = parent.buildMessage(Child.identity().Host, false, Now);
    Transfers += response.Config.has_value() ? 1 : 0;
    response.Config.reset();
    Child.receiveMessage(response, Now);
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(slow_transfer_of_a_configuration_is_not_repeated, Fixture) {
  for (int n = 0; n < 50; ++n)
    exchangeWith(First);
  BOOST_TEST(Transfers == 1);
}

BOOST_FIXTURE_TEST_CASE(configuration_is_transferred_from_one_peer_at_a_time, Fixture) {
  exchangeWith(First);
  exchangeWith(Second);
  BOOST_TEST(Transfers == 1);
}
