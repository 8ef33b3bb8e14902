/// @file task_messages.h Messages between the traffic task and the control task.
#pragma once

#include "mailbox.h"
#include "rollout/rollout_type.h"
#include "store/store_type.h"
#include "traffic/gate_base.h"
#include "traffic/routing_view.h"

#include <string>
#include <variant>
#include <vector>

namespace jasmineloom {

// --- To the traffic task ---

/// Replaces what is routed by.
struct PublishView {
  RoutingViewPtr View;
};
/// Sends a call to the store; a StoreReply with the same number answers it.
struct StoreCall {
  std::uint64_t Number = 0;
  StoreHttpRequest Call;
  DurationMs Timeout = 0;
};
/// Opens the watch of the store's head; StoreWatchEvent messages follow.
struct StoreWatchStart {
  std::string Body;
};
/// Stops new work on this host and ends when nothing is in flight.
struct BeginDrain {};
/// Gauges of the control task, for the metrics page.
struct ControlFigures {
  ConfigVersion HeldVersion = 0;
  ConfigVersion KnownVersion = 0;
  std::uint64_t BytesIn = 0;
  std::uint64_t BytesOut = 0;
  std::uint64_t StoreCalls = 0;
  std::uint32_t Children = 0;
  bool Root = false;
  bool StoreReachable = false;
};
/// Ends the task's loop.
struct StopTask {};

using TrafficCommand =
    std::variant<PublishView, StoreCall, StoreWatchStart, BeginDrain, ControlFigures, StopTask>;

// --- To the control task ---

/// What the local upstream announced.
struct UpstreamAnnounced {
  LocalUpstream Upstream;
  bool Draining = false;
};
/// Counts of the current evidence buckets.
struct EvidenceTick {
  std::vector<EvidenceReport> Reports;
};
struct StoreReply {
  std::uint64_t Number = 0;
  bool Answered = false; ///< False: no whole answer came.
  bool Sent = false;     ///< Some of the call may have reached the store.
  int Status = 0;
  std::string Body;
};
/// The head has changed, or the watch has ended.
struct StoreWatchEvent {
  bool Ended = false;
};
/// Someone asked this host to drain.
struct DrainRequested {
  std::string Cause;
};
/// The draining host's gate takes no new work from now on.
struct GateClosing {};
/// Nothing is in flight any more.
struct Drained {
  bool KeysHandedOver = false; ///< All other gates of the service have this gate's keys.
};
/// Something for the time line.
struct TrafficNote {
  std::string Kind;
  std::string Subject;
  std::string Text;
};

using ControlEvent = std::variant<UpstreamAnnounced, EvidenceTick, StoreReply, StoreWatchEvent,
                                  DrainRequested, GateClosing, Drained, TrafficNote>;

using TrafficMailbox = Mailbox<TrafficCommand>;
using ControlMailbox = Mailbox<ControlEvent>;

/// Joins visitors for a variant.
template <typename... Ts> struct Overloaded : Ts... { using Ts::operator()...; };
template <typename... Ts> Overloaded(Ts...) -> Overloaded<Ts...>;

} // namespace jasmineloom
