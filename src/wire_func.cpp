/// @file wire_func.cpp Conversion of messages between nodes to and from Cap'n Proto.
#include "wire_func.h"

#include "config/config_func.h"
#include "wire_list.h"

namespace jasmineloom {

namespace {
unsigned sizeOf(std::size_t n) { return static_cast<unsigned>(n); }

void writeEvacuation(wire::Evacuation::Builder to, const Evacuation &evacuation) {
  to.setDataCentre(evacuation.DataCentre.str());
  to.setEra(evacuation.Era);
  to.setRevision(evacuation.Revision);
  to.setActive(evacuation.Active);
}

Evacuation readEvacuation(wire::Evacuation::Reader from) {
  return {DataCentreName(wireText(from.getDataCentre())), from.getEra(), from.getRevision(),
          from.getActive()};
}
void writeTexts(capnp::List<capnp::Text>::Builder to, const std::vector<std::string> &texts) {
  unsigned n = 0;
  for (const std::string &text : texts)
    to.set(n++, text);
}

void writeExplainedHost(wire::ExplainedHost::Builder to, const ExplainedHost &host) {
  to.setHost(host.Host.str());
  to.setDataCentre(host.DataCentre.str());
  to.setVersion(host.Version.str());
  to.setSlots(host.Slots);
  to.setOccupancy(host.Occupancy);
  to.setServiceMs(host.ServiceMs);
  to.setFailurePerMille(host.FailurePerMille);
  if (host.ReportAge.has_value())
    to.setReportAgeMs(static_cast<std::int64_t>(*host.ReportAge));
  to.setChancePerMille(host.ChancePerMille);
  writeTexts(to.initExcluded(sizeOf(host.Excluded.size())), host.Excluded);
}

void writeExplainedService(wire::ExplainedService::Builder to, const ExplainedService &service) {
  to.setService(service.Service.str());
  to.setSharePerMille(service.SharePerMille);
  to.setVersion(service.Version.str());
  to.setNewVersion(service.NewVersion.str());
  to.setNewSharePerMille(service.NewSharePerMille);
  auto hosts = to.initHosts(sizeOf(service.Hosts.size()));
  unsigned n = 0;
  for (const ExplainedHost &host : service.Hosts)
    writeExplainedHost(hosts[n++], host);
}

} // namespace

void writeRecord(wire::HostRecord::Builder to, const HostRecord &record) {
  to.setHost(record.Host.str());
  to.setIncarnation(record.Incarnation);
  to.setSequence(record.Sequence);
  to.setState(static_cast<wire::HostState>(record.State));
  to.setDataCentre(record.DataCentre.str());
  to.setRpcAddress(record.RpcAddress);
  to.setGateAddress(record.GateAddress);
  to.setService(record.Service.str());
  to.setVersion(record.Version.str());
  to.setSlots(record.Slots);
  to.setReplaced(record.ReplacedIncarnation);
  to.setHandedOver(record.KeysHandedOver);
  to.setUpstream(record.Upstream);
  to.setDeparted(record.Departed);
  to.setCapacity(record.Capacity);
}

HostRecord readRecord(wire::HostRecord::Reader from) {
  HostRecord record;
  record.Host = HostID(wireText(from.getHost()));
  record.Incarnation = from.getIncarnation();
  record.Sequence = from.getSequence();
  record.State = static_cast<HostState>(from.getState());
  KJ_REQUIRE(record.State <= HostState::Gone, "the message has an unknown host state");
  record.DataCentre = DataCentreName(wireText(from.getDataCentre()));
  record.RpcAddress = wireText(from.getRpcAddress());
  record.GateAddress = wireText(from.getGateAddress());
  record.Service = ServiceName(wireText(from.getService()));
  record.Version = VersionLabel(wireText(from.getVersion()));
  record.Slots = from.getSlots();
  record.ReplacedIncarnation = from.getReplaced();
  record.KeysHandedOver = from.getHandedOver();
  record.Upstream = wireText(from.getUpstream());
  record.Departed = wireText(from.getDeparted());
  record.Capacity = from.getCapacity();
  return record;
}

void writeProgress(wire::RolloutProgress::Builder to, const RolloutProgress &progress) {
  to.setId(progress.ID.str());
  to.setPhase(static_cast<wire::RolloutPhase>(progress.Phase));
  to.setStage(progress.Stage);
  to.setReason(progress.Reason);
  to.setTimeMs(progress.Time);
  to.setService(progress.Service.str());
  to.setToVersion(progress.To.str());
  to.setSuspectUntilMs(progress.SuspectUntil);
  to.setOrder(progress.Order);
  to.setDurationMs(progress.Duration);
  to.setEra(progress.Era);
  to.setRecorded(progress.Recorded);
}

RolloutProgress readProgress(wire::RolloutProgress::Reader from) {
  return {RolloutID(wireText(from.getId())),
          static_cast<RolloutPhase>(from.getPhase()),
          from.getStage(),
          wireText(from.getReason()),
          from.getTimeMs(),
          ServiceName(wireText(from.getService())),
          VersionLabel(wireText(from.getToVersion())),
          from.getSuspectUntilMs(),
          from.getOrder(),
          from.getDurationMs(),
          from.getEra(),
          from.getRecorded()};
}

void writeEvidence(wire::EvidenceReport::Builder to, const EvidenceReport &report) {
  to.setRollout(report.Rollout.str());
  to.setHost(report.Host.str());
  to.setIncarnation(report.Incarnation);
  to.setBucket(report.Bucket);
  to.setAge(report.Age);
  auto list = to.initCounts(sizeOf(report.Counts.size()));
  unsigned n = 0;
  for (const auto &[key, counts] : report.Counts) {
    auto it = list[n++];
    it.setRoute(key.Route.str());
    it.setVersion(key.Version.str());
    it.setRequests(counts.Requests);
    it.setFailures(counts.Failures);
    std::vector<std::uint32_t> pairs;
    for (std::uint32_t bucket = 0; bucket < LatencyBuckets; ++bucket) {
      if (counts.Latency[bucket] != 0)
        pairs.insert(pairs.end(), {bucket, counts.Latency[bucket]});
    }
    it.setLatency(kj::arrayPtr(pairs.data(), pairs.size()));
  }
}

EvidenceReport readEvidence(wire::EvidenceReport::Reader from) {
  EvidenceReport report;
  report.Rollout = RolloutID(wireText(from.getRollout()));
  report.Host = HostID(wireText(from.getHost()));
  report.Incarnation = from.getIncarnation();
  report.Bucket = from.getBucket();
  report.Age = from.getAge();
  for (auto it : limitedList(from.getCounts(), MaxListedObjects)) {
    VersionCounts &counts =
        report
            .Counts[{RouteName(wireText(it.getRoute())), VersionLabel(wireText(it.getVersion()))}];
    counts.Requests = it.getRequests();
    counts.Failures = it.getFailures();
    const auto pairs = it.getLatency();
    for (unsigned n = 0; n + 1 < pairs.size(); n += 2) {
      if (pairs[n] < LatencyBuckets)
        counts.Latency[pairs[n]] = pairs[n + 1];
    }
  }
  return report;
}

void writeSummary(wire::SubtreeSummary::Builder to, const SubtreeSummary &summary) {
  to.setNodes(summary.Nodes);
  to.setMinVersion(summary.MinVersion);
  auto laggards = to.initLaggards(sizeOf(summary.Laggards.size()));
  unsigned n = 0;
  for (const HostID &host : summary.Laggards)
    laggards.set(n++, host.str());
}

SubtreeSummary readSummary(wire::SubtreeSummary::Reader from) {
  SubtreeSummary summary;
  summary.Nodes = from.getNodes();
  summary.MinVersion = from.getMinVersion();
  for (auto host : limitedList(from.getLaggards(), MaxListedHosts))
    summary.Laggards.emplace_back(wireText(host));
  return summary;
}

void writeEvent(wire::TimelineEvent::Builder to, const TimelineEvent &event) {
  to.setTimeUs(event.TimeUs);
  to.setHost(event.Host.str());
  to.setKind(event.Kind);
  to.setSubject(event.Subject);
  to.setVersion(event.Version);
  to.setText(event.Text);
}

TimelineEvent readEvent(wire::TimelineEvent::Reader from) {
  return {from.getTimeUs(),         HostID(wireText(from.getHost())),
          wireText(from.getKind()), wireText(from.getSubject()),
          from.getVersion(),        wireText(from.getText())};
}

void writeExchange(wire::Exchange::Builder to, const ExchangeMessage &message) {
  to.setHost(message.Host.str());
  to.setIncarnation(message.Incarnation);
  to.setHeldVersion(message.HeldVersion);
  to.setHeldDigest(message.HeldDigest);
  to.setKnownVersion(message.KnownVersion);
  to.setCursor(message.Cursor);
  to.setSeenCursor(message.SeenCursor);
  to.setSeenIncarnation(message.SeenIncarnation);
  to.setTableDigest(message.TableDigest);
  to.setJoining(message.Joining);
  unsigned n = 0;
  if (!message.Records.empty()) {
    auto records = to.initRecords(sizeOf(message.Records.size()));
    for (const HostRecord &record : message.Records)
      writeRecord(records[n++], record);
  }
  if (!message.Progress.empty()) {
    n = 0;
    auto progress = to.initProgress(sizeOf(message.Progress.size()));
    for (const RolloutProgress &it : message.Progress)
      writeProgress(progress[n++], it);
  }
  if (!message.Evacuations.empty()) {
    n = 0;
    auto evacuations = to.initEvacuations(sizeOf(message.Evacuations.size()));
    for (const Evacuation &it : message.Evacuations)
      writeEvacuation(evacuations[n++], it);
  }
  to.setClockMs(message.Clock);
  to.setEchoMs(message.Echo);
  to.setProofAgeMs(message.ProofAge);
  to.setProofVersion(message.ProofVersion);
  to.setProofEra(message.ProofEra);
  to.setStoreSilent(message.StoreSilent);
  to.setCoveredEra(message.CoveredEra);
  writeSummary(to.initSummary(), message.Summary);
}

ExchangeMessage readExchange(wire::Exchange::Reader from) {
  ExchangeMessage message;
  message.Host = HostID(wireText(from.getHost()));
  message.Incarnation = from.getIncarnation();
  message.HeldVersion = from.getHeldVersion();
  message.HeldDigest = from.getHeldDigest();
  message.KnownVersion = from.getKnownVersion();
  message.Cursor = from.getCursor();
  message.SeenCursor = from.getSeenCursor();
  message.SeenIncarnation = from.getSeenIncarnation();
  message.TableDigest = from.getTableDigest();
  message.Joining = from.getJoining();
  for (auto record : limitedList(from.getRecords(), MaxRecordsPerMessage))
    message.Records.push_back(readRecord(record));
  for (auto progress : limitedList(from.getProgress(), MaxListedObjects))
    message.Progress.push_back(readProgress(progress));
  for (auto evacuation : limitedList(from.getEvacuations(), MaxListedObjects))
    message.Evacuations.push_back(readEvacuation(evacuation));
  message.Clock = from.getClockMs();
  message.Echo = from.getEchoMs();
  message.ProofAge = from.getProofAgeMs();
  message.ProofVersion = from.getProofVersion();
  message.ProofEra = from.getProofEra();
  message.StoreSilent = from.getStoreSilent();
  message.CoveredEra = from.getCoveredEra();
  message.Summary = readSummary(from.getSummary());
  return message;
}

void writeExplanation(wire::Explanation::Builder to, const Explanation &explanation) {
  to.setVersion(explanation.Version);
  to.setRoute(explanation.Route.str());
  writeTexts(to.initNotes(sizeOf(explanation.Notes.size())), explanation.Notes);
  auto services = to.initServices(sizeOf(explanation.Services.size()));
  unsigned n = 0;
  for (const ExplainedService &it : explanation.Services)
    writeExplainedService(services[n++], it);
}

} // namespace jasmineloom
