/// @file store_era_test.cpp A store that comes back from an older copy: what replies of other eras
/// mean, and which orders are the same.
#define BOOST_TEST_MODULE store_era
#include <boost/test/unit_test.hpp>

#include "platform_environment.h"
#include "rollout/rollout_order.h"
#include "store/store_era.h"

using namespace jasmineloom;

namespace {

struct EraCase {
  const char *Name;
  std::vector<std::uint64_t> Before;
  std::uint64_t Stated;
  EraChange Expected;
};

RolloutOrder orderOf(std::uint64_t era, std::uint64_t number, const char *to) {
  return {ServiceName("s"), VersionLabel(to), 10000, number, era};
}

RolloutProgress progressOf(std::uint64_t era, std::uint64_t number, const char *to,
                           RolloutPhase phase) {
  RolloutProgress progress = initialProgress(orderOf(era, number, to));
  progress.Phase = phase;
  return progress;
}

struct OrderCase {
  const char *Name;
  std::vector<RolloutProgress> Orders;
  std::vector<std::string> Distinct; ///< IDs in the order that the operator gave them.
};

std::vector<std::string> idsOf(const std::vector<RolloutProgress> &orders) {
  std::vector<std::string> ids;
  for (const RolloutProgress &it : orders)
    ids.push_back(it.ID.str());
  return ids;
}

} // namespace

BOOST_AUTO_TEST_CASE(replies_are_judged_by_their_era) {
  const std::vector<EraCase> cases = {
      {"store without eras", {0, 0}, 0, EraChange::None},
      {"first era", {}, 7, EraChange::None},
      {"same era", {7}, 7, EraChange::None},
      {"the store lost seconds", {7}, 8, EraChange::Newer},
      {"it lost seconds twice", {7}, 9, EraChange::Newer},
      {"a proxy mixes both", {7, 8}, 7, EraChange::Older},
      {"an answer without the era", {7}, 0, EraChange::Older},
      {"again the new one", {7, 8, 7}, 8, EraChange::None},
  };
  for (const EraCase &it : cases) {
    StoreEra era;
    for (const std::uint64_t stated : it.Before)
      era.observe(stated);
    BOOST_TEST((era.observe(it.Stated) == it.Expected), it.Name);
  }
}

BOOST_AUTO_TEST_CASE(a_reply_of_an_older_era_proves_nothing) {
  const StoreResponse read{StoreResult::Ok, {{"k", "v", 9}}, 3, 9, true, 1};
  const StoreResponse judged = withoutOlderEra(read);
  BOOST_TEST((judged.Result == StoreResult::Unknown));
  BOOST_TEST(judged.Entries.empty());
  BOOST_TEST(judged.Lease == 0);
  // That a call had no effect stays true.
  StoreResponse refused;
  BOOST_TEST((withoutOlderEra(refused).Result == StoreResult::Unavailable));
}

// Guards against an order that is taken for known because an earlier one had its revision, and
// against one that runs again because the store lost it.
BOOST_AUTO_TEST_CASE(orders_are_told_apart_by_era_revision_and_target) {
  const RolloutProgress v2 = progressOf(1, 24, "v2", RolloutPhase::Done);
  const RolloutProgress v3 = progressOf(1, 30, "v3", RolloutPhase::TakenBack);
  const std::vector<OrderCase> cases = {
      {"two orders of one era", {v3, v2}, {"s.1.24", "s.1.30"}},
      {"the copy still had it", {v2, progressOf(2, 24, "v2", RolloutPhase::Running)}, {"s.1.24"}},
      {"written again at a lower revision",
       {v2, v3, progressOf(2, 21, "v3", RolloutPhase::Running)},
       {"s.1.24", "s.1.30"}},
      {"written again at the revision of another",
       {v2, v3, progressOf(2, 24, "v3", RolloutPhase::Running)},
       {"s.1.24", "s.1.30"}},
      {"the copy had the earlier, the later is written again",
       {v2, v3, progressOf(2, 24, "v2", RolloutPhase::Running),
        progressOf(2, 26, "v3", RolloutPhase::Running)},
       {"s.1.24", "s.1.30"}},
      {"another target at a known revision",
       {v2, progressOf(2, 24, "v4", RolloutPhase::Running)},
       {"s.1.24", "s.2.24"}},
      {"another target at a lower revision",
       {v2, progressOf(2, 3, "v4", RolloutPhase::Running)},
       {"s.1.24", "s.2.3"}},
      {"written again, then ordered once more",
       {v3, progressOf(2, 21, "v3", RolloutPhase::Running),
        progressOf(2, 40, "v3", RolloutPhase::Running)},
       {"s.1.30", "s.2.40"}},
      {"two drills",
       {v2, progressOf(2, 20, "v2", RolloutPhase::Running),
        progressOf(3, 18, "v2", RolloutPhase::Running)},
       {"s.1.24"}},
      {"a node of a build without eras",
       {progressOf(0, 24, "v2", RolloutPhase::Done),
        progressOf(1, 24, "v2", RolloutPhase::Running)},
       {"s.24"}},
  };
  for (const OrderCase &it : cases)
    BOOST_TEST(idsOf(distinctOrders(it.Orders)) == it.Distinct, it.Name);
}

BOOST_AUTO_TEST_CASE(an_order_that_is_written_again_keeps_its_outcome) {
  const std::map<VersionLabel, std::uint32_t> upstreams = {{VersionLabel("v1"), 4}};
  const VersionPolicy done = policyOf(
      {progressOf(1, 24, "v2", RolloutPhase::Done), progressOf(2, 21, "v2", RolloutPhase::Running)},
      upstreams);
  BOOST_TEST(done.Stable.str() == "v2");
  BOOST_TEST(!done.Running.has_value());
  const VersionPolicy back = policyOf({progressOf(1, 24, "v2", RolloutPhase::TakenBack),
                                       progressOf(2, 21, "v2", RolloutPhase::Running)},
                                      upstreams);
  BOOST_TEST(back.RolledBack.contains(VersionLabel("v2")));
  BOOST_TEST(!back.Running.has_value());
  // An outcome that only a node without the earlier order has seen counts for both.
  const VersionPolicy merged = policyOf({progressOf(1, 24, "v2", RolloutPhase::Running),
                                         progressOf(2, 21, "v2", RolloutPhase::TakenBack)},
                                        upstreams);
  BOOST_TEST(merged.RolledBack.contains(VersionLabel("v2")));
}

// All nodes were restarted between the write of a status and the drill.
BOOST_AUTO_TEST_CASE(a_stored_status_belongs_to_the_order_that_was_written_again) {
  const RolloutProgress order = progressOf(2, 21, "v2", RolloutPhase::Running);
  BOOST_TEST(isStatusOf(progressOf(2, 21, "v2", RolloutPhase::Done), order));
  BOOST_TEST(isStatusOf(progressOf(1, 24, "v2", RolloutPhase::Done), order));
  BOOST_TEST(!isStatusOf(progressOf(2, 20, "v2", RolloutPhase::Done), order));
  BOOST_TEST(!isStatusOf(progressOf(1, 21, "v3", RolloutPhase::Done), order));
  BOOST_TEST(!isStatusOf(progressOf(2, 21, "v3", RolloutPhase::Done), order));
}

BOOST_AUTO_TEST_CASE(the_status_in_the_store_names_the_era) {
  const DocumentFormat format = platform::documentFormat();
  const RolloutProgress progress = progressOf(3, 24, "v2", RolloutPhase::Done);
  const auto read = format.DecodeStatus(format.EncodeStatus(progress));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(read->Era == 3U);
}
