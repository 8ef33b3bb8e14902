/// @file task_messages.h Messages between the traffic task and the control task.
#pragma once

#include "admission/gate_base.h"
#include "balance/explanation.h"
#include "mailbox.h"
#include "rollout/rollout_type.h"
#include "routing/routing_view.h"
#include "store/store_type.h"
#include "traffic/announcement.h"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace jasmineloom {

// --- To the traffic task ---

/// Replaces the routing view.
struct PublishView {
  RoutingViewPtr View;
};
/// The configuration of the last PublishView is known to have been the newest.
struct ConfigProved {
  TimeMs At = 0; ///< Latest such time, on the boot clock; 0: none is known.
};
/// Sends a request to the store; the result is a StoreReply with the same number.
struct StoreCall {
  std::uint64_t Number = 0;
  StoreHttpRequest Call;
  DurationMs Timeout = 0;
};
/// Opens a watch on the store's head; its events are sent as StoreWatchEvent messages.
struct StoreWatchStart {
  std::string Body;
};
/// Starts draining: the host stops accepting new work, and Drained follows once no request is in
/// flight.
struct BeginDrain {};
/// Configurations sent to other nodes.
struct ConfigTransferCounts {
  std::uint64_t Deltas = 0;
  std::uint64_t Snapshots = 0;
  std::uint64_t Bytes = 0;
};
/// Gates' reports on rollouts.
struct EvidenceCounters {
  std::uint64_t Sent = 0;      ///< To a controller, by this node.
  std::uint64_t Received = 0;  ///< As a controller.
  std::uint64_t Failovers = 0; ///< Sent to the second controller because the first did not answer.
  std::uint64_t Lost = 0;      ///< Received by no controller.
};
/// Metrics of the control task, for the metrics page.
struct ControlFigures {
  ConfigVersion HeldVersion = 0;
  ConfigVersion KnownVersion = 0;
  std::uint64_t BytesIn = 0;
  std::uint64_t BytesOut = 0;
  std::uint64_t StoreCalls = 0;
  std::uint32_t Children = 0;
  bool Root = false;
  bool StoreReachable = false;
  DurationMs ProofAge = 0; ///< Since the configuration was last proved to be the newest; 0: none.
  std::uint64_t RefusedDocuments = 0; ///< Versions of configurations and orders that were refused.
  /// Reasons for which entries of the operators are refused at present, by key.
  std::map<std::string, std::string> RefusedNow;
  DurationMs DocumentAge = 0;  ///< Of this node's own knowledge of the store's document; 0: none.
  DurationMs StoreSilence = 0; ///< For which the store has owed this node an answer.
  bool StandsIn = false; ///< This node reads the store in place of roots that it doesn't answer.
  ConfigTransferCounts Transfers;
  std::uint64_t LinkFailures = 0;
  EvidenceCounters EvidenceReports;
  DurationMs LongestStall = 0; ///< Longest lateness of the control task's event loop.
};
/// Ends the task's event loop.
struct StopTask {};

/// Settings that take effect while the process runs.
struct ApplySettings {
  ServiceName LocalService;
  DurationMs HeartbeatInterval = 0;
  DurationMs StopTime = 0;
  double RetrySlack = 0;
};
/// The settings file has been looked at; changes of it have been sent before.
struct SettingsLooked {
  std::uint64_t Number = 0; ///< Of the SettingsLook.
};
/// A departure of the local upstream is recorded where it outlives this process.
struct DepartureRecorded {
  std::uint64_t Number = 0; ///< Of the UpstreamDeparted message.
};
/// Departures of the local upstream that were recorded before this process started.
struct DeparturesRestored {
  std::vector<UpstreamDeparture> Departures;
  bool FromStore = false; ///< False: those that other nodes know.
};

/// Asks where a request would go; the result is an ExplainReply with the same number.
struct ExplainRequest {
  std::uint64_t Number = 0;
  ExplainQuery Query;
};

using TrafficCommand =
    std::variant<PublishView, StoreCall, StoreWatchStart, BeginDrain, ControlFigures, StopTask,
                 ApplySettings, DepartureRecorded, DeparturesRestored, ConfigProved, ExplainRequest,
                 SettingsLooked>;

// --- To the task that follows the settings ---

/// A signal says that the settings file has changed.
struct SettingsSignalled {};
/// The settings file may have changed without a signal.
struct SettingsLook {
  std::uint64_t Number = 0;
};
/// The process is about to end.
struct SettingsEnd {};

using SettingsEvent = std::variant<SettingsSignalled, SettingsLook, SettingsEnd>;

// --- To the control task ---

/// The state announced by the local upstream has changed.
struct UpstreamAnnounced {
  LocalUpstream Upstream;
  bool Draining = false;
};
/// A process of the local upstream has departed.
struct UpstreamDeparted {
  std::uint64_t Number = 0;
  UpstreamDeparture Departure;
};
/// The upstream may have departed before this process started: the store has to be asked.
struct DeparturesNeeded {};
/// Request counts of the current evidence buckets, sent periodically during a rollout.
struct EvidenceUpdate {
  std::vector<EvidenceReport> Reports;
};
/// Result of a StoreCall.
struct StoreReply {
  std::uint64_t Number = 0;
  bool Complete = false; ///< A complete HTTP response was received.
  bool Sent = false;     ///< Part of the request may have reached the store.
  int Status = 0;
  std::string Body;
  std::uint64_t Era = 0; ///< See StoreResponse::Era.
};
/// The watched head has changed, or the watch has ended.
struct StoreWatchEvent {
  bool Ended = false;
};
/// Requests that this host be drained.
struct DrainRequested {
  std::string Cause; ///< For the time line: the origin of the request.
};
/// The gate of the draining host no longer accepts new work.
struct GateClosing {};
/// Draining has finished: no request is in flight.
struct Drained {
  /// All other gates of the service have received this gate's idempotency keys.
  bool KeysHandedOver = false;
};
/// An event of the traffic task for the node's time line.
struct TrafficTimelineEvent {
  std::string Kind;
  std::string Subject;
  std::string Text;
};

struct ExplainReply {
  std::uint64_t Number = 0;
  Explanation Result;
};

using ControlEvent = std::variant<UpstreamAnnounced, EvidenceUpdate, StoreReply, StoreWatchEvent,
                                  DrainRequested, GateClosing, Drained, TrafficTimelineEvent,
                                  UpstreamDeparted, DeparturesNeeded, ExplainReply>;

using SettingsMailbox = Mailbox<SettingsEvent>;
using TrafficMailbox = Mailbox<TrafficCommand>;
using ControlMailbox = Mailbox<ControlEvent>;

/// Combines lambdas into one visitor for std::visit.
template <typename... Ts> struct Overloaded : Ts... { using Ts::operator()...; };
template <typename... Ts> Overloaded(Ts...) -> Overloaded<Ts...>;

} // namespace jasmineloom
