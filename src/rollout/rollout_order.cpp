/// @file rollout_order.cpp Versions that get traffic, and the steps of ordered rollouts.
#include "rollout/rollout_order.h"

#include "rollout/rollout_func.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>

namespace jasmineloom {

namespace {

/// A step of an ordered rollout.
struct OrderStage {
  std::uint32_t Share; ///< Per mille.
  double Start;        ///< Earliest start, as a fraction of the order's duration.
};

/// A bad version may get a tenth of the service's requests, so the new one stays below that until
/// most of the time in which faults show has passed; the last stages are short, but long enough
/// for the rule to see a fault that comes with load.
/// A suspicion at a full share leads to one more comparison with the old version.
constexpr std::array<OrderStage, 7> Stages = {
    OrderStage{0, 0.0},     OrderStage{70, 0.0},   OrderStage{250, 0.50}, OrderStage{600, 0.58},
    OrderStage{1000, 0.66}, OrderStage{300, 0.66}, OrderStage{1000, 0.66}};
/// The stage of that comparison.
constexpr std::uint32_t CompareStage = 5;
constexpr auto LastStage = static_cast<std::uint32_t>(Stages.size()) - 1;
constexpr std::uint32_t FullOrderShare = 1000;
/// Fraction of the duration at which an order without a fault ends.
constexpr double EndAt = 0.86;
/// Time at the full share before the old version may stop: work that it holds ends meanwhile.
constexpr DurationMs OldVersionDrain = 1500;
/// Shortest stage: evidence comes twice a second.
constexpr DurationMs MinStage = 700;
/// Time in which a comparison shows what there is.
constexpr DurationMs CompareTime = 1500;

/// Fraction of the duration at which a quiet service's new version gets its second share.
constexpr double QuietStart = 0.15;
/// Requests to the new version that a service's early second share may add.
constexpr double QuietRequests = 30;
constexpr std::uint32_t QuietStage = 2;

/// Latency buckets by which the alignment of two hosts may err.
constexpr std::size_t AlignmentMargin = 2;
/// An order is short and its faults are coarse: a wrong verdict in 400 is allowed at one look.
constexpr double OrderLogOdds = 6;
constexpr double OrderCommonZ = 3.7;

/// @returns the fraction of the duration at which a stage may begin.
double startOf(std::uint32_t stage, DurationMs duration, double rate) {
  const OrderStage &planned = Stages[stage];
  if (stage != QuietStage)
    return planned.Start;
  const double early = planned.Start - QuietStart;
  const double added =
      rate * static_cast<double>(duration) / MsPerSecond * early * planned.Share / FullOrderShare;
  return added <= QuietRequests ? QuietStart : planned.Start;
}

} // namespace

DecisionRule orderRule() {
  StratifiedRule rule;
  rule.AlignHosts = true;
  rule.BlamesHosts = true;
  rule.SlowMargin = AlignmentMargin;
  rule.BadLogOdds = OrderLogOdds;
  rule.CommonZ = OrderCommonZ;
  return rule;
}

VersionPolicy policyOf(std::vector<RolloutProgress> orders,
                       const std::map<VersionLabel, std::uint32_t> &upstreams) {
  std::sort(orders.begin(), orders.end(),
            [](const RolloutProgress &left, const RolloutProgress &right) {
              return left.Order < right.Order;
            });
  VersionPolicy policy;
  for (const RolloutProgress &progress : orders) {
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
    const bool moving = policy.Running.has_value() && policy.Running->To == version;
    if (moving || policy.RolledBack.contains(version) || count <= most)
      continue;
    policy.Stable = version;
    most = count;
  }
  return policy;
}

RolloutID orderID(const RolloutOrder &order) {
  return RolloutID(absl::StrCat(order.Service.str(), ".", order.Number));
}

RolloutProgress initialProgress(const RolloutOrder &order) {
  RolloutProgress progress;
  progress.ID = orderID(order);
  progress.Service = order.Service;
  progress.To = order.To;
  progress.Order = order.Number;
  progress.Duration = order.Duration;
  return progress;
}

std::uint32_t orderStageShare(std::uint32_t stage) {
  return Stages[std::min(stage, LastStage)].Share;
}

DurationMs earliestStageStart(std::uint32_t stage, DurationMs duration) {
  return static_cast<DurationMs>(Stages[std::min(stage, LastStage)].Start *
                                 static_cast<double>(duration));
}

std::optional<RolloutProgress> nextOrderProgress(const Judgement &finding,
                                                 const RolloutProgress &progress,
                                                 DurationMs elapsed, DurationMs settled,
                                                 double rate) {
  if (progress.Phase != RolloutPhase::Running)
    return std::nullopt;
  RolloutProgress next = progress;
  if (finding.Result == Verdict::Bad) {
    next.Phase = RolloutPhase::TakenBack;
    next.Reason = finding.Reason;
    return next;
  }
  const double fraction = static_cast<double>(elapsed) / static_cast<double>(progress.Duration);
  const bool full = Stages[std::min(progress.Stage, LastStage)].Share == FullOrderShare;
  if (full && finding.Result == Verdict::Suspect && progress.Stage < LastStage) {
    ++next.Stage;
    return next;
  }
  if (!full) {
    const bool first = progress.Stage == 0;
    const bool compares = progress.Stage == CompareStage;
    const bool held = finding.Result == Verdict::Suspect && !first && !compares;
    const double start = startOf(progress.Stage + 1, progress.Duration, rate);
    const DurationMs least = first ? 0 : compares ? CompareTime : MinStage;
    const bool due = fraction >= start && settled >= least;
    if (!due || held)
      return std::nullopt;
    ++next.Stage;
    return next;
  }
  if (fraction < EndAt || settled < OldVersionDrain)
    return std::nullopt;
  next.Phase = RolloutPhase::Done;
  next.Reason = absl::StrCat("version ", progress.To.str(), " took over without a fault");
  return next;
}

} // namespace jasmineloom
