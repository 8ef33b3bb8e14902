/// @file peer_service.cpp RPC interfaces that a node serves to other nodes.
#include "mesh/peer_service.h"

#include "event_util.h"
#include "log.h"
#include "operator/operator_service.h"
#include "secret.h"
#include "wire_func.h"
#include "wire_list.h"

namespace jasmineloom {

kj::Promise<void> DoorService::enter(EnterContext context) {
  const auto params = context.getParams();
  if (!sameSecret(wireText(params.getSecret()), Control.settings().Secret)) {
    LOG4CXX_WARN(loggerOf("link"),
                 "rejected connection of " << params.getHost().cStr() << ": wrong cluster secret");
    KJ_FAIL_REQUIRE("refused: the secret is not the cluster's");
  }
  if (wireText(params.getHost()) == OperatorClientName)
    Stream.setCounters(Control.operatorBytes());
  auto results = context.getResults();
  results.setPeer(kj::heap<PeerService>(Control, HostID(wireText(params.getHost()))));
  results.setOperator(kj::heap<OperatorService>(Control));
  return kj::READY_NOW;
}

kj::Promise<void> PeerService::exchange(ExchangeContext context) {
  const ExchangeMessage message = readExchange(context.getParams().getMessage());
  const DurationMs hold = context.getParams().getHoldMs();
  if (message.Joining && !Control.node().acceptsChild(message.Host))
    KJ_FAIL_REQUIRE("busy: this node has as many children as it takes");
  Control.receiveMessage(message);
  const HostID peer = message.Host;
  context.releaseParams();
  return Control.waitForUpdates(peer, hold).then([this, peer, context]() mutable {
    writeExchange(context.getResults().initMessage(), Control.buildMessage(peer, false));
  });
}

kj::Promise<void> PeerService::evidence(EvidenceContext context) {
  for (auto report : limitedList(context.getParams().getReports(), MaxListedObjects))
    Control.recordEvidence(readEvidence(report));
  const auto &progress = Control.node().progress();
  auto list = context.getResults().initProgress(static_cast<unsigned>(progress.size()));
  unsigned n = 0;
  for (const auto &[id, it] : progress)
    writeProgress(list[n++], it);
  return kj::READY_NOW;
}

kj::Promise<void> PeerService::floor(FloorContext context) {
  const HostID host(wireText(context.getParams().getHost()));
  context.getResults().setVersion(Control.node().floorFor(host));
  context.getResults().setDeparted(Control.node().departedAt(host));
  return kj::READY_NOW;
}

kj::Promise<void> PeerService::config(ConfigContext context) {
  const auto params = context.getParams();
  const std::shared_ptr<const EncodedDelta> update =
      Control.node().config().encodedDeltaFrom(params.getHeldVersion(), params.getHeldDigest());
  if (!update->Bytes.empty())
    Control.recordConfigSent(Caller, *update);
  context.getResults().setUpdate(
      kj::arrayPtr(reinterpret_cast<const kj::byte *>(update->Bytes.data()), update->Bytes.size()));
  return kj::READY_NOW;
}

kj::Promise<void> PeerService::introduce(IntroduceContext context) {
  const HostRecord caller = readRecord(context.getParams().getRecord());
  std::vector<HostID> requested;
  for (const auto parent : limitedList(context.getParams().getParents(), MaxListedHosts))
    requested.emplace_back(wireText(parent));
  const std::vector<HostRecord> records = Control.receiveIntroduction(caller, requested);
  auto list = context.getResults().initRecords(static_cast<unsigned>(records.size()));
  unsigned n = 0;
  for (const HostRecord &record : records)
    writeRecord(list[n++], record);
  return kj::READY_NOW;
}

kj::Promise<void> PeerService::ping(PingContext context) {
  context.getResults().setHost(Control.node().identity().Host.str());
  context.getResults().setIncarnation(Control.node().identity().Incarnation);
  return kj::READY_NOW;
}

} // namespace jasmineloom
