/// @file change_test.cpp Configuration changes under store faults: each fault at each step, and
/// random pairs of faults.
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

/// A store fault injected at one request of a change.
struct PlannedFault {
  int Step;
  StoreFault Fault;
};

ChangeRequest applyRequest(const std::string &operation, std::vector<ConfigObject> objects) {
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

/// Reads the accepted configuration from the store only, like a node that has just started.
SnapshotPtr readAcceptedSnapshot(const FakeStore &store) {
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

bool isAccepted(const FakeStore &store, const std::string &operation) {
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
std::vector<ConfigObject> concurrentObjects(int n) {
  return {service("lookups"), service("rival" + std::to_string(n))};
}

/// Runs a change under faults. The reported outcome must match the store after all late requests
/// have taken effect, and a retry with the same operation id must apply the change exactly once.
void checkChange(const std::vector<PlannedFault> &faults) {
  FakeStore store;
  BOOST_REQUIRE((run(store, applyRequest("first", firstObjects()), nullptr, {}).Outcome.Status ==
                 ChangeStatus::Accepted));
  const SnapshotPtr before = readAcceptedSnapshot(store);
  int concurrentChanges = 0;
  store.CommitConcurrentChange = [&] {
    ++concurrentChanges;
    run(store,
        applyRequest("rival" + std::to_string(concurrentChanges),
                     concurrentObjects(concurrentChanges)),
        nullptr, {});
  };
  const RunResult result = run(store, applyRequest("second", secondObjects()), before, faults);
  store.applyLateRequests();
  readAcceptedSnapshot(store);
  const bool inStore = isAccepted(store, "second");
  switch (result.Outcome.Status) {
  case ChangeStatus::Accepted:
    BOOST_TEST(inStore);
    break;
  case ChangeStatus::Refused:
  case ChangeStatus::Conflict:
  case ChangeStatus::StoreUnavailable:
    BOOST_TEST(!inStore,
               "change reported as not accepted is in the store: " << result.Outcome.Message);
    break;
  case ChangeStatus::Unknown:
    break;
  }
  // A retry with the same operation id is not applied again if the change is in the store already.
  const ConfigVersion versionBefore = readAcceptedSnapshot(store)->Version;
  const RunResult retried = run(store, applyRequest("second", secondObjects()), nullptr, {});
  BOOST_TEST((retried.Outcome.Status == ChangeStatus::Accepted));
  BOOST_TEST(readAcceptedSnapshot(store)->Version == versionBefore + (inStore ? 0 : 1));
  BOOST_TEST(isAccepted(store, "second"));
}

} // namespace

BOOST_AUTO_TEST_CASE(each_store_fault_at_each_step) {
  FakeStore store;
  run(store, applyRequest("first", firstObjects()), nullptr, {});
  const int steps =
      run(store, applyRequest("second", secondObjects()), readAcceptedSnapshot(store), {}).Steps;
  int combinations = 0;
  for (int step = 0; step < steps + 2; ++step) {
    for (const StoreFault fault : AllStoreFaults) {
      BOOST_TEST_CONTEXT("step " << step << " fault " << testing::faultName(fault))
      checkChange({{step, fault}});
      ++combinations;
    }
  }
  BOOST_TEST_MESSAGE(combinations << " combinations of fault and step, " << steps
                                  << " steps and 2 recovery steps");
}

BOOST_AUTO_TEST_CASE(random_pairs_of_store_faults) {
  for (std::uint32_t seed = 1; seed <= 3000; ++seed) {
    std::mt19937 random(seed);
    std::vector<PlannedFault> faults;
    for (int n = 0; n < 2; ++n)
      faults.push_back({static_cast<int>(random() % 14), AllStoreFaults[random() % 5]});
    BOOST_TEST_CONTEXT("seed " << seed)
    checkChange(faults);
  }
}

BOOST_AUTO_TEST_CASE(reported_outcome_matches_the_store_in_a_permanent_outage) {
  for (const StoreFault fault : {StoreFault::Refused, StoreFault::LostRequest}) {
    for (int from = 0; from < 10; ++from) {
      std::vector<PlannedFault> faults;
      for (int step = from; step < MaxSteps; ++step)
        faults.push_back({step, fault});
      checkChange(faults);
    }
  }
}

BOOST_AUTO_TEST_CASE(concurrent_change_conflicts_and_reports_the_other_author) {
  FakeStore store;
  run(store, applyRequest("first", firstObjects()), nullptr, {});
  store.CommitConcurrentChange = [&] {
    run(store, applyRequest("rival", concurrentObjects(1)), nullptr, {});
  };
  FakeStore probe = store;
  const int steps = run(probe, applyRequest("second", secondObjects()), nullptr, {}).Steps;
  const RunResult conflicted = run(store, applyRequest("second", secondObjects()), nullptr,
                                   {{steps - 1, StoreFault::ConcurrentChange}});
  BOOST_TEST((conflicted.Outcome.Status == ChangeStatus::Conflict));
  BOOST_TEST(conflicted.Outcome.Message.find("ABORTED") != std::string::npos);
  BOOST_TEST(conflicted.Outcome.Message.find("rival") != std::string::npos);
  BOOST_TEST(conflicted.Outcome.Version == 2U);
  ChangeRequest stale = applyRequest("third", secondObjects());
  stale.BaseVersion = 1;
  BOOST_TEST((run(store, std::move(stale), nullptr, {}).Outcome.Status == ChangeStatus::Conflict));
}

BOOST_AUTO_TEST_CASE(invalid_change_writes_nothing) {
  FakeStore store;
  run(store, applyRequest("first", firstObjects()), nullptr, {});
  const auto entries = store.Entries.size();
  const RunResult refused =
      run(store, applyRequest("bad", {route("x", "/x", "missing")}), nullptr, {});
  BOOST_TEST((refused.Outcome.Status == ChangeStatus::Refused));
  BOOST_TEST(store.Entries.size() == entries);
}

BOOST_AUTO_TEST_CASE(dry_run_writes_nothing) {
  FakeStore store;
  ChangeRequest request = applyRequest("dry", firstObjects());
  request.DryRun = true;
  BOOST_TEST(
      (run(store, std::move(request), nullptr, {}).Outcome.Status == ChangeStatus::Accepted));
  BOOST_TEST(store.Entries.empty());
}

BOOST_AUTO_TEST_CASE(retired_sections_are_deleted_and_referenced_ones_kept) {
  FakeStore store;
  for (int n = 0; n < 30; ++n) {
    run(store,
        applyRequest("op" + std::to_string(n), n % 2 == 0 ? firstObjects() : secondObjects()),
        nullptr, {});
    readAcceptedSnapshot(store);
  }
  BOOST_TEST(store.Entries.size() < 20U);
}

BOOST_AUTO_TEST_CASE(apply_keeps_the_version_set_by_a_rollout) {
  const SnapshotPtr base = snapshotOf(5, {service("lookups", "v7"), route("l", "/l", "lookups")});
  const auto objects = applyDeclarations(*base, {service("lookups", "v1")});
  BOOST_REQUIRE(objects.ok());
  BOOST_TEST(findService(*makeSnapshot(6, *objects), ServiceName("lookups"))->Version.str() ==
             "v7");
}

// The store came back from an older copy: the nodes hold version 2, which its head doesn't know.
BOOST_AUTO_TEST_CASE(a_version_that_the_store_lost_is_not_given_out_again) {
  FakeStore store;
  run(store, applyRequest("first", firstObjects()), nullptr, {});
  const SnapshotPtr held = snapshotOf(2, secondObjects());
  const ChangeOutcome other =
      run(store, applyRequest("other", concurrentObjects(1)), held, {}).Outcome;
  BOOST_TEST((other.Status == ChangeStatus::Accepted));
  BOOST_TEST(other.Version == 3U);
  BOOST_TEST(readAcceptedSnapshot(store)->Version == 3U);
}

BOOST_AUTO_TEST_CASE(declarations_that_the_store_still_has_replace_a_version_that_it_lost) {
  FakeStore store;
  run(store, applyRequest("first", firstObjects()), nullptr, {});
  const SnapshotPtr held = snapshotOf(2, secondObjects());
  const ChangeOutcome again = run(store, applyRequest("again", firstObjects()), held, {}).Outcome;
  BOOST_TEST((again.Status == ChangeStatus::Accepted));
  BOOST_TEST(again.Version == 3U);
  BOOST_TEST(readAcceptedSnapshot(store)->Digest == snapshotOf(3, firstObjects())->Digest);
}

// Guards against nodes that refuse all keys, as the store does not know the version they hold.
BOOST_AUTO_TEST_CASE(a_version_that_the_store_lost_is_accepted_again_once) {
  FakeStore store;
  run(store, applyRequest("first", firstObjects()), nullptr, {});
  const SnapshotPtr held = snapshotOf(4, secondObjects());
  const ChangeOutcome restored = run(store, restoreRequest(held), held, {}).Outcome;
  BOOST_TEST((restored.Status == ChangeStatus::Accepted));
  BOOST_TEST(restored.Version == 5U);
  BOOST_TEST(readAcceptedSnapshot(store)->Digest == held->Digest);
  // Another node, and one that learns late of what was restored or changed since.
  run(store, restoreRequest(held), held, {});
  BOOST_TEST(readAcceptedSnapshot(store)->Version == 5U);
  run(store, applyRequest("later", firstObjects()), readAcceptedSnapshot(store), {});
  const SnapshotPtr other = snapshotOf(3, secondObjects());
  run(store, restoreRequest(other), other, {});
  BOOST_TEST(readAcceptedSnapshot(store)->Version == 6U);
  BOOST_TEST(readAcceptedSnapshot(store)->Digest == snapshotOf(6, firstObjects())->Digest);
}

// Guards against a restored version that replaces an operator's change accepted meanwhile.
BOOST_AUTO_TEST_CASE(a_change_accepted_while_a_version_is_restored_stays) {
  for (const StoreFault fault : AllStoreFaults) {
    for (int step = 0; step <= 6; ++step) {
      FakeStore store;
      run(store, applyRequest("first", firstObjects()), nullptr, {});
      const SnapshotPtr held = snapshotOf(4, secondObjects());
      bool changed = false;
      store.CommitConcurrentChange = [&] {
        changed = true;
        run(store, applyRequest("rival", concurrentObjects(1)), held, {});
      };
      run(store, restoreRequest(held), held, {{step, fault}});
      store.applyLateRequests();
      readAcceptedSnapshot(store);
      const std::vector<OperationRecord> operations =
          decodeHead(store.find(HeadKey)->Value)->Operations;
      BOOST_TEST((!changed || operations.back().ID.str() == "rival"));
    }
  }
}

BOOST_AUTO_TEST_CASE(invalid_rollouts_are_rejected_with_the_reason) {
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
