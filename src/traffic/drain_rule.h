/// @file drain_rule.h What a host that drains does, by the time that has passed.
#pragma once

#include "ids_type.h"

namespace jasmineloom {

/// What a draining host has to know.
struct DrainState {
  DurationMs Elapsed = 0;   ///< Since the host was told to drain.
  DurationMs StopTime = 0;  ///< In which the process has to end.
  DurationMs SinceLast = 0; ///< Since the last request of a caller on this host.
  bool Idle = false;        ///< Nothing is in flight here.
  auto operator<=>(const DrainState &) const = default;
};

/// What it does from now on.
struct DrainStep {
  bool CloseGate = false;    ///< The gate takes no new work.
  bool CloseIngress = false; ///< Callers are refused, their connections end with an answer.
  bool Finish = false;
  auto operator<=>(const DrainStep &) const = default;
};

/// Decides the steps of a drain. The host is unready from its start; its gate works on while
/// callers move away, as the upstream beside a node that restarts is needed as long as it can be.
DrainStep decideDrain(const DrainState &state);

} // namespace jasmineloom
