/// @file peer_service.h RPC interfaces that a node serves to other nodes.
#pragma once

#include "control/control_task.h"

namespace jasmineloom {

/// Bootstrap interface of a connection. Returns the other interfaces to callers that present the
/// cluster's secret.
class DoorService final : public wire::Door::Server {
public:
  DoorService(ControlTask &control, CountingStream &stream) : Control(control), Stream(stream) {}
  kj::Promise<void> enter(EnterContext context) override;

private:
  ControlTask &Control;
  CountingStream &Stream;
};

/// Calls from other nodes.
class PeerService final : public wire::Peer::Server {
public:
  explicit PeerService(ControlTask &control) : Control(control) {}
  kj::Promise<void> exchange(ExchangeContext context) override;
  kj::Promise<void> evidence(EvidenceContext context) override;
  kj::Promise<void> floor(FloorContext context) override;
  kj::Promise<void> ping(PingContext context) override;

private:
  ControlTask &Control;
};

} // namespace jasmineloom
