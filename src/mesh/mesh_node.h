/// @file mesh_node.h One node's part in distribution: what it holds, and what it tells each link.
#pragma once

#include "config/config_holder.h"
#include "mesh/host_table.h"
#include "mesh/mesh_timings.h"
#include "mesh/tree_func.h"
#include "rollout/rollout_type.h"

#include <map>
#include <optional>
#include <vector>

namespace jasmineloom {

/// What a subtree holds, merged upward.
struct SubtreeSummary {
  std::uint32_t Nodes = 0;
  ConfigVersion MinVersion = 0;
  std::vector<HostID> Laggards; ///< Some of the hosts below the newest version.
  auto operator<=>(const SubtreeSummary &) const = default;
};

/// What one node tells another over a link; the same message both ways.
struct ExchangeMessage {
  HostID Host;
  std::uint64_t Incarnation = 0;
  ConfigVersion HeldVersion = 0;
  std::uint64_t HeldDigest = 0;
  ConfigVersion KnownVersion = 0;
  std::vector<HostRecord> Records;
  std::uint64_t Cursor = 0;          ///< Position in the sender's table after Records.
  std::uint64_t SeenCursor = 0;      ///< How far the sender has read the receiver's table.
  std::uint64_t SeenIncarnation = 0; ///< Incarnation of the receiver that SeenCursor belongs to.
  std::uint64_t TableDigest = 0;
  std::vector<RolloutProgress> Progress;
  SubtreeSummary Summary;
  std::optional<ConfigDelta> Config;
  bool WantFull = false; ///< The sender could not use a delta.
  bool Joining = false;  ///< The sender reports as a child of the receiver.
};

/// What a message changed.
struct StateChanges {
  bool ConfigApplied = false;
  bool ConfigRejected = false;
  bool TableChanged = false;
  bool ProgressChanged = false;
  bool operator==(const StateChanges &) const = default;
};

/// State of one link.
struct Link {
  std::uint64_t PeerIncarnation = 0;
  ConfigVersion PeerHeldVersion = 0;
  std::uint64_t PeerHeldDigest = 0;
  bool HasReceived = false; ///< A message has come from this incarnation.
  bool PeerWantsFull = false;
  std::uint64_t AckedCursor = 0;    ///< How far the peer has read our table.
  std::uint64_t SentCursor = 0;     ///< How far we have sent our table.
  std::uint64_t ReceivedCursor = 0; ///< How far we have read the peer's table.
  ConfigVersion SentVersion = 0;
  TimeMs SentConfigAt = 0;
  std::uint64_t SentProgressEpoch = 0;
  SubtreeSummary SentSummary;
  SubtreeSummary PeerSummary;
  bool IsChild = false; ///< The peer reports to us.
  TimeMs LastReceived = 0;
  std::uint64_t PeerSequence = 0; ///< Sequence of the peer's own record when last heard.
  std::uint32_t DigestMismatches = 0;
  std::uint64_t ResendUntil = 0; ///< Up to here all records are sent, the peer's own ones too.
};

/// Identity of a node.
struct NodeIdentity {
  HostID Host;
  std::uint64_t Incarnation = 0;
  DataCentreName DataCentre;
  std::string RpcAddress;
  std::string GateAddress;
};

/// Silence after which a parent takes a child for dead.
constexpr DurationMs ChildTimeout = MeshTimings{}.ChildTimeout;
/// Time after which a configuration that was sent but not acknowledged is sent again.
constexpr DurationMs ConfigResendDelay = 1 * MsPerSecond;
/// Host records in one message.
constexpr std::size_t MaxRecordsPerMessage = 2000;
/// Hosts named as laggards.
constexpr std::size_t MaxLaggards = 8;

/// Distribution state of a node. No clock, socket or thread; messages in, messages out.
class MeshNode {
public:
  /// @param childSilence silence after which a child is taken for dead.
  MeshNode(NodeIdentity identity, TimeMs now, DurationMs childSilence = ChildTimeout,
           TreeShape shape = {});

  /// Builds the next message for a peer and notes what was sent.
  /// @param joining whether we report to the peer as its child.
  ExchangeMessage buildMessage(const HostID &peer, bool joining, TimeMs now);

  /// Takes a peer's message. Doubled, late and crossed messages do no harm.
  StateChanges receiveMessage(const ExchangeMessage &message, TimeMs now);

  /// @returns whether a message to the peer would carry something new.
  bool hasUpdatesFor(const HostID &peer, bool joining, TimeMs now) const;

  /// @returns whether the only news for the peer is host records, which may wait to be merged.
  bool hasOnlyRecordsFor(const HostID &peer, bool joining, TimeMs now) const;

  /// Offers a configuration from the store or from an operator's call.
  OfferResult applyConfig(const ConfigDelta &delta);

  /// Merges a rollout's progress.
  /// @returns whether it was news.
  bool updateProgress(const RolloutProgress &progress);

  /// Changes what this host says of itself.
  void announce(HostState state, const ServiceName &service, const VersionLabel &version,
                std::uint32_t slots, const std::string &upstream, TimeMs now);

  /// Announces that this host is gone for good.
  /// @param handedOver whether all others of its service have its idempotency keys.
  void leave(bool handedOver, TimeMs now);

  /// Raises the own record's sequence so that others see that the host lives.
  void refresh(TimeMs now);

  /// Marks a host as gone, found dead by this node.
  /// @returns whether the table changed.
  /// Where more than half of the links are silent it is this node that is cut off: it buries none.
  bool markGone(const HostID &host, TimeMs now);

  /// Drops silent children, buries them, expires old records.
  /// @returns whether the table changed.
  bool tick(TimeMs now);

  /// Forgets a link that this node opened.
  void dropLink(const HostID &peer);

  /// @returns this node's place in its data centre's tree.
  TreePosition treePosition() const;

  /// @returns what this node and the children below it hold.
  SubtreeSummary summary() const;

  /// @returns the highest version that \p host is known to have held, or that is held here.
  ConfigVersion floorFor(const HostID &host) const;

  /// @returns number of children.
  std::uint32_t childCount() const;
  /// @returns whether one more child may report here.
  bool acceptsChild(const HostID &peer) const;

  ConfigHolder &config() { return Config; }
  const ConfigHolder &config() const { return Config; }
  const HostTable &hosts() const { return Hosts; }
  const NodeIdentity &identity() const { return Identity; }
  const std::map<RolloutID, RolloutProgress> &progress() const { return Progress; }
  const Link *link(const HostID &peer) const;
  const HostRecord &self() const { return Self; }

private:
  bool hasConfigFor(const Link &link, TimeMs now) const;
  bool hasOtherUpdatesFor(const Link &link, bool joining) const;
  void receiveConfig(const ExchangeMessage &message, Link &link, StateChanges &effect);
  bool receiveRecords(const ExchangeMessage &message, TimeMs now);
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
  HostTable Hosts;
  std::map<RolloutID, RolloutProgress> Progress;
  std::uint64_t ProgressEpoch = 0;
  std::map<HostID, Link> Links;
  std::map<HostID, ConfigVersion> AckedVersions; ///< Highest version each reporting host has held.
  bool WantFull = false;
};

} // namespace jasmineloom
