/// @file caller_service.h The service in whose name requests of this host's callers are sent on.
#pragma once

#include "ids_type.h"

#include <string>

namespace jasmineloom {

/// Service that runs on this host. The settings and the upstream's heartbeats both name it, and
/// either may be late after the host has been given another service. A statement that repeats what
/// its source has said before is no news; of two different ones the later is right.
class CallerService {
public:
  /// @param configured service named in the settings; may be empty.
  explicit CallerService(ServiceName configured) : Configured(configured), Current(configured) {}

  /// Applies the settings after a reload.
  /// @returns whether the service changed.
  bool applySettings(const ServiceName &configured) {
    const bool isNews = configured != Configured;
    Configured = configured;
    return isNews && change(configured);
  }

  /// Applies an accepted heartbeat.
  /// @param process name of the upstream's process; empty if it has no ID.
  /// @returns whether the service changed.
  bool applyHeartbeat(const std::string &process, const ServiceName &service) {
    const bool isNews = process != Process || service != Announced;
    Process = process;
    Announced = service;
    return isNews && change(service);
  }

  const ServiceName &current() const { return Current; }

private:
  bool change(const ServiceName &service) {
    const bool changed = service != Current;
    Current = service;
    return changed;
  }

  ServiceName Configured;
  std::string Process;   ///< Process of the last heartbeat.
  ServiceName Announced; ///< Service in the last heartbeat.
  ServiceName Current;
};

} // namespace jasmineloom
