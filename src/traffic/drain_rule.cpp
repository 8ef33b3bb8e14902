/// @file drain_rule.cpp What a host that drains does, by the time that has passed.
#include "traffic/drain_rule.h"

namespace jasmineloom {

namespace {

/// Part of the time to stop after which the gate takes no new work; most work ends within half.
constexpr double GateShare = 0.4;
/// Part of the time to stop after which callers are refused: readiness is asked for once a second,
/// and two refusals move the callers.
constexpr double IngressShare = 0.5;
/// Part of the time to stop after which the host ends, whatever is left.
constexpr double LastMomentShare = 0.9;
/// Time without a new request after which callers are taken to have moved.
constexpr DurationMs QuietTime = 500;

} // namespace

DrainStep decideDrain(const DrainState &state) {
  const auto elapsed = static_cast<double>(state.Elapsed);
  const auto stopTime = static_cast<double>(state.StopTime);
  DrainStep step;
  step.CloseGate = elapsed >= GateShare * stopTime;
  step.CloseIngress = elapsed >= IngressShare * stopTime;
  const bool moved = step.CloseIngress && state.SinceLast >= QuietTime;
  step.Finish = (moved && state.Idle) || elapsed >= LastMomentShare * stopTime;
  return step;
}

} // namespace jasmineloom
