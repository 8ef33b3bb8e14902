/// @file decision_bench.cpp Cost of decisions, memory use and message sizes at the design size of
/// the mesh.
#include "admission/gate_base.h"
#include "balance/placement.h"
#include "mesh/mesh_node.h"
#include "traffic/key_table.h"
#include "wire_func.h"

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <functional>
#include <unistd.h>

namespace {

using namespace jasmineloom;

constexpr int DataCentres = 18;

double steadySeconds() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

/// @returns resident set size in MB.
double residentMb() {
  std::ifstream file("/proc/self/statm");
  long total = 0;
  long resident = 0;
  file >> total >> resident;
  return static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

/// @param changedService service whose route gets another worth than all others; empty: none.
SnapshotPtr makeTestSnapshot(int services, ConfigVersion version,
                             const std::string &changedService) {
  std::vector<ConfigObjectPtr> objects;
  for (int n = 0; n < services; ++n) {
    const std::string name = "service-" + std::to_string(n);
    objects.push_back(
        std::make_shared<const ConfigObject>(ServiceSpec{ServiceName(name), VersionLabel("v1")}));
    RouteSpec route;
    route.Name = RouteName("route-" + std::to_string(n));
    route.Prefix = "/" + name;
    route.Service = ServiceName(name);
    route.Worth = name == changedService ? 7 : 1;
    objects.push_back(std::make_shared<const ConfigObject>(route));
  }
  return makeSnapshot(version, objects);
}

HostRecord makeHost(int n, int services) {
  HostRecord record;
  record.Host = HostID("dc" + std::to_string(n % DataCentres) + "-host-" + std::to_string(n));
  record.Incarnation = 1700000000000ULL + static_cast<std::uint64_t>(n);
  record.Sequence = 2;
  record.State = HostState::Ready;
  record.DataCentre = DataCentreName("dc" + std::to_string(n % DataCentres));
  record.RpcAddress = "10.1." + std::to_string(n / 250) + "." + std::to_string(n % 250) + ":8082";
  record.GateAddress = "10.1." + std::to_string(n / 250) + "." + std::to_string(n % 250) + ":8081";
  record.Service = ServiceName("service-" + std::to_string(n % services));
  record.Version = VersionLabel("v1");
  record.Slots = 12;
  return record;
}

std::vector<HostRecord> recordsOf(const HostTable &table) {
  std::vector<HostRecord> records;
  table.forEach([&](const HostRecord &record, TimeMs) { records.push_back(record); });
  return records;
}

std::size_t wireBytes(const ExchangeMessage &message) {
  capnp::MallocMessageBuilder builder;
  writeExchange(builder.initRoot<wire::Exchange>(), message);
  return capnp::computeSerializedSizeInWords(builder) * sizeof(capnp::word);
}

double meanNanoseconds(int count, const std::function<void(int)> &action) {
  const double begin = steadySeconds();
  for (int n = 0; n < count; ++n)
    action(n);
  return (steadySeconds() - begin) / count * 1e9;
}

double routeAndChooseNs(int services, int hosts) {
  HostTable table;
  for (int n = 0; n < hosts; ++n)
    table.merge(makeHost(n, services), HostID("peer"), 1);
  const auto view = buildRoutingView(*makeTestSnapshot(services, 1, ""), recordsOf(table), {},
                                     DataCentreName("dc0"));
  EndpointStats endpointStats;
  std::mt19937_64 random(1);
  std::vector<std::string> paths;
  for (int n = 0; n < 4096; ++n)
    paths.push_back("/service-" + std::to_string(random() % static_cast<unsigned>(services)) +
                    "/item/" + std::to_string(n));
  return meanNanoseconds(400000, [&](int n) {
    const RouteSpec *route = view->routeFor(paths[static_cast<std::size_t>(n) % paths.size()]);
    const Endpoint *endpoint = chooseEndpoint(*view->serviceNamed(route->Service), endpointStats,
                                              {}, random, 2000000000000ULL);
    endpointStats.recordSent(endpoint->Host);
    endpointStats.recordDone(endpoint->Host);
  });
}

} // namespace

int main() {
  constexpr int Services = 2300;
  constexpr int Hosts = 16000;
  const double rssStartMb = residentMb();
  MeshNode node({HostID("self"), 1, DataCentreName("dc0"), "10.0.0.1:1", "10.0.0.1:2"}, 1);
  node.applyConfig(diffSnapshots(nullptr, *makeTestSnapshot(Services, 1, "")));
  const double rssConfigMb = residentMb();
  ExchangeMessage tableMessage;
  tableMessage.Host = HostID("parent");
  tableMessage.Incarnation = 1;
  for (int n = 0; n < Hosts; ++n)
    tableMessage.Records.push_back(makeHost(n, Services));
  tableMessage.Cursor = Hosts;
  const std::size_t tableBytes = wireBytes(tableMessage);
  node.receiveMessage(tableMessage, 1);
  tableMessage.Records = {};
  const double rssHostsMb = residentMb();
  double viewSeconds = steadySeconds();
  const auto view =
      buildRoutingView(*node.config().held(), recordsOf(node.hosts()), {}, DataCentreName("dc0"));
  viewSeconds = steadySeconds() - viewSeconds;
  const double rssViewMb = residentMb();

  const HostID child("child");
  ExchangeMessage joinMessage;
  joinMessage.Host = child;
  joinMessage.Incarnation = 5;
  joinMessage.Joining = true;
  node.receiveMessage(joinMessage, 1);
  const std::size_t snapshotBytes = node.config().encodedDeltaFrom(0, 0)->Bytes.size();
  ExchangeMessage idleMessage = node.buildMessage(child, false);
  idleMessage.Records = {};
  const std::size_t idleBytes = wireBytes(idleMessage);
  double positionSeconds = steadySeconds();
  const TreePosition treePosition = node.treePosition();
  positionSeconds = steadySeconds() - positionSeconds;

  const SnapshotPtr held = node.config().held();
  double diffSeconds = steadySeconds();
  const ConfigDelta delta = diffSnapshots(held.get(), *makeTestSnapshot(Services, 2, "service-7"));
  diffSeconds = steadySeconds() - diffSeconds;
  const std::size_t routeChangeBytes = encodeDelta(delta).Bytes.size();
  double applySeconds = steadySeconds();
  node.applyConfig(delta);
  applySeconds = steadySeconds() - applySeconds;
  ExchangeMessage hostRestart = idleMessage;
  hostRestart.Records = {makeHost(3, Services)};
  const std::size_t hostRestartBytes = wireBytes(hostRestart) - idleBytes;
  capnp::MallocMessageBuilder objectBuilder;
  writeObject(objectBuilder.initRoot<wire::ConfigObject>(), *delta.Upserts.front());
  const std::size_t objectBytes =
      capnp::computeSerializedSizeInWords(objectBuilder) * sizeof(capnp::word);

  // Maximum number of children of one parent in a data centre of 890 hosts, each computing its own
  // position.
  std::vector<HostID> members;
  for (int n = 0; n < 890; ++n)
    members.emplace_back("host-" + std::to_string(n));
  std::map<HostID, int> children;
  for (const HostID &host : members) {
    const TreePosition position = treePositionOf(members, host);
    if (!position.Parents.empty())
      ++children[position.Parents.front()];
  }
  int maxChildren = 0;
  for (const auto &[host, n] : children)
    maxChildren = std::max(maxChildren, n);

  Gate gate;
  gate.setUpstream({ServiceName("s"), VersionLabel("v1"), 12});
  GateRequest request{1, ServiceName("s"), VersionLabel("v1"), 1, 1000, 7};
  const double gateNs = meanNanoseconds(1000000, [&](int) {
    gate.admit(request, 1);
    gate.finish(1);
  });
  KeyTable keys;
  const double keysBefore = residentMb();
  const double keyNs = meanNanoseconds(
      static_cast<int>(MaxKeys), [&](int n) { keys.claim(static_cast<std::uint64_t>(n), 1); });
  const double keysMb = residentMb() - keysBefore;
  const double routingNs = routeAndChooseNs(Services, Hosts);
  const double routingTenfoldNs = routeAndChooseNs(Services, Hosts * 10);

  std::printf("{\"services\": %d, \"hosts\": %d, \"rssStartMb\": %.1f, \"rssConfigMb\": %.1f, "
              "\"rssHostsMb\": %.1f, \"rssViewMb\": %.1f,\n \"viewBuildMs\": %.1f, "
              "\"placeMs\": %.2f, \"diffMs\": %.1f, \"applyMs\": %.1f,\n"
              " \"snapshotBytes\": %zu, \"tableBytes\": %zu, \"idleMessageBytes\": %zu, "
              "\"oneRouteBytes\": %zu, \"oneRouteContentBytes\": %zu, \"oneHostBytes\": %zu,\n"
              " \"routeAndChooseNs\": %.0f, \"routeAndChooseTenfoldNs\": %.0f, \"gateNs\": %.0f, "
              "\"keyClaimNs\": %.0f, \"fullKeyTableMb\": %.1f,\n \"busiestParentOf890\": %d, "
              "\"root\": %s, \"endpoints\": %zu}\n",
              Services, Hosts, rssStartMb, rssConfigMb, rssHostsMb, rssViewMb, viewSeconds * 1e3,
              positionSeconds * 1e3, diffSeconds * 1e3, applySeconds * 1e3, snapshotBytes,
              tableBytes, idleBytes, routeChangeBytes, objectBytes, hostRestartBytes, routingNs,
              routingTenfoldNs, gateNs, keyNs, keysMb, maxChildren,
              treePosition.Root ? "true" : "false", view->Hosts.size());
  return 0;
}
