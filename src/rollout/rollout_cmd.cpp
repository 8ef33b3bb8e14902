/// @file rollout_cmd.cpp Changes of the configuration by operators and rollout controllers.
#include "operator/operator_service.h"

#include "config/config_func.h"

#include <absl/strings/str_cat.h>

#include <set>

namespace jasmineloom {

namespace {

ConfigObjectPtr makeObject(ConfigObject object) {
  return std::make_shared<const ConfigObject>(std::move(object));
}

/// @returns all objects of a snapshot but one.
std::vector<ConfigObjectPtr> objectsWithout(const Snapshot &base, const ObjectKey &excluded) {
  std::vector<ConfigObjectPtr> objects;
  for (const auto &[key, held] : base.Objects) {
    if (key != excluded)
      objects.push_back(held.Object);
  }
  return objects;
}

} // namespace

absl::StatusOr<std::vector<ConfigObjectPtr>>
applyDeclarations(const Snapshot &base, const std::vector<ConfigObject> &declared) {
  std::vector<ConfigObjectPtr> objects;
  std::set<ObjectKey> keys;
  for (const ConfigObject &object : declared) {
    if (!keys.insert(keyOf(object)).second)
      return absl::InvalidArgumentError(absl::StrCat(keyOf(object).str(), " is declared twice"));
    ConfigObject accepted = object;
    if (auto *service = std::get_if<ServiceSpec>(&accepted); service != nullptr) {
      const ServiceSpec *existing = findService(base, service->Name);
      if (existing != nullptr)
        service->Version = existing->Version;
    }
    objects.push_back(makeObject(std::move(accepted)));
  }
  for (const RolloutSpec *spec : rolloutsOf(base))
    objects.push_back(makeObject(*spec));
  return objects;
}

absl::StatusOr<std::vector<ConfigObjectPtr>> addRollout(const Snapshot &base, RolloutSpec spec,
                                                        TimeMs now) {
  const ServiceSpec *service = findService(base, spec.Service);
  if (service == nullptr)
    return absl::InvalidArgumentError(
        absl::StrCat("service \"", spec.Service.str(), "\" does not exist"));
  if (const RolloutSpec *other = rolloutOfService(base, spec.Service); other != nullptr)
    return absl::InvalidArgumentError(absl::StrCat("service \"", spec.Service.str(),
                                                   "\" is busy with rollout \"", other->ID.str(),
                                                   "\"; wait for its end or abort it"));
  if (findRollout(base, spec.ID) != nullptr)
    return absl::InvalidArgumentError(absl::StrCat("rollout \"", spec.ID.str(), "\" exists"));
  if (spec.From.empty())
    spec.From = service->Version;
  if (spec.Start < now)
    spec.Start = now;
  if (spec.Deadline < spec.Start + MinRolloutDuration)
    return absl::InvalidArgumentError(
        absl::StrCat("deadline is too near: the earliest possible is ",
                     spec.Start + MinRolloutDuration, " (Unix time in ms)"));
  std::vector<ConfigObjectPtr> objects = objectsWithout(base, rolloutKey(spec.ID));
  objects.push_back(makeObject(std::move(spec)));
  return objects;
}

absl::StatusOr<std::vector<ConfigObjectPtr>> endRollout(const Snapshot &base,
                                                        const RolloutSpec &spec, bool done) {
  if (findRollout(base, spec.ID) == nullptr)
    return absl::InvalidArgumentError(absl::StrCat("rollout \"", spec.ID.str(), "\" has ended"));
  std::vector<ConfigObjectPtr> objects = objectsWithout(base, rolloutKey(spec.ID));
  if (done)
    objects.push_back(makeObject(ServiceSpec{spec.Service, spec.To}));
  return objects;
}

} // namespace jasmineloom
