/// @file routing_view.cpp Builds the routing data of a node and finds routes in it.
#include "routing/routing_view.h"

#include "config/config_func.h"
#include "rollout/rollout_order.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

namespace jasmineloom {

namespace {

TimeMs withOffset(TimeMs time, std::int64_t offset) {
  return time == 0 ? 0 : static_cast<TimeMs>(static_cast<std::int64_t>(time) + offset);
}

/// @returns the host in lower case and without its port.
std::string hostOf(std::string_view text) {
  return absl::AsciiStrToLower(
      absl::string_view(text.data(), text.find(':') < text.size() ? text.find(':') : text.size()));
}

std::string routeKeyOf(std::string_view host, std::string_view prefix) {
  return absl::StrCat(absl::string_view(host.data(), host.size()),
                      absl::string_view(prefix.data(), prefix.size()));
}

bool servicesExist(const RoutingView &view, const RouteSpec &spec) {
  const auto known = [&view](const ServiceName &name) {
    return view.serviceNamed(name) != nullptr;
  };
  return known(spec.Service) &&
         std::all_of(spec.Split.begin(), spec.Split.end(),
                     [&known](const SplitPart &part) { return known(part.Service); });
}

/// Applies the declared rollouts to their services.
void addDeclaredRollouts(RoutingView &view, const Snapshot &snapshot,
                         const std::map<RolloutID, RolloutProgress> &progress,
                         std::int64_t steadyOffset) {
  for (const RolloutSpec *spec : rolloutsOf(snapshot)) {
    ServiceView &service = view.Services[spec->Service.str()];
    service.Rollout = *spec;
    service.Rollout->Start = withOffset(spec->Start, steadyOffset);
    service.Rollout->Deadline = withOffset(spec->Deadline, steadyOffset);
    const auto it = progress.find(spec->ID);
    if (it == progress.end())
      continue;
    service.Progress = it->second;
    service.Progress.SuspectUntil = withOffset(it->second.SuspectUntil, steadyOffset);
  }
}

using VersionCensus = std::map<std::string, std::map<VersionLabel, std::uint32_t>>;

/// Applies the ordered rollouts to services whose version is not declared.
/// @param ready number of ready upstreams by service and version.
void addOrders(RoutingView &view, const std::map<RolloutID, RolloutProgress> &progress,
               VersionCensus &ready) {
  std::map<ServiceName, std::vector<RolloutProgress>> orders;
  for (const auto &[id, it] : progress) {
    if (it.Order != 0)
      orders[it.Service].push_back(it);
  }
  for (auto &[name, service] : view.Services) {
    if (!service.Version.empty() || service.Rollout.has_value())
      continue;
    const VersionPolicy policy = policyOf(orders[service.Name], ready[name]);
    service.Version = policy.Stable;
    service.RolledBack = policy.RolledBack;
    if (!policy.Running.has_value())
      continue;
    service.Progress = *policy.Running;
    service.Rollout =
        RolloutSpec{policy.Running->ID, service.Name, policy.Stable, policy.Running->To, 0, 0};
  }
}

} // namespace

const RouteSpec *RoutingView::routeFor(std::string_view path, std::string_view host) const {
  path = path.substr(0, path.find('?'));
  const std::string requestHost = hostOf(host);
  for (const std::string &routeHost : {requestHost, std::string()}) {
    std::string key = routeKeyOf(routeHost, path);
    while (key.size() > routeHost.size()) {
      const auto it = Routes.find(key);
      if (it != Routes.end())
        return &it->second;
      // After "/a/b" try "/a/", then "/a".
      if (key.back() == '/' && key.size() > routeHost.size() + 1) {
        key.pop_back();
        continue;
      }
      const std::size_t slash = key.rfind('/', key.size() - 2);
      if (key.size() < 2 || slash == std::string::npos || slash < routeHost.size())
        break;
      key.resize(slash + 1);
    }
    if (routeHost.empty())
      break;
  }
  return nullptr;
}

const ServiceView *RoutingView::serviceNamed(const ServiceName &name) const {
  const auto it = Services.find(name.str());
  return it == Services.end() ? nullptr : &it->second;
}

RoutingViewPtr buildRoutingView(const Snapshot &snapshot, const std::vector<HostRecord> &hosts,
                                const std::map<RolloutID, RolloutProgress> &progress,
                                const DataCentreName &local, std::int64_t steadyOffset,
                                WorkspaceTablePtr workspaces,
                                const std::set<DataCentreName> &evacuated,
                                std::uint32_t quotaHosts) {
  auto view = std::make_shared<RoutingView>();
  view->Version = snapshot.Version;
  view->Evacuated = evacuated;
  view->Workspaces = workspaces ? std::move(workspaces) : workspaceTableOf(snapshot);
  view->QuotaHosts = quotaHosts;
  for (const WorkspaceSpec *spec : workspacesOf(snapshot)) {
    if (spec->RatePerSecond > 0)
      view->Quotas.emplace(spec->Name.str(), QuotaLimit{spec->RatePerSecond, spec->Burst});
  }
  for (const ServiceSpec *spec : servicesOf(snapshot)) {
    ServiceView &service = view->Services[spec->Name.str()];
    service.Name = spec->Name;
    service.Version = spec->Version;
    service.WarmUpTime = spec->WarmUpTime;
    service.WarmUpPerSecond = spec->WarmUpPerSecond;
  }
  addDeclaredRollouts(*view, snapshot, progress, steadyOffset);
  for (const RouteSpec *spec : routesOf(snapshot)) {
    view->NeedsKeys |= spec->NeedsKey;
    if (servicesExist(*view, *spec))
      view->Routes.emplace(routeKeyOf(spec->Host, spec->Prefix), *spec);
  }
  VersionCensus ready;
  for (const HostRecord &record : hosts) {
    if (record.Service.empty())
      continue;
    view->Hosts.push_back(record);
    const auto it = view->Services.find(record.Service.str());
    if (it == view->Services.end() || record.State != HostState::Ready)
      continue;
    ++ready[it->first][record.Version];
    if (evacuated.contains(record.DataCentre)) {
      it->second.EvacuatedVersions.insert(record.Version);
      continue;
    }
    it->second.add({record.Host, record.GateAddress, record.Version,
                    std::max<std::uint32_t>(record.Slots, 1), record.DataCentre == local, 0,
                    record.Upstream});
  }
  addOrders(*view, progress, ready);
  return view;
}

void ServiceView::add(Endpoint endpoint) {
  const auto position = static_cast<std::uint32_t>(Endpoints.size());
  auto it = std::find_if(Pools.begin(), Pools.end(), [&endpoint](const VersionPool &pool) {
    return pool.Version == endpoint.Version;
  });
  if (it == Pools.end())
    it = Pools.insert(Pools.end(), {endpoint.Version, {}, {}, {}});
  it->All.push_back(position);
  (endpoint.Local ? it->Local : it->Remote).push_back(position);
  Endpoints.push_back(std::move(endpoint));
}

const VersionPool *ServiceView::poolOf(const VersionLabel &version) const {
  for (const VersionPool &pool : Pools) {
    if (pool.Version == version)
      return &pool;
  }
  return nullptr;
}

bool mayServe(const ServiceView &service, const VersionLabel &version) {
  if (service.RolledBack.contains(version))
    return false;
  if (version == service.Version)
    return true;
  if (!service.Rollout.has_value())
    return service.Version.empty();
  return version == service.Rollout->To && service.Progress.Phase != RolloutPhase::TakenBack;
}

} // namespace jasmineloom
