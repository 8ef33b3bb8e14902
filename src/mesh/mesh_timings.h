/// @file mesh_timings.h Periods of the links between nodes, derived from the time in which a change
/// has to be in force everywhere.
#pragma once

#include "ids_type.h"

#include <algorithm>

namespace jasmineloom {

/// Time to be in force for which the periods below were worked out; see docs/DESIGN.md.
constexpr DurationMs ReferencePropagationTime = 19 * MsPerSecond;

/// Periods of one node. All are in ms.
struct MeshTimings {
  DurationMs ExchangeHold = 6000; ///< For which an exchange without news is held; the heartbeat.
  DurationMs LinkResponseTimeout = 2000; ///< Beyond the hold, in which an answer must come.
  DurationMs LinkRetryDelay = 2000;      ///< For which a link that failed is left out.
  DurationMs ChildTimeout = 16000;       ///< Of a child, after which it is taken for dead.
  DurationMs SeedPeriod = 5000;          ///< Between looks for nodes that are not known.
  DurationMs DiscoveryPeriod =
      60000;                      ///< Between looks for roots in the store; it mends a split mesh.
  DurationMs ProbePeriod = 1000;  ///< Between audits of hosts that report elsewhere.
  DurationMs ProbeTimeout = 2000; ///< In which an audited host must answer.
  DurationMs HeadPollPeriod = 10000; ///< Between reads of the head where no watch has spoken.
  DurationMs FloorTimeout = 3000;   ///< In which a starting node is told the version to start from.
  DurationMs BootstrapDelay = 1500; ///< After which a node that knows no other is the first one.

  /// @param inForce time in which a change has to be in force everywhere.
  static MeshTimings forPropagationBound(DurationMs inForce) {
    const MeshTimings base;
    // Below the second value a machine that is merely busy would be taken for dead.
    const auto scaled = [inForce](DurationMs value, DurationMs least) {
      return std::max(least, value * std::min(inForce, ReferencePropagationTime) /
                                 ReferencePropagationTime);
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
    times.FloorTimeout = scaled(base.FloorTimeout, 500);
    times.BootstrapDelay = scaled(base.BootstrapDelay, 300);
    return times;
  }
};

} // namespace jasmineloom
