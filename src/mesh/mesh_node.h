/// @file mesh_node.h Distribution state machine of one node.
#pragma once

#include "config/config_holder.h"
#include "mesh/config_fetch.h"
#include "mesh/host_table.h"
#include "mesh/mesh_timings.h"
#include "mesh/tree_func.h"
#include "rollout/rollout_type.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace jasmineloom {

/// Aggregate of a subtree, reported by a child to its parent.
struct SubtreeSummary {
  std::uint32_t Nodes = 0;
  ConfigVersion MinVersion = 0; ///< Lowest version held in the subtree.
  std::vector<HostID> Laggards; ///< Some of the hosts that hold an older version.
  auto operator<=>(const SubtreeSummary &) const = default;
};

/// ExchangeMessage::ProofAge of a message without a proof.
constexpr std::uint32_t NoProofAge = ~std::uint32_t{0};

/// Message between two nodes; requests and responses have the same form.
struct ExchangeMessage {
  HostID Host;
  std::uint64_t Incarnation = 0;
  ConfigVersion HeldVersion = 0;
  std::uint64_t HeldDigest = 0;
  ConfigVersion KnownVersion = 0; ///< Highest version known to the sender, held or not.
  std::vector<HostRecord> Records;
  std::uint64_t Cursor = 0;          ///< Change index up to which Records cover the sender's table.
  std::uint64_t SeenCursor = 0;      ///< Acknowledges the receiver's table up to this change index.
  std::uint64_t SeenIncarnation = 0; ///< Incarnation of the receiver to which SeenCursor applies.
  std::uint64_t TableDigest = 0;
  std::vector<RolloutProgress> Progress;
  SubtreeSummary Summary;
  bool Joining = false; ///< The sender reports to the receiver as its child.
  std::vector<Evacuation> Evacuations;
  std::uint64_t Clock = 0; ///< The sender's clock, for the receiver to echo.
  std::uint64_t Echo = 0;  ///< Latest clock of the receiver that the sender has seen; 0: none.
  /// Proof that ProofVersion was the newest configuration; NoProofAge: none.
  std::uint32_t ProofAge = NoProofAge;
  ConfigVersion ProofVersion = 0;
  std::uint64_t ProofEra = 0;   ///< Era of the store that proved it.
  bool StoreSilent = false;     ///< The sender asks the store and gets no answers.
  std::uint64_t CoveredEra = 0; ///< See EraCoverage::latest().
};

/// The configuration that a node holds, stated when it fetches a newer one.
struct HeldConfig {
  ConfigVersion Version = 0; ///< 0: none, or a full snapshot is needed.
  std::uint64_t Digest = 0;
  auto operator<=>(const HeldConfig &) const = default;
};

/// Parts of a node's state that a message, a call or an event has changed.
struct StateChanges {
  bool ConfigApplied = false;
  bool ConfigRejected = false;
  bool TableChanged = false;
  bool ProgressChanged = false;
  bool EvacuationsChanged = false;
  bool operator==(const StateChanges &) const = default;
};

/// A version that a peer has stated to hold.
struct VersionNews {
  ConfigVersion Version = 0;
  TimeMs HeardAt = 0;
  auto operator<=>(const VersionNews &) const = default;
};

/// State of the link to one peer.
struct Link {
  std::uint64_t PeerIncarnation = 0;
  ConfigVersion PeerHeldVersion = 0;
  std::uint64_t PeerHeldDigest = 0;
  TimeMs PeerHeldSince = 0; ///< When PeerHeldVersion was first received.
  /// Versions that the peer has stated and this node did not hold then, the first ones; increasing.
  std::vector<VersionNews> PeerNews;
  bool HasReceived = false;      ///< A message of PeerIncarnation has arrived.
  std::uint64_t AckedCursor = 0; ///< Change index up to which the peer has read this node's table.
  std::uint64_t SentCursor = 0;  ///< Change index up to which this node's table was sent.
  std::uint64_t ReceivedCursor = 0;  ///< Change index up to which the peer's table was received.
  ConfigVersion SentHeldVersion = 0; ///< Held version stated in the last message to the peer.
  std::uint64_t SentProgressEpoch = 0;
  SubtreeSummary SentSummary;
  SubtreeSummary PeerSummary;
  bool IsChild = false; ///< The peer reports to this node.
  TimeMs LastReceived = 0;
  std::uint64_t PeerSequence = 0; ///< Sequence of the peer's own record at its last message.
  std::uint32_t DigestMismatches = 0;
  /// Set when the peer reads the table again: while AckedCursor is lower than this, records that
  /// came from the peer are sent back to it as well.
  std::uint64_t ResendUntil = 0;
};

struct NodeIdentity {
  HostID Host;
  std::uint64_t Incarnation = 0;
  DataCentreName DataCentre;
  std::string RpcAddress;
  std::string GateAddress;
  std::uint32_t Capacity = 0; ///< See HostRecord.
};

/// Default time without a message after which a parent declares a child dead.
constexpr DurationMs ChildTimeout = MeshTimings{}.ChildTimeout;
/// Default time for which a peer is avoided after a configuration could not be fetched from it.
constexpr DurationMs FetchRetryDelay = MeshTimings{}.LinkRetryDelay;
/// Maximum number of host records in one message.
constexpr std::size_t MaxRecordsPerMessage = 2000;
/// Maximum length of Link::PeerNews.
constexpr std::size_t MaxVersionNews = 32;
/// Maximum number of hosts in SubtreeSummary::Laggards.
constexpr std::size_t MaxLaggards = 8;

/// Host table, configuration, rollout progress and links of a node. Uses no clock, socket or
/// thread: the owner delivers messages and passes the time of the steady clock.
class MeshNode {
public:
  /// @param childTimeout time without a message after which a child is declared dead.
  MeshNode(NodeIdentity identity, TimeMs now, DurationMs childTimeout = ChildTimeout,
           TreeShape shape = {}, DurationMs fetchRetryDelay = FetchRetryDelay);

  /// Builds the next message for a peer and records what was sent.
  /// @param joining whether this node reports to the peer as its child.
  ExchangeMessage buildMessage(const HostID &peer, bool joining);

  /// Merges a message from a peer. Duplicated, delayed and reordered messages are harmless.
  StateChanges receiveMessage(const ExchangeMessage &message, TimeMs now);

  /// @returns whether the sender has seen a message of this process, not of an earlier one.
  bool isAnsweredBy(const ExchangeMessage &message) const {
    return message.SeenIncarnation == Identity.Incarnation;
  }

  /// @returns whether a message to the peer would contain updates.
  bool hasUpdatesFor(const HostID &peer, bool joining) const;

  /// @returns whether only host records are pending for the peer; they may be delayed and sent in
  /// batches.
  bool hasOnlyRecordsFor(const HostID &peer, bool joining) const;

  /// Merges records that were received outside a link.
  /// @param from peer that sent the records.
  /// @returns whether the table changed.
  bool mergeRecords(const std::vector<HostRecord> &records, const HostID &from, TimeMs now);

  /// Selects the records by which another host finds its place in the mesh: this host, the roots of
  /// both data centres, the host's parents, and the hosts in \p requested, gone ones included; also
  /// the host itself if its record differs from \p other. The host gets the whole table over the
  /// link to its parent.
  std::vector<HostRecord> introductionFor(const HostRecord &other,
                                          const std::vector<HostID> &requested) const;

  /// Starts fetching a newer configuration, unless a fetch is in progress.
  /// @param minAge time for which it must be known that a peer holds the newer version.
  /// @param alternatives other hosts that probably hold what a peer has stated; they are asked
  /// while a peer that did not answer is avoided, as it may be slow.
  /// @returns the peer to fetch from; nullopt if there is nothing to fetch.
  std::optional<HostID> startFetch(DurationMs minAge, TimeMs now,
                                   const std::vector<HostID> &alternatives = {});

  /// @returns what to state in a fetch.
  HeldConfig heldForFetch() const;

  /// Applies a fetched configuration and ends the fetch.
  StateChanges finishFetch(const ConfigDelta &delta, TimeMs now);

  /// Ends a fetch that failed.
  void abandonFetch(TimeMs now) { Fetch.end(Config.heldVersion(), now); }

  /// Applies a configuration from a peer, the store or an operator's call.
  OfferResult applyConfig(const ConfigDelta &delta);

  /// Merges a rollout's progress.
  /// @returns whether the known progress changed.
  bool updateProgress(const RolloutProgress &progress);

  /// Merges the state of a data centre's evacuation: a later era of the store goes before a higher
  /// revision.
  /// @returns whether the known state changed.
  bool updateEvacuation(const Evacuation &evacuation);
  /// Takes back the active evacuations that a full list of the operators' entries lacks.
  /// @param listed data centres with an entry.
  /// @param era, revision of the store, as of the list.
  /// @returns the data centres whose evacuation was taken back.
  std::vector<DataCentreName> retainEvacuations(const std::set<DataCentreName> &listed,
                                                std::uint64_t era, std::uint64_t revision);
  /// @returns the data centres that are evacuated.
  std::set<DataCentreName> evacuated() const;

  /// Updates this host's own record.
  void announce(HostState state, const ServiceName &service, const VersionLabel &version,
                std::uint32_t slots, const std::string &upstream, TimeMs now);

  /// Publishes that a process of the upstream has left or drains.
  /// @param departed see HostRecord::Departed.
  void recordDeparture(const std::string &departed, TimeMs now);

  /// @returns HostRecord::Departed of a host; empty if the host is unknown.
  std::string departedAt(const HostID &host) const;

  /// Marks this host as gone when its process ends.
  /// @param keysHandedOver whether all other hosts of its service have its idempotency keys.
  void leave(bool keysHandedOver, TimeMs now);

  /// Raises the sequence of the host's own record, which shows other nodes that the host is alive.
  void refresh(TimeMs now);

  /// Marks a host as gone after this node's failure detection found it dead. No effect while most
  /// of this node's links are silent: this node itself is then likely to be partitioned.
  /// @returns whether the table changed.
  bool markGone(const HostID &host, TimeMs now);

  /// Drops children that have timed out, marks them as gone and expires tombstones.
  /// @returns whether the table changed.
  bool tick(TimeMs now);

  /// Removes the state of a link that this node opened.
  void dropLink(const HostID &peer);

  TreePosition treePosition() const;

  /// @returns the aggregate over this node and the subtrees of its children.
  SubtreeSummary summary() const;

  /// @returns the version below which \p host must not apply a configuration after a restart: the
  /// highest one that it has acknowledged to this node, or that this node holds.
  ConfigVersion floorFor(const HostID &host) const;

  std::uint32_t childCount() const;
  /// @returns whether the peer is a child of this node already, or may become one.
  bool acceptsChild(const HostID &peer) const;

  ConfigHolder &config() { return Config; }
  const ConfigHolder &config() const { return Config; }
  const HostTable &hosts() const { return Hosts; }
  const NodeIdentity &identity() const { return Identity; }
  const std::map<RolloutID, RolloutProgress> &progress() const { return Progress; }
  const Link *link(const HostID &peer) const;
  const HostRecord &self() const { return Self; }

private:
  bool hasNewVersionFor(const Link &link) const;
  std::vector<ConfigOffer> configOffers(const std::vector<HostID> &alternatives) const;
  bool hasProgressOrSummaryFor(const Link &link, bool joining) const;
  void receiveHeldVersion(const ExchangeMessage &message, Link &link, TimeMs now);
  /// @returns when this node first learned that the peer holds a version that this node lacks.
  TimeMs lackedSince(const Link &link) const;
  void compareDigests(const ExchangeMessage &message, Link &link);
  void receiveAck(const ExchangeMessage &message, Link &link) const;
  void refuteGoneRecord(TimeMs now);
  bool isPartitioned(TimeMs now) const;
  void supersedeEarlierIncarnation(const HostRecord &record);

  NodeIdentity Identity;
  HostRecord Self;
  DurationMs SilenceTimeout;
  TreeShape Shape;
  ConfigHolder Config;
  ConfigFetch Fetch;
  HostTable Hosts;
  std::map<RolloutID, RolloutProgress> Progress;
  /// By data centre; one that was taken back stays, or an older message would bring it back.
  std::map<DataCentreName, Evacuation> Evacuations;
  /// Store revision of the last list of the document; 0: none.
  std::uint64_t ListedRevision = 0;
  std::uint64_t ListedEra = 0;     ///< Era of the store of that list.
  std::uint64_t ProgressEpoch = 0; ///< Rises with each change of Progress and Evacuations.
  std::map<HostID, Link> Links;
  std::map<HostID, ConfigVersion> AckedVersions; ///< Highest version acknowledged by each host.
  bool WantFull = false; ///< A delta did not apply; a full snapshot is requested.
};

} // namespace jasmineloom
