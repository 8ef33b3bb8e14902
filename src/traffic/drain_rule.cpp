/// @file drain_rule.cpp Steps of a graceful shutdown by elapsed time.
#include "traffic/drain_rule.h"

#include <algorithm>

namespace jasmineloom {

namespace {

/// Fraction of the stop time after which the gate refuses new requests; most requests end within
/// half of it.
constexpr double CloseGateShare = 0.4;
/// Fraction of the stop time after which the ingress refuses callers: readiness is polled once a
/// second, and callers move after two failed polls.
constexpr double CloseIngressShare = 0.5;
/// Fraction of the stop time after which the host ends even with requests in flight.
constexpr double ForcedFinishShare = 0.9;
/// Fraction of the stop time after which the transfer of keys ends; the rest is for the last
/// announcement and responses.
constexpr double EndTransferShare = 0.95;
constexpr DurationMs MinKeyTransferTime = 50;
constexpr DurationMs MaxKeyTransferTime = 2000;
/// Time after which callers that poll readiness have moved away, if there is another host for them.
/// A host whose upstream has ended need not stay longer.
constexpr DurationMs CallersMoveTime = 2200;
/// Time without a new request after which all callers are assumed to have moved away.
constexpr DurationMs QuietTime = 500;

} // namespace

DrainStep decideDrain(const DrainState &state) {
  const auto elapsed = static_cast<double>(state.Elapsed);
  const auto stopTime = static_cast<double>(state.StopTime);
  DrainStep step;
  step.CloseGate = state.UpstreamGone || elapsed >= CloseGateShare * stopTime;
  const bool quiet = state.SinceLastRequest >= QuietTime;
  const bool leftEarly =
      state.UpstreamGone && quiet && state.Elapsed >= CallersMoveTime + QuietTime;
  step.CloseIngress = leftEarly || elapsed >= CloseIngressShare * stopTime;
  const bool callersMoved = step.CloseIngress && quiet;
  step.Finish = (callersMoved && state.Idle) || elapsed >= ForcedFinishShare * stopTime;
  return step;
}

bool mayAcceptWhileDraining(DurationMs elapsed, DurationMs stopTime, DurationMs timeout) {
  const auto end = static_cast<DurationMs>(ForcedFinishShare * static_cast<double>(stopTime));
  return elapsed < CallersMoveTime || elapsed + timeout <= end;
}

DurationMs keyTransferTime(DurationMs elapsed, DurationMs stopTime) {
  const auto end = static_cast<DurationMs>(EndTransferShare * static_cast<double>(stopTime));
  const DurationMs left = elapsed < end ? end - elapsed : 0;
  return std::clamp(left, MinKeyTransferTime, MaxKeyTransferTime);
}

} // namespace jasmineloom
