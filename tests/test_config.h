/// @file test_config.h Builders of configuration objects and snapshots for tests.
#pragma once

#include "config/config_func.h"

#include <string>
#include <vector>

namespace jasmineloom::testing {

inline ServiceSpec service(const std::string &name, const std::string &version = "v1") {
  return {ServiceName(name), VersionLabel(version)};
}

inline RouteSpec route(const std::string &name, const std::string &prefix,
                       const std::string &service, bool idempotent = true) {
  RouteSpec spec;
  spec.Name = RouteName(name);
  spec.Prefix = prefix;
  spec.Service = ServiceName(service);
  spec.Idempotent = idempotent;
  return spec;
}

inline RolloutSpec rollout(const std::string &id, const std::string &service,
                           const std::string &from, const std::string &to, TimeMs start = 1000,
                           TimeMs deadline = 101000) {
  return {RolloutID(id), ServiceName(service), VersionLabel(from), VersionLabel(to), start,
          deadline};
}

inline SnapshotPtr snapshotOf(ConfigVersion version, const std::vector<ConfigObject> &objects) {
  std::vector<ConfigObjectPtr> objectPtrs;
  for (const ConfigObject &object : objects)
    objectPtrs.push_back(std::make_shared<const ConfigObject>(object));
  return makeSnapshot(version, objectPtrs);
}

/// Builds a valid snapshot. Each of the low 6 bits of the seed adds one service and one route.
inline SnapshotPtr seededSnapshot(ConfigVersion version, std::uint32_t seed) {
  std::vector<ConfigObject> objects = {service("always")};
  for (std::uint32_t bit = 0; bit < 6; ++bit) {
    if ((seed >> bit & 1U) == 0)
      continue;
    const std::string name = "s" + std::to_string(bit);
    objects.push_back(service(name, "v" + std::to_string(seed)));
    objects.push_back(route("r" + std::to_string(bit), "/" + name, name));
  }
  return snapshotOf(version, objects);
}

} // namespace jasmineloom::testing
