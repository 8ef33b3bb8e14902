/// @file quota_keeper.cpp Hands out a shard's quotas as far as hosts have lent their parts of them.
#include "quota/quota_keeper.h"

#include <algorithm>
#include <cmath>

namespace jasmineloom {

namespace {

constexpr double MsPerSecondReal = 1000;
/// Time at the quota's rate that a bucket holds at least, so that asks at some distance get all of
/// it. Part of the bound in docs/design/quotas.md.
constexpr double MinDepthSeconds = 0.05;
/// Below half of its depth, a bucket keeps most of what it has for requests that wait.
constexpr double AheadShareWhenLow = 0.125;
constexpr DurationMs MaxWait = 2 * MsPerSecond;

/// Credits may be used up to CreditLife after they left the bucket; its depth is smaller by what
/// the rate adds in that time.
double depthOf(const QuotaLimit &limit) {
  const double life = static_cast<double>(CreditLife) / MsPerSecondReal;
  return std::max({limit.Burst - limit.PerSecond * life, limit.Burst / 2,
                   limit.PerSecond * MinDepthSeconds, 1.0});
}

} // namespace

double QuotaKeeper::lentShare() const { return std::clamp(Lent, 0.0, 1.0); }

void QuotaKeeper::accrue(TimeMs now) {
  if (now <= SettledAt)
    return;
  Accrued += lentShare() * static_cast<double>(now - SettledAt) / MsPerSecondReal;
  SettledAt = now;
}

void QuotaKeeper::settle(TimeMs now) {
  while (NextEnd != 0 && NextEnd <= now) {
    accrue(NextEnd);
    const TimeMs ended = NextEnd;
    std::erase_if(Loans, [ended](const auto &it) { return it.second.Until <= ended; });
    Lent = 0;
    NextEnd = 0;
    for (const auto &[host, loan] : Loans) {
      Lent += loan.Part;
      NextEnd = NextEnd == 0 ? loan.Until : std::min(NextEnd, loan.Until);
    }
  }
  accrue(now);
}

void QuotaKeeper::takeLoan(const QuotaAsk &ask, std::uint32_t hosts, TimeMs now) {
  const auto it = Loans.find(ask.Host);
  const bool lends = ask.Lends && !Closed;
  if (!lends) {
    if (it == Loans.end() && Closed)
      return;
    // The entry stays for as long as an earlier call of the host may still arrive.
    Lent -= it == Loans.end() ? 0 : it->second.Part;
    Loans[ask.Host] = {0, now + LoanTime, now};
  } else {
    const TimeMs returned = it == Loans.end() ? 0 : it->second.ReturnedAt;
    const bool valid = ask.Stamp.Incarnation == Incarnation && ask.Stamp.At <= now &&
                       now < ask.Stamp.At + LoanTime && ask.Stamp.At >= returned;
    if (!valid)
      return;
    const double part = 1.0 / std::max({ask.Hosts, hosts, 1U});
    Lent += part - (it == Loans.end() ? 0 : it->second.Part);
    Loans[ask.Host] = {part, ask.Stamp.At + LoanTime, returned};
  }
  const TimeMs end = Loans[ask.Host].Until;
  NextEnd = NextEnd == 0 ? end : std::min(NextEnd, end);
}

QuotaGrant QuotaKeeper::grant(const QuotaNeed &need, const QuotaLimit &limit) {
  const double share = lentShare();
  Bucket &bucket = Buckets[need.Workspace];
  // Only one keeper can hold more than half, so one whole request is lent out once at most.
  const double least = share > 0.5 ? 1.0 : 0.0;
  const double depth = std::max(depthOf(limit) * share, least);
  bucket.Tokens = std::min(depth, bucket.Tokens + limit.PerSecond * (Accrued - bucket.AccruedAt));
  bucket.AccruedAt = Accrued;
  QuotaGrant grant{need.Workspace, 0, 0};
  const double waiting = std::min<double>(need.Waiting, std::floor(bucket.Tokens));
  bucket.Tokens -= waiting;
  const double spare = std::max(bucket.Tokens - depth / 2, bucket.Tokens * AheadShareWhenLow);
  const double ahead = std::min<double>(need.Ahead, std::floor(std::max(spare, 0.0)));
  bucket.Tokens -= ahead;
  grant.Credits = static_cast<std::uint32_t>(waiting + ahead);
  if (grant.Credits >= need.Waiting)
    return grant;
  const double perMs = limit.PerSecond * share / MsPerSecondReal;
  const double missing = std::max(1 - bucket.Tokens, 0.0);
  const double wait = perMs > 0 ? missing / perMs : static_cast<double>(MaxWait);
  grant.Wait = static_cast<DurationMs>(std::clamp(wait, 1.0, static_cast<double>(MaxWait)));
  return grant;
}

QuotaAnswer QuotaKeeper::answer(const QuotaAsk &ask, const QuotaLimits &limits, std::uint32_t hosts,
                                TimeMs now) {
  settle(now);
  takeLoan(ask, hosts, now);
  QuotaAnswer answer;
  answer.Stamp = {Incarnation, now};
  answer.Hosts = hosts;
  const auto loan = Loans.find(ask.Host);
  answer.Holds = loan != Loans.end() && loan->second.Part > 0;
  answer.LentPerMille = static_cast<std::uint32_t>(std::lround(lentShare() * 1000));
  for (const QuotaNeed &need : ask.Needs) {
    const auto it = limits.find(need.Workspace.str());
    if (it != limits.end())
      answer.Grants.push_back(grant(need, it->second));
  }
  return answer;
}

void QuotaKeeper::close(TimeMs now) {
  settle(now);
  Closed = true;
  Loans.clear();
  Lent = 0;
  NextEnd = 0;
}

} // namespace jasmineloom
