/// @file quota_share.h A node's credits of the workspaces of one shard, and its part of their
/// quotas.
#pragma once

#include "quota/quota_type.h"

#include <deque>
#include <map>

namespace jasmineloom {

/// A host that may keep a shard.
struct QuotaPeer {
  HostID Host;
  std::string GateAddress;
  auto operator<=>(const QuotaPeer &) const = default;
};

/// A host as far as the choice of keepers needs it.
struct QuotaCandidate {
  QuotaPeer Peer;
  std::uint32_t Capacity = 0; ///< Thousandths of a core; 0: not known.
  auto operator<=>(const QuotaCandidate &) const = default;
};

/// @returns the hosts that a node may ask for a shard's quotas, in the order in which it tries
/// them: those with the most CPU, by rendezvous among equals.
std::vector<QuotaPeer> rankKeepers(const std::vector<QuotaCandidate> &hosts, std::uint32_t shard);

/// Identifies a waiting request.
using QuotaTicket = std::uint64_t;

/// A call that the owner has to make.
struct QuotaCall {
  QuotaPeer Keeper;
  QuotaAsk Ask;
};
/// A request that waits no longer.
struct QuotaSettled {
  QuotaTicket Ticket = 0;
  QuotaDecision Decision;
};

/// Decides whether requests of the shard's workspaces may be sent from this node. A credit of the
/// keeper ends after CreditLife. While no keeper answers, the node uses its own part, which it then
/// no longer lends. All times are those of the node's boot clock.
class QuotaShare {
public:
  /// @param now start of the process; an earlier process of the host may have used its part until
  /// then.
  QuotaShare(HostID self, std::uint32_t shard, TimeMs now);

  /// @param keepers result of rankKeepers().
  /// @param hosts number of hosts that divide the quotas.
  void setPeers(std::vector<QuotaPeer> keepers, std::uint32_t hosts, TimeMs now);
  /// Decides on a request.
  /// @returns nullopt if it has to wait; its ticket is then among the results of a later call.
  std::optional<QuotaDecision> take(QuotaTicket ticket, const WorkspaceName &workspace,
                                    const QuotaLimit &limit, TimeMs now);
  /// A waiting request has ended.
  void cancel(const WorkspaceName &workspace, QuotaTicket ticket);
  /// The request of a credit was not run.
  void giveBack(const WorkspaceName &workspace, QuotaCredit credit, TimeMs now);
  /// @returns the call to make now; nullopt if there is none. The next one is returned only after
  /// receive() or fail().
  std::optional<QuotaCall> nextCall(TimeMs now);
  std::vector<QuotaSettled> receive(const QuotaAnswer &answer, TimeMs now);
  /// The call has failed.
  /// @param refused the keeper has not received it and accepts no connections.
  std::vector<QuotaSettled> fail(bool refused, TimeMs now);
  /// @returns the keeper that answered the last call; empty if it failed or there was none.
  HostID keeper() const { return Answered ? Current.Host : HostID(); }

private:
  struct Credits {
    TimeMs Until = 0;
    std::uint32_t Left = 0;
  };
  struct Workspace {
    std::deque<Credits> Held;        ///< By Until.
    std::deque<QuotaTicket> Waiting; ///< The first Asked of them are part of the open call.
    std::size_t Asked = 0;
    double Demand = 0; ///< Requests per second, at DemandAt.
    TimeMs DemandAt = 0;
    TimeMs EmptyUntil = 0; ///< The keeper had no credit left; it is not asked before.
    double OwnTokens = 0;  ///< Of the node's own part, at OwnAt.
    TimeMs OwnAt = 0;
  };

  std::optional<QuotaCredit> useCredit(Workspace &workspace, TimeMs now);
  std::uint32_t missingAhead(Workspace &workspace, TimeMs now) const;
  QuotaDecision takeOwn(Workspace &workspace, const QuotaLimit &limit, TimeMs now) const;
  QuotaUnproved unproved(TimeMs now) const;
  const QuotaPeer *preferred(TimeMs now) const;
  std::vector<QuotaNeed> collectNeeds(TimeMs now);
  std::vector<QuotaSettled> refuseWaiting(TimeMs now);
  void forgetIdle(TimeMs now);
  /// After a failure: the next keeper is called at once.
  void scheduleRenewal(TimeMs now);

  HostID Self;
  std::uint32_t Shard;
  TimeMs StartedAt;
  std::vector<QuotaPeer> Keepers;
  std::map<HostID, TimeMs> UnreachableUntil;
  std::uint32_t Hosts = 1;     ///< As this node knows them.
  std::uint32_t ToldHosts = 0; ///< As the keeper told.
  std::map<WorkspaceName, Workspace> Workspaces;
  QuotaPeer Current;  ///< Target of the last call.
  KeeperStamp Stamp;  ///< Of the last answer of Current.
  TimeMs StampAt = 0; ///< When it was received.
  QuotaPeer LentTo;   ///< May hold this node's part until LentUntil.
  TimeMs LentUntil = 0;
  TimeMs AskedAt = 0;
  bool Open = false;      ///< A call is in flight.
  bool Returning = false; ///< The open call takes the loan back.
  bool Lending = false;   ///< The open call renews the loan.
  bool Reachable = true;  ///< Requests may wait for the keeper's answer.
  bool Answered = false;
  bool CallWanted = false; ///< Credits for expected requests run short.
  std::uint32_t Failures = 0;
  TimeMs NextRenewal = 0;
  TimeMs AnsweredAt = 0; ///< Last answer of any keeper; 0: never.
};

} // namespace jasmineloom
