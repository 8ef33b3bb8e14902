/// @file metrics.h Counters and latency quantiles of the traffic task, as Prometheus text.
#pragma once

#include "task_messages.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <map>
#include <string>

namespace jasmineloom {

/// Bytes of messages that the process holds.
struct HeldFigures {
  std::size_t Total = 0;
  std::size_t Peak = 0;
  std::uint64_t Cuts = 0; ///< Connections cut because of the limit.
};

/// Quotas of workspaces at this node.
struct QuotaFigures {
  std::uint64_t Calls = 0;       ///< To keepers.
  std::uint64_t FailedCalls = 0; ///< Without an answer.
  std::uint64_t Answered = 0;    ///< Calls of other nodes answered, as a keeper.
  std::uint64_t Granted = 0;     ///< Credits handed out, as a keeper.
  std::uint32_t KeptShards = 0;  ///< Shards of which this node holds loans.
};

/// Latency quantiles published for each route.
constexpr std::array<double, 3> PublishedQuantiles = {0.5, 0.9, 0.99};

/// Metrics of one process. Owned by the traffic task.
class Metrics {
public:
  /// Records the end of a caller's request.
  /// @param latencyUs time since its arrival, microseconds; used for answered requests only.
  void recordRequest(const RouteName &route, Outcome outcome, Refusal reason, double latencyUs);
  void recordRetry() { ++Retries; }
  /// Counts a request of this host's callers by the service that it names as its caller.
  void recordCaller(const ServiceName &service) { ++Callers[service.str()]; }
  /// Counts a heartbeat by its effect.
  void recordHeartbeat(HeartbeatResult result) { ++Heartbeats[result]; }
  /// Counts an attempt that was sent to the new version of a running rollout.
  /// @param byShare the version was drawn by its share; otherwise the old one had no upstream.
  void recordNewVersion(const ServiceName &service, bool byShare);
  void recordGateRefusal(Refusal refusal);
  /// Counts a request that was refused before its body was read.
  /// @param bytes length of the body; 0: not declared.
  void recordHeaderRefusal(std::size_t bytes) {
    ++HeaderRefusals;
    UnreadBytes += bytes;
  }
  /// Counts a refusal of the gate while its upstream's limit was used up.
  void recordLimitRefusal() { ++LimitRefusals; }
  /// @param perSecond limit that the local upstream names; 0: none.
  void setUpstreamLimit(double perSecond) { UpstreamLimit = perSecond; }
  /// Counts a refusal of the gate while its upstream's warm-up limit was used up.
  void recordWarmUpRefusal() { ++WarmUpRefusals; }
  /// Counts a question to the upstream's health path.
  void recordHealthQuestion() { ++HealthQuestions; }
  /// @param perSecond warm-up limit in force; 0: none.
  void setWarmUpLimit(double perSecond) { WarmUpLimit = perSecond; }
  void setEvacuated(bool evacuated) { Evacuated = evacuated; }
  void setControlFigures(const ControlFigures &figures) { Control = figures; }
  /// @param longest longest lateness of the traffic task's event loop.
  void setLongestStall(DurationMs longest) { LongestStall = longest; }

  /// Counts a request that was refused because of its workspace's quota.
  /// @param reason OverQuota or QuotaUnknown.
  void recordQuotaRefusal(const WorkspaceName &workspace, Refusal reason) {
    ++QuotaRefusals[{workspace.str(), reason}];
  }
  void setQuotaFigures(const QuotaFigures &figures) { Quotas = figures; }

  void setHeldBytes(const HeldFigures &figures) { Held = figures; }

  /// @returns all metrics in the Prometheus text format.
  std::string text() const;

private:
  using Latency = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum,
                                 boost::accumulators::tag::extended_p_square>>;
  struct OutcomeKey {
    std::string Route;
    Outcome Result;
    Refusal Reason;
    auto operator<=>(const OutcomeKey &) const = default;
  };

  std::map<OutcomeKey, std::uint64_t> Outcomes;
  std::map<std::string, Latency> Latencies;
  std::map<Refusal, std::uint64_t> GateRefusals;
  std::map<std::pair<std::string, bool>, std::uint64_t> NewVersion; ///< By service and byShare.
  std::map<std::string, std::uint64_t> Callers;                     ///< By service.
  std::map<HeartbeatResult, std::uint64_t> Heartbeats;
  std::uint64_t Retries = 0;
  std::uint64_t LimitRefusals = 0;
  std::uint64_t HeaderRefusals = 0;
  std::uint64_t UnreadBytes = 0; ///< Declared by requests refused before their bodies were read.
  double UpstreamLimit = 0;
  std::uint64_t WarmUpRefusals = 0;
  std::uint64_t HealthQuestions = 0;
  double WarmUpLimit = 0;
  bool Evacuated = false; ///< The node's data centre.
  DurationMs LongestStall = 0;
  HeldFigures Held;
  QuotaFigures Quotas;
  std::map<std::pair<std::string, Refusal>, std::uint64_t> QuotaRefusals; ///< By workspace.
  ControlFigures Control;
};

} // namespace jasmineloom
