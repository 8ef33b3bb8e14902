/// @file rollout_controller_base.cpp Which hosts steer a rollout, and what they decide.
#include "rollout/rollout_controller_base.h"

#include "mesh/tree_func.h"

#include <algorithm>

namespace jasmineloom {

std::vector<HostID> controllersOf(const RolloutSpec &spec, const HostTable &hosts) {
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
  if (order.size() > ControllersPerRollout)
    order.resize(ControllersPerRollout);
  return order;
}

EvidenceAggregator &RolloutController::bookOf(const RolloutSpec &spec) {
  EvidenceAggregator &book = Books.try_emplace(spec.ID, spec.From, spec.To).first->second;
  // The version that an order moves from may become known after its first evidence.
  if (book.oldVersion() != spec.From)
    book = EvidenceAggregator(spec.From, spec.To);
  return book;
}

void RolloutController::addReport(const RolloutSpec &spec, EvidenceReport report, TimeMs now) {
  const std::uint64_t received = now / EvidenceBucketMs - report.Age;
  const std::uint64_t offset =
      ClockOffsets.try_emplace(Sender{report.Host, report.Incarnation}, received - report.Bucket)
          .first->second;
  report.Bucket += offset;
  bookOf(spec).addReport(report);
}

Judgement RolloutController::orderJudgement(const RolloutSpec &spec, TimeMs now) {
  return finding(OrderRule, spec, now);
}

Judgement RolloutController::finding(const DecisionRule &rule, const RolloutSpec &spec,
                                     TimeMs now) {
  EvidenceAggregator &book = bookOf(spec);
  book.noteBaseline(now);
  return judge(rule, book, now);
}

std::vector<EvidenceStratum> RolloutController::strata(const RolloutSpec &spec, TimeMs now) {
  return bookOf(spec).strata(now, RetainedEvidenceBuckets);
}

std::optional<RolloutProgress> RolloutController::nextProgress(const RolloutSpec &spec,
                                                               const RolloutProgress &progress,
                                                               TimeMs now, TimeMs evidenceNow) {
  return nextRolloutProgress(finding(Rule, spec, evidenceNow), spec, progress, now);
}

void RolloutController::keepOnly(const std::vector<RolloutID> &rollouts) {
  if (rollouts.empty())
    ClockOffsets.clear();
  std::erase_if(Books, [&rollouts](const auto &it) {
    return std::find(rollouts.begin(), rollouts.end(), it.first) == rollouts.end();
  });
}

} // namespace jasmineloom
