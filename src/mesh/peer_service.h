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
  /// @param caller host that opened the connection, for the log.
  PeerService(ControlTask &control, HostID caller) : Control(control), Caller(std::move(caller)) {}
  kj::Promise<void> exchange(ExchangeContext context) override;
  kj::Promise<void> evidence(EvidenceContext context) override;
  kj::Promise<void> floor(FloorContext context) override;
  kj::Promise<void> ping(PingContext context) override;
  kj::Promise<void> config(ConfigContext context) override;
  kj::Promise<void> introduce(IntroduceContext context) override;

private:
  ControlTask &Control;
  HostID Caller;
};

} // namespace jasmineloom
