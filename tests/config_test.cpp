/// @file config_test.cpp Configuration values: validation, deltas, replacement of the active
/// snapshot.
#define BOOST_TEST_MODULE config
#include <boost/test/unit_test.hpp>

#include "config/config_holder.h"
#include "config/declarations.h"
#include "config/delta_codec.h"
#include "config/refused_entries.h"

#include "test_config.h"

#include <capnp/message.h>
#include <rapidcheck.h>

#include <cmath>

using namespace jasmineloom;
using namespace jasmineloom::testing;

namespace {

struct InvalidCase {
  const char *Name;
  std::vector<ConfigObject> Objects;
  const char *Reason;
};

} // namespace

namespace {

RouteSpec hostRoute(const std::string &name, const std::string &host, const std::string &prefix) {
  RouteSpec spec = route(name, prefix, "lookups");
  spec.Host = host;
  return spec;
}

RouteSpec routeWithAttempts(std::uint32_t attempts) {
  RouteSpec spec = route("r", "/r", "lookups");
  spec.Attempts = attempts;
  return spec;
}

RouteSpec splitRoute(const std::vector<std::pair<const char *, double>> &parts) {
  RouteSpec spec = route("r", "/r", "lookups");
  for (const auto &[name, weight] : parts)
    spec.Split.push_back({ServiceName(name), weight});
  return spec;
}

} // namespace

BOOST_AUTO_TEST_CASE(invalid_configurations_are_rejected_with_the_reason) {
  const ServiceSpec lookups = service("lookups");
  const std::vector<InvalidCase> cases = {
      {"route to a missing service", {route("r", "/r", "lookups")}, "does not exist"},
      {"prefix without slash", {lookups, route("r", "r", "lookups")}, "must start"},
      {"prefix twice",
       {lookups, route("a", "/r", "lookups"), route("b", "/r", "lookups")},
       "another route"},
      {"prefix twice for a host",
       {lookups, hostRoute("a", "x.example", "/r/"), hostRoute("b", "x.example", "/r/")},
       "another route"},
      {"no attempts", {lookups, routeWithAttempts(0)}, "attempts"},
      {"split with a missing service",
       {lookups, splitRoute({{"lookups", 1}, {"other", 1}})},
       "does not exist"},
      {"split without weights", {lookups, splitRoute({{"lookups", 0}})}, "add up to 0"},
      {"split with a negative weight", {lookups, splitRoute({{"lookups", -0.5}})}, "negative"},
      {"split with an infinite weight", {lookups, splitRoute({{"lookups", HUGE_VAL}})}, "negative"},
      {"rollout of a service without a version",
       {service("lookups", ""), rollout("x", "lookups", "v1", "v2")},
       "is not the version"},
      {"name with a space", {service("look ups")}, "letters"},
      {"rollout of a missing service", {rollout("x", "lookups", "v1", "v2")}, "does not exist"},
      {"rollout to the same version",
       {lookups, rollout("x", "lookups", "v1", "v1")},
       "must differ"},
      {"rollout from another version",
       {lookups, rollout("x", "lookups", "v0", "v2")},
       "is not the version"},
      {"two rollouts of a service",
       {lookups, rollout("x", "lookups", "v1", "v2"), rollout("y", "lookups", "v1", "v3")},
       "another rollout"},
  };
  for (const InvalidCase &it : cases) {
    const absl::Status status = validateSnapshot(*snapshotOf(1, it.Objects));
    BOOST_TEST_CONTEXT(it.Name) {
      BOOST_TEST(!status.ok());
      BOOST_TEST(status.message().find(it.Reason) != std::string::npos, status.message());
    }
  }
}

BOOST_AUTO_TEST_CASE(delta_transforms_any_snapshot_into_any_later_one) {
  BOOST_TEST(rc::check([](std::uint32_t before, std::uint32_t after) {
    const SnapshotPtr base = seededSnapshot(1, before % 64);
    const SnapshotPtr next = seededSnapshot(2, after % 64);
    const auto applied = applyDelta(base.get(), diffSnapshots(base.get(), *next));
    RC_ASSERT(applied.ok());
    RC_ASSERT((*applied)->Digest == next->Digest);
    RC_ASSERT((*applied)->Objects.size() == next->Objects.size());
    const auto full = applyDelta(nullptr, diffSnapshots(nullptr, *next));
    RC_ASSERT(full.ok());
    RC_ASSERT((*full)->Digest == next->Digest);
  }));
}

BOOST_AUTO_TEST_CASE(config_holder_versions_are_monotonic_and_updates_atomic) {
  BOOST_TEST(rc::check([](std::vector<std::uint8_t> draws) {
    std::vector<SnapshotPtr> versions;
    for (std::uint32_t it = 0; it < 8; ++it)
      versions.push_back(seededSnapshot(it + 1, it * 7 + 3));
    ConfigHolder holder;
    ConfigVersion highest = 0;
    for (const std::uint8_t draw : draws) {
      const SnapshotPtr &next = versions[draw % versions.size()];
      const bool full = (draw & 64) != 0;
      const SnapshotPtr &base = versions[(draw / 8) % versions.size()];
      const ConfigDelta delta = diffSnapshots(full ? nullptr : base.get(), *next);
      holder.offer(delta);
      RC_ASSERT(holder.heldVersion() >= highest);
      highest = holder.heldVersion();
      if (highest > 0)
        RC_ASSERT(holder.heldDigest() == versions[highest - 1]->Digest);
    }
  }));
}

BOOST_AUTO_TEST_CASE(config_holder_rejects_versions_below_the_floor) {
  ConfigHolder holder;
  holder.raiseFloor(3);
  BOOST_TEST(
      (holder.offer(diffSnapshots(nullptr, *seededSnapshot(2, 5))) == OfferResult::BelowFloor));
  BOOST_TEST(holder.heldVersion() == 0U);
  BOOST_TEST((holder.offer(diffSnapshots(nullptr, *seededSnapshot(3, 5))) == OfferResult::Applied));
}

BOOST_AUTO_TEST_CASE(delta_with_wrong_digest_is_rejected) {
  const SnapshotPtr base = seededSnapshot(1, 9);
  const SnapshotPtr next = seededSnapshot(2, 21);
  ConfigHolder holder;
  holder.offer(diffSnapshots(nullptr, *base));
  ConfigDelta delta = diffSnapshots(base.get(), *next);
  delta.Upserts.pop_back();
  BOOST_TEST((holder.offer(delta) == OfferResult::NeedFull));
  BOOST_TEST(holder.heldVersion() == 1U);
  BOOST_TEST(holder.heldDigest() == base->Digest);
  delta = diffSnapshots(nullptr, *next);
  delta.Upserts.pop_back();
  BOOST_TEST((holder.offer(delta) == OfferResult::Refused));
  BOOST_TEST(holder.heldVersion() == 1U);
}

BOOST_AUTO_TEST_CASE(invalid_snapshot_is_not_applied) {
  ConfigHolder holder;
  holder.offer(diffSnapshots(nullptr, *seededSnapshot(1, 9)));
  const SnapshotPtr bad = snapshotOf(2, {route("r", "/r", "missing")});
  BOOST_TEST((holder.offer(diffSnapshots(holder.held().get(), *bad)) == OfferResult::Refused));
  BOOST_TEST(holder.heldVersion() == 1U);
}

BOOST_AUTO_TEST_CASE(declarations_with_unknown_fields_are_rejected_with_file_and_field) {
  const auto parsed = parseDeclarations("routes.json", R"({"routes":[{"nmae":"x"}]})");
  BOOST_TEST(!parsed.ok());
  const std::string message(parsed.status().message());
  BOOST_TEST(message.find("routes.json") != std::string::npos);
  BOOST_TEST(message.find("nmae") != std::string::npos, message);
  BOOST_TEST(!parseDeclarations("x.json", "{not json").ok());
}

// Guards against weights that change between the store, the nodes and the operators' tools.
BOOST_AUTO_TEST_CASE(weights_are_the_same_at_all_nodes_and_in_declarations) {
  const std::vector<ConfigObject> objects = {service("lookups"),
                                             splitRoute({{"lookups", 0.1},
                                                         {"lookups", 3},
                                                         {"lookups", 9e9},
                                                         {"lookups", 0},
                                                         {"lookups", 4294967295.0}})};
  std::vector<ConfigObjectPtr> shared;
  for (const ConfigObject &object : objects)
    shared.push_back(std::make_shared<const ConfigObject>(object));
  const SnapshotPtr snapshot = makeSnapshot(1, shared);
  const auto decoded = decodeDelta(encodeDelta(diffSnapshots(nullptr, *snapshot)).Bytes);
  BOOST_TEST_REQUIRE(decoded.ok());
  const auto applied = applyDelta(nullptr, *decoded);
  BOOST_TEST_REQUIRE(applied.ok());
  const std::vector<SplitPart> &sent = std::get<RouteSpec>(objects[1]).Split;
  BOOST_TEST((findRoute(**applied, RouteName("r"))->Split == sent));

  capnp::MallocMessageBuilder message;
  auto declarations = message.initRoot<wire::Declarations>();
  writeDeclaredObjects(declarations, objects);
  // A node of an earlier version reads whole weights of 32 bits, and computes the same digest.
  const auto split = declarations.asReader().getRoutes()[0].getSplit();
  BOOST_TEST(split[1].getWeight() == 3U);
  BOOST_TEST(split[1].getExactWeight() == 0);
  BOOST_TEST(split[4].getWeight() == 4294967295U);
  capnp::JsonCodec codec;
  addDeclarationHandlers(codec);
  const std::string json(codec.encode(declarations.asReader()).cStr());
  BOOST_TEST(json.find(R"("weight":0.1)") != std::string::npos, json);
  BOOST_TEST(json.find("exactWeight") == std::string::npos, json);
  const auto parsed = parseDeclarations("routes.json", json);
  BOOST_TEST_REQUIRE(parsed.ok(), parsed.status().message());
  for (const ConfigObject &object : *parsed) {
    if (const auto *route = std::get_if<RouteSpec>(&object))
      BOOST_TEST((route->Split == sent));
  }
  const auto unknown = parseDeclarations(
      "routes.json", R"({"routes":[{"name":"r","split":[{"service":"a","wieght":1}]}]})");
  BOOST_TEST(!unknown.ok());
  BOOST_TEST(unknown.status().message().find("wieght") != std::string::npos);
}

// Guards against an entry that is reported with every read of the document, and against one whose
// next version is not reported.
BOOST_AUTO_TEST_CASE(a_refused_entry_is_reported_once_for_each_content) {
  RefusedEntries refused;
  BOOST_TEST(refused.record("config", "version 4", "reason 4"));
  BOOST_TEST(!refused.record("config", "version 4", "reason 4"));
  BOOST_TEST(refused.record("order", "version 4", "reason 4"));
  BOOST_TEST(refused.record("config", "version 5", "reason 5"));
  refused.clear("config");
  BOOST_TEST(refused.record("config", "version 5", "reason 5"));
  BOOST_TEST(refused.total() == 4U);
  BOOST_TEST((refused.reasons() ==
              std::map<std::string, std::string>{{"config", "reason 5"}, {"order", "reason 4"}}));
  BOOST_TEST(describeInForce(3) == "version 3 stays in force as a whole");
  BOOST_TEST(describeInForce(0) == "no configuration is in force, requests get 503");
}
