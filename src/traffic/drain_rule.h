/// @file drain_rule.h Steps of a graceful shutdown by elapsed time.
#pragma once

#include "ids_type.h"

namespace jasmineloom {

/// Progress of a drain.
struct DrainState {
  DurationMs Elapsed = 0;          ///< Since the drain began.
  DurationMs StopTime = 0;         ///< Time within which the process must end.
  DurationMs SinceLastRequest = 0; ///< Since the last request of a local caller.
  bool Idle = false;               ///< No request is in flight at the gate or the ingress.
  bool UpstreamGone = false;       ///< The upstream has ended, so the gate has nothing to serve.
  auto operator<=>(const DrainState &) const = default;
};

/// Steps in force; each one stays in force once reached.
struct DrainStep {
  bool CloseGate = false;    ///< The gate refuses new requests.
  bool CloseIngress = false; ///< Requests are refused; connections close after the response.
  bool Finish = false;       ///< Hand over the idempotency keys and end.
  auto operator<=>(const DrainStep &) const = default;
};

/// Decides the steps of a drain. The host reports not ready from the start of the drain. Its gate
/// keeps serving while callers move away, so that the capacity of its upstream is used for as long
/// as possible.
DrainStep decideDrain(const DrainState &state);

/// Decides whether a draining host takes a caller's request. Callers that poll readiness have moved
/// away after some time; a later request is taken only if it ends before the process does.
/// @param elapsed since the drain began.
/// @param timeout time that the request may take.
bool mayAcceptWhileDraining(DurationMs elapsed, DurationMs stopTime, DurationMs timeout);

/// @param elapsed since the drain began.
/// @returns the time that the transfer of the idempotency keys may take, so that the process ends
/// within its stop time; above 0.
DurationMs keyTransferTime(DurationMs elapsed, DurationMs stopTime);

} // namespace jasmineloom
