/// @file link_task.h The open side of a link to another node: exchanges messages without end.
#pragma once

#include "control/control_task.h"

namespace jasmineloom {

/// Time for which host records wait for others to be sent along.
constexpr DurationMs RecordBatchDelay = 50;

/// One link, from connecting to its failure. Owned by the control task.
class LinkTask {
public:
  /// @param joining whether this node reports to the peer as its child.
  LinkTask(ControlTask &control, HostID peer, std::string address, bool joining);

  /// Sends a message at once if there is news while an exchange is being held.
  void sendPending();
  /// Tells the peer that this node reports elsewhere from now on.
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
  kj::Promise<void> Running;
  kj::Promise<void> UpdateSend;
};

} // namespace jasmineloom
