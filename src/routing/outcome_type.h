/// @file outcome_type.h Outcomes and refusals of requests, and the headers that carry them.
#pragma once

#include "ids_type.h"

#include <cstdint>
#include <string_view>

namespace jasmineloom {

/// Outcome of a request, as reported to its caller.
enum class Outcome : std::uint8_t {
  Answered, ///< The complete response of the upstream.
  NotRun,   ///< Certainly not run by any upstream.
  Unknown,  ///< Sent to an upstream without a complete response; it may have run.
};

/// Why a node refused a request.
enum class Refusal : std::uint8_t {
  None,
  NoRoute,
  NoConfig,
  NoUpstream,
  Draining,
  Overloaded,
  WrongUpstream, ///< The host now serves another service or version.
  TakenBack,     ///< The upstream's version was rolled back.
  Quarantined,   ///< Identical requests have crashed upstreams.
  KeyInUse,      ///< The key was used before; this refusal does not give that request's outcome.
  KeyUnproved,   ///< Too many hosts were lost to prove that the key is new.
  KeyTableFull,
  Deadline,
  Busy,           ///< No slot is free and the request may not queue here.
  NotTaken,       ///< The upstream reported that it has not run the request.
  BadAnswer,      ///< The response belongs to another request or fails verification.
  UpstreamCut,    ///< The upstream closed the connection during the request; it may have crashed.
  Evacuated,      ///< Nothing may be sent to the host's data centre.
  WarmingUp,      ///< The upstream takes no more requests while it warms up.
  NoKey,          ///< The route needs a key, and the request has none.
  UnknownKey,     ///< No workspace of the current configuration has the key.
  ConfigUnproved, ///< The node can't prove that its configuration is the newest.
  OverQuota,      ///< The request is beyond its workspace's quota.
  QuotaUnknown,   ///< The node could not get a share of its workspace's quota.
  Transport,      ///< No connection to the gate or the upstream. Keep last.
};

/// @returns the name used in logs, metrics and response headers.
std::string_view nameOf(Outcome outcome);
std::string_view nameOf(Refusal refusal);

namespace header {
constexpr const char *Prefix = "x-jasmine-";
constexpr const char *Outcome = "x-jasmine-outcome";
constexpr const char *Reason = "x-jasmine-reason";
constexpr const char *Service = "x-jasmine-service";
constexpr const char *Version = "x-jasmine-version";
constexpr const char *Route = "x-jasmine-route";
constexpr const char *Worth = "x-jasmine-worth";
constexpr const char *Objective = "x-jasmine-objective-ms";
constexpr const char *Once = "x-jasmine-once";       ///< Present on non-idempotent requests.
constexpr const char *Suspect = "x-jasmine-suspect"; ///< The request may have crashed an upstream.
constexpr const char *Key = "idempotency-key";
constexpr const char *DeadlineMs = "x-jasmine-deadline-ms";
constexpr const char *Host = "x-jasmine-host";
/// The body is large: the gate decides by the header, and queues what it has let send its body.
constexpr const char *LargeBody = "x-jasmine-large-body";
constexpr const char *MayQueue = "x-jasmine-may-queue"; ///< The gate may queue the request.
/// Running and queued requests, mean service time in ms, failures per mille; comma-separated.
constexpr const char *Load = "x-jasmine-load";
/// In responses of a gate: requests per second, requests that may start now, and the upstream's
/// process; comma-separated. In requests: the limit and the process, as the sender knows them.
constexpr const char *Limit = "x-jasmine-limit";
/// In responses of a gate: its process and its clock; see PeerTime.
constexpr const char *Clock = "x-jasmine-clock";
/// In requests: the deadline on the clock of the gate that they are sent to.
constexpr const char *DeadlineAt = "x-jasmine-deadline-at";
constexpr const char *Leaving = "x-jasmine-leaving"; ///< The upstream's process leaves; its name.
constexpr const char *Reached = "x-jasmine-reached"; ///< The refused request reached an upstream.
constexpr const char *RetryAfter = "retry-after";    ///< Seconds, with fractions.
constexpr const char *Secret = "x-jasmine-secret";   ///< Shared secret on calls between nodes.
} // namespace header

} // namespace jasmineloom
