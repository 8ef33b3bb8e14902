/// @file steward_base.cpp Which hosts steer a rollout, and what they decide.
#include "rollout/steward_base.h"

#include "mesh/tree_func.h"

#include <algorithm>

namespace jasmineloom {

std::vector<HostID> stewardsOf(const RolloutSpec &spec, const HostTable &hosts) {
  std::vector<HostID> serving;
  std::vector<HostID> all;
  hosts.forEach([&](const HostRecord &record, TimeMs) {
    if (record.State == HostState::Gone)
      return;
    all.push_back(record.Host);
    if (record.Service == spec.Service)
      serving.push_back(record.Host);
  });
  std::vector<HostID> order =
      rendezvousOrder(serving.empty() ? std::move(all) : std::move(serving), spec.ID.str());
  if (order.size() > StewardsPerRollout)
    order.resize(StewardsPerRollout);
  return order;
}

EvidenceBook &Steward::bookOf(const RolloutSpec &spec) {
  EvidenceBook &book = Books.try_emplace(spec.ID, spec.From, spec.To).first->second;
  // The version that an order moves from may become known after its first evidence.
  if (book.oldVersion() != spec.From)
    book = EvidenceBook(spec.From, spec.To);
  return book;
}

void Steward::take(const RolloutSpec &spec, EvidenceReport report, TimeMs now) {
  const std::uint64_t received = now / EvidenceBucketMs - report.Age;
  const std::uint64_t offset =
      ClockOffsets.try_emplace(Sender{report.Host, report.Incarnation}, received - report.Bucket)
          .first->second;
  report.Bucket += offset;
  bookOf(spec).take(report);
}

Finding Steward::orderFinding(const RolloutSpec &spec, TimeMs now) {
  return finding(OrderRule, spec, now);
}

Finding Steward::finding(const DecisionRule &rule, const RolloutSpec &spec, TimeMs now) {
  EvidenceBook &book = bookOf(spec);
  book.noteBaseline(now);
  return judge(rule, book, now);
}

std::vector<EvidenceStratum> Steward::strata(const RolloutSpec &spec, TimeMs now) {
  return bookOf(spec).strata(now, EvidenceBuckets);
}

std::optional<RolloutProgress> Steward::decide(const RolloutSpec &spec,
                                               const RolloutProgress &progress, TimeMs now,
                                               TimeMs evidenceNow) {
  return decideRollout(finding(Rule, spec, evidenceNow), spec, progress, now);
}

void Steward::keepOnly(const std::vector<RolloutID> &rollouts) {
  if (rollouts.empty())
    ClockOffsets.clear();
  std::erase_if(Books, [&rollouts](const auto &it) {
    return std::find(rollouts.begin(), rollouts.end(), it.first) == rollouts.end();
  });
}

} // namespace jasmineloom
