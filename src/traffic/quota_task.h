/// @file quota_task.h Calls between nodes about quotas, and the requests that wait for them.
#pragma once

#include "http/http_pool.h"
#include "http/http_server.h"
#include "quota/quota_keeper.h"
#include "quota/quota_share.h"
#include "traffic/gate_task.h"
#include "traffic/metrics.h"

#include <array>

namespace jasmineloom {

/// Owns this node's shares of the quotas, and the shards that it keeps. QuotaShare and QuotaKeeper
/// make its decisions.
class QuotaTask {
public:
  QuotaTask(event_base *base, const TrafficSettings &settings, HttpPool &pool, Metrics &metrics,
            ControlMailbox &control);
  QuotaTask(const QuotaTask &) = delete;
  QuotaTask &operator=(const QuotaTask &) = delete;

  /// @param handler invoked once for each request, possibly from within request().
  void setHandler(std::function<void(RequestID, const QuotaDecision &)> handler) {
    Handler = std::move(handler);
  }
  void setView(RoutingViewPtr view);
  /// @returns whether the workspace has a quota.
  bool isLimited(const WorkspaceName &workspace) const;
  /// Asks for a credit for a request of a limited workspace.
  void request(RequestID id, const WorkspaceName &workspace);
  /// A request that may still wait has ended.
  void cancel(RequestID id, const WorkspaceName &workspace);
  /// The request of a credit was not run.
  void giveBack(const WorkspaceName &workspace, QuotaCredit credit);
  /// Answers a call of another node.
  /// @returns nullopt if it is malformed.
  std::optional<std::string> answer(const std::string &text);
  /// Returns all loans, as this process is about to end.
  void beginDrain();

private:
  void poke(std::uint32_t shard);
  void receive(std::uint32_t shard, const HttpResult &result);
  void settle(const std::vector<QuotaSettled> &settled);
  QuotaAnswer answerAsk(const QuotaAsk &ask, TimeMs now);
  void tick();
  void recordRoles();

  const TrafficSettings &Settings;
  HttpPool &Pool;
  Metrics &Stats;
  ControlMailbox &Control;
  std::function<void(RequestID, const QuotaDecision &)> Handler;
  RoutingViewPtr View;
  std::vector<QuotaShare> Shares;
  std::vector<QuotaKeeper> Keepers;
  std::array<bool, QuotaShards> Kept{}; ///< This node held most of the loans at the last check.
  QuotaFigures Figures;
  Timer Ticker;
};

} // namespace jasmineloom
