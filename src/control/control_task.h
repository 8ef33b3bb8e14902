/// @file control_task.h Thread that decides on configuration, membership and rollouts.
#pragma once

#include "config/change_cmd.h"
#include "config/refused_entries.h"
#include "control/store_duty.h"
#include "control/watch_schedule.h"
#include "environment.h"
#include "mesh/mesh_node.h"
#include "mesh/mesh_timings.h"
#include "mesh/peer_connection.h"
#include "rollout/rollout_controller_base.h"
#include "stall_watch.h"
#include "store/era_coverage.h"
#include "store/store_client.h"
#include "timeline.h"
#include "workspace/access_rule.h"
#include "workspace/config_proof.h"

#include <kj/async-io.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>

namespace jasmineloom {

/// Settings of the control task.
struct ControlSettings {
  NodeIdentity Identity;
  std::string RpcAddress;         ///< IP:port to listen on.
  std::vector<std::string> Seeds; ///< RPC addresses of nodes through which to join the mesh.
  std::string Secret;
  std::uint64_t RandomSeed = 0;
  MeshTimings Times;
  /// A key is refused this long after it was taken away, in touch or not; 0: off.
  DurationMs RevocationTime = 0;
  DurationMs InForceTime = 0; ///< Maximum time until a configuration change is in force everywhere.
  Environment Env;
  TreeShape Tree;
};

/// @returns the time for which a proof that the configuration is the newest is of use.
DurationMs proofBound(const ControlSettings &settings);

class LinkTask;

/// Backoff after a departure could not be written to the store: initial; doubles with each failure.
constexpr DurationMs DepartureRetryDelay = 300;
/// Delay before a changed configuration or rollout is published to the traffic task.
constexpr DurationMs PublishDelay = 5;

/// Owns a KJ event loop, the links to other nodes and the operators' calls.
class ControlTask {
public:
  ControlTask(ControlSettings settings, TrafficMailbox &traffic, ControlMailbox &inbox);
  ~ControlTask();
  ControlTask(const ControlTask &) = delete;
  ControlTask &operator=(const ControlTask &) = delete;

  /// Runs until the host has drained.
  /// @returns exit status: 0, or 1 if the RPC port cannot be bound.
  int run();

  // --- Used by links and RPC interfaces, which run on this thread ---

  MeshNode &node() { return Node; }
  /// Builds the next message for a peer, with a proof of the configuration where one is needed.
  /// @param joining whether this node reports to the peer as its child.
  ExchangeMessage buildMessage(const HostID &peer, bool joining);
  /// Merges a message from a peer and passes on what it changes.
  void receiveMessage(const ExchangeMessage &message);
  /// @returns whether a message to the peer would contain updates.
  bool hasUpdatesFor(const HostID &peer, bool joining) const;
  /// @returns the time for which pending updates may wait for others, ms.
  DurationMs updateDelay(const HostID &peer, bool joining) const;
  PeerCache &peers() { return Peers; }
  StoreClient &store() { return Store; }
  Timeline &timeline() { return Events; }
  const ControlSettings &settings() const { return Settings; }
  kj::Timer &timer() { return Io.provider->getTimer(); }
  std::uint64_t randomBelow(std::uint64_t below) { return Random() % below; }

  /// Logs changes of the node's state and passes them on to the traffic task and the links.
  void propagateChanges(const StateChanges &changes);
  /// Adds an event to the time line and the log.
  void recordEvent(const std::string &kind, const std::string &subject, const std::string &text);
  /// @returns a promise that resolves once updates are pending for the peer, or after \p hold.
  kj::Promise<void> waitForUpdates(const HostID &peer, DurationMs hold);
  /// Runs a change against the store and, if it is accepted, applies it to this node.
  /// @param changes receives a description of what changes; may be null.
  kj::Promise<ChangeOutcome> runChange(ChangeRequest request, std::vector<std::string> *changes);
  /// Adds a gate's report to the evidence on a rollout that this host controls.
  void recordEvidence(const EvidenceReport &report);
  /// Logs and counts a configuration that was sent to a peer.
  void recordConfigSent(const HostID &peer, const EncodedDelta &update);
  /// Merges the record of a host that introduces itself.
  /// @returns the records by which it finds its place in the mesh.
  std::vector<HostRecord> receiveIntroduction(const HostRecord &caller,
                                              const std::vector<HostID> &requested);
  /// Starts draining this host.
  /// @param cause initiator, for the time line.
  void drain(const std::string &cause);
  /// Runs a promise in the background; a failure is logged.
  /// @param name name of the task in the log.
  void spawn(kj::Promise<void> promise, const char *name);
  /// Runs a loop of the task in the background and starts it again after a failure.
  /// @param name name of the loop in the log.
  void spawnLoop(std::function<kj::Promise<void>()> loop, const char *name);
  /// Asks the traffic task where a request would go.
  kj::Promise<Explanation> explain(ExplainQuery query);
  /// Writes the status of this node for operators.
  void writeStatus(wire::NodeStatus::Builder to);
  const TreePosition &treePosition() const { return Position; }
  /// Traffic of operators' calls, counted separately from that between nodes.
  ControlBytes &operatorBytes() { return OperatorBytes; }
  /// Makes all links send pending updates.
  void sendPendingUpdates();
  /// Removes a failed link; its peer is not tried again within LinkRetryDelay.
  void handleLinkFailure(const HostID &peer, const std::string &reason);

private:
  /// An exchange whose response is sent once updates are pending for the peer.
  struct HeldExchange {
    HostID Peer;
    kj::Own<kj::PromiseFulfiller<void>> Fulfiller;
  };
  class ErrorHandler;

  /// Roots that are registered in the store.
  struct RootList {
    std::set<std::string> Addresses; ///< RPC addresses.
    std::size_t InOwnDataCentre = 0;
  };
  /// A departure of the local upstream, and until when it is of use (steady clock).
  struct StoredDeparture {
    UpstreamDeparted Message;
    TimeMs Until = 0;
  };
  /// Progress in reading the operators' document.
  struct DocumentReadState {
    bool Listed = false;                        ///< All entries were listed; changes are watched.
    std::set<DataCentreName> ListedEvacuations; ///< By the list in progress.
    std::uint64_t Era = 0;                      ///< Of the store, as of the list in progress.
    std::int64_t Revision = 0;                  ///< Store revision after which the watch continues.
    DurationMs RetryDelay = 0;                  ///< Backoff before the next call after a failure.
    TimeMs AnsweredAt = 0; ///< When the store last answered a read or a watch; 0: never.
    bool Overdue = false;  ///< The store's answer was overdue at the last check.
    /// Callers that wait for the read of the whole document in progress.
    std::vector<kj::Own<kj::PromiseFulfiller<bool>>> Waiters;
  };
  /// State of an order that this host may have to control. Times are those of the steady clock.
  struct OrderState {
    TimeMs KnownSince = 0;       ///< When this node received the order.
    DurationMs PriorElapsed = 0; ///< Time before KnownSince, estimated from the stage reached.
    std::uint32_t Stage = 0;
    TimeMs StageSince = 0;
    bool StatusCallPending = false; ///< A read or write of the order's status is in flight.
    bool StatusKnown = false;       ///< StatusRevision is the revision of the status in the store.
    std::int64_t StatusRevision = 0;
    TimeMs NextStatusWrite = 0;
    std::optional<RolloutPhase> StoredPhase; ///< Phase in the status in the store.
    std::uint32_t StoredStage = 0;
    bool Withheld = false;                     ///< The last evaluation withheld a verdict.
    std::optional<RolloutPhase> ReportedPhase; ///< Phase in the last event of the time line.
    std::uint32_t ReportedStage = 0;           ///< Stage in that event.
    TimeMs FirstReportAt = 0;                  ///< When the first such event was recorded.
  };

  void handleMessages();
  void handle(const UpstreamAnnounced &message);
  void handle(EvidenceUpdate &message);
  void handle(const StoreReply &message);
  void handle(const StoreWatchEvent &message);
  void handle(const DrainRequested &message);
  void handle(const GateClosing &message);
  void handle(const Drained &message);
  void handle(const TrafficTimelineEvent &message);
  void handle(const UpstreamDeparted &message);
  void handle(const DeparturesNeeded &message);
  void handle(const ExplainReply &message);

  kj::Promise<void> keepRunning(std::function<kj::Promise<void>()> loop, const char *name);
  kj::Promise<void> wakeLoop();
  kj::Promise<void> acceptLoop();
  kj::Promise<void> tickLoop();
  kj::Promise<void> controllerLoop();
  kj::Promise<void> confirmFloor();
  /// Reads the store's record of its era.
  kj::Promise<void> readEraRecord();
  /// Waits until what the store shows may be believed.
  kj::Promise<void> awaitCoverage();
  kj::Promise<void> awaitCoverageQuietly();
  /// Writes the record of the present era if it is missing and this node may.
  void recordEra(TimeMs now);
  kj::Promise<void> writeEraRecord(const EraRecord &record);
  /// @returns the prefix of the store's keys for departures of this host's upstream.
  std::string departureKeys() const;
  /// Reads the departures that were recorded before this process started.
  kj::Promise<void> readDepartures();
  /// Writes a departure to the store, with retries until it is no longer of use.
  /// @param backoff delay before the next retry.
  kj::Promise<void> storeDeparture(UpstreamDeparted message, TimeMs until, DurationMs backoff);
  kj::Promise<void> storeLoop();
  kj::Promise<void> readHead();
  kj::Promise<void> readSections(Head head);
  /// Accepts the held version again, if the store has lost it. The platform's document is left to
  /// its operators.
  /// @param stored version of the store's head; 0: it has none.
  /// @param heldBefore version that this node held when it asked for the head.
  void restoreHead(ConfigVersion stored, ConfigVersion heldBefore);
  kj::Promise<void> advanceChange(std::shared_ptr<ChangeCommand> command, ChangeStep step,
                                  std::shared_ptr<ChangeOutcome> outcome);
  kj::Promise<void> probeHost();
  /// Fetches a newer configuration from a peer, if there is one and no fetch is in progress.
  void fetchConfig();
  kj::Promise<void> fetchConfigFrom(const HostID &source, const std::string &address);
  void receiveConfig(const HostID &source, capnp::Data::Reader update);
  kj::Promise<void> recordRolloutEnd(const RolloutSpec &spec, const RolloutProgress &progress);
  void publishView();
  void schedulePublish(DurationMs delay);
  void updateTreePosition();
  void scheduleTreeUpdate();
  void reconcileLinks();
  void updateRemoteRoots();
  void ensureLink(const HostID &peer, bool joining, std::set<HostID> &wanted);
  void contactSeeds();
  std::vector<std::string> seedsToContact(bool isolated, TimeMs now) const;
  kj::Promise<void> introduceTo(const std::string &address);
  void mergeIntroduction(const std::vector<HostRecord> &records, const HostID &from);
  void advanceRollouts();
  void advanceDeclaredRollouts(const Snapshot &held, std::vector<RolloutID> &running);
  void advanceOrders(TimeMs now, std::vector<RolloutID> &running);
  void advanceOrder(const RolloutSpec &spec, const RolloutProgress &progress, OrderState &state,
                    TimeMs now, DurationMs delay);
  /// Advances or rolls back an order if the evidence requires or permits it.
  void evaluateOrder(const RolloutSpec &spec, const RolloutProgress &progress, OrderState &state,
                     TimeMs now, DurationMs delay);
  /// Records when this node learns of a stage or the end of an order.
  void recordOrderProgress(TimeMs now);
  void readOrderStatus(const RolloutProgress &progress);
  void receiveOrderStatus(const RolloutProgress &progress, const StoreResponse &response);
  void writeOrderStatus(const RolloutProgress &progress, TimeMs now);
  /// Marks the end of an order as final, once the store holds it.
  void recordOrderEnd(const RolloutProgress &progress);
  std::optional<RolloutSpec> orderSpec(const RolloutProgress &progress) const;
  std::optional<RolloutSpec> findRolloutSpec(const RolloutID &id) const;
  kj::Promise<void> documentLoop();
  /// Reads the whole document; callers share a read that is in progress.
  kj::Promise<bool> readDocument();
  kj::Promise<bool> listDocument(const std::string &after);
  kj::Promise<bool> watchDocument();
  /// Records the end of a read or watch of the document.
  void recordStoreContact(bool answered);
  /// @param era of the store that stated them.
  void applyEntries(const std::vector<StoreEntry> &entries, std::uint64_t era);
  void receiveEvacuation(const EvacuationEntry &entry, std::uint64_t era);
  /// Takes back the evacuations that a list of the whole document lacks; a watch may miss that they
  /// were removed.
  void endEvacuations(std::int64_t revision);
  /// Records which data centres are evacuated, and the services that have no upstream elsewhere.
  void recordEvacuations(const RoutingView &view);
  /// @param entry entry of the store that holds the document.
  void applyDocument(const ConfigDocument &document, const StoreEntry &entry);
  /// Reports an entry that is refused, once for each content.
  /// @param reason names the object and what is wrong with it.
  void refuseEntry(const StoreEntry &entry, const std::string &reason);
  void receiveOrder(const RolloutOrder &order);
  /// @returns the progress of all the orders of a service.
  std::vector<RolloutProgress> ordersOf(const ServiceName &service) const;
  /// Reads and writes again what the store may have lost.
  void handleNewEra();
  /// Writes the departures that are still of use again.
  void restoreDepartures(TimeMs now);
  /// @returns whether a peer has been heard of, over a link that this node opened.
  bool isLinkAlive(const HostID &peer, TimeMs now) const;
  bool allLinksSilent(TimeMs now) const;
  /// @returns whether the node has had time to learn of the other hosts since its start.
  bool isSettled(TimeMs now) const;
  /// @returns the roots that rank before this one.
  std::vector<RootContact> rootsBefore(TimeMs now) const;
  /// @returns how many of them respond and get answers from the store.
  std::size_t answeredRootsBefore(TimeMs now) const;
  StoreDuty storeDuty(TimeMs now) const { return storeDutyOf(Position.Root, rootsBefore(now)); }
  /// @returns whether this host does the duties of a root at the store.
  bool usesStore(TimeMs now) const { return storeDuty(now) != StoreDuty::None; }
  /// Records when this host begins and ends to stand in for other roots at the store.
  void checkStandIn(TimeMs now);
  /// Tells other nodes when the store no longer answers this node, and when it does again.
  void checkStoreSilence(TimeMs now);
  WatchShare watchShare(TimeMs now) const;
  /// @returns whether requests depend on proofs that the configuration is the newest.
  bool needsProof() const;
  /// @returns the number of nodes, up to a limit, that ask the store before this one does.
  std::size_t proofRank(TimeMs now) const;
  /// Waits until a proof is due, or asks the store for it.
  kj::Promise<void> proofLoop();
  /// Asks the store whether it has changed, and for the configuration only if it has.
  /// @returns whether that proves anything later than before.
  kj::Promise<bool> proveConfig();
  /// Reads the key that holds the newest configuration, or its version.
  kj::Promise<bool> proveByRead(const std::string &key);
  /// @returns the version of the configuration that an entry states; 0: it is not valid.
  ConfigVersion versionOf(const StoreEntry &entry) const;
  /// @param sentAt when the call was sent, on the boot clock.
  bool recordProof(TimeMs sentAt, ConfigVersion newest, std::uint64_t era);
  /// Tells the traffic task of the latest proof for the routing view that it has.
  void publishProof();
  /// Records when keys can no longer be served for lack of a proof, and when they can again.
  void checkProof(TimeMs bootNow);
  /// @returns whether a proof is to be sent to a peer at once.
  bool hasProofFor(const HostID &peer) const;
  /// Logs when the node has not heard from the store about the document for longer than a watch
  /// may take, and when it hears from it again.
  void checkDocumentAge(TimeMs now);
  /// @returns the age of the node's own knowledge of the document, ms; 0 if it does not read it.
  DurationMs documentAge(TimeMs now) const;
  /// Registers this node if it finds no other node after a random delay and few are registered.
  kj::Promise<void> registerIfAlone();
  kj::Promise<void> registerRoot();
  kj::Promise<void> discoverRoots();
  kj::Promise<void> listRoots(const std::string &after, bool allowStale,
                              std::shared_ptr<RootList> found);
  void detectSuspension(TimeMs now);
  void sendEvidence(const std::vector<EvidenceReport> &reports);
  void sendEvidenceTo(std::vector<HostID> controllers, const std::vector<EvidenceReport> &reports);
  void receiveProgress(capnp::List<wire::RolloutProgress>::Reader list);
  void releaseHeldExchanges();
  bool mayServe() const;
  bool failedRecently(const HostID &peer) const;
  /// @returns whether this node reads the operators' document itself.
  bool readsDocument(TimeMs now) const;

  ControlSettings Settings;
  TrafficMailbox &Traffic;
  ControlMailbox &Inbox;
  kj::AsyncIoContext Io;
  int WakePipe[2] = {-1, -1};
  kj::Own<kj::AsyncInputStream> WakeStream;
  char WakeBuffer[64] = {};
  kj::Own<kj::ConnectionReceiver> Receiver; ///< Listens for nodes and operators.
  ControlBytes Bytes;
  ControlBytes OperatorBytes;
  ConfigTransferCounts Transfers;
  StallWatch Stalls;
  TimeMs TickDue = 0; ///< Time for which the next tick is scheduled; 0 before the first.
  MeshNode Node;
  StoreClient Store;
  PeerCache Peers;
  Timeline Events;
  RolloutController LocalController;
  std::mt19937_64 Random;
  TreePosition Position;
  std::uint64_t TreeCursor = 0; ///< Cursor of the host table from which Position was computed.
  /// Roots of the data centres whose names sort before that of the own one.
  std::map<DataCentreName, std::vector<HostID>> RemoteRoots;
  std::map<HostID, std::unique_ptr<LinkTask>> Links;
  std::map<HostID, TimeMs> LinkFailures;
  std::uint64_t LinkFailureCount = 0;
  EvidenceCounters EvidenceReports;
  std::map<HostID, std::uint32_t> ProbeFailures;
  std::vector<HeldExchange> HeldExchanges;
  std::set<RolloutID> EndingRollouts;
  WorkspaceTablePtr Workspaces; ///< Of the published configuration.
  bool NeedsKeys = false;       ///< A route of the published configuration needs a key.
  /// When the part of a gone host in the quotas ends (steady clock); 0: none is kept.
  TimeMs QuotaPartsEnd = 0;
  ConfigVersion PublishedVersion = 0; ///< Of the last routing view; 0: none.
  TimeMs PublishDue = 0; ///< When the next routing view is published; 0: none is scheduled.
  bool TreeUpdatePending = false;
  bool FloorConfirmed = false;
  bool WatchOpen = false;
  std::uint32_t FetchFailures = 0; ///< Fetches of a configuration that failed in succession.
  bool HeadReadActive = false;
  bool RestoringHead = false;
  bool HeadReadQueued = false;
  bool Draining = false;
  bool GateClosed = false; ///< While draining: the gate rejects new requests.
  bool StoreWasReachable = true;
  std::int64_t RootLease = 0;
  TimeMs NextLeaseRenewal = 0;
  TimeMs NextDiscovery = 0;
  bool LeaseCallPending = false;
  std::set<std::string> DiscoveredSeeds; ///< RPC addresses of roots registered in the store.
  /// Those in this data centre by the last list; empty before the first one.
  std::optional<std::size_t> RegisteredRoots;
  DocumentReadState DocumentRead;
  EraCoverage Coverage;
  std::uint64_t RecordedEra = 0; ///< Of the record in the store, when it was last seen.
  TimeMs EraSeenAt = 0;          ///< When the era changed last, or this process started.
  bool EraCallPending = false;
  StoreContact Contact;
  bool StoreSilent = false;    ///< The store has owed this node an answer for too long.
  std::set<HostID> ToldSilent; ///< Peers to which the last message stated StoreSilent.
  StoreStatements Statements;
  std::optional<TimeMs> StandInSince;         ///< Since when this host stands in for other roots.
  std::set<DataCentreName> ReportedEvacuated; ///< In the last event of the time line.
  std::set<std::string> ReportedUnserved;     ///< Services, in the last events of the time line.
  /// Departures that this node has to keep in the store, by upstream.
  std::map<UpstreamID, StoredDeparture> Departures;
  RefusedEntries Refused;
  WatchSchedule Watches;
  ConfigProof Proof;
  std::int64_t ProvedRevision =
      0;                       ///< Store revision at which ProvedVersion was the newest; 0: none.
  std::uint64_t ProvedEra = 0; ///< Era of the store then.
  std::int64_t ProvedEntryRevision = 0; ///< Revision of the configuration's entry then.
  ConfigVersion ProvedVersion = 0;
  DurationMs ProofRetryDelay = 0; ///< Backoff after a call that proved nothing.
  TimeMs PublishedProof = 0;      ///< Last time sent to the traffic task.
  bool Proved = true;             ///< Keys could be served at the last check.
  std::map<RolloutID, OrderState> Orders;
  TimeMs SuspendedTotal = 0; ///< Boot clock minus steady clock at the last tick.
  std::map<std::uint64_t, kj::Own<kj::PromiseFulfiller<Explanation>>> Explanations;
  std::uint64_t LastExplanation = 0; ///< Number of the last query.
  TimeMs NextSeeds = 0;
  TimeMs NextHeadPoll = 0;
  TimeMs NextProbe = 0;
  TimeMs StartTime = 0;
  kj::Own<kj::PromiseFulfiller<void>> StopFulfiller;
  kj::Own<kj::TaskSet::ErrorHandler> Errors;
  kj::Own<kj::TaskSet> Tasks;
};

} // namespace jasmineloom
