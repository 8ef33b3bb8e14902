/// @file config_test.cpp Configuration values: validation, deltas, replacement of the active
/// snapshot.
#define BOOST_TEST_MODULE config
#include <boost/test/unit_test.hpp>

#include "config/config_holder.h"
#include "config/declarations.h"
#include "config/refused_entries.h"

#include "test_config.h"

#include <rapidcheck.h>

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

RouteSpec splitRoute(const std::vector<std::pair<const char *, std::uint32_t>> &parts) {
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

// Guards against an entry that is reported with every read of the document, and against one whose
// next version is not reported.
BOOST_AUTO_TEST_CASE(a_refused_entry_is_reported_once_for_each_content) {
  RefusedEntries refused;
  BOOST_TEST(refused.record("config", "version 4"));
  BOOST_TEST(!refused.record("config", "version 4"));
  BOOST_TEST(refused.record("order", "version 4"));
  BOOST_TEST(refused.record("config", "version 5"));
  refused.clear("config");
  BOOST_TEST(refused.record("config", "version 5"));
  BOOST_TEST(refused.total() == 4U);
  BOOST_TEST(describeInForce(3) == "version 3 stays in force as a whole");
  BOOST_TEST(describeInForce(0) == "no configuration is in force, requests get 503");
}
