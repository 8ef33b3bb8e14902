/// @file link_task.cpp Client side of a link to another node: exchanges messages in a loop.
#include "mesh/link_task.h"

#include "event_util.h"
#include "log.h"
#include "wire_func.h"

namespace jasmineloom {

namespace {
/// Pause between two exchanges.
constexpr DurationMs ExchangePause = 5;
} // namespace

LinkTask::LinkTask(ControlTask &control, HostID peer, std::string address, bool joining)
    : Control(control), Peer(std::move(peer)), Address(std::move(address)), Joining(joining),
      RunPromise(nullptr), SendPromise(kj::READY_NOW) {
  RunPromise = run().eagerlyEvaluate([this](kj::Exception &&exception) {
    Control.handleLinkFailure(Peer, exception.getDescription().cStr());
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
  writeExchange(request.initMessage(), Control.buildMessage(Peer, Joining));
  request.setHoldMs(static_cast<std::uint32_t>(hold));
  kj::Promise<capnp::Response<wire::Peer::ExchangeResults>> sent = request.send();
  return failOnSilence(Control.timer(), Connection,
                       hold + Control.settings().Times.LinkResponseTimeout, steadyClockMs(),
                       kj::mv(sent))
      .then([this](capnp::Response<wire::Peer::ExchangeResults> response) {
        Control.receiveMessage(readExchange(response.getMessage()));
      });
}

kj::Promise<void> LinkTask::leave() {
  if (!Connection || !Joining)
    return kj::READY_NOW;
  auto request = Connection->Peer.exchangeRequest();
  writeExchange(request.initMessage(), Control.buildMessage(Peer, false));
  return request.send().ignoreResult().attach(kj::cp(Connection));
}

kj::Promise<void> LinkTask::sendUpdates() {
  return Control.timer()
      .afterDelay(Control.updateDelay(Peer, Joining) * kj::MILLISECONDS)
      .then([this] { return exchange(0); })
      .then([this]() -> kj::Promise<void> {
        if (Control.hasUpdatesFor(Peer, Joining))
          return sendUpdates();
        SendActive = false;
        return kj::READY_NOW;
      });
}

void LinkTask::sendPending() {
  if (!Connection || SendActive || !Control.hasUpdatesFor(Peer, Joining))
    return;
  SendActive = true;
  SendPromise = sendUpdates().eagerlyEvaluate([this](kj::Exception &&exception) {
    LOG4CXX_DEBUG(loggerOf("link"), "updates for " << Peer.str() << " not sent: "
                                                   << exception.getDescription().cStr());
    SendActive = false;
  });
}

} // namespace jasmineloom
