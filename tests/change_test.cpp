/// @file change_test.cpp Operators' changes: every store fault at every step, one and two at a
/// time.
#define BOOST_TEST_MODULE change
#include <boost/test/unit_test.hpp>

#include "config/change_cmd.h"
#include "operator/operator_service.h"

#include "fake_store.h"
#include "test_config.h"

#include <random>

using namespace jasmineloom;
using namespace jasmineloom::testing;

namespace {

constexpr TimeMs Now = 1000000;
constexpr int MaxSteps = 200;

/// A fault that strikes at one step of a change.
struct PlannedFault {
  int Step;
  StoreFault Fault;
};

ChangeRequest applyOf(const std::string &operation, std::vector<ConfigObject> objects) {
  ChangeRequest request;
  request.Operation = OperationID(operation);
  request.Author = operation;
  request.Change = [objects = std::move(objects)](const Snapshot &base) {
    return applyDeclarations(base, objects);
  };
  return request;
}

struct RunResult {
  ChangeOutcome Outcome;
  int Steps = 0;
};

RunResult run(FakeStore &store, ChangeRequest request, const SnapshotPtr &held,
              const std::vector<PlannedFault> &faults) {
  ChangeCommand command(std::move(request), held, Now);
  ChangeStep step = command.start();
  RunResult result;
  while (std::holds_alternative<StoreRequest>(step)) {
    BOOST_REQUIRE(result.Steps < MaxSteps);
    StoreFault fault = StoreFault::None;
    for (const PlannedFault &it : faults) {
      if (it.Step == result.Steps)
        fault = it.Fault;
    }
    ++result.Steps;
    step = command.onResponse(store.perform(std::get<StoreRequest>(step), fault));
  }
  result.Outcome = std::get<ChangeOutcome>(step);
  return result;
}

/// Reads the accepted configuration as a fresh node would.
SnapshotPtr readAll(const FakeStore &store) {
  const StoreEntry *entry = store.find(HeadKey);
  if (entry == nullptr)
    return makeSnapshot(0, {});
  const auto head = decodeHead(entry->Value);
  BOOST_REQUIRE(head.ok());
  std::vector<ConfigObjectPtr> objects;
  for (const SectionRef &section : head->Sections) {
    const StoreEntry *content = store.find(SectionPrefix + section.Hash);
    BOOST_REQUIRE_MESSAGE(content != nullptr, "section " << section.Hash << " is missing");
    const auto read = decodeSection(content->Value);
    BOOST_REQUIRE(read.ok());
    objects.insert(objects.end(), read->begin(), read->end());
  }
  const auto snapshot = assembleSnapshot(*head, nullptr, objects);
  BOOST_REQUIRE_MESSAGE(snapshot.ok(), snapshot.status().message());
  return *snapshot;
}

bool accepted(const FakeStore &store, const std::string &operation) {
  const StoreEntry *entry = store.find(HeadKey);
  if (entry == nullptr)
    return false;
  return findOperation(*decodeHead(entry->Value), OperationID(operation)) != nullptr;
}

std::vector<ConfigObject> firstObjects() {
  return {service("lookups"), service("royalties"), route("l", "/l", "lookups")};
}
std::vector<ConfigObject> secondObjects() {
  return {service("lookups"), service("royalties"), service("licensing"),
          route("l", "/l", "lookups"), route("r", "/r", "royalties", false)};
}
std::vector<ConfigObject> rivalObjects(int n) {
  return {service("lookups"), service("rival" + std::to_string(n))};
}

/// Runs a change under faults and checks what was promised, then and after all has settled.
void checkChange(const std::vector<PlannedFault> &faults) {
  FakeStore store;
  BOOST_REQUIRE((run(store, applyOf("first", firstObjects()), nullptr, {}).Outcome.Status ==
                 ChangeStatus::Accepted));
  const SnapshotPtr before = readAll(store);
  int rivals = 0;
  store.Rival = [&] {
    ++rivals;
    run(store, applyOf("rival" + std::to_string(rivals), rivalObjects(rivals)), nullptr, {});
  };
  const RunResult result = run(store, applyOf("second", secondObjects()), before, faults);
  store.settle();
  readAll(store);
  const bool inStore = accepted(store, "second");
  switch (result.Outcome.Status) {
  case ChangeStatus::Accepted:
    BOOST_TEST(inStore);
    break;
  case ChangeStatus::Refused:
  case ChangeStatus::Conflict:
  case ChangeStatus::StoreUnavailable:
    BOOST_TEST(!inStore, "told as not accepted, but it was: " << result.Outcome.Message);
    break;
  case ChangeStatus::Unknown:
    break;
  }
  // Asked again by its id, it is accepted once and only once.
  const ConfigVersion versionBefore = readAll(store)->Version;
  const RunResult again = run(store, applyOf("second", secondObjects()), nullptr, {});
  BOOST_TEST((again.Outcome.Status == ChangeStatus::Accepted));
  BOOST_TEST(readAll(store)->Version == versionBefore + (inStore ? 0 : 1));
  BOOST_TEST(accepted(store, "second"));
}

} // namespace

BOOST_AUTO_TEST_CASE(every_store_fault_at_every_step) {
  FakeStore store;
  run(store, applyOf("first", firstObjects()), nullptr, {});
  const int steps = run(store, applyOf("second", secondObjects()), readAll(store), {}).Steps;
  int cells = 0;
  for (int step = 0; step < steps + 2; ++step) {
    for (const StoreFault fault : AllStoreFaults) {
      BOOST_TEST_CONTEXT("step " << step << " fault " << testing::nameOf(fault))
      checkChange({{step, fault}});
      ++cells;
    }
  }
  BOOST_TEST_MESSAGE(cells << " cells of " << steps << " steps and 2 steps of recovery");
}

BOOST_AUTO_TEST_CASE(two_store_faults_at_a_time) {
  for (std::uint32_t seed = 1; seed <= 3000; ++seed) {
    std::mt19937 random(seed);
    std::vector<PlannedFault> faults;
    for (int n = 0; n < 2; ++n)
      faults.push_back({static_cast<int>(random() % 14), AllStoreFaults[random() % 5]});
    BOOST_TEST_CONTEXT("seed " << seed)
    checkChange(faults);
  }
}

BOOST_AUTO_TEST_CASE(a_store_that_stays_down_changes_nothing_or_tells_unknown) {
  for (const StoreFault fault : {StoreFault::Refused, StoreFault::LostRequest}) {
    for (int from = 0; from < 10; ++from) {
      std::vector<PlannedFault> faults;
      for (int step = from; step < MaxSteps; ++step)
        faults.push_back({step, fault});
      checkChange(faults);
    }
  }
}

BOOST_AUTO_TEST_CASE(of_two_racing_operators_one_wins_and_the_other_is_told_who) {
  FakeStore store;
  run(store, applyOf("first", firstObjects()), nullptr, {});
  store.Rival = [&] { run(store, applyOf("rival", rivalObjects(1)), nullptr, {}); };
  FakeStore probe = store;
  const int steps = run(probe, applyOf("second", secondObjects()), nullptr, {}).Steps;
  const RunResult lost = run(store, applyOf("second", secondObjects()), nullptr,
                             {{steps - 1, StoreFault::RivalBefore}});
  BOOST_TEST((lost.Outcome.Status == ChangeStatus::Conflict));
  BOOST_TEST(lost.Outcome.Message.find("ABORTED") != std::string::npos);
  BOOST_TEST(lost.Outcome.Message.find("rival") != std::string::npos);
  BOOST_TEST(lost.Outcome.Version == 2U);
  ChangeRequest stale = applyOf("third", secondObjects());
  stale.BaseVersion = 1;
  BOOST_TEST((run(store, std::move(stale), nullptr, {}).Outcome.Status == ChangeStatus::Conflict));
}

BOOST_AUTO_TEST_CASE(an_invalid_change_writes_nothing) {
  FakeStore store;
  run(store, applyOf("first", firstObjects()), nullptr, {});
  const auto entries = store.Entries.size();
  const RunResult refused = run(store, applyOf("bad", {route("x", "/x", "missing")}), nullptr, {});
  BOOST_TEST((refused.Outcome.Status == ChangeStatus::Refused));
  BOOST_TEST(store.Entries.size() == entries);
}

BOOST_AUTO_TEST_CASE(a_dry_run_writes_nothing) {
  FakeStore store;
  ChangeRequest request = applyOf("dry", firstObjects());
  request.DryRun = true;
  BOOST_TEST(
      (run(store, std::move(request), nullptr, {}).Outcome.Status == ChangeStatus::Accepted));
  BOOST_TEST(store.Entries.empty());
}

BOOST_AUTO_TEST_CASE(old_sections_are_deleted_and_used_ones_kept) {
  FakeStore store;
  for (int n = 0; n < 30; ++n) {
    run(store, applyOf("op" + std::to_string(n), n % 2 == 0 ? firstObjects() : secondObjects()),
        nullptr, {});
    readAll(store);
  }
  BOOST_TEST(store.Entries.size() < 20U);
}

BOOST_AUTO_TEST_CASE(apply_keeps_the_version_that_a_rollout_brought) {
  const SnapshotPtr base = snapshotOf(5, {service("lookups", "v7"), route("l", "/l", "lookups")});
  const auto objects = applyDeclarations(*base, {service("lookups", "v1")});
  BOOST_REQUIRE(objects.ok());
  BOOST_TEST(findService(*makeSnapshot(6, *objects), ServiceName("lookups"))->Version.str() ==
             "v7");
}

BOOST_AUTO_TEST_CASE(rollouts_are_refused_with_the_reason) {
  const SnapshotPtr base =
      snapshotOf(5, {service("lookups"), service("busy"), rollout("running", "busy", "v1", "v2")});
  const auto start = [&](const std::string &name, TimeMs deadline) {
    RolloutSpec spec = rollout("new", name, "", "v2", Now, deadline);
    spec.From = VersionLabel();
    return addRollout(*base, spec, Now);
  };
  BOOST_TEST(start("lookups", Now + 60000).ok());
  const auto busy = start("busy", Now + 60000);
  BOOST_TEST(busy.status().message().find("busy with rollout \"running\"") != std::string::npos);
  const auto near = start("lookups", Now + 1000);
  BOOST_TEST(near.status().message().find("earliest possible is 1008000") != std::string::npos,
             near.status().message());
  BOOST_TEST(!start("missing", Now + 60000).ok());
}
