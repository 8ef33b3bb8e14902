/// @file operator_service.cpp RPC service for operators, available on every node.
#include "operator/operator_service.h"

#include "event_util.h"
#include "log.h"
#include "wire_func.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace jasmineloom {

namespace {

/// Larger meshes report status through the first root of each data centre only.
constexpr std::size_t MaxStatusNodes = 400;
constexpr DurationMs FanOutTimeout = 3 * MsPerSecond;

wire::Status wireStatus(ChangeStatus status) {
  switch (status) {
  case ChangeStatus::Accepted:
    return wire::Status::OK;
  case ChangeStatus::Refused:
    return wire::Status::REFUSED;
  case ChangeStatus::Conflict:
    return wire::Status::CONFLICT;
  case ChangeStatus::StoreUnavailable:
    return wire::Status::STORE_UNAVAILABLE;
  case ChangeStatus::Unknown:
    return wire::Status::UNKNOWN;
  }
  return wire::Status::UNKNOWN;
}

void writeOutcome(wire::Outcome::Builder to, const ChangeOutcome &outcome) {
  to.setStatus(wireStatus(outcome.Status));
  to.setMessage(outcome.Message);
  to.setVersion(outcome.Version);
}

/// Calls a function with a connection to each host, concurrently. Hosts that fail or exceed
/// FanOutTimeout are skipped.
kj::Promise<void>
fanOut(ControlTask &control, const std::vector<HostRecord> &hosts,
       std::function<kj::Promise<void>(const HostRecord &, std::shared_ptr<PeerConnection>)> call) {
  auto promises = kj::heapArrayBuilder<kj::Promise<void>>(hosts.size());
  for (const HostRecord &host : hosts) {
    auto queried = control.peers()
                       .get(host.RpcAddress)
                       .then([call, host](std::shared_ptr<PeerConnection> connection) {
                         return call(host, connection).attach(kj::cp(connection));
                       });
    promises.add(control.timer()
                     .timeoutAfter(FanOutTimeout * kj::MILLISECONDS, kj::mv(queried))
                     .catch_([host](kj::Exception &&exception) {
                       LOG4CXX_DEBUG(loggerOf("operator"),
                                     host.Host.str() << " did not respond to an operator request: "
                                                     << exception.getDescription().cStr());
                     }));
  }
  return kj::joinPromises(promises.finish());
}

std::vector<HostRecord> liveHosts(const HostTable &hosts) {
  std::vector<HostRecord> found;
  hosts.forEach([&found](const HostRecord &record, TimeMs) {
    if (record.State != HostState::Gone)
      found.push_back(record);
  });
  std::sort(found.begin(), found.end(),
            [](const HostRecord &left, const HostRecord &right) { return left.Host < right.Host; });
  return found;
}

/// @returns the first root of each data centre.
std::vector<HostRecord> firstRoots(const HostTable &hosts) {
  std::map<DataCentreName, std::vector<HostID>> members;
  for (const HostRecord &record : liveHosts(hosts))
    members[record.DataCentre].push_back(record.Host);
  std::vector<HostRecord> roots;
  for (const auto &[dataCentre, names] : members)
    roots.push_back(*hosts.find(rootsOf(names).front()));
  return roots;
}

/// Totals of the subtree summaries, to check whether a version is in force everywhere.
struct InForceTotals {
  std::uint32_t Nodes = 0;
  ConfigVersion MinVersion = ~ConfigVersion{0};
  std::set<HostID> Laggards;
};

/// Events gathered from several nodes.
struct EventSum {
  std::vector<TimelineEvent> Events;
};

} // namespace

kj::Promise<void> OperatorService::apply(ApplyContext context) {
  const auto params = context.getParams();
  auto declared =
      std::make_shared<std::vector<ConfigObject>>(readDeclarations(params.getDeclarations()));
  ChangeRequest request;
  request.Operation = OperationID(wireText(params.getOperationId()));
  request.Author = wireText(params.getAuthor());
  request.Summary = absl::StrCat("apply of ", declared->size(), " objects");
  request.BaseVersion = params.getBaseVersion();
  request.DryRun = params.getDryRun();
  request.Change = [declared](const Snapshot &base) { return applyDeclarations(base, *declared); };
  auto changes = std::make_shared<std::vector<std::string>>();
  return Control.runChange(std::move(request), changes.get())
      .then([context, changes](ChangeOutcome outcome) mutable {
        auto results = context.getResults();
        writeOutcome(results.initOutcome(), outcome);
        auto list = results.initChanges(static_cast<unsigned>(changes->size()));
        unsigned n = 0;
        for (const std::string &line : *changes)
          list.set(n++, line);
      });
}

kj::Promise<void> OperatorService::startRollout(StartRolloutContext context) {
  const auto params = context.getParams();
  const RolloutSpec spec = readRollout(params.getRollout());
  bool announced = false;
  Control.node().hosts().forEach([&](const HostRecord &record, TimeMs) {
    announced |= record.State == HostState::Ready && record.Service == spec.Service &&
                 record.Version == spec.To;
  });
  if (!announced) {
    ChangeOutcome outcome{ChangeStatus::Refused,
                          absl::StrCat("no upstream of service \"", spec.Service.str(),
                                       "\" has announced version \"", spec.To.str(), "\""),
                          0, nullptr};
    writeOutcome(context.getResults().initOutcome(), outcome);
    return kj::READY_NOW;
  }
  ChangeRequest request;
  request.Operation = OperationID(wireText(params.getOperationId()));
  request.Author = wireText(params.getAuthor());
  request.Summary =
      absl::StrCat("rollout ", spec.ID.str(), " of ", spec.Service.str(), " to ", spec.To.str());
  const TimeMs now = wallClockMs();
  request.Change = [spec, now](const Snapshot &base) { return addRollout(base, spec, now); };
  return Control.runChange(std::move(request), nullptr)
      .then([context](ChangeOutcome outcome) mutable {
        writeOutcome(context.getResults().initOutcome(), outcome);
      });
}

kj::Promise<void> OperatorService::abortRollout(AbortRolloutContext context) {
  const RolloutID id(wireText(context.getParams().getId()));
  auto outcome = context.getResults().initOutcome();
  const SnapshotPtr &held = Control.node().config().held();
  if (!held || findRollout(*held, id) == nullptr) {
    outcome.setStatus(wire::Status::REFUSED);
    outcome.setMessage(absl::StrCat("rollout \"", id.str(), "\" is not running"));
    return kj::READY_NOW;
  }
  RolloutProgress progress;
  const RolloutSpec *spec = findRollout(*held, id);
  progress.ID = id;
  progress.Service = spec->Service;
  progress.To = spec->To;
  progress.Phase = RolloutPhase::TakenBack;
  progress.Reason = "aborted: " + wireText(context.getParams().getReason());
  progress.Time = wallClockMs();
  const bool changed = Control.node().updateProgress(progress);
  outcome.setStatus(wire::Status::OK);
  outcome.setMessage(changed ? "taken back" : "was taken back before");
  if (changed) {
    Control.recordEvent("rollout", id.str(), "taken back: " + progress.Reason);
    StateChanges effect;
    effect.ProgressChanged = true;
    Control.propagateChanges(effect);
  }
  return kj::READY_NOW;
}

kj::Promise<void> OperatorService::rollouts(RolloutsContext context) {
  const SnapshotPtr held = Control.node().config().held();
  const auto &progress = Control.node().progress();
  std::vector<RolloutSpec> specs;
  if (held) {
    for (const RolloutSpec *spec : rolloutsOf(*held))
      specs.push_back(*spec);
  }
  for (const auto &[id, it] : progress) {
    const bool listed = std::any_of(specs.begin(), specs.end(),
                                    [&id = id](const RolloutSpec &spec) { return spec.ID == id; });
    if (listed)
      continue;
    RolloutSpec ended;
    ended.ID = id;
    ended.Service = it.Service;
    ended.To = it.To;
    specs.push_back(ended);
  }
  auto list = context.getResults().initRollouts(static_cast<unsigned>(specs.size()));
  unsigned n = 0;
  for (const RolloutSpec &spec : specs) {
    auto to = list[n++];
    writeRollout(to.initRollout(), spec);
    RolloutProgress state;
    const auto it = progress.find(spec.ID);
    if (it != progress.end())
      state = it->second;
    writeProgress(to.initProgress(), state);
    if (spec.Deadline > spec.Start)
      to.setSharePerMille(newVersionShare(spec, state, wallClockMs()));
  }
  return kj::READY_NOW;
}

kj::Promise<void> OperatorService::get(GetContext context) {
  const SnapshotPtr held = Control.node().config().held();
  if (!held)
    return kj::READY_NOW;
  context.getResults().setVersion(held->Version);
  writeDeclarations(context.getResults().initDeclarations(), *held);
  return kj::READY_NOW;
}

kj::Promise<void> OperatorService::history(HistoryContext context) {
  return Control.store().send(StoreRead{HeadKey}).then([context](StoreResponse response) mutable {
    auto results = context.getResults();
    auto outcome = results.initOutcome();
    if (response.Result != StoreResult::Ok) {
      outcome.setStatus(wire::Status::STORE_UNAVAILABLE);
      outcome.setMessage("the store did not respond");
      return;
    }
    if (response.Entries.empty())
      return;
    const absl::StatusOr<Head> head = decodeHead(response.Entries.front().Value);
    if (!head.ok()) {
      outcome.setStatus(wire::Status::REFUSED);
      outcome.setMessage("the head in the store can't be decoded");
      return;
    }
    auto list = results.initOperations(static_cast<unsigned>(head->Operations.size()));
    unsigned n = 0;
    for (const OperationRecord &operation : head->Operations) {
      list[n].setId(operation.ID.str());
      list[n].setVersion(operation.Version);
      list[n].setAuthor(operation.Author);
      list[n].setSummary(operation.Summary);
      list[n++].setTimeMs(operation.Time);
    }
  });
}

kj::Promise<void> OperatorService::inForce(InForceContext context) {
  const ConfigVersion version = context.getParams().getVersion();
  const auto expected = static_cast<std::uint32_t>(liveHosts(Control.node().hosts()).size());
  auto totals = std::make_shared<InForceTotals>();
  const auto query = [totals, version](const HostRecord &,
                                       std::shared_ptr<PeerConnection> connection) {
    return connection->Operator.nodeStatusRequest().send().then([totals, version](auto &&response) {
      const auto node = response.getNode();
      const SubtreeSummary summary = readSummary(node.getSummary());
      totals->Nodes += summary.Nodes;
      totals->MinVersion = std::min(totals->MinVersion, summary.MinVersion);
      totals->Laggards.insert(summary.Laggards.begin(), summary.Laggards.end());
      if (node.getHeldVersion() < version)
        totals->Laggards.insert(HostID(wireText(node.getHost())));
    });
  };
  return fanOut(Control, firstRoots(Control.node().hosts()), query)
      .then([context, totals, expected, version]() mutable {
        auto results = context.getResults();
        results.setNodes(totals->Nodes);
        results.setExpected(expected);
        results.setEverywhere(totals->Nodes >= expected && totals->Nodes > 0 &&
                              totals->MinVersion >= version);
        auto list = results.initLaggards(static_cast<unsigned>(totals->Laggards.size()));
        unsigned n = 0;
        for (const HostID &host : totals->Laggards)
          list.set(n++, host.str());
      });
}

kj::Promise<void> OperatorService::status(StatusContext context) {
  const std::vector<HostRecord> hosts = liveHosts(Control.node().hosts());
  auto hostList = context.getResults().initHosts(static_cast<unsigned>(hosts.size()));
  unsigned n = 0;
  for (const HostRecord &host : hosts)
    writeRecord(hostList[n++], host);
  const std::vector<HostRecord> queried =
      hosts.size() <= MaxStatusNodes ? hosts : firstRoots(Control.node().hosts());
  using NodeResponse = capnp::Response<wire::Operator::NodeStatusResults>;
  auto responses = std::make_shared<std::map<HostID, NodeResponse>>();
  const auto query = [responses](const HostRecord &host,
                                 std::shared_ptr<PeerConnection> connection) {
    return connection->Operator.nodeStatusRequest().send().then(
        [responses, id = host.Host](NodeResponse response) {
          responses->emplace(id, kj::mv(response));
        });
  };
  return fanOut(Control, queried, query).then([context, responses]() mutable {
    auto list = context.getResults().initNodes(static_cast<unsigned>(responses->size()));
    unsigned n = 0;
    for (auto &[id, response] : *responses)
      list.setWithCaveats(n++, response.getNode());
  });
}

kj::Promise<void> OperatorService::timeline(TimelineContext context) {
  const auto &events = Control.timeline().events();
  auto list = context.getResults().initEvents(static_cast<unsigned>(events.size()));
  unsigned n = 0;
  for (const TimelineEvent &event : events)
    writeEvent(list[n++], event);
  context.getResults().setNowUs(wallClockUs());
  return kj::READY_NOW;
}

kj::Promise<void> OperatorService::nodeStatus(NodeStatusContext context) {
  Control.writeStatus(context.getResults().initNode());
  return kj::READY_NOW;
}

kj::Promise<void> OperatorService::setLogLevel(SetLogLevelContext context) {
  const absl::Status status = jasmineloom::setLogLevel(wireText(context.getParams().getLevel()));
  auto outcome = context.getResults().initOutcome();
  outcome.setStatus(status.ok() ? wire::Status::OK : wire::Status::REFUSED);
  outcome.setMessage(std::string(status.message()));
  return kj::READY_NOW;
}

kj::Promise<void> OperatorService::explain(ExplainContext context) {
  const auto params = context.getParams();
  const ExplainQuery query{wireText(params.getHost()), wireText(params.getPath()),
                           WorkspaceName(wireText(params.getWorkspace())), params.getBytes()};
  return Control.explain(query).then([this, context](Explanation explanation) mutable {
    auto to = context.getResults().initExplanation();
    writeExplanation(to, explanation);
    to.setHost(Control.settings().Identity.Host.str());
  });
}

kj::Promise<void> OperatorService::drain(DrainContext context) {
  Control.drain("operator");
  context.getResults().initOutcome().setMessage("draining");
  return kj::READY_NOW;
}

} // namespace jasmineloom
