/// @file uneven_hosts.h A load of the model on hosts of uneven speeds that change.
#pragma once

#include "load_model.h"

namespace jasmineloom {

/// The load of bench/experiments/roster.toml: a wave of requests to hosts of uneven speeds that
/// other work slows down for moments, and calls that hold a slot of their caller.
inline ModelSettings unevenHosts(double load) {
  ModelSettings settings;
  settings.DataCentres = 3;
  settings.RemoteDelayMs = 0.9;
  settings.Seconds = 15;
  settings.WarmUpSeconds = 2;
  settings.WaveSwing = 0.55;
  settings.Services = {{"board", 38, 18, {0.6, 1.0, 1.6}, 0.15, 2.5},
                       {"swaps", 29, 18, {0.7, 0.7, 1.6}, 0.15, 2.5}};
  ModelRoute view{"view", "board", 911 * load, 366, 0.5, 1000, 6000};
  view.Calls = "lookup";
  view.CallTimes = 1;
  view.CallShare = 0.7;
  view.Retries = 2;
  ModelRoute swap{"swap", "swaps", 403 * load, 484, 0.6, 1200, 8000, 2, false};
  swap.Retries = 2;
  const ModelRoute lookup{"lookup", "swaps", 0, 91, 0.5, 400, 1200, 3};
  settings.Routes = {view, swap, lookup};
  return settings;
}

} // namespace jasmineloom
