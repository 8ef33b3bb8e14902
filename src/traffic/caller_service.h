/// @file caller_service.h The service in whose name requests of this host's callers are sent on.
#pragma once

#include "ids_type.h"

namespace jasmineloom {

/// Service that runs on this host. The settings decide, as they are kept current; a heartbeat may
/// be one of an earlier upstream at the address. Heartbeats count only while the settings name
/// none.
class CallerService {
public:
  /// @param configured service named in the settings; may be empty.
  explicit CallerService(ServiceName configured) : Configured(std::move(configured)) {}

  /// Applies the settings after a reload.
  /// @returns whether the service changed.
  bool applySettings(const ServiceName &configured) {
    const ServiceName before = current();
    Configured = configured;
    return current() != before;
  }

  /// Applies an accepted heartbeat.
  /// @returns whether the service changed.
  bool applyHeartbeat(const ServiceName &announced) {
    const ServiceName before = current();
    Announced = announced;
    return current() != before;
  }

  /// @returns the service; empty before the first heartbeat if the settings name none.
  const ServiceName &current() const { return Configured.empty() ? Announced : Configured; }

private:
  ServiceName Configured;
  ServiceName Announced; ///< Service in the last accepted heartbeat.
};

} // namespace jasmineloom
