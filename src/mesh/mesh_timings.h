/// @file mesh_timings.h Periods and timeouts of the mesh, scaled to the bound within which a
/// change must be in force on all nodes.
#pragma once

#include "ids_type.h"

#include <algorithm>

namespace jasmineloom {

/// Propagation bound for which the defaults below were derived; see docs/DESIGN.md.
constexpr DurationMs ReferencePropagationTime = 19 * MsPerSecond;

/// Periods and timeouts of one node.
struct MeshTimings {
  DurationMs ExchangeHold = 6000;        ///< Hold time of an exchange without updates (heartbeat).
  DurationMs LinkResponseTimeout = 2000; ///< Timeout of an exchange, in addition to ExchangeHold.
  DurationMs LinkRetryDelay = 2000;      ///< Backoff after a failed link to a peer.
  DurationMs ChildTimeout = 16000;       ///< Silence after which a child is declared dead.
  DurationMs SeedPeriod = 5000;          ///< Between attempts to contact unknown nodes.
  DurationMs DiscoveryPeriod = 60000;    ///< Between store reads of roots; heals partitions.
  DurationMs ProbePeriod = 1000;         ///< Between probes of hosts that are not children.
  DurationMs ProbeTimeout = 2000;        ///< Timeout of a probe.
  DurationMs HeadPollPeriod = 10000;     ///< Between reads of the head, in addition to the watch.
  /// Time in which one of the nodes of a data centre that watch the document starts a new watch.
  DurationMs WatchPeriod = 9500;
  /// Time for which the store may owe a root an answer until the next root takes its duties.
  DurationMs StoreSilenceLimit = 5000;
  /// Time without silence after which a root has its duties at the store again. Longer than an
  /// exchange may take, so that a root which is still turned away states it in time.
  DurationMs StoreReturnTime = 28000;
  DurationMs FloorTimeout = 3000;   ///< Timeout of a version floor request to a parent.
  DurationMs BootstrapDelay = 1500; ///< Delay until a node without peers acts as a root.

  /// @param bound time in which a change must be in force on all nodes.
  static MeshTimings forPropagationBound(DurationMs bound) {
    const MeshTimings base;
    // Below the minimum a host that is merely busy would be declared dead.
    const auto scaled = [bound](DurationMs value, DurationMs minimum) {
      return std::max(minimum,
                      value * std::min(bound, ReferencePropagationTime) / ReferencePropagationTime);
    };
    MeshTimings times;
    times.ExchangeHold = scaled(base.ExchangeHold, 400);
    times.LinkResponseTimeout = scaled(base.LinkResponseTimeout, 500);
    times.LinkRetryDelay = scaled(base.LinkRetryDelay, 200);
    times.ChildTimeout = scaled(base.ChildTimeout, 1600);
    times.SeedPeriod = scaled(base.SeedPeriod, 2000);
    times.DiscoveryPeriod = scaled(base.DiscoveryPeriod, 6000);
    times.ProbePeriod = scaled(base.ProbePeriod, 300);
    times.ProbeTimeout = scaled(base.ProbeTimeout, 500);
    times.HeadPollPeriod = scaled(base.HeadPollPeriod, 1000);
    times.WatchPeriod = scaled(base.WatchPeriod, 500);
    times.StoreSilenceLimit = scaled(base.StoreSilenceLimit, 500);
    times.StoreReturnTime = scaled(base.StoreReturnTime, 1500);
    times.FloorTimeout = scaled(base.FloorTimeout, 500);
    times.BootstrapDelay = scaled(base.BootstrapDelay, 300);
    return times;
  }
};

} // namespace jasmineloom
