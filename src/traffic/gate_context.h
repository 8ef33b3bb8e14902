/// @file gate_context.h A request at the gate.
#pragma once

#include "traffic/gate_task.h"

namespace jasmineloom {

/// Period in which a gate reports its evidence on a running rollout.
constexpr DurationMs EvidencePeriod = 500;

/// @param kept name of a field that is forwarded although it has the prefix of internal ones.
/// @returns the fields to forward: neither hop-by-hop nor internal to the nodes.
HeaderFields withoutInternalFields(HeaderFields fields, const std::string &kept = {});

/// State of a request from its arrival until its response is sent.
struct GateTask::RequestContext {
  HttpRequest Request;
  std::string CallerRequestID; ///< Empty if the caller set none.
  TimeMs ArrivedAt = 0;
  GateRequest Attributes;
  RouteName Route;
  std::string Key;
  std::uint64_t KeyHash = 0;
  std::string ScopedKey;         ///< The key, prefixed with the service name.
  std::vector<HostID> GrantedBy; ///< Holders that granted the claim; may include this host.
  std::size_t PendingClaims = 0;
  std::uint32_t ClaimRounds = 0;
  bool KeyUnproved = false;
  bool KeyUsed = false;
  bool TableFull = false;
  bool HolderUnreachable = false;
  bool ReachedUpstream = false; ///< Sent to the upstream.
  bool Running = false;
  bool CallerDisconnected = false;
  HttpCallID Call = 0;
  std::uint64_t ForwardedAtUs = 0;
  UpstreamGeneration Generation = 0; ///< Of the upstream when the request was started.
  std::string UpstreamAddress;       ///< IP:port that the request was sent to.
};

} // namespace jasmineloom
