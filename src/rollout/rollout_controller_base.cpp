/// @file rollout_controller_base.cpp Choice of the hosts that control a rollout, and their
/// decisions.
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

EvidenceAggregator &RolloutController::aggregatorOf(const RolloutSpec &spec) {
  EvidenceAggregator &aggregator =
      Aggregators.try_emplace(spec.ID, spec.From, spec.To).first->second;
  // The old version of an order may be determined only after the first reports; those are dropped.
  if (aggregator.oldVersion() != spec.From)
    aggregator = EvidenceAggregator(spec.From, spec.To);
  return aggregator;
}

void RolloutController::addReport(const RolloutSpec &spec, EvidenceReport report, TimeMs now) {
  const std::uint64_t received = now / EvidenceBucketMs - report.Age;
  const std::uint64_t offset =
      ClockOffsets.try_emplace(Sender{report.Host, report.Incarnation}, received - report.Bucket)
          .first->second;
  report.Bucket += offset;
  LastReports[spec.ID][report.Host] = now;
  aggregatorOf(spec).addReport(report);
}

Judgement RolloutController::orderJudgement(const RolloutSpec &spec, TimeMs now) {
  return judgement(OrderRule, spec, now);
}

Judgement RolloutController::judgement(const DecisionRule &rule, const RolloutSpec &spec,
                                       TimeMs now) {
  EvidenceAggregator &aggregator = aggregatorOf(spec);
  aggregator.updateBaseline(now);
  return judge(rule, aggregator, now);
}

std::vector<EvidenceStratum> RolloutController::strata(const RolloutSpec &spec, TimeMs now) {
  return aggregatorOf(spec).strata(now, RetainedEvidenceBuckets);
}

double RolloutController::requestRate(const RolloutSpec &spec, TimeMs now) {
  return aggregatorOf(spec).requestRate(now, RetainedEvidenceBuckets);
}

std::optional<RolloutProgress> RolloutController::nextProgress(const RolloutSpec &spec,
                                                               const RolloutProgress &progress,
                                                               TimeMs now, TimeMs steadyNow) {
  return nextRolloutProgress(judgement(DeclaredRule, spec, steadyNow), spec, progress, now);
}

std::size_t RolloutController::reportingGates(const RolloutSpec &spec, TimeMs now) const {
  const auto reports = LastReports.find(spec.ID);
  if (reports == LastReports.end())
    return 0;
  return static_cast<std::size_t>(
      std::count_if(reports->second.begin(), reports->second.end(),
                    [now](const auto &it) { return now <= it.second + RecentReportTime; }));
}

void RolloutController::keepOnly(const std::vector<RolloutID> &rollouts) {
  if (rollouts.empty())
    ClockOffsets.clear();
  const auto ended = [&rollouts](const auto &it) {
    return std::find(rollouts.begin(), rollouts.end(), it.first) == rollouts.end();
  };
  std::erase_if(Aggregators, ended);
  std::erase_if(LastReports, ended);
}

} // namespace jasmineloom
