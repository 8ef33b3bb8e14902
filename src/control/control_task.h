/// @file control_task.h The thread of all decisions on configuration, membership and rollouts.
#pragma once

#include "config/change_cmd.h"
#include "environment.h"
#include "mesh/mesh_node.h"
#include "mesh/mesh_timings.h"
#include "mesh/peer_connection.h"
#include "rollout/rollout_controller_base.h"
#include "store/store_client.h"
#include "timeline.h"

#include <kj/async-io.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>

namespace jasmineloom {

/// What the control task is set up with.
struct ControlSettings {
  NodeIdentity Identity;
  std::string RpcAddress; ///< IP:port to listen at.
  std::vector<std::string> Seeds;
  std::string Secret;
  std::uint64_t RandomSeed = 0;
  MeshTimings Times;
  Environment Surroundings;
  TreeShape Tree;
};

class LinkTask;

/// Time after which a changed configuration or rollout is published to the traffic task.
constexpr DurationMs PublishDelay = 5;

/// Owns a KJ loop, the links to other nodes and the operators' calls.
class ControlTask {
public:
  ControlTask(ControlSettings settings, TrafficMailbox &traffic, ControlMailbox &inbox);
  ~ControlTask();
  ControlTask(const ControlTask &) = delete;
  ControlTask &operator=(const ControlTask &) = delete;

  /// Runs until the host has drained.
  /// @returns 0, or 1 if the port can't be bound.
  int run();

  // --- For the links and the operators' calls, which run in this task ---

  MeshNode &node() { return Node; }
  PeerCache &peers() { return Peers; }
  StoreClient &store() { return Store; }
  Timeline &timeline() { return Events; }
  const ControlSettings &settings() const { return Settings; }
  kj::Timer &timer() { return Io.provider->getTimer(); }
  std::uint64_t randomBelow(std::uint64_t below) { return Random() % below; }

  /// Acts on what a message or a call has changed.
  void propagateChanges(const StateChanges &effect);
  /// Adds to the time line and the log.
  void recordEvent(const std::string &kind, const std::string &subject, const std::string &text);
  /// @returns when the peer has news to hear, or after \p hold.
  kj::Promise<void> waitForUpdates(const HostID &peer, DurationMs hold);
  /// Runs a change against the store and takes an accepted one over.
  kj::Promise<ChangeOutcome> runChange(ChangeRequest request, std::vector<std::string> *changes);
  /// Takes gates' reports on rollouts that this host steers.
  void recordEvidence(const EvidenceReport &report);
  /// Starts the drain of this host.
  void drain(const std::string &cause);
  /// Runs a promise to its end; a failure is logged.
  void spawn(kj::Promise<void> promise, const char *what);
  /// @returns a description of this node for operators.
  void writeStatus(wire::NodeStatus::Builder to);
  const TreePosition &treePosition() const { return Position; }
  /// Bytes of operators' calls, counted apart from those between nodes.
  ControlBytes &operatorBytes() { return OperatorBytes; }
  /// Asks the links to look for news.
  void sendPendingUpdates();
  /// The link failed; its peer is left out for a while.
  void handleLinkFailure(const HostID &peer);

private:
  struct HeldExchange {
    HostID Peer;
    kj::Own<kj::PromiseFulfiller<void>> Fulfiller;
  };
  class ErrorHandler;

  /// How far the operators' document has been read.
  struct DocumentReadState {
    bool Listed = false;
    std::int64_t Revision = 0;
    DurationMs RetryDelay = 0; ///< Before the next call, after a failure.
  };
  /// What this node knows of an order that it may have to steer. Times are steady.
  struct OrderState {
    TimeMs KnownSince = 0;       ///< When the order was first known here.
    DurationMs PriorElapsed = 0; ///< Time that had passed before, by the stage that was reached.
    std::uint32_t Stage = 0;
    TimeMs StageSince = 0;
    bool StatusCallPending = false; ///< A call about its status is under way.
    bool StatusKnown = false;       ///< StatusRevision is the status' revision in the store.
    std::int64_t StatusRevision = 0;
    TimeMs NextStatusWrite = 0;
    std::optional<RolloutPhase> StoredPhase; ///< What the store tells operators.
    std::uint32_t StoredStage = 0;
  };

  void handleAll();
  void handle(const UpstreamAnnounced &message);
  void handle(EvidenceTick &message);
  void handle(const StoreReply &message);
  void handle(const StoreWatchEvent &message);
  void handle(const DrainRequested &message);
  void handle(const GateClosing &message);
  void handle(const Drained &message);
  void handle(const TrafficNote &message);

  kj::Promise<void> wakeLoop();
  kj::Promise<void> acceptLoop(kj::Own<kj::ConnectionReceiver> receiver);
  kj::Promise<void> tickLoop();
  kj::Promise<void> stewardLoop();
  kj::Promise<void> confirmFloor();
  kj::Promise<void> storeLoop();
  kj::Promise<void> readHead();
  kj::Promise<void> readSections(Head head);
  kj::Promise<void> advanceChange(std::shared_ptr<ChangeCommand> command, ChangeStep step,
                                  std::shared_ptr<ChangeOutcome> outcome);
  kj::Promise<void> probeHost();
  kj::Promise<void> recordRolloutEnd(const RolloutSpec &spec, const RolloutProgress &progress);
  void publishView();
  void schedulePublish(DurationMs delay);
  void updateTreePosition();
  void scheduleTreeUpdate();
  void reconcileLinks();
  void updateRemoteRoots();
  void ensureLink(const HostID &peer, bool joining, std::set<HostID> &wanted);
  void contactSeeds();
  void advanceRollouts();
  void advanceDeclaredRollouts(const Snapshot &held, std::vector<RolloutID> &running);
  void advanceOrders(TimeMs now, std::vector<RolloutID> &running);
  void advanceOrder(const RolloutSpec &spec, const RolloutProgress &progress, OrderState &task,
                    TimeMs now, DurationMs delay);
  /// Takes an order's next step if the evidence calls for one.
  void evaluateOrder(const RolloutSpec &spec, const RolloutProgress &progress,
                     const OrderState &task, TimeMs now, DurationMs delay);
  void readOrderStatus(const RolloutProgress &progress);
  void receiveOrderStatus(const RolloutProgress &progress, const StoreResponse &answer);
  void writeOrderStatus(const RolloutProgress &progress, TimeMs now);
  std::optional<RolloutSpec> orderSpec(const RolloutProgress &progress) const;
  std::optional<RolloutSpec> findRolloutSpec(const RolloutID &id) const;
  kj::Promise<void> documentLoop();
  kj::Promise<bool> listDocument(const std::string &after);
  kj::Promise<bool> watchDocument();
  void applyEntries(const std::vector<StoreEntry> &entries);
  void applyDocument(const ConfigDocument &document);
  void receiveOrder(const RolloutOrder &order);
  bool allLinksSilent(TimeMs now) const;
  kj::Promise<void> registerRoot();
  kj::Promise<void> discoverRoots();
  kj::Promise<void> listRoots(const std::string &after,
                              std::shared_ptr<std::set<std::string>> found);
  void detectSuspension(TimeMs now);
  void sendEvidence(const std::vector<EvidenceReport> &reports);
  void sendEvidenceTo(std::vector<HostID> stewards, const std::vector<EvidenceReport> &reports);
  void receiveProgress(capnp::List<wire::RolloutProgress>::Reader list);
  void releaseHeldExchanges();
  bool mayServe() const;
  bool failedRecently(const HostID &peer) const;

  ControlSettings Settings;
  TrafficMailbox &Traffic;
  ControlMailbox &Inbox;
  kj::AsyncIoContext Io;
  int WakePipe[2] = {-1, -1};
  kj::Own<kj::AsyncInputStream> WakeStream;
  char WakeBuffer[64] = {};
  ControlBytes Bytes;
  ControlBytes OperatorBytes;
  MeshNode Node;
  StoreClient Store;
  PeerCache Peers;
  Timeline Events;
  RolloutController LocalSteward;
  std::mt19937_64 Random;
  TreePosition Position;
  std::uint64_t TreeCursor = 0; ///< Position of the host table that the place was worked out from.
  std::map<DataCentreName, std::vector<HostID>>
      RemoteRoots; ///< Of data centres before the own one.
  std::map<HostID, std::unique_ptr<LinkTask>> Links;
  std::map<HostID, TimeMs> LinkFailures;
  std::map<HostID, std::uint32_t> ProbeFailures;
  std::vector<HeldExchange> HeldExchanges;
  std::set<RolloutID> EndingRollouts;
  TimeMs PublishDue = 0; ///< When the next view is due; 0: none is.
  bool TreeUpdatePending = false;
  bool FloorConfirmed = false;
  bool WatchOpen = false;
  bool HeadReadActive = false;
  bool HeadReadQueued = false;
  bool Draining = false;
  bool GateClosed = false; ///< While draining: the gate takes no new work.
  bool StoreWasReachable = true;
  std::int64_t RootLease = 0;
  TimeMs NextLeaseRenewal = 0;
  TimeMs NextDiscovery = 0;
  bool LeaseCallPending = false;
  std::set<std::string> DiscoveredSeeds; ///< RPC addresses of roots, as the store lists them.
  DocumentReadState DocumentRead;
  std::map<RolloutID, OrderState> Orders;
  TimeMs SuspendedTotal = 0; ///< Boot clock less steady clock at the last tick.
  TimeMs NextSeeds = 0;
  TimeMs NextHeadPoll = 0;
  TimeMs NextProbe = 0;
  TimeMs StartTime = 0;
  kj::Own<kj::PromiseFulfiller<void>> StopFulfiller;
  kj::Own<kj::TaskSet::ErrorHandler> Errors;
  kj::Own<kj::TaskSet> Tasks;
};

} // namespace jasmineloom
