/// @file control_config.cpp Fetches configurations from other nodes.
#include "control/control_task.h"

#include "event_util.h"

#include <absl/strings/str_cat.h>

namespace jasmineloom {

namespace {

/// Time that a node which reads the operators' document gives the store before it fetches the same
/// version from a peer.
constexpr DurationMs DocumentReadTime = 300;
/// Multiple of the response timeout for which a peer that has taken the connection may be silent.
/// On a link full of bodies an answer takes longer than its timeout, and one that is asked for
/// again waits behind them again.
constexpr std::uint32_t FetchPatience = 3;

} // namespace

void ControlTask::fetchConfig() {
  const TimeMs now = steadyClockMs();
  const bool mayRead = readsDocument(now) && !StoreSilent;
  // A peer that did not answer may be slow; the other candidates for a parent are asked meanwhile.
  const std::vector<HostID> alternatives =
      FetchFailures == 0 ? std::vector<HostID>() : Position.Parents;
  const std::optional<HostID> source =
      Node.startFetch(mayRead ? DocumentReadTime : 0, now, alternatives);
  if (!source.has_value())
    return;
  spawn(fetchConfigFrom(*source, Node.hosts().find(*source)->RpcAddress)
            .catch_([this, source = *source](kj::Exception &&exception) {
              recordEvent("config", source.str(),
                          absl::StrCat("fetch failed: ", exception.getDescription().cStr()));
              ++FetchFailures;
              Node.abandonFetch(steadyClockMs());
              fetchConfig();
            }),
        "fetch");
}

kj::Promise<void> ControlTask::fetchConfigFrom(const HostID &source, const std::string &address) {
  const DurationMs limit = Settings.Times.LinkResponseTimeout;
  return timer()
      .timeoutAfter(limit * kj::MILLISECONDS, Peers.get(address))
      .then([this, limit](std::shared_ptr<PeerConnection> connection) {
        auto request = connection->Peer.configRequest();
        const HeldConfig held = Node.heldForFetch();
        request.setHeldVersion(held.Version);
        request.setHeldDigest(held.Digest);
        kj::Promise<capnp::Response<wire::Peer::ConfigResults>> sent = request.send();
        const std::uint32_t patience = std::min(1 + FetchFailures, FetchPatience);
        return failOnSilence(timer(), connection, patience * limit, steadyClockMs(), kj::mv(sent));
      })
      .then([this, source](capnp::Response<wire::Peer::ConfigResults> response) {
        receiveConfig(source, response.getUpdate());
      });
}

void ControlTask::receiveConfig(const HostID &source, capnp::Data::Reader update) {
  const absl::StatusOr<ConfigDelta> delta =
      decodeDelta({reinterpret_cast<const char *>(update.begin()), update.size()});
  if (!delta.ok()) {
    recordEvent("config", source.str(), std::string(delta.status().message()));
    Node.abandonFetch(steadyClockMs());
    return;
  }
  recordEvent("config", absl::StrCat("version ", delta->Version),
              absl::StrCat("received from ", source.str(), ": ",
                           transferText(delta->BaseVersion, delta->Upserts.size(), update.size())));
  const StateChanges changes = Node.finishFetch(*delta, steadyClockMs());
  // A host that holds nothing newer leaves the next one to be asked.
  if (changes.ConfigApplied)
    FetchFailures = 0;
  propagateChanges(changes);
}

} // namespace jasmineloom
