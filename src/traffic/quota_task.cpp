/// @file quota_task.cpp Calls between nodes about quotas, and the requests that wait for them.
#include "traffic/quota_task.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace jasmineloom {

namespace {

constexpr int StatusOk = 200;
/// Timeout of a call to a keeper; requests wait for it.
constexpr DurationMs AskTimeout = 300;
static_assert(AskTimeout < CreditLife);
constexpr DurationMs TickPeriod = 100;
/// Share of the loans from which on a node counts as the keeper in the time line.
constexpr double KeeperShare = 0.5;

std::vector<QuotaCandidate> candidatesOf(const RoutingView &view) {
  std::vector<QuotaCandidate> candidates;
  for (const HostRecord &record : view.Hosts) {
    // A host whose upstream drains goes on as a keeper; one that ends itself takes no loans.
    if (record.State != HostState::Gone)
      candidates.push_back({{record.Host, record.GateAddress}, record.Capacity});
  }
  return candidates;
}

} // namespace

QuotaTask::QuotaTask(event_base *base, const TrafficSettings &settings, HttpPool &pool,
                     Metrics &metrics, ControlMailbox &control)
    : Settings(settings), Pool(pool), Stats(metrics), Control(control),
      Ticker(base, [this] { tick(); }) {
  const TimeMs now = bootClockMs();
  for (std::uint32_t shard = 0; shard < QuotaShards; ++shard) {
    Shares.emplace_back(settings.Host, shard, now);
    Keepers.emplace_back(std::max<std::uint64_t>(settings.Incarnation, 1), now);
  }
}

void QuotaTask::setView(RoutingViewPtr view) {
  View = std::move(view);
  if (View->Quotas.empty())
    return;
  const TimeMs now = bootClockMs();
  const std::vector<QuotaCandidate> candidates = candidatesOf(*View);
  for (std::uint32_t shard = 0; shard < QuotaShards; ++shard)
    Shares[shard].setPeers(rankKeepers(candidates, shard), View->QuotaHosts, now);
  Ticker.ensure(TickPeriod);
}

bool QuotaTask::isLimited(const WorkspaceName &workspace) const {
  return View && View->Quotas.contains(workspace.str());
}

void QuotaTask::request(RequestID id, const WorkspaceName &workspace) {
  const std::uint32_t shard = quotaShardOf(workspace);
  const std::optional<QuotaDecision> decision =
      Shares[shard].take(id, workspace, View->Quotas.at(workspace.str()), bootClockMs());
  // The call goes out first: the handler may bring the next request.
  poke(shard);
  if (decision.has_value())
    Handler(id, *decision);
}

void QuotaTask::cancel(RequestID id, const WorkspaceName &workspace) {
  Shares[quotaShardOf(workspace)].cancel(workspace, id);
}

void QuotaTask::giveBack(const WorkspaceName &workspace, QuotaCredit credit) {
  Shares[quotaShardOf(workspace)].giveBack(workspace, credit, bootClockMs());
}

void QuotaTask::poke(std::uint32_t shard) {
  while (const std::optional<QuotaCall> call = Shares[shard].nextCall(bootClockMs())) {
    if (call->Keeper.Host == Settings.Host) {
      const TimeMs now = bootClockMs();
      settle(Shares[shard].receive(answerAsk(call->Ask, now), now));
      continue;
    }
    ++Figures.Calls;
    HttpCall http;
    http.Method = EVHTTP_REQ_POST;
    http.Path = QuotaPath;
    http.Headers = {{header::Secret, Settings.Secret}};
    http.Body = makeBuffer(encodeAsk(call->Ask));
    http.Timeout = AskTimeout;
    Pool.call(call->Keeper.GateAddress, std::move(http),
              [this, shard](const HttpResult &result) { receive(shard, result); });
  }
}

void QuotaTask::receive(std::uint32_t shard, const HttpResult &result) {
  std::optional<QuotaAnswer> answer;
  if (result.Complete && result.Status == StatusOk)
    answer = decodeAnswer(textOf(result.Body.get()));
  if (answer.has_value()) {
    settle(Shares[shard].receive(*answer, bootClockMs()));
  } else {
    ++Figures.FailedCalls;
    const bool refused = result.Complete || (!result.BytesSent && !result.TimedOut);
    settle(Shares[shard].fail(refused, bootClockMs()));
  }
  poke(shard);
}

void QuotaTask::settle(const std::vector<QuotaSettled> &settled) {
  for (const QuotaSettled &it : settled)
    Handler(it.Ticket, it.Decision);
}

QuotaAnswer QuotaTask::answerAsk(const QuotaAsk &ask, TimeMs now) {
  QuotaAnswer answer = Keepers[ask.Shard].answer(ask, View->Quotas, View->QuotaHosts, now);
  for (const QuotaGrant &grant : answer.Grants)
    Figures.Granted += grant.Credits;
  return answer;
}

std::optional<std::string> QuotaTask::answer(const std::string &text) {
  const std::optional<QuotaAsk> ask = decodeAsk(text);
  if (!ask.has_value() || ask->Shard >= QuotaShards || !View)
    return std::nullopt;
  ++Figures.Answered;
  return encodeAnswer(answerAsk(*ask, bootClockMs()));
}

void QuotaTask::beginDrain() {
  for (QuotaKeeper &keeper : Keepers)
    keeper.close(bootClockMs());
  recordRoles();
}

void QuotaTask::tick() {
  if (View->Quotas.empty())
    return;
  for (std::uint32_t shard = 0; shard < QuotaShards; ++shard) {
    Keepers[shard].settle(bootClockMs());
    poke(shard);
  }
  recordRoles();
  Ticker.start(TickPeriod);
}

void QuotaTask::recordRoles() {
  Figures.KeptShards = 0;
  for (std::uint32_t shard = 0; shard < QuotaShards; ++shard) {
    const double lent = Keepers[shard].lentShare();
    Figures.KeptShards += lent > 0 ? 1 : 0;
    const bool keeps = lent > KeeperShare;
    if (keeps == Kept[shard])
      continue;
    Kept[shard] = keeps;
    Control.put(TrafficTimelineEvent{"quota", absl::StrCat("shard ", shard),
                                     keeps ? "keeps it: most hosts have lent their parts"
                                           : "no longer keeps it"});
  }
  Stats.setQuotaFigures(Figures);
}

} // namespace jasmineloom
