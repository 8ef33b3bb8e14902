/// @file link_task.h Client side of a link to another node: exchanges messages in a loop.
#pragma once

#include "control/control_task.h"

namespace jasmineloom {

/// Delay before host records are sent, so that several go in one message.
constexpr DurationMs RecordBatchDelay = 50;

/// One link, from connecting until it fails. Owned by the control task.
class LinkTask {
public:
  /// @param joining whether this node reports to the peer as its child.
  LinkTask(ControlTask &control, HostID peer, std::string address, bool joining);

  /// Sends pending updates in a separate exchange while the peer holds the regular one open.
  void sendPending();
  /// Notifies the peer that this node is no longer its child.
  kj::Promise<void> leave();
  bool joining() const { return Joining; }
  const std::string &address() const { return Address; }

private:
  kj::Promise<void> run();
  kj::Promise<void> exchangeLoop();
  kj::Promise<void> exchange(DurationMs hold);
  kj::Promise<void> sendUpdates();

  ControlTask &Control;
  HostID Peer;
  std::string Address;
  bool Joining;
  bool SendActive = false;
  std::shared_ptr<PeerConnection> Connection;
  kj::Promise<void> RunPromise;
  kj::Promise<void> SendPromise;
};

} // namespace jasmineloom
