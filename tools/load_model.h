/// @file load_model.h Model of a mesh under load: callers, nodes and upstreams in virtual time,
/// with the product's own load balancing, admission control and retry rules.
#pragma once

#include "ids_type.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace jasmineloom {

/// Upstreams of one service. Each has a node with an ingress beside it.
struct ModelService {
  std::string Name;
  std::uint32_t Hosts = 1;
  std::uint32_t Slots = 10;
  std::vector<double> Speeds = {1}; ///< Of the hosts, in turn; 1: the route's work as stated.
  double NoiseShare = 0;            ///< Fraction of time in which other work slows a host down.
  double NoiseFactor = 1;           ///< Increase of the service time by that work.
  double NoisePeriodMs = 600;       ///< Time after which the slowed hosts are drawn anew.
  bool operator==(const ModelService &) const = default;
};

/// Requests of one kind, sent to all ingresses alike.
struct ModelRoute {
  std::string Name;
  std::string Service;
  double PerSecond = 0; ///< 0: only called by upstreams.
  double WorkMs = 100;  ///< Mean service time at speed 1.
  double Spread = 0.5;  ///< Sigma of the logarithm of the service time.
  DurationMs Objective = 1000;
  DurationMs Deadline = 5000;
  std::uint32_t Worth = 1;
  bool Idempotent = true;
  std::string Calls{}; ///< Route that the upstream calls while it runs the request.
  std::uint32_t CallTimes = 0;
  double CallShare = 1;      ///< Fraction of the requests that make these calls.
  std::uint32_t Retries = 0; ///< Of a caller that was refused.
  double LateShare = 0.3;    ///< Fraction of its worth that a late answer has.
  bool operator==(const ModelRoute &) const = default;
};

enum class ModelTroubleKind : std::uint8_t {
  Slow,  ///< A share of the upstreams takes Factor times as long.
  Gone,  ///< A share of the hosts is lost; the others learn of it after a second.
  Cold,  ///< A share of the upstreams starts anew, at half its speed.
  Burst, ///< Callers send Factor times as much.
  Shed,  ///< A share of the upstreams refuses a Factor of its requests.
};

struct ModelTrouble {
  ModelTroubleKind Kind = ModelTroubleKind::Slow;
  double At = 0;       ///< Seconds.
  double For = 0;      ///< Seconds.
  std::string Service; ///< Empty: all.
  double Share = 1;
  double Factor = 1;
  bool operator==(const ModelTrouble &) const = default;
};

/// How an upstream is found for a request.
enum class ModelPlacement : std::uint8_t {
  Product, ///< nextEndpoint().
  Oracle,  ///< Knows the load and speed of each upstream at the moment of the choice.
  Random,  ///< Any upstream; queues there.
};

struct ModelSettings {
  std::uint32_t DataCentres = 1;
  double LocalDelayMs = 0.2;  ///< One way, within a data centre.
  double RemoteDelayMs = 1.5; ///< One way, between data centres.
  /// Increase of the service time of an upstream whose slots are all in use.
  double FullSlowdown = 0.5;
  double Seconds = 30;
  double WarmUpSeconds = 0; ///< Requests before this time are not counted.
  /// Callers send from 1 - WaveSwing to 1 + WaveSwing times their rate.
  double WaveSwing = 0;
  double WaveSeconds = 13;
  std::uint64_t Seed = 1;
  ModelPlacement Placement = ModelPlacement::Product;
  std::vector<ModelService> Services;
  std::vector<ModelRoute> Routes;
  std::vector<ModelTrouble> Troubles;
};

/// Outcomes of callers' requests.
struct ModelCounts {
  std::uint64_t Sent = 0;
  std::uint64_t InTime = 0; ///< Answered within the objective.
  std::uint64_t Late = 0;
  std::uint64_t Refused = 0; ///< Refused to the end, with the caller's retries used up.
  std::uint64_t Failed = 0;
  double inTimeShare() const {
    return Sent == 0 ? 1 : static_cast<double>(InTime) / static_cast<double>(Sent);
  }
  bool operator==(const ModelCounts &) const = default;
};

struct ModelRouteResult {
  std::string Route;
  ModelCounts Counts;
  double P50Ms = 0;
  double P99Ms = 0;
  double RefusalP50Ms = 0; ///< Time until a refusal.
  bool operator==(const ModelRouteResult &) const = default;
};

struct ModelResult {
  std::vector<ModelRouteResult> Routes; ///< Of the callers' routes.
  std::vector<ModelCounts> Seconds;     ///< By the second in which a request was sent.
  ModelCounts Total;
  std::uint64_t Attempts = 0;   ///< Requests sent to gates.
  std::uint64_t Busy = 0;       ///< Of these, refused at once as no slot was free.
  std::uint64_t Overloaded = 0; ///< Of these, refused because of the queue.
  std::uint64_t Remote = 0;     ///< Of these, sent to another data centre.
  std::uint64_t TurnedAway = 0; ///< Refused by an upstream.
  std::uint64_t Executions = 0;
  std::uint64_t Repeated = 0; ///< Executions of a request that had been executed before.
  std::uint64_t RepeatedUnsafe = 0;
  double WorthInTime =
      0; ///< Worth of the requests answered within their objective, per worth sent.
  double WorthEarned = 0;     ///< The same with late answers at their routes' LateShare.
  double SlotUse = 0;         ///< Mean share of slots in use.
  double BusiestOverMean = 0; ///< Slot use of the busiest upstream of the first service.
  bool operator==(const ModelResult &) const = default;
};

/// Plays a load. Equal settings give equal results.
/// @param progress receives the virtual seconds played, once for each; may be null.
ModelResult playLoad(const ModelSettings &settings,
                     const std::function<void(double)> &progress = nullptr);

} // namespace jasmineloom
