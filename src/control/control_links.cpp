/// @file control_links.cpp Tree position, links, seeds, and probes of hosts for failure detection.
#include "control/control_task.h"

#include "event_util.h"
#include "mesh/link_task.h"
#include "wire_func.h"
#include "wire_list.h"

#include <algorithm>
#include <iterator>

namespace jasmineloom {

namespace {

constexpr std::uint32_t MaxProbeFailures = 3;
/// Time for which a gone host is still contacted: it may have restarted with no other way to find
/// the mesh.
constexpr DurationMs GoneContactTime = 60 * MsPerSecond;
/// Period in which a node that knows no other host contacts seeds, before jitter.
constexpr DurationMs AloneSeedPeriod = 300;
/// Seeds that are contacted at a time; the others follow in later periods.
constexpr std::size_t MaxSeedContacts = 8;

} // namespace

void ControlTask::updateTreePosition() {
  if (TreeCursor != Node.hosts().cursor()) {
    TreeCursor = Node.hosts().cursor();
    const TreePosition next = Node.treePosition();
    if (next.Root != Position.Root)
      recordEvent("link", "place", next.Root ? "root of the data centre" : "below a parent");
    Position = next;
    updateRemoteRoots();
  }
  reconcileLinks();
}

void ControlTask::updateRemoteRoots() {
  RemoteRoots.clear();
  if (!Position.Root)
    return;
  Node.hosts().forEach([this](const HostRecord &record, TimeMs) {
    if (record.State != HostState::Gone && record.DataCentre < Settings.Identity.DataCentre)
      RemoteRoots[record.DataCentre].push_back(record.Host);
  });
  for (auto &[dataCentre, members] : RemoteRoots)
    members = rootsOf(std::move(members), Settings.Tree);
}

void ControlTask::scheduleTreeUpdate() {
  if (TreeUpdatePending)
    return;
  TreeUpdatePending = true;
  // Deferred, because a link's own callback may call this and the update may destroy that link.
  spawn(kj::evalLater([this] {
          TreeUpdatePending = false;
          updateTreePosition();
        }),
        "place");
}

bool ControlTask::failedRecently(const HostID &peer) const {
  const auto it = LinkFailures.find(peer);
  return it != LinkFailures.end() && steadyClockMs() < it->second + Settings.Times.LinkRetryDelay;
}

void ControlTask::ensureLink(const HostID &peer, bool joining, std::set<HostID> &wanted) {
  wanted.insert(peer);
  const HostRecord *record = Node.hosts().find(peer);
  if (record == nullptr || failedRecently(peer))
    return;
  const auto it = Links.find(peer);
  const bool same = it != Links.end() && it->second->joining() == joining &&
                    it->second->address() == record->RpcAddress;
  if (!same)
    Links[peer] = std::make_unique<LinkTask>(*this, peer, record->RpcAddress, joining);
}

void ControlTask::reconcileLinks() {
  std::set<HostID> wanted;
  if (!Position.Root) {
    // Keeps a working parent, or else takes the first candidate that has not failed recently.
    HostID parent;
    for (const HostID &candidate : Position.Parents) {
      if (parent.empty() && !failedRecently(candidate))
        parent = candidate;
    }
    for (const HostID &candidate : Position.Parents) {
      const auto it = Links.find(candidate);
      if (it != Links.end() && it->second->joining() && !failedRecently(candidate))
        parent = candidate;
    }
    if (!parent.empty())
      ensureLink(parent, true, wanted);
  }
  if (Position.Root) {
    for (const HostID &other : Position.Parents)
      ensureLink(other, other == Position.Parents.front(), wanted);
  }
  if (usesStore(steadyClockMs())) {
    for (const auto &[dataCentre, remote] : RemoteRoots) {
      std::vector<HostID> roots = remote;
      std::erase_if(roots, [this](const HostID &it) { return failedRecently(it); });
      if (roots.size() > StoreRoots)
        roots.resize(StoreRoots);
      const HostID peer = chooseRemoteRoot(roots, Settings.Identity.Host);
      if (!peer.empty())
        ensureLink(peer, false, wanted);
    }
  }
  for (auto it = Links.begin(); it != Links.end();) {
    if (wanted.contains(it->first)) {
      ++it;
      continue;
    }
    const HostID peer = it->first;
    spawn(it->second->leave(), "leave");
    it = Links.erase(it);
    if (const Link *link = Node.link(peer); link != nullptr && !link->IsChild)
      Node.dropLink(peer);
  }
}

void ControlTask::handleLinkFailure(const HostID &peer, const std::string &reason) {
  recordEvent("link", peer.str(), "failed: " + reason);
  ++LinkFailureCount;
  LinkFailures[peer] = steadyClockMs();
  const auto it = Links.find(peer);
  if (it != Links.end())
    Peers.drop(it->second->address());
  // Called from the link's own promise, so the link is destroyed on a later turn of the event loop.
  spawn(kj::evalLater([this, peer] {
          const auto failed = Links.find(peer);
          if (failed != Links.end() && failedRecently(peer))
            Links.erase(failed);
          reconcileLinks();
        }),
        "link");
}

void ControlTask::contactSeeds() {
  const TimeMs now = steadyClockMs();
  if (now < NextSeeds)
    return;
  const bool alone = Node.hosts().size() == 1;
  // A node without a working link does not learn that its parents are gone.
  const bool isolated = allLinksSilent(now);
  if (!Position.Root && !isolated)
    return;
  NextSeeds = alone ? now + AloneSeedPeriod + randomBelow(AloneSeedPeriod)
                    : now + Settings.Times.SeedPeriod + randomBelow(Settings.Times.SeedPeriod / 2);
  std::vector<std::string> seeds = seedsToContact(isolated, now);
  std::shuffle(seeds.begin(), seeds.end(), Random);
  if (seeds.size() > MaxSeedContacts)
    seeds.resize(MaxSeedContacts);
  for (const std::string &seed : seeds)
    spawn(introduceTo(seed), "seed");
}

std::vector<std::string> ControlTask::seedsToContact(bool isolated, TimeMs now) const {
  std::set<std::string> seeds = DiscoveredSeeds;
  seeds.insert(Settings.Seeds.begin(), Settings.Seeds.end());
  std::set<std::string> known = {Settings.Identity.RpcAddress};
  Node.hosts().forEach([&](const HostRecord &record, TimeMs goneAt) {
    const bool gone = record.State == HostState::Gone;
    if (!gone && !isolated)
      known.insert(record.RpcAddress);
    else if (!gone || now < goneAt + GoneContactTime)
      seeds.insert(record.RpcAddress);
  });
  std::vector<std::string> found;
  std::set_difference(seeds.begin(), seeds.end(), known.begin(), known.end(),
                      std::back_inserter(found));
  return found;
}

kj::Promise<void> ControlTask::introduceTo(const std::string &address) {
  return Peers.get(address).then([this](std::shared_ptr<PeerConnection> connection) {
    auto request = connection->Peer.introduceRequest();
    writeRecord(request.initRecord(), Node.self());
    auto parents = request.initParents(static_cast<unsigned>(Position.Parents.size()));
    unsigned n = 0;
    for (const HostID &parent : Position.Parents)
      parents.set(n++, parent.str());
    return request.send().then([this, connection](auto &&response) {
      std::vector<HostRecord> records;
      for (const auto record : limitedList(response.getRecords(), MaxRecordsPerMessage))
        records.push_back(readRecord(record));
      mergeIntroduction(records, HostID());
    });
  });
}

void ControlTask::mergeIntroduction(const std::vector<HostRecord> &records, const HostID &from) {
  StateChanges changes;
  changes.TableChanged = Node.mergeRecords(records, from, steadyClockMs());
  propagateChanges(changes);
}

std::vector<HostRecord> ControlTask::receiveIntroduction(const HostRecord &caller,
                                                         const std::vector<HostID> &requested) {
  const bool unknown = Node.hosts().find(caller.Host) == nullptr;
  mergeIntroduction({caller}, caller.Host);
  // Without a link this node may know of no other host of the mesh.
  if (unknown && allLinksSilent(steadyClockMs()))
    spawn(introduceTo(caller.RpcAddress), "seed");
  return Node.introductionFor(caller, requested);
}

kj::Promise<void> ControlTask::probeHost() {
  std::vector<HostRecord> others;
  Node.hosts().forEach([&](const HostRecord &record, TimeMs) {
    const bool candidate = record.State != HostState::Gone &&
                           record.DataCentre == Settings.Identity.DataCentre &&
                           record.Host != Settings.Identity.Host;
    const Link *link = Node.link(record.Host);
    if (candidate && (link == nullptr || !link->IsChild))
      others.push_back(record);
  });
  if (others.empty())
    return kj::READY_NOW;
  // Prefers hosts whose last probe failed over a random one.
  HostRecord chosen = others[randomBelow(others.size())];
  for (const HostRecord &record : others) {
    if (ProbeFailures.contains(record.Host))
      chosen = record;
  }
  auto probe = Peers.get(chosen.RpcAddress).then([](std::shared_ptr<PeerConnection> connection) {
    return connection->Peer.pingRequest().send().then([connection](auto &&) {});
  });
  return timer()
      .timeoutAfter(Settings.Times.ProbeTimeout * kj::MILLISECONDS, kj::mv(probe))
      .then([this, host = chosen.Host] { ProbeFailures.erase(host); })
      .catch_([this, chosen](kj::Exception &&) {
        if (++ProbeFailures[chosen.Host] < MaxProbeFailures)
          return;
        ProbeFailures.erase(chosen.Host);
        StateChanges changes;
        changes.TableChanged = Node.markGone(chosen.Host, steadyClockMs());
        if (changes.TableChanged)
          recordEvent("host", chosen.Host.str(), "did not respond to probes; marked as gone");
        propagateChanges(changes);
      });
}

} // namespace jasmineloom
