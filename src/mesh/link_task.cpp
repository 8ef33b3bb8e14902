/// @file link_task.cpp The open side of a link to another node: exchanges messages without end.
#include "mesh/link_task.h"

#include "event_util.h"
#include "log.h"
#include "wire_func.h"

namespace jasmineloom {

namespace {
/// Shortest time between two exchanges.
constexpr DurationMs ExchangePause = 5;
} // namespace

LinkTask::LinkTask(ControlTask &control, HostID peer, std::string address, bool joining)
    : Control(control), Peer(std::move(peer)), Address(std::move(address)), Joining(joining),
      Running(nullptr), UpdateSend(kj::READY_NOW) {
  Running = run().eagerlyEvaluate([this](kj::Exception &&exception) {
    LOG4CXX_DEBUG(loggerOf("link"),
                  "link to " << Peer.str() << " ended: " << exception.getDescription().cStr());
    Control.handleLinkFailure(Peer);
  });
}

kj::Promise<void> LinkTask::run() {
  return Control.peers().get(Address).then([this](std::shared_ptr<PeerConnection> connection) {
    Connection = std::move(connection);
    Control.recordEvent("link", Peer.str(), Joining ? "reports to parent" : "linked");
    return exchangeLoop();
  });
}

kj::Promise<void> LinkTask::exchangeLoop() {
  return exchange(Control.settings().Times.ExchangeHold)
      .then([this] { return Control.timer().afterDelay(ExchangePause * kj::MILLISECONDS); })
      .then([this] { return exchangeLoop(); });
}

kj::Promise<void> LinkTask::exchange(DurationMs hold) {
  auto request = Connection->Peer.exchangeRequest();
  writeExchange(request.initMessage(), Control.node().buildMessage(Peer, Joining, steadyClockMs()));
  request.setHoldMs(static_cast<std::uint32_t>(hold));
  auto sent = request.send();
  return Control.timer()
      .timeoutAfter((hold + Control.settings().Times.LinkResponseTimeout) * kj::MILLISECONDS,
                    sent.then([](auto &&response) { return kj::mv(response); }))
      .then([this](capnp::Response<wire::Peer::ExchangeResults> response) {
        const StateChanges effect =
            Control.node().receiveMessage(readExchange(response.getMessage()), steadyClockMs());
        Control.propagateChanges(effect);
      });
}

kj::Promise<void> LinkTask::leave() {
  if (!Connection || !Joining)
    return kj::READY_NOW;
  auto request = Connection->Peer.exchangeRequest();
  writeExchange(request.initMessage(), Control.node().buildMessage(Peer, false, steadyClockMs()));
  return request.send().ignoreResult().attach(kj::cp(Connection));
}

kj::Promise<void> LinkTask::sendUpdates() {
  const TimeMs now = steadyClockMs();
  const DurationMs wait =
      Control.node().hasOnlyRecordsFor(Peer, Joining, now) ? RecordBatchDelay : 0;
  return Control.timer()
      .afterDelay(wait * kj::MILLISECONDS)
      .then([this] { return exchange(0); })
      .then([this]() -> kj::Promise<void> {
        if (Control.node().hasUpdatesFor(Peer, Joining, steadyClockMs()))
          return sendUpdates();
        SendActive = false;
        return kj::READY_NOW;
      });
}

void LinkTask::sendPending() {
  if (!Connection || SendActive || !Control.node().hasUpdatesFor(Peer, Joining, steadyClockMs()))
    return;
  SendActive = true;
  UpdateSend = sendUpdates().eagerlyEvaluate([this](kj::Exception &&exception) {
    LOG4CXX_DEBUG(loggerOf("link"),
                  "news for " << Peer.str() << " not sent: " << exception.getDescription().cStr());
    SendActive = false;
  });
}

} // namespace jasmineloom
