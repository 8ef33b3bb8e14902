/// @file quota_share.cpp A node's credits of the workspaces of one shard, and its part of their
/// quotas.
#include "quota/quota_share.h"

#include "mesh/tree_func.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace jasmineloom {

namespace {

constexpr double MsPerSecondReal = 1000;
/// Keepers that a node tries before it uses its own part.
constexpr std::size_t MaxKeepers = 3;
/// Period in which a loan is renewed; two renewals may fail before it ends.
constexpr DurationMs RenewalPeriod = LoanTime / 3;
/// Time for which a keeper that did not answer is passed over.
constexpr DurationMs UnreachableTime = 10 * MsPerSecond;
/// Calls that may fail in a row before the keeper is passed over.
constexpr std::uint32_t MaxFailures = 2;
/// Time of expected requests for which credits are asked ahead.
constexpr double AheadSeconds = 0.3;
/// Expected requests from which on credits are asked for before they have run out.
constexpr std::uint32_t MinSteadyDemand = 3;
constexpr double DemandSeconds = 1; ///< Time constant of the demand's average.
/// Time from the start in which a node does not use its own part: it may know few hosts yet, and an
/// earlier process may have lent the part.
constexpr DurationMs OwnPartDelay = 5 * MsPerSecond;
/// Bounds of the time in which a keeper that had no credit is not asked again.
constexpr DurationMs MinEmptyTime = 100;
constexpr DurationMs MaxEmptyTime = 200;
/// Below this, the keeper does not know that a quota is used up: others hold parts of it.
constexpr std::uint32_t MinProvedPerMille = 500;
/// Time until a node without a keeper has probably found one.
constexpr DurationMs KeeperSearchTime = 300;
/// Time without requests after which a workspace is forgotten.
constexpr DurationMs IdleTime = 10 * MsPerSecond;

double decayed(double demand, TimeMs since, TimeMs now) {
  const double seconds = static_cast<double>(now - std::min(since, now)) / MsPerSecondReal;
  return demand * std::exp(-seconds / DemandSeconds);
}

} // namespace

std::vector<QuotaPeer> rankKeepers(const std::vector<QuotaCandidate> &hosts, std::uint32_t shard) {
  std::map<HostID, const QuotaCandidate *> byHost;
  std::vector<HostID> order;
  for (const QuotaCandidate &host : hosts) {
    byHost[host.Peer.Host] = &host;
    order.push_back(host.Peer.Host);
  }
  order = rendezvousOrder(std::move(order), absl::StrCat("quota/", shard));
  std::stable_sort(order.begin(), order.end(), [&byHost](const HostID &left, const HostID &right) {
    return byHost[left]->Capacity > byHost[right]->Capacity;
  });
  order.resize(std::min(order.size(), MaxKeepers));
  std::vector<QuotaPeer> keepers;
  for (const HostID &host : order)
    keepers.push_back(byHost[host]->Peer);
  return keepers;
}

QuotaShare::QuotaShare(HostID self, std::uint32_t shard, TimeMs now)
    : Self(std::move(self)), Shard(shard), StartedAt(now) {}

void QuotaShare::setPeers(std::vector<QuotaPeer> keepers, std::uint32_t hosts, TimeMs now) {
  Keepers = std::move(keepers);
  Hosts = std::max(hosts, 1U);
  std::erase_if(UnreachableUntil, [now](const auto &it) { return it.second <= now; });
}

const QuotaPeer *QuotaShare::preferred(TimeMs now) const {
  const QuotaPeer *soonest = nullptr;
  TimeMs soonestAt = std::numeric_limits<TimeMs>::max();
  for (const QuotaPeer &keeper : Keepers) {
    const auto it = UnreachableUntil.find(keeper.Host);
    if (it == UnreachableUntil.end() || it->second <= now)
      return &keeper;
    if (it->second >= soonestAt)
      continue;
    soonest = &keeper;
    soonestAt = it->second;
  }
  return soonest;
}

QuotaUnproved QuotaShare::unproved(TimeMs now) const {
  return {std::max(LentUntil > now ? LentUntil - now : 0, KeeperSearchTime)};
}

std::optional<QuotaCredit> QuotaShare::useCredit(Workspace &workspace, TimeMs now) {
  std::deque<Credits> &held = workspace.Held;
  while (!held.empty() && (held.front().Until <= now || held.front().Left == 0))
    held.pop_front();
  if (held.empty())
    return std::nullopt;
  --held.front().Left;
  return QuotaCredit{held.front().Until};
}

QuotaDecision QuotaShare::takeOwn(Workspace &workspace, const QuotaLimit &limit, TimeMs now) const {
  const bool mayUse = now >= LentUntil && now >= StartedAt + OwnPartDelay && AnsweredAt != 0 &&
                      now < AnsweredAt + OwnPartTime;
  if (!mayUse)
    return unproved(now);
  // The part came back empty: the keeper may have used all that it held.
  const TimeMs since = std::max(LentUntil, StartedAt + OwnPartDelay);
  if (workspace.OwnAt < since) {
    workspace.OwnAt = since;
    workspace.OwnTokens = 0;
  }
  const double part = 1.0 / std::max(Hosts, ToldHosts);
  const double gained =
      limit.PerSecond * part * static_cast<double>(now - workspace.OwnAt) / MsPerSecondReal;
  workspace.OwnTokens = std::min(limit.Burst * part, workspace.OwnTokens + gained);
  workspace.OwnAt = now;
  if (workspace.OwnTokens < 1)
    return unproved(now);
  --workspace.OwnTokens;
  return QuotaCredit{};
}

std::optional<QuotaDecision> QuotaShare::take(QuotaTicket ticket, const WorkspaceName &workspace,
                                              const QuotaLimit &limit, TimeMs now) {
  Workspace &state = Workspaces[workspace];
  state.Demand = decayed(state.Demand, state.DemandAt, now) + 1 / DemandSeconds;
  state.DemandAt = now;
  if (const std::optional<QuotaCredit> credit = useCredit(state, now); credit.has_value()) {
    const auto expected = static_cast<std::uint32_t>(state.Demand * AheadSeconds);
    CallWanted |= expected >= MinSteadyDemand && 3 * missingAhead(state, now) > 2 * expected;
    return *credit;
  }
  if (!Reachable || preferred(now) == nullptr)
    return takeOwn(state, limit, now);
  if (now < state.EmptyUntil)
    return QuotaExceeded{state.EmptyUntil - now};
  state.Waiting.push_back(ticket);
  return std::nullopt;
}

void QuotaShare::cancel(const WorkspaceName &workspace, QuotaTicket ticket) {
  const auto found = Workspaces.find(workspace);
  if (found == Workspaces.end())
    return;
  Workspace &state = found->second;
  const auto it = std::find(state.Waiting.begin(), state.Waiting.end(), ticket);
  if (it == state.Waiting.end())
    return;
  if (static_cast<std::size_t>(it - state.Waiting.begin()) < state.Asked)
    --state.Asked;
  state.Waiting.erase(it);
}

void QuotaShare::giveBack(const WorkspaceName &workspace, QuotaCredit credit, TimeMs now) {
  const auto it = Workspaces.find(workspace);
  if (it != Workspaces.end() && credit.Until > now)
    it->second.Held.push_front({credit.Until, 1});
}

std::uint32_t QuotaShare::missingAhead(Workspace &workspace, TimeMs now) const {
  std::uint32_t held = 0;
  for (const Credits &credits : workspace.Held)
    held += credits.Until > now ? credits.Left : 0;
  const double expected =
      std::round(decayed(workspace.Demand, workspace.DemandAt, now) * AheadSeconds);
  return expected > held ? static_cast<std::uint32_t>(expected) - held : 0;
}

std::vector<QuotaNeed> QuotaShare::collectNeeds(TimeMs now) {
  std::vector<QuotaNeed> needs;
  for (auto &[name, workspace] : Workspaces) {
    workspace.Asked = workspace.Waiting.size();
    // What a small demand asks for ahead would mostly end unused.
    const bool steady =
        decayed(workspace.Demand, workspace.DemandAt, now) * AheadSeconds >= MinSteadyDemand &&
        now >= workspace.EmptyUntil;
    const QuotaNeed need{name, static_cast<std::uint32_t>(workspace.Asked),
                         steady ? missingAhead(workspace, now) : 0};
    if (need.Waiting != 0 || need.Ahead != 0)
      needs.push_back(need);
  }
  return needs;
}

std::optional<QuotaCall> QuotaShare::nextCall(TimeMs now) {
  const QuotaPeer *target = preferred(now);
  if (Open || target == nullptr)
    return std::nullopt;
  const auto waits = [](const auto &it) { return !it.second.Waiting.empty(); };
  const bool due =
      CallWanted || now >= NextRenewal || std::any_of(Workspaces.begin(), Workspaces.end(), waits);
  if (!due)
    return std::nullopt;
  const auto passedOver = UnreachableUntil.find(LentTo.Host);
  const bool lentElsewhere = now < LentUntil && LentTo.Host != target->Host &&
                             (passedOver == UnreachableUntil.end() || passedOver->second <= now);
  Returning = lentElsewhere;
  const QuotaPeer peer = lentElsewhere ? LentTo : *target;
  QuotaCall call{peer, {}};
  call.Ask = {Self, Shard, std::max(Hosts, ToldHosts), {}, !lentElsewhere, {}};
  if (Current.Host != peer.Host) {
    Stamp = {};
    StampAt = 0;
    Answered = false;
  }
  Current = peer;
  if (!Returning) {
    const bool mayLend = now >= LentUntil || LentTo.Host == peer.Host;
    Lending = mayLend && Stamp.Incarnation != 0;
    if (Lending) {
      call.Ask.Stamp = Stamp;
      LentTo = peer;
      LentUntil = std::max(LentUntil, StampAt + LoanTime);
    }
    call.Ask.Needs = collectNeeds(now);
    CallWanted = false;
    // A loan needs a stamp of the keeper, so it is made in the call after the first one.
    NextRenewal = Stamp.Incarnation == 0 ? now : now + RenewalPeriod;
    forgetIdle(now);
  }
  Open = true;
  AskedAt = now;
  return call;
}

std::vector<QuotaSettled> QuotaShare::receive(const QuotaAnswer &answer, TimeMs now) {
  Open = false;
  Answered = true;
  Reachable = true;
  Failures = 0;
  AnsweredAt = now;
  const bool sameProcess = Stamp.Incarnation == answer.Stamp.Incarnation;
  Stamp = answer.Stamp;
  StampAt = now;
  ToldHosts = answer.Hosts;
  const bool notHeld = Current.Host == LentTo.Host && !answer.Holds && now < LentUntil;
  if (notHeld)
    LentUntil = now;
  if (Returning)
    return {};
  if (notHeld && Lending && sameProcess) {
    // The keeper takes no loans any more.
    UnreachableUntil[Current.Host] = now + UnreachableTime;
    Reachable = false;
    scheduleRenewal(now);
  }
  std::vector<QuotaSettled> settled;
  const auto settle = [&settled](Workspace &workspace, QuotaDecision decision) {
    settled.push_back({workspace.Waiting.front(), decision});
    workspace.Waiting.pop_front();
    workspace.Asked -= workspace.Asked == 0 ? 0 : 1;
  };
  for (const QuotaGrant &grant : answer.Grants) {
    const auto found = Workspaces.find(grant.Workspace);
    if (found == Workspaces.end())
      continue;
    Workspace &workspace = found->second;
    if (grant.Credits > 0)
      workspace.Held.push_back({AskedAt + CreditLife, grant.Credits});
    while (!workspace.Waiting.empty()) {
      const std::optional<QuotaCredit> credit = useCredit(workspace, now);
      if (!credit.has_value())
        break;
      settle(workspace, *credit);
    }
    if (grant.Wait == 0)
      continue;
    const bool proved = answer.LentPerMille >= MinProvedPerMille;
    if (proved)
      workspace.EmptyUntil = now + std::clamp(grant.Wait, MinEmptyTime, MaxEmptyTime);
    while (workspace.Asked > 0)
      settle(workspace, proved ? QuotaDecision{QuotaExceeded{grant.Wait}}
                               : QuotaDecision{QuotaUnproved{grant.Wait}});
  }
  // The keeper knows no quota of these workspaces, or their credits came too late.
  for (auto &[name, workspace] : Workspaces) {
    while (workspace.Asked > 0)
      settle(workspace, unproved(now));
  }
  return settled;
}

std::vector<QuotaSettled> QuotaShare::refuseWaiting(TimeMs now) {
  std::vector<QuotaSettled> settled;
  for (auto &[name, workspace] : Workspaces) {
    for (const QuotaTicket ticket : workspace.Waiting)
      settled.push_back({ticket, unproved(now)});
    workspace.Waiting.clear();
    workspace.Asked = 0;
  }
  return settled;
}

void QuotaShare::scheduleRenewal(TimeMs now) {
  const QuotaPeer *next = preferred(now);
  const auto it = next == nullptr ? UnreachableUntil.end() : UnreachableUntil.find(next->Host);
  // If no keeper is left, they are tried in turn.
  const bool noneLeft = it != UnreachableUntil.end() && it->second > now;
  NextRenewal = noneLeft ? now + RenewalPeriod : now;
}

std::vector<QuotaSettled> QuotaShare::fail(bool refused, TimeMs now) {
  Open = false;
  Answered = false;
  const bool passedOver = Returning || refused || ++Failures >= MaxFailures;
  if (passedOver) {
    UnreachableUntil[Current.Host] = now + UnreachableTime;
    Failures = 0;
  }
  scheduleRenewal(now);
  if (Returning)
    return {};
  // After one call without an answer, requests wait for the next one.
  Reachable = Reachable && !passedOver;
  return refuseWaiting(now);
}

void QuotaShare::forgetIdle(TimeMs now) {
  std::erase_if(Workspaces, [now](const auto &it) {
    return it.second.Waiting.empty() && now >= it.second.DemandAt + IdleTime;
  });
}

} // namespace jasmineloom
