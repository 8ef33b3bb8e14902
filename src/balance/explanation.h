/// @file explanation.h Explains to operators where a request would go, without sending it.
#pragma once

#include "balance/placement.h"

#include <cstdint>
#include <string>
#include <vector>

namespace jasmineloom {

/// A request that is asked about.
struct ExplainQuery {
  std::string Host; ///< Value of its Host header; may be empty.
  std::string Path;
  WorkspaceName Workspace; ///< Of its caller; empty: the caller has no key.
  std::uint64_t Bytes = 0; ///< Size of its body.
  bool operator==(const ExplainQuery &) const = default;
};

/// A host of the service, as the asked node sees it.
struct ExplainedHost {
  HostID Host;
  DataCentreName DataCentre;
  VersionLabel Version;
  std::uint32_t Slots = 0;
  std::uint32_t Occupancy = 0;         ///< Requests that are estimated to run or wait there.
  std::uint32_t ServiceMs = 0;         ///< Mean service time; 0: not known.
  std::uint32_t FailurePerMille = 0;   ///< Recent requests that its upstream failed or rejected.
  std::optional<DurationMs> ReportAge; ///< Age of its last load report; nullopt: none.
  std::uint32_t ChancePerMille = 0;    ///< Chance of the request's first attempt to go there.
  std::vector<std::string> Excluded;   ///< Why it gets no new requests; empty: it may get some.
  bool operator==(const ExplainedHost &) const = default;
};

/// A service that the route names, with its share and its hosts.
struct ExplainedService {
  ServiceName Service;
  std::uint32_t SharePerMille = 0; ///< Of the route's requests.
  VersionLabel Version;            ///< Receives the traffic that a rollout doesn't.
  VersionLabel NewVersion;         ///< Of a running rollout; empty: none.
  std::uint32_t NewSharePerMille = 0;
  std::vector<ExplainedHost> Hosts;
  bool operator==(const ExplainedService &) const = default;
};

struct Explanation {
  ConfigVersion Version = 0;      ///< In force at the asked node; 0: none.
  RouteName Route;                ///< Empty: no route matches.
  std::vector<std::string> Notes; ///< What decides about the request before a host is chosen.
  std::vector<ExplainedService> Services;
  bool operator==(const Explanation &) const = default;
};

/// Choices that are drawn to estimate the chances of the hosts.
constexpr std::size_t ExplainDraws = 400;

/// Explains where a request would go now.
/// @param view routing data in force; null: none.
/// @param random draws the choices; does not change what later requests get.
Explanation explainRequest(const RoutingView *view, const EndpointStats &stats,
                           const ExplainQuery &query, std::mt19937_64 random, TimeMs now);

} // namespace jasmineloom
