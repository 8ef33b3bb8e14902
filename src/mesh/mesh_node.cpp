/// @file mesh_node.cpp Distribution state machine of one node.
#include "mesh/mesh_node.h"

#include "rollout/rollout_func.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace jasmineloom {

namespace {
/// Number of consecutive digest mismatches, with no records in transit, after which a node reads
/// the peer's whole table again.
constexpr std::uint32_t MaxDigestMismatches = 3;
/// Number of child timeouts after which a silent link counts as abandoned by its peer. Partition
/// detection ignores it.
constexpr DurationMs AbandonedLinkFactor = 4;
/// In a mesh of at most this many hosts, silence of all others counts as their failure and not as a
/// partition of this node.
constexpr std::size_t SmallMeshSize = 3;
} // namespace

MeshNode::MeshNode(NodeIdentity identity, TimeMs now, DurationMs childTimeout, TreeShape shape,
                   DurationMs fetchRetryDelay)
    : Identity(std::move(identity)), SilenceTimeout(childTimeout), Shape(shape),
      Fetch(fetchRetryDelay) {
  Self.Host = Identity.Host;
  Self.Incarnation = Identity.Incarnation;
  Self.Sequence = 1;
  Self.DataCentre = Identity.DataCentre;
  Self.RpcAddress = Identity.RpcAddress;
  Self.GateAddress = Identity.GateAddress;
  Self.Capacity = Identity.Capacity;
  Hosts.merge(Self, Identity.Host, now);
}

bool MeshNode::hasNewVersionFor(const Link &link) const {
  return link.HasReceived && link.PeerHeldVersion < Config.heldVersion() &&
         link.SentHeldVersion < Config.heldVersion();
}

bool MeshNode::hasProgressOrSummaryFor(const Link &link, bool joining) const {
  if (link.SentProgressEpoch != ProgressEpoch)
    return true;
  return joining && link.SentSummary != summary();
}

bool MeshNode::hasUpdatesFor(const HostID &peer, bool joining) const {
  const auto it = Links.find(peer);
  if (it == Links.end())
    return true;
  const Link &link = it->second;
  if (hasNewVersionFor(link) || hasProgressOrSummaryFor(link, joining))
    return true;
  return Hosts.hasChangesSince(std::max(link.SentCursor, link.AckedCursor), peer);
}

bool MeshNode::hasOnlyRecordsFor(const HostID &peer, bool joining) const {
  const auto it = Links.find(peer);
  return it != Links.end() && !hasNewVersionFor(it->second) &&
         !hasProgressOrSummaryFor(it->second, joining);
}

ExchangeMessage MeshNode::buildMessage(const HostID &peer, bool joining) {
  Link &link = Links[peer];
  ExchangeMessage message;
  message.Host = Identity.Host;
  message.Incarnation = Identity.Incarnation;
  message.HeldVersion = Config.heldVersion();
  link.SentHeldVersion = message.HeldVersion;
  message.HeldDigest = Config.heldDigest();
  message.KnownVersion = Config.knownVersion();
  message.TableDigest = Hosts.digest();
  message.SeenCursor = link.ReceivedCursor;
  message.SeenIncarnation = link.PeerIncarnation;
  message.Joining = joining;
  const bool resend = link.AckedCursor < link.ResendUntil;
  HostBatch batch =
      Hosts.changesSince(link.AckedCursor, resend ? HostID() : peer, MaxRecordsPerMessage);
  message.Records = std::move(batch.Records);
  message.Cursor = batch.Cursor;
  link.SentCursor = batch.Cursor;
  if (link.SentProgressEpoch != ProgressEpoch) {
    for (const auto &[id, progress] : Progress)
      message.Progress.push_back(progress);
    link.SentProgressEpoch = ProgressEpoch;
  }
  // They are few, and a message that is lost must not leave a node without them.
  for (const auto &[dataCentre, evacuation] : Evacuations)
    message.Evacuations.push_back(evacuation);
  message.Summary = summary();
  link.SentSummary = message.Summary;
  return message;
}

void MeshNode::receiveHeldVersion(const ExchangeMessage &message, Link &link, TimeMs now) {
  Config.observeVersion(message.KnownVersion);
  const ConfigVersion held = Config.heldVersion();
  std::erase_if(link.PeerNews, [held](const VersionNews &it) { return it.Version <= held; });
  if (message.HeldVersion > link.PeerHeldVersion) {
    link.PeerHeldSince = now;
    if (link.PeerNews.size() < MaxVersionNews)
      link.PeerNews.push_back({message.HeldVersion, now});
  }
  if (message.HeldVersion >= link.PeerHeldVersion) {
    link.PeerHeldVersion = message.HeldVersion;
    link.PeerHeldDigest = message.HeldDigest;
  }
  ConfigVersion &acknowledged = AckedVersions[message.Host];
  acknowledged = std::max(acknowledged, message.HeldVersion);
}

TimeMs MeshNode::lackedSince(const Link &link) const {
  for (const VersionNews &it : link.PeerNews) {
    if (it.Version > Config.heldVersion())
      return it.HeardAt;
  }
  return link.PeerHeldSince;
}

std::vector<ConfigOffer> MeshNode::configOffers(const std::vector<HostID> &alternatives) const {
  std::vector<ConfigOffer> offers;
  for (const auto &[peer, link] : Links) {
    const HostRecord *record = Hosts.find(peer);
    const bool newer = link.HasReceived && link.PeerHeldVersion > Config.heldVersion() &&
                       link.PeerHeldVersion >= Config.floorVersion();
    if (!newer || record == nullptr || record->State == HostState::Gone)
      continue;
    offers.push_back({peer, link.PeerHeldVersion, lackedSince(link),
                      record->DataCentre == Identity.DataCentre, link.IsChild});
  }
  if (offers.empty())
    return offers;
  const ConfigOffer stated = offers.front();
  for (const HostID &host : alternatives) {
    const HostRecord *record = Hosts.find(host);
    if (Links.contains(host) || record == nullptr || record->State == HostState::Gone)
      continue;
    offers.push_back({host, stated.Version, stated.KnownSince,
                      record->DataCentre == Identity.DataCentre, false, true});
  }
  return offers;
}

std::optional<HostID> MeshNode::startFetch(DurationMs minAge, TimeMs now,
                                           const std::vector<HostID> &alternatives) {
  return Fetch.inProgress() ? std::nullopt : Fetch.start(configOffers(alternatives), minAge, now);
}

HeldConfig MeshNode::heldForFetch() const {
  return WantFull ? HeldConfig{} : HeldConfig{Config.heldVersion(), Config.heldDigest()};
}

StateChanges MeshNode::finishFetch(const ConfigDelta &delta, TimeMs now) {
  const OfferResult result = applyConfig(delta);
  if (result == OfferResult::Refused)
    Fetch.endRefused(now);
  else if (result == OfferResult::NeedFull)
    Fetch.endForFull();
  else
    Fetch.end(Config.heldVersion(), now);
  StateChanges changes;
  changes.ConfigApplied = result == OfferResult::Applied;
  changes.ConfigRejected = result == OfferResult::Refused;
  return changes;
}

OfferResult MeshNode::applyConfig(const ConfigDelta &delta) {
  const OfferResult result = Config.offer(delta);
  if (result == OfferResult::Applied)
    WantFull = false;
  if (result == OfferResult::NeedFull)
    WantFull = true;
  return result;
}

bool MeshNode::mergeRecords(const std::vector<HostRecord> &records, const HostID &from,
                            TimeMs now) {
  bool changed = false;
  for (const HostRecord &record : records) {
    const bool outdated = record.Host == Identity.Host && record.Incarnation < Identity.Incarnation;
    if (outdated)
      continue;
    supersedeEarlierIncarnation(record);
    changed |= Hosts.merge(record, from, now);
  }
  refuteGoneRecord(now);
  return changed;
}

std::vector<HostRecord> MeshNode::introductionFor(const HostRecord &other,
                                                  const std::vector<HostID> &requested) const {
  std::set<HostID> selected(requested.begin(), requested.end());
  selected.insert(Identity.Host);
  for (const DataCentreName &dataCentre : {Identity.DataCentre, other.DataCentre}) {
    for (const HostID &root : rootsOf(Hosts.members(dataCentre), Shape))
      selected.insert(root);
  }
  for (const HostID &parent :
       treePositionOf(Hosts.members(other.DataCentre), other.Host, Shape).Parents)
    selected.insert(parent);
  // A host that is marked as gone has no link over which it would learn of it.
  selected.insert(other.Host);
  std::vector<HostRecord> records;
  for (const HostID &host : selected) {
    if (const HostRecord *record = Hosts.find(host); record != nullptr && *record != other)
      records.push_back(*record);
  }
  return records;
}

void MeshNode::supersedeEarlierIncarnation(const HostRecord &record) {
  const bool higher = record.Host == Identity.Host && record.Incarnation > Identity.Incarnation;
  if (!higher)
    return;
  // The clock was set back after the host's previous process started, so that one has the higher
  // incarnation.
  Identity.Incarnation = record.Incarnation + 1;
  Self.Incarnation = Identity.Incarnation;
}

bool MeshNode::isPartitioned(TimeMs now) const {
  std::size_t silent = 0;
  std::size_t active = 0;
  for (const auto &[peer, link] : Links) {
    const HostRecord *record = Hosts.find(peer);
    const bool alive = record != nullptr && record->State != HostState::Gone;
    if (!link.HasReceived || !alive ||
        now >= link.LastReceived + AbandonedLinkFactor * SilenceTimeout)
      continue;
    ++(now < link.LastReceived + SilenceTimeout ? active : silent);
  }
  const bool isolated = active == 0 && !Links.empty() && Hosts.size() > SmallMeshSize;
  return isolated || (silent >= 2 && silent > active);
}

void MeshNode::refuteGoneRecord(TimeMs now) {
  const HostRecord *known = Hosts.find(Identity.Host);
  if (known == nullptr)
    return;
  Self.ReplacedIncarnation = known->ReplacedIncarnation;
  if (Self.Departed.empty())
    Self.Departed = known->Departed;
  if (*known == Self)
    return;
  Self.Sequence = std::max(Self.Sequence, known->Sequence) + 1;
  Hosts.merge(Self, Identity.Host, now);
}

void MeshNode::compareDigests(const ExchangeMessage &message, Link &link) {
  const bool nothingInTransit = link.AckedCursor == Hosts.cursor() && message.Records.empty();
  if (!nothingInTransit || message.TableDigest == Hosts.digest()) {
    link.DigestMismatches = 0;
    return;
  }
  if (++link.DigestMismatches < MaxDigestMismatches)
    return;
  link.DigestMismatches = 0;
  // Requests the peer's whole table again. The peer detects the same mismatch and requests this
  // node's table.
  link.ReceivedCursor = 0;
}

void MeshNode::receiveAck(const ExchangeMessage &message, Link &link) const {
  if (!isAnsweredBy(message) || message.SeenCursor > Hosts.cursor())
    return;
  if (message.SeenCursor < link.AckedCursor)
    link.ResendUntil = Hosts.cursor();
  link.AckedCursor = message.SeenCursor;
}

StateChanges MeshNode::receiveMessage(const ExchangeMessage &message, TimeMs now) {
  StateChanges changes;
  Link &link = Links[message.Host];
  if (message.Incarnation < link.PeerIncarnation) {
    // A delayed message, or a process that started after its clock was set back. The next message
    // contains the peer's own record, to which such a process responds with a higher incarnation.
    link.AckedCursor = 0;
    link.ResendUntil = Hosts.cursor();
    return changes;
  }
  if (message.Incarnation > link.PeerIncarnation) {
    link = Link{};
    link.PeerIncarnation = message.Incarnation;
  }
  link.HasReceived = true;
  link.LastReceived = now;
  link.IsChild = message.Joining;
  link.PeerSummary = message.Summary;
  receiveAck(message, link);
  receiveHeldVersion(message, link, now);
  changes.TableChanged = mergeRecords(message.Records, message.Host, now);
  link.ReceivedCursor = std::max(link.ReceivedCursor, message.Cursor);
  compareDigests(message, link);
  for (const RolloutProgress &progress : message.Progress)
    changes.ProgressChanged |= updateProgress(progress);
  for (const Evacuation &evacuation : message.Evacuations)
    changes.EvacuationsChanged |= updateEvacuation(evacuation);
  const HostRecord *record = Hosts.find(message.Host);
  link.PeerSequence = record == nullptr ? 0 : record->Sequence;
  return changes;
}

bool MeshNode::updateProgress(const RolloutProgress &progress) {
  const auto [it, added] = Progress.try_emplace(progress.ID, progress);
  const bool changed = added || mergeProgress(it->second, progress);
  if (changed)
    ++ProgressEpoch;
  return changed;
}

bool MeshNode::updateEvacuation(const Evacuation &evacuation) {
  if (evacuation.DataCentre.empty())
    return false;
  const bool removed =
      !Evacuations.contains(evacuation.DataCentre) && evacuation.Active &&
      std::tie(evacuation.Era, evacuation.Revision) <= std::tie(ListedEra, ListedRevision);
  if (removed) {
    // The list lacked it; its sender learns that it was taken back.
    Evacuations[evacuation.DataCentre] = {evacuation.DataCentre, ListedEra, ListedRevision, false};
    ++ProgressEpoch;
    return true;
  }
  const auto [it, added] = Evacuations.try_emplace(evacuation.DataCentre, evacuation);
  const bool newer =
      std::tie(evacuation.Era, evacuation.Revision) > std::tie(it->second.Era, it->second.Revision);
  if (!added && !newer)
    return false;
  it->second = evacuation;
  ++ProgressEpoch;
  return true;
}

std::vector<DataCentreName> MeshNode::retainEvacuations(const std::set<DataCentreName> &listed,
                                                        std::uint64_t era, std::uint64_t revision) {
  if (std::tie(era, revision) > std::tie(ListedEra, ListedRevision)) {
    ListedEra = era;
    ListedRevision = revision;
  }
  std::vector<DataCentreName> takenBack;
  for (const auto &[dataCentre, evacuation] : Evacuations) {
    if (evacuation.Active && !listed.contains(dataCentre))
      takenBack.push_back(dataCentre);
  }
  std::erase_if(takenBack, [&](const DataCentreName &it) {
    return !updateEvacuation({it, era, revision, false});
  });
  return takenBack;
}

std::set<DataCentreName> MeshNode::evacuated() const {
  std::set<DataCentreName> active;
  for (const auto &[dataCentre, evacuation] : Evacuations) {
    if (evacuation.Active)
      active.insert(dataCentre);
  }
  return active;
}

void MeshNode::announce(HostState state, const ServiceName &service, const VersionLabel &version,
                        std::uint32_t slots, const std::string &upstream, TimeMs now) {
  HostRecord next = Self;
  next.State = state;
  next.Service = service;
  next.Version = version;
  next.Slots = slots;
  next.Upstream = upstream;
  if (next == Self)
    return;
  ++next.Sequence;
  Self = next;
  Hosts.merge(Self, Identity.Host, now);
}

void MeshNode::recordDeparture(const std::string &departed, TimeMs now) {
  if (Self.Departed == departed)
    return;
  Self.Departed = departed;
  refresh(now);
}

std::string MeshNode::departedAt(const HostID &host) const {
  const HostRecord *record = Hosts.find(host);
  return record == nullptr ? std::string() : record->Departed;
}

void MeshNode::leave(bool keysHandedOver, TimeMs now) {
  Self.State = HostState::Gone;
  Self.KeysHandedOver = keysHandedOver;
  ++Self.Sequence;
  Hosts.merge(Self, Identity.Host, now);
}

void MeshNode::refresh(TimeMs now) {
  ++Self.Sequence;
  Hosts.merge(Self, Identity.Host, now);
}

bool MeshNode::markGone(const HostID &host, TimeMs now) {
  const HostRecord *record = Hosts.find(host);
  if (record == nullptr || record->State == HostState::Gone || host == Identity.Host)
    return false;
  if (isPartitioned(now))
    return false;
  HostRecord gone = *record;
  gone.State = HostState::Gone;
  return Hosts.merge(gone, Identity.Host, now);
}

bool MeshNode::tick(TimeMs now) {
  bool changed = false;
  for (auto it = Links.begin(); it != Links.end();) {
    const Link &link = it->second;
    if (!link.IsChild || now < link.LastReceived + SilenceTimeout) {
      ++it;
      continue;
    }
    const HostRecord *record = Hosts.find(it->first);
    const bool unchanged = record != nullptr && record->Sequence == link.PeerSequence &&
                           record->Incarnation == link.PeerIncarnation;
    if (unchanged)
      changed |= markGone(it->first, now);
    it = Links.erase(it);
  }
  Hosts.expire(now);
  return changed;
}

void MeshNode::dropLink(const HostID &peer) { Links.erase(peer); }

TreePosition MeshNode::treePosition() const {
  return treePositionOf(Hosts.members(Identity.DataCentre), Identity.Host, Shape);
}

SubtreeSummary MeshNode::summary() const {
  SubtreeSummary sum;
  sum.Nodes = 1;
  sum.MinVersion = Config.heldVersion();
  const auto addLaggard = [&sum](const HostID &host) {
    if (sum.Laggards.size() < MaxLaggards)
      sum.Laggards.push_back(host);
  };
  for (const auto &[host, link] : Links) {
    if (!link.IsChild)
      continue;
    sum.Nodes += link.PeerSummary.Nodes;
    sum.MinVersion = std::min(sum.MinVersion, link.PeerSummary.MinVersion);
    if (link.PeerHeldVersion < Config.heldVersion())
      addLaggard(host);
    for (const HostID &laggard : link.PeerSummary.Laggards)
      addLaggard(laggard);
  }
  return sum;
}

ConfigVersion MeshNode::floorFor(const HostID &host) const {
  const auto it = AckedVersions.find(host);
  const ConfigVersion acknowledged = it == AckedVersions.end() ? 0 : it->second;
  return std::max(acknowledged, Config.heldVersion());
}

std::uint32_t MeshNode::childCount() const {
  return static_cast<std::uint32_t>(
      std::count_if(Links.begin(), Links.end(), [](const auto &it) { return it.second.IsChild; }));
}

bool MeshNode::acceptsChild(const HostID &peer) const {
  const Link *known = link(peer);
  return (known != nullptr && known->IsChild) || childCount() < MaxChildren;
}

const Link *MeshNode::link(const HostID &peer) const {
  const auto it = Links.find(peer);
  return it == Links.end() ? nullptr : &it->second;
}

} // namespace jasmineloom
