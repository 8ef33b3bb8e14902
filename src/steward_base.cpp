/// @file steward_base.cpp Which hosts steer a rollout, and what they decide.
#include "steward_base.h"

#include "tree_func.h"

#include <algorithm>

namespace jasmineloom {

std::vector<HostID> stewardsOf(const RolloutSpec &spec, const HostTable &hosts) {
  std::vector<HostID> serving;
  std::vector<HostID> all;
  hosts.each([&](const HostRecord &record, TimeMs) {
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
  return Books.try_emplace(spec.ID, spec.From, spec.To).first->second;
}

void Steward::take(const RolloutSpec &spec, const EvidenceReport &report) {
  bookOf(spec).take(report);
}

std::optional<RolloutProgress> Steward::decide(const RolloutSpec &spec,
                                               const RolloutProgress &progress, TimeMs now) {
  EvidenceBook &book = bookOf(spec);
  book.noteBaseline(now);
  return decideRollout(Rule, spec, progress, book, now);
}

void Steward::keepOnly(const std::vector<RolloutID> &rollouts) {
  std::erase_if(Books, [&rollouts](const auto &it) {
    return std::find(rollouts.begin(), rollouts.end(), it.first) == rollouts.end();
  });
}

} // namespace jasmineloom
