/// @file config_func.cpp Hashing, validation, comparison and serialisation of configuration
/// objects.
#include "config/config_func.h"

#include "wire_list.h"

#include <absl/strings/str_cat.h>
#include <capnp/message.h>
#include <capnp/serialize.h>
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>

namespace jasmineloom {

namespace {

constexpr std::size_t MaxNameLength = 128;

template <typename SpecT> std::vector<const SpecT *> objectsOfKind(const Snapshot &snapshot) {
  std::vector<const SpecT *> found;
  for (const auto &[key, entry] : snapshot.Objects) {
    if (const auto *spec = std::get_if<SpecT>(entry.Object.get()))
      found.push_back(spec);
  }
  return found;
}

template <typename SpecT> const SpecT *findObject(const Snapshot &snapshot, const ObjectKey &key) {
  const auto it = snapshot.Objects.find(key);
  return it == snapshot.Objects.end() ? nullptr : std::get_if<SpecT>(it->second.Object.get());
}

absl::Status invalid(std::string_view kind, const std::string &name, std::string_view reason) {
  return absl::InvalidArgumentError(
      absl::StrCat(std::string(kind), " \"", name, "\": ", std::string(reason)));
}

absl::Status checkName(std::string_view kind, const std::string &name) {
  if (name.empty() || name.size() > MaxNameLength)
    return invalid(kind, name, "name must have 1 to 128 characters");
  for (const char c : name) {
    const bool allowed =
        std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_' || c == '.';
    if (!allowed)
      return invalid(kind, name, "name may hold letters, digits, '-', '_' and '.' only");
  }
  return absl::OkStatus();
}

std::string text(capnp::Text::Reader from) { return {from.cStr(), from.size()}; }

bool isAmount(double value) { return std::isfinite(value) && value >= 0; }

/// Validates one object and its references to other objects of the snapshot.
struct ObjectValidator {
  const Snapshot &Config;
  std::set<std::string> &Prefixes; ///< Host and prefix of each route validated so far.
  std::set<ServiceName> &ServicesInRollout;
  std::set<KeyDigest> &Keys; ///< Of all workspaces validated so far.

  absl::Status operator()(const ServiceSpec &spec) const {
    if (absl::Status status = checkName("service", spec.Name.str()); !status.ok())
      return status;
    if (!isAmount(spec.WarmUpPerSecond))
      return invalid("service", spec.Name.str(), "warmUpPerSecond must not be negative");
    return absl::OkStatus();
  }

  absl::Status operator()(const RouteSpec &spec) const {
    const std::string &name = spec.Name.str();
    if (absl::Status status = checkName("route", name); !status.ok())
      return status;
    if (spec.Prefix.empty() || spec.Prefix.front() != '/')
      return invalid("route", name, "prefix must start with '/'");
    if (absl::Status status = checkServices(spec); !status.ok())
      return status;
    if (spec.Attempts == 0 || spec.Attempts > MaxRouteAttempts)
      return invalid("route", name, "attempts must be 1 to 16");
    if (spec.Deadline == 0 || spec.Deadline > MaxRouteDeadline)
      return invalid("route", name, "deadlineMs must be 1 to 600000");
    if (spec.Worth == 0)
      return invalid("route", name, "worth must be at least 1");
    if (!Prefixes.insert(spec.Host + spec.Prefix).second)
      return invalid("route", name,
                     absl::StrCat("prefix \"", spec.Prefix, "\" is used by another route too"));
    return absl::OkStatus();
  }

  /// Validates that all services referenced by a route exist.
  absl::Status checkServices(const RouteSpec &spec) const {
    const auto missing = [&](const ServiceName &service) {
      return invalid("route", spec.Name.str(),
                     absl::StrCat("service \"", service.str(), "\" does not exist"));
    };
    if (findService(Config, spec.Service) == nullptr)
      return missing(spec.Service);
    bool hasWeight = false;
    for (const SplitPart &part : spec.Split) {
      if (findService(Config, part.Service) == nullptr)
        return missing(part.Service);
      if (!isAmount(part.Weight))
        return invalid("route", spec.Name.str(), "a weight of split must not be negative");
      hasWeight |= part.Weight > 0;
    }
    if (!spec.Split.empty() && !hasWeight)
      return invalid("route", spec.Name.str(), "the weights of split add up to 0");
    return absl::OkStatus();
  }

  absl::Status operator()(const RolloutSpec &spec) const {
    const std::string &name = spec.ID.str();
    if (absl::Status status = checkName("rollout", name); !status.ok())
      return status;
    const ServiceSpec *service = findService(Config, spec.Service);
    if (service == nullptr)
      return invalid("rollout", name,
                     absl::StrCat("service \"", spec.Service.str(), "\" does not exist"));
    if (spec.To.empty() || spec.From == spec.To)
      return invalid("rollout", name, "toVersion must differ from fromVersion");
    if (service->Version != spec.From)
      return invalid("rollout", name,
                     absl::StrCat("fromVersion \"", spec.From.str(), "\" is not the version \"",
                                  service->Version.str(), "\" of the service"));
    if (spec.Deadline <= spec.Start)
      return invalid("rollout", name, "deadlineMs must come after startMs");
    if (!ServicesInRollout.insert(spec.Service).second)
      return invalid("rollout", name,
                     absl::StrCat("service \"", spec.Service.str(), "\" has another rollout"));
    return absl::OkStatus();
  }

  absl::Status operator()(const WorkspaceSpec &spec) const {
    const std::string &name = spec.Name.str();
    if (absl::Status status = checkName("workspace", name); !status.ok())
      return status;
    if (!isAmount(spec.RatePerSecond) || !isAmount(spec.Burst))
      return invalid("workspace", name, "ratePerSecond and burst must not be negative");
    for (const KeyDigest &key : spec.Keys) {
      if (!Keys.insert(key).second)
        return invalid("workspace", name, "one of its keys is listed twice");
    }
    return absl::OkStatus();
  }
};

/// @returns whether wire::SplitPart::weight can hold the weight.
bool fitsWholeWeight(double weight) {
  return weight >= 0 && weight <= std::numeric_limits<std::uint32_t>::max() &&
         weight == std::floor(weight);
}

void writeService(wire::Service::Builder to, const ServiceSpec &spec) {
  to.setName(spec.Name.str());
  to.setInitialVersion(spec.Version.str());
  to.setWarmUpMs(static_cast<std::uint32_t>(spec.WarmUpTime));
  to.setWarmUpPerSecond(spec.WarmUpPerSecond);
}

void writeRoute(wire::Route::Builder to, const RouteSpec &spec) {
  to.setName(spec.Name.str());
  to.setPrefix(spec.Prefix);
  to.setService(spec.Service.str());
  to.setIdempotent(spec.Idempotent);
  to.setDeadlineMs(static_cast<std::uint32_t>(spec.Deadline));
  to.setWorth(spec.Worth);
  to.setHost(spec.Host);
  to.setAttempts(spec.Attempts);
  to.setObjectiveMs(static_cast<std::uint32_t>(spec.Objective));
  to.setNeedsKey(spec.NeedsKey);
  to.setLargeBody(spec.LargeBody);
  auto split = to.initSplit(static_cast<unsigned>(spec.Split.size()));
  unsigned n = 0;
  for (const SplitPart &part : spec.Split)
    writeSplitPart(split[n++], part);
}

void writeWorkspace(wire::Workspace::Builder to, const WorkspaceSpec &spec) {
  to.setName(spec.Name.str());
  to.setWorth(spec.Worth);
  to.setRatePerSecond(spec.RatePerSecond);
  to.setBurst(spec.Burst);
  auto keys = to.initKeys(static_cast<unsigned>(spec.Keys.size()));
  unsigned n = 0;
  for (const KeyDigest &key : spec.Keys)
    keys.set(n++, kj::arrayPtr(key.data(), key.size()));
}

ServiceSpec readService(wire::Service::Reader from) {
  return {ServiceName(text(from.getName())), VersionLabel(text(from.getInitialVersion())),
          from.getWarmUpMs(), from.getWarmUpPerSecond()};
}

RouteSpec readRoute(wire::Route::Reader from) {
  RouteSpec spec;
  spec.Name = RouteName(text(from.getName()));
  spec.Prefix = text(from.getPrefix());
  spec.Service = ServiceName(text(from.getService()));
  spec.Idempotent = from.getIdempotent();
  spec.Deadline = from.getDeadlineMs();
  spec.Worth = from.getWorth();
  spec.Host = text(from.getHost());
  spec.Attempts = from.getAttempts();
  spec.Objective = from.getObjectiveMs();
  spec.NeedsKey = from.getNeedsKey();
  spec.LargeBody = from.getLargeBody();
  for (auto part : limitedList(from.getSplit(), MaxSplitParts))
    spec.Split.push_back(readSplitPart(part));
  return spec;
}

WorkspaceSpec readWorkspace(wire::Workspace::Reader from) {
  WorkspaceSpec spec;
  spec.Name = WorkspaceName(text(from.getName()));
  spec.Worth = from.getWorth();
  spec.RatePerSecond = from.getRatePerSecond();
  spec.Burst = from.getBurst();
  for (const auto digest : limitedList(from.getKeys(), MaxListedObjects)) {
    KeyDigest key{};
    KJ_REQUIRE(digest.size() == key.size(), "the message has a key digest of another size");
    std::copy(digest.begin(), digest.end(), key.begin());
    spec.Keys.push_back(key);
  }
  return spec;
}

/// Serialises an object to its Cap'n Proto message.
struct ObjectWriter {
  wire::ConfigObject::Builder To;
  void operator()(const ServiceSpec &spec) { writeService(To.initService(), spec); }
  void operator()(const RouteSpec &spec) { writeRoute(To.initRoute(), spec); }
  void operator()(const RolloutSpec &spec) { writeRollout(To.initRollout(), spec); }
  void operator()(const WorkspaceSpec &spec) { writeWorkspace(To.initWorkspace(), spec); }
};

struct KeyVisitor {
  ObjectKey operator()(const ServiceSpec &spec) const { return serviceKey(spec.Name); }
  ObjectKey operator()(const RouteSpec &spec) const { return routeKey(spec.Name); }
  ObjectKey operator()(const RolloutSpec &spec) const { return rolloutKey(spec.ID); }
  ObjectKey operator()(const WorkspaceSpec &spec) const { return workspaceKey(spec.Name); }
};

} // namespace

void writeSplitPart(wire::SplitPart::Builder to, const SplitPart &part) {
  to.setService(part.Service.str());
  if (fitsWholeWeight(part.Weight))
    to.setWeight(static_cast<std::uint32_t>(part.Weight));
  else
    to.setExactWeight(part.Weight);
}

SplitPart readSplitPart(wire::SplitPart::Reader from) {
  const double exact = from.getExactWeight();
  return {ServiceName(text(from.getService())), exact != 0 ? exact : from.getWeight()};
}

ObjectKey serviceKey(const ServiceName &name) { return ObjectKey("service/" + name.str()); }
ObjectKey routeKey(const RouteName &name) { return ObjectKey("route/" + name.str()); }
ObjectKey rolloutKey(const RolloutID &id) { return ObjectKey("rollout/" + id.str()); }

ObjectKey workspaceKey(const WorkspaceName &name) { return ObjectKey("workspace/" + name.str()); }

ObjectKey keyOf(const ConfigObject &object) { return std::visit(KeyVisitor{}, object); }

std::uint64_t hashOf(const ConfigObject &object) {
  capnp::MallocMessageBuilder message;
  writeObject(message.initRoot<wire::ConfigObject>(), object);
  const kj::Array<capnp::word> words =
      capnp::canonicalize(message.getRoot<wire::ConfigObject>().asReader());
  const auto bytes = words.asBytes();
  return XXH3_64bits(bytes.begin(), bytes.size());
}

SnapshotPtr makeSnapshot(ConfigVersion version, const std::vector<ConfigObjectPtr> &objects) {
  auto snapshot = std::make_shared<Snapshot>();
  snapshot->Version = version;
  for (const ConfigObjectPtr &object : objects)
    snapshot->Objects[keyOf(*object)] = {object, hashOf(*object)};
  for (const auto &[key, entry] : snapshot->Objects)
    snapshot->Digest += entry.Hash;
  return snapshot;
}

absl::Status validateSnapshot(const Snapshot &snapshot) {
  std::set<std::string> prefixes;
  std::set<ServiceName> servicesInRollout;
  std::set<KeyDigest> keys;
  for (const auto &[key, entry] : snapshot.Objects) {
    absl::Status status =
        std::visit(ObjectValidator{snapshot, prefixes, servicesInRollout, keys}, *entry.Object);
    if (!status.ok())
      return status;
  }
  return absl::OkStatus();
}

ConfigDelta diffSnapshots(const Snapshot *base, const Snapshot &next) {
  ConfigDelta delta;
  delta.Version = next.Version;
  delta.BaseVersion = base == nullptr ? 0 : base->Version;
  delta.Digest = next.Digest;
  for (const auto &[key, entry] : next.Objects) {
    if (base != nullptr) {
      const auto it = base->Objects.find(key);
      if (it != base->Objects.end() && it->second.Hash == entry.Hash)
        continue;
    }
    delta.Upserts.push_back(entry.Object);
  }
  if (base == nullptr)
    return delta;
  for (const auto &[key, entry] : base->Objects) {
    if (!next.Objects.contains(key))
      delta.Removals.push_back(key);
  }
  return delta;
}

absl::StatusOr<SnapshotPtr> applyDelta(const Snapshot *base, const ConfigDelta &delta) {
  if (delta.BaseVersion != 0 && (base == nullptr || base->Version != delta.BaseVersion))
    return absl::FailedPreconditionError(absl::StrCat("delta is against version ",
                                                      delta.BaseVersion, ", held is ",
                                                      base == nullptr ? 0 : base->Version));
  auto next = std::make_shared<Snapshot>();
  if (delta.BaseVersion != 0)
    *next = *base;
  next->Version = delta.Version;
  for (const ObjectKey &key : delta.Removals) {
    const auto it = next->Objects.find(key);
    if (it == next->Objects.end())
      continue;
    next->Digest -= it->second.Hash;
    next->Objects.erase(it);
  }
  for (const ConfigObjectPtr &object : delta.Upserts) {
    SnapshotEntry &entry = next->Objects[keyOf(*object)];
    next->Digest -= entry.Hash;
    entry = {object, hashOf(*object)};
    next->Digest += entry.Hash;
  }
  if (next->Digest != delta.Digest)
    return absl::DataLossError(
        absl::StrCat("digest of version ", delta.Version, " does not match its content"));
  return SnapshotPtr(next);
}

std::vector<std::string> describeDelta(const Snapshot *base, const ConfigDelta &delta) {
  std::vector<std::string> lines;
  for (const ConfigObjectPtr &object : delta.Upserts) {
    const ObjectKey key = keyOf(*object);
    const bool existed = base != nullptr && base->Objects.contains(key);
    lines.push_back(absl::StrCat(existed ? "change " : "add ", key.str()));
  }
  for (const ObjectKey &key : delta.Removals)
    lines.push_back(absl::StrCat("remove ", key.str()));
  return lines;
}

std::vector<double> splitShares(const std::vector<SplitPart> &split) {
  double largest = 0;
  for (const SplitPart &part : split)
    largest = std::max(largest, part.Weight);
  std::vector<double> shares(split.size(), 0);
  if (largest == 0)
    return shares;
  // The sum of the weights themselves may be more than a double holds.
  double sum = 0;
  for (std::size_t n = 0; n < split.size(); ++n)
    sum += shares[n] = split[n].Weight / largest;
  for (double &share : shares)
    share /= sum;
  return shares;
}

const ServiceSpec *findService(const Snapshot &snapshot, const ServiceName &name) {
  return findObject<ServiceSpec>(snapshot, serviceKey(name));
}
const RouteSpec *findRoute(const Snapshot &snapshot, const RouteName &name) {
  return findObject<RouteSpec>(snapshot, routeKey(name));
}
const RolloutSpec *findRollout(const Snapshot &snapshot, const RolloutID &id) {
  return findObject<RolloutSpec>(snapshot, rolloutKey(id));
}
std::vector<const ServiceSpec *> servicesOf(const Snapshot &snapshot) {
  return objectsOfKind<ServiceSpec>(snapshot);
}
std::vector<const RouteSpec *> routesOf(const Snapshot &snapshot) {
  return objectsOfKind<RouteSpec>(snapshot);
}
std::vector<const RolloutSpec *> rolloutsOf(const Snapshot &snapshot) {
  return objectsOfKind<RolloutSpec>(snapshot);
}
std::vector<const WorkspaceSpec *> workspacesOf(const Snapshot &snapshot) {
  return objectsOfKind<WorkspaceSpec>(snapshot);
}

const RolloutSpec *rolloutOfService(const Snapshot &snapshot, const ServiceName &name) {
  for (const RolloutSpec *spec : rolloutsOf(snapshot)) {
    if (spec->Service == name)
      return spec;
  }
  return nullptr;
}

void writeRollout(wire::Rollout::Builder to, const RolloutSpec &spec) {
  to.setId(spec.ID.str());
  to.setService(spec.Service.str());
  to.setFromVersion(spec.From.str());
  to.setToVersion(spec.To.str());
  to.setStartMs(spec.Start);
  to.setDeadlineMs(spec.Deadline);
}

RolloutSpec readRollout(wire::Rollout::Reader from) {
  RolloutSpec spec;
  spec.ID = RolloutID(text(from.getId()));
  spec.Service = ServiceName(text(from.getService()));
  spec.From = VersionLabel(text(from.getFromVersion()));
  spec.To = VersionLabel(text(from.getToVersion()));
  spec.Start = from.getStartMs();
  spec.Deadline = from.getDeadlineMs();
  return spec;
}

void writeObject(wire::ConfigObject::Builder to, const ConfigObject &object) {
  std::visit(ObjectWriter{to}, object);
}

ConfigObject readObject(wire::ConfigObject::Reader from) {
  switch (from.which()) {
  case wire::ConfigObject::SERVICE:
    return readService(from.getService());
  case wire::ConfigObject::ROUTE:
    return readRoute(from.getRoute());
  case wire::ConfigObject::ROLLOUT:
    return readRollout(from.getRollout());
  case wire::ConfigObject::WORKSPACE:
    return readWorkspace(from.getWorkspace());
  }
  return ServiceSpec{};
}

void writeDelta(wire::ConfigUpdate::Builder to, const ConfigDelta &delta) {
  to.setVersion(delta.Version);
  to.setBaseVersion(delta.BaseVersion);
  to.setDigest(delta.Digest);
  auto upserts = to.initUpserts(static_cast<unsigned>(delta.Upserts.size()));
  unsigned n = 0;
  for (const ConfigObjectPtr &object : delta.Upserts)
    writeObject(upserts[n++], *object);
  auto removals = to.initRemovals(static_cast<unsigned>(delta.Removals.size()));
  n = 0;
  for (const ObjectKey &key : delta.Removals)
    removals.set(n++, key.str());
}

ConfigDelta readDelta(wire::ConfigUpdate::Reader from) {
  ConfigDelta delta;
  delta.Version = from.getVersion();
  delta.BaseVersion = from.getBaseVersion();
  delta.Digest = from.getDigest();
  for (auto object : limitedList(from.getUpserts(), MaxListedObjects))
    delta.Upserts.push_back(std::make_shared<const ConfigObject>(readObject(object)));
  for (auto key : limitedList(from.getRemovals(), MaxListedObjects))
    delta.Removals.emplace_back(text(key));
  return delta;
}

std::vector<ConfigObject> readDeclarations(wire::Declarations::Reader from) {
  std::vector<ConfigObject> objects;
  for (auto service : limitedList(from.getServices(), MaxListedObjects))
    objects.emplace_back(readService(service));
  for (auto route : limitedList(from.getRoutes(), MaxListedObjects))
    objects.emplace_back(readRoute(route));
  for (auto workspace : limitedList(from.getWorkspaces(), MaxListedObjects))
    objects.emplace_back(readWorkspace(workspace));
  return objects;
}

void writeDeclarations(wire::Declarations::Builder to, const Snapshot &snapshot) {
  const auto services = servicesOf(snapshot);
  auto serviceList = to.initServices(static_cast<unsigned>(services.size()));
  unsigned n = 0;
  for (const ServiceSpec *spec : services)
    writeService(serviceList[n++], *spec);
  const auto routes = routesOf(snapshot);
  auto routeList = to.initRoutes(static_cast<unsigned>(routes.size()));
  n = 0;
  for (const RouteSpec *spec : routes)
    writeRoute(routeList[n++], *spec);
  const auto workspaces = workspacesOf(snapshot);
  auto workspaceList = to.initWorkspaces(static_cast<unsigned>(workspaces.size()));
  n = 0;
  for (const WorkspaceSpec *spec : workspaces)
    writeWorkspace(workspaceList[n++], *spec);
}

} // namespace jasmineloom
