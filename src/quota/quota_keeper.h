/// @file quota_keeper.h Hands out a shard's quotas as far as hosts have lent their parts of them.
#pragma once

#include "quota/quota_type.h"

#include <map>

namespace jasmineloom {

/// Keeper of one shard. Each host owns an equal part of every quota and lends it to one keeper at a
/// time; a keeper hands out credits for the parts that it holds at that moment. So it does not
/// matter who takes itself for the keeper, nor how many do.
class QuotaKeeper {
public:
  /// @param incarnation start of this process; tells its stamps from those of an earlier one.
  /// @param now boot clock.
  QuotaKeeper(std::uint64_t incarnation, TimeMs now) : Incarnation(incarnation), SettledAt(now) {}

  /// Answers a call: takes or returns the caller's loan and hands out credits.
  /// @param limits quotas of all workspaces; one without a quota gets no credit.
  /// @param hosts number of hosts that divide the quotas, as this node knows them.
  /// @param now boot clock.
  QuotaAnswer answer(const QuotaAsk &ask, const QuotaLimits &limits, std::uint32_t hosts,
                     TimeMs now);
  /// Returns all loans and takes no more: the process is about to end.
  void close(TimeMs now);
  /// @returns the share of the quotas that this keeper holds, 0 to 1.
  double lentShare() const;
  /// Ends the loans whose time is over.
  void settle(TimeMs now);

private:
  struct Loan {
    double Part = 0;
    TimeMs Until = 0;
    TimeMs ReturnedAt = 0; ///< Stamps before this lend nothing: the call came late.
  };
  struct Bucket {
    double Tokens = 0;
    double AccruedAt = 0; ///< Accrued when Tokens was computed.
  };

  void takeLoan(const QuotaAsk &ask, std::uint32_t hosts, TimeMs now);
  /// Adds the time up to \p now to Accrued.
  void accrue(TimeMs now);
  QuotaGrant grant(const QuotaNeed &need, const QuotaLimit &limit);

  std::uint64_t Incarnation;
  std::map<HostID, Loan> Loans;
  std::map<WorkspaceName, Bucket> Buckets;
  double Lent = 0;    ///< Sum of the parts of all loans.
  double Accrued = 0; ///< Integral of lentShare() since the start, seconds.
  TimeMs SettledAt;
  TimeMs NextEnd = 0; ///< No loan ends before; 0: there is none.
  bool Closed = false;
};

} // namespace jasmineloom
