/// @file operator_service.h RPC service for operators, available on every node.
#pragma once

#include "control/control_task.h"

namespace jasmineloom {

class OperatorService final : public wire::Operator::Server {
public:
  explicit OperatorService(ControlTask &control) : Control(control) {}
  kj::Promise<void> apply(ApplyContext context) override;
  kj::Promise<void> startRollout(StartRolloutContext context) override;
  kj::Promise<void> abortRollout(AbortRolloutContext context) override;
  kj::Promise<void> rollouts(RolloutsContext context) override;
  kj::Promise<void> get(GetContext context) override;
  kj::Promise<void> history(HistoryContext context) override;
  kj::Promise<void> inForce(InForceContext context) override;
  kj::Promise<void> status(StatusContext context) override;
  kj::Promise<void> timeline(TimelineContext context) override;
  kj::Promise<void> nodeStatus(NodeStatusContext context) override;
  kj::Promise<void> setLogLevel(SetLogLevelContext context) override;
  kj::Promise<void> drain(DrainContext context) override;
  kj::Promise<void> explain(ExplainContext context) override;

private:
  ControlTask &Control;
};

/// Computes the objects after declarations are applied. Services and routes are replaced as a set,
/// rollouts are kept, and an existing service keeps its version.
absl::StatusOr<std::vector<ConfigObjectPtr>>
applyDeclarations(const Snapshot &base, const std::vector<ConfigObject> &declared);

/// Computes the objects after a rollout is added.
/// @param now current time; the deadline must leave enough time for the rollout.
absl::StatusOr<std::vector<ConfigObjectPtr>> addRollout(const Snapshot &base, RolloutSpec spec,
                                                        TimeMs now);

/// Computes the objects after a rollout has ended.
/// @param done true: the service gets the new version; false: it keeps the old one.
absl::StatusOr<std::vector<ConfigObjectPtr>> endRollout(const Snapshot &base,
                                                        const RolloutSpec &spec, bool done);

} // namespace jasmineloom
