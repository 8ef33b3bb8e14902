/// @file config_transfer_test.cpp Number of copies of a configuration that are sent to a node.
#define BOOST_TEST_MODULE config_transfer
#include <boost/test/unit_test.hpp>

#include "mesh/mesh_node.h"

#include "test_config.h"

#include <random>

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
  int Transfers = 0; ///< Copies that were requested by the child; none of them arrives.

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

  /// An exchange that the child starts because its own record changed. A configuration that it
  /// requests then is still in transit when the test ends.
  void exchangeWith(MeshNode &parent) {
    Now += ExchangePeriod;
    Child.refresh(Now);
    parent.receiveMessage(Child.buildMessage(parent.identity().Host, true), Now);
    Child.receiveMessage(parent.buildMessage(Child.identity().Host, false), Now);
    Transfers += Child.startFetch(0, Now).has_value() ? 1 : 0;
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

BOOST_FIXTURE_TEST_CASE(failed_fetch_is_repeated_from_another_peer, Fixture) {
  exchangeWith(First);
  exchangeWith(Second);
  Child.abandonFetch(Now);
  BOOST_TEST((Child.startFetch(0, Now) == HostID("second")));
  Child.abandonFetch(Now);
  BOOST_TEST(!Child.startFetch(0, Now).has_value());
  BOOST_TEST(Child.startFetch(0, Now + FetchRetryDelay).has_value());
}

BOOST_FIXTURE_TEST_CASE(peer_that_answers_with_an_older_version_is_avoided, Fixture) {
  exchangeWith(First);
  Child.finishFetch(diffSnapshots(nullptr, *seededSnapshot(1, 1)), Now);
  BOOST_TEST(!Child.startFetch(0, Now).has_value());
  BOOST_TEST(Child.startFetch(0, Now + FetchRetryDelay).has_value());
}

BOOST_FIXTURE_TEST_CASE(refused_configuration_is_not_fetched_in_a_loop, Fixture) {
  exchangeWith(First);
  const SnapshotPtr invalid = snapshotOf(2, {route("r", "/r", "missing")});
  BOOST_TEST(Child.finishFetch(diffSnapshots(nullptr, *invalid), Now).ConfigRejected);
  BOOST_TEST(!Child.startFetch(0, Now + FetchRetryDelay).has_value());
}

BOOST_FIXTURE_TEST_CASE(offer_younger_than_the_minimum_age_is_not_taken, Fixture) {
  exchangeWith(First);
  Child.abandonFetch(Now);
  const TimeMs known = Now;
  BOOST_TEST(!Child.startFetch(FetchRetryDelay + 1, known + FetchRetryDelay).has_value());
  BOOST_TEST(Child.startFetch(FetchRetryDelay + 1, known + FetchRetryDelay + 1).has_value());
}

BOOST_AUTO_TEST_CASE(encoded_deltas_decode_to_the_same_delta) {
  const SnapshotPtr base = seededSnapshot(1, 5);
  for (const SnapshotPtr &next : {seededSnapshot(2, 11), largeSnapshot(3)}) {
    for (const Snapshot *from : {base.get(), static_cast<const Snapshot *>(nullptr)}) {
      const ConfigDelta delta = diffSnapshots(from, *next);
      const absl::StatusOr<ConfigDelta> decoded = decodeDelta(encodeDelta(delta).Bytes);
      BOOST_REQUIRE(decoded.ok());
      BOOST_TEST((*applyDelta(from, *decoded))->Digest == next->Digest);
      BOOST_TEST(decoded->Removals.size() == delta.Removals.size());
    }
  }
}

BOOST_AUTO_TEST_CASE(corrupt_encodings_are_refused_or_fail_the_digest) {
  std::mt19937 random(7);
  const std::string bytes = encodeDelta(diffSnapshots(nullptr, *largeSnapshot(2))).Bytes;
  BOOST_TEST(!decodeDelta("").ok());
  for (int n = 0; n < 2000; ++n) {
    std::string corrupt = bytes;
    if (n % 4 == 0)
      corrupt.resize(random() % bytes.size());
    else
      corrupt[random() % bytes.size()] ^= static_cast<char>(1 + random() % 255);
    ConfigHolder holder;
    const absl::StatusOr<ConfigDelta> decoded = decodeDelta(corrupt);
    // A changed frame header or unused padding may leave the content as it was.
    if (decoded.ok() && holder.offer(*decoded) == OfferResult::Applied)
      BOOST_TEST(holder.heldDigest() == largeSnapshot(2)->Digest);
  }
}
