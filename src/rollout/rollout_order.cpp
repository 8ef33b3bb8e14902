/// @file rollout_order.cpp Versions that get traffic, and steps of ordered rollouts.
#include "rollout/rollout_order.h"

#include "rollout/rollout_func.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <tuple>

namespace jasmineloom {

namespace {

struct OrderStage {
  std::uint32_t Share; ///< Per mille.
  double Start;        ///< Earliest start, as a fraction of the order's duration.
};

/// A bad version may serve at most a tenth of the service's requests. The share stays below that
/// until most faults have had the time to show. The later stages are short, but long enough to
/// detect a fault that occurs only under load. A Suspect verdict at the full share (stage 4) starts
/// one more comparison with the old version (stage 5).
constexpr std::array<OrderStage, 7> Stages = {
    OrderStage{0, 0.0},     OrderStage{70, 0.0},   OrderStage{250, 0.50}, OrderStage{600, 0.58},
    OrderStage{1000, 0.66}, OrderStage{300, 0.66}, OrderStage{1000, 0.66}};
constexpr std::uint32_t CompareStage = 5;
constexpr auto LastStage = static_cast<std::uint32_t>(Stages.size()) - 1;
constexpr std::uint32_t FullOrderShare = 1000;
/// Fraction of the duration after which an order without a fault is done.
constexpr double DoneFraction = 0.86;
/// Time at the full share before an order is done. The old version may stop then, so it has to
/// complete its running requests within this time.
constexpr DurationMs OldVersionDrain = 1500;
/// Gates report twice a second, so a stage has to last at least one report interval.
constexpr DurationMs MinStageDuration = 700;
/// Minimum duration of the comparison stage, in which enough requests arrive.
constexpr DurationMs CompareDuration = 1500;

/// At a low request rate: fraction of the duration at which the second share starts.
constexpr double LowRateStart = 0.15;
/// Additional requests to the new version that an early second share may cause.
constexpr double MaxEarlyRequests = 30;
constexpr std::uint32_t LowRateStage = 2;
/// Minimum number of requests to the new version before its share rises beyond that of the first
/// stage.
constexpr std::uint64_t MinNewVersionRequests = 5;

/// Error of the estimated speed difference between two hosts, in latency buckets.
constexpr std::size_t SpeedErrorBuckets = 2;
/// Orders are short and their faults large, so one false Bad verdict in 400 evaluations (exp(-6))
/// is tolerated.
constexpr double OrderNegLogP = 6;
constexpr double OrderMantelHaenszelZ = 3.7;

/// @returns the earliest start of a stage, as a fraction of the duration.
double startFraction(std::uint32_t stage, DurationMs duration, double rate) {
  const OrderStage &planned = Stages[stage];
  if (stage != LowRateStage)
    return planned.Start;
  const double early = planned.Start - LowRateStart;
  const double added =
      rate * static_cast<double>(duration) / MsPerSecond * early * planned.Share / FullOrderShare;
  return added <= MaxEarlyRequests ? LowRateStart : planned.Start;
}

/// @returns whether an order may be one of an earlier era, read or written again.
bool isSameOrder(const RolloutProgress &order, const RolloutProgress &earlier) {
  return earlier.Era < order.Era && earlier.To == order.To && earlier.Duration == order.Duration;
}

/// Adds what another record of the same order has reached.
void advance(RolloutProgress &order, const RolloutProgress &other) {
  if (supersedes(other, order)) {
    order.Phase = other.Phase;
    order.Recorded = other.Recorded;
    order.Reason = other.Reason;
  }
  order.Stage = std::max(order.Stage, other.Stage);
}

} // namespace

DecisionRule orderRule() {
  StratifiedRule rule;
  rule.NormaliseHostSpeeds = true;
  rule.ExcludeHostFaults = true;
  rule.SlowMarginBuckets = SpeedErrorBuckets;
  rule.BadNegLogP = OrderNegLogP;
  rule.MantelHaenszelZ = OrderMantelHaenszelZ;
  return rule;
}

std::vector<RolloutProgress> distinctOrders(std::vector<RolloutProgress> orders) {
  std::sort(orders.begin(), orders.end(),
            [](const RolloutProgress &left, const RolloutProgress &right) {
              return std::tie(left.Era, left.Order) < std::tie(right.Era, right.Order);
            });
  std::vector<RolloutProgress> distinct;
  std::uint64_t rewrittenIn = 0; // Era in which the latest order before was written again.
  for (const RolloutProgress &order : orders) {
    const auto kept =
        std::find_if(distinct.rbegin(), distinct.rend(), [&order](const RolloutProgress &it) {
          return isSameOrder(order, it) && it.Order == order.Order;
        });
    RolloutProgress *original = kept == distinct.rend() ? nullptr : &*kept;
    if (original == nullptr && !distinct.empty() && isSameOrder(order, distinct.back()) &&
        rewrittenIn != order.Era) {
      original = &distinct.back();
      rewrittenIn = order.Era;
    }
    if (original == nullptr)
      distinct.push_back(order);
    else
      advance(*original, order);
  }
  return distinct;
}

bool isStatusOf(const RolloutProgress &stored, const RolloutProgress &order) {
  return stored.To == order.To && (stored.Order == order.Order || stored.Era < order.Era);
}

VersionPolicy policyOf(std::vector<RolloutProgress> orders,
                       const std::map<VersionLabel, std::uint32_t> &upstreams) {
  VersionPolicy policy;
  for (const RolloutProgress &progress : distinctOrders(std::move(orders))) {
    policy.Running.reset();
    switch (progress.Phase) {
    case RolloutPhase::Running:
      policy.Running = progress;
      policy.RolledBack.erase(progress.To);
      break;
    case RolloutPhase::Done:
      policy.Stable = progress.To;
      policy.RolledBack.erase(progress.To);
      break;
    case RolloutPhase::TakenBack:
      policy.RolledBack.insert(progress.To);
      break;
    }
  }
  if (!policy.Stable.empty())
    return policy;
  std::uint32_t most = 0;
  for (const auto &[version, count] : upstreams) {
    const bool isNew = policy.Running.has_value() && policy.Running->To == version;
    if (isNew || policy.RolledBack.contains(version) || count <= most)
      continue;
    policy.Stable = version;
    most = count;
  }
  return policy;
}

RolloutID orderID(const RolloutOrder &order) {
  if (order.Era == 0)
    return RolloutID(absl::StrCat(order.Service.str(), ".", order.Number));
  return RolloutID(absl::StrCat(order.Service.str(), ".", order.Era, ".", order.Number));
}

RolloutProgress initialProgress(const RolloutOrder &order) {
  RolloutProgress progress;
  progress.ID = orderID(order);
  progress.Service = order.Service;
  progress.To = order.To;
  progress.Order = order.Number;
  progress.Duration = order.Duration;
  progress.Era = order.Era;
  return progress;
}

std::uint32_t orderStageShare(std::uint32_t stage) {
  return Stages[std::min(stage, LastStage)].Share;
}

DurationMs earliestStageStart(std::uint32_t stage, DurationMs duration) {
  return static_cast<DurationMs>(Stages[std::min(stage, LastStage)].Start *
                                 static_cast<double>(duration));
}

bool hasEnoughEvidence(const OrderEvidence &evidence, std::uint32_t stage) {
  if (stage == 0)
    return true;
  const bool reported = 2 * evidence.ReportingGates >= evidence.Gates;
  return reported && evidence.NewRequests >= MinNewVersionRequests;
}

std::optional<RolloutProgress> nextOrderProgress(const Judgement &judgement,
                                                 const RolloutProgress &progress,
                                                 DurationMs elapsed, DurationMs stageAge,
                                                 double rate) {
  if (progress.Phase != RolloutPhase::Running)
    return std::nullopt;
  RolloutProgress next = progress;
  if (judgement.Result == Verdict::Bad) {
    next.Phase = RolloutPhase::TakenBack;
    next.Reason = judgement.Reason;
    return next;
  }
  const double fraction = static_cast<double>(elapsed) / static_cast<double>(progress.Duration);
  const bool full = Stages[std::min(progress.Stage, LastStage)].Share == FullOrderShare;
  if (full && judgement.Result == Verdict::Suspect && progress.Stage < LastStage) {
    ++next.Stage;
    return next;
  }
  if (!full) {
    const bool first = progress.Stage == 0;
    const bool comparing = progress.Stage == CompareStage;
    const bool blocked = judgement.Result == Verdict::Suspect && !first && !comparing;
    const double start = startFraction(progress.Stage + 1, progress.Duration, rate);
    const DurationMs minAge = first ? 0 : comparing ? CompareDuration : MinStageDuration;
    const bool due = fraction >= start && stageAge >= minAge;
    if (!due || blocked)
      return std::nullopt;
    ++next.Stage;
    return next;
  }
  if (fraction < DoneFraction || stageAge < OldVersionDrain)
    return std::nullopt;
  next.Phase = RolloutPhase::Done;
  next.Reason = absl::StrCat("version ", progress.To.str(), " took over without a fault");
  return next;
}

} // namespace jasmineloom
