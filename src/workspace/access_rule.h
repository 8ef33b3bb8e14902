/// @file access_rule.h Decides whether a caller's request may be sent, and for which workspace.
#pragma once

#include "config/config_type.h"
#include "routing/outcome_type.h"
#include "workspace/workspace_table.h"

#include <string_view>
#include <variant>

namespace jasmineloom {

/// How a node checks keys.
struct AccessTerms {
  std::string_view Scheme;       ///< Before the key in the header's value; any case.
  DurationMs RevocationTime = 0; ///< A key is refused this long after it was taken away; 0: off.
  DurationMs InForceTime = 0;    ///< Maximum time until a change is in force on all nodes.
};

/// The request may be sent.
struct AccessGranted {
  WorkspaceName Workspace; ///< Empty: the route needs no key.
  std::uint32_t Worth = 0; ///< Priority of the request.
  auto operator<=>(const AccessGranted &) const = default;
};
struct AccessRefused {
  Refusal Reason = Refusal::None;
  auto operator<=>(const AccessRefused &) const = default;
};
using AccessDecision = std::variant<AccessGranted, AccessRefused>;

/// @returns whether a node may serve keys of its configuration.
/// @param provedAt latest time at which its configuration is known to have been the newest; 0:
/// never. Both times are on the boot clock.
bool maySpeakForKeys(TimeMs provedAt, DurationMs revocationTime, TimeMs now);

/// @returns whether a header's value has a scheme, in any case.
bool hasScheme(std::string_view credentials, std::string_view scheme);

/// @returns the key in a header's value; empty if the value has another scheme.
std::string_view keyIn(std::string_view credentials, std::string_view scheme);

/// Decides on a request. A caller does not repeat a request after 401, so an unknown key is refused
/// for good only by a node whose configuration is known to be no older than the time that a change
/// takes; other nodes refuse it for now.
/// @param credentials value of the key's header; empty: there is none.
/// @param provedAt see maySpeakForKeys().
/// @param now read after the request was.
AccessDecision decideAccess(const RouteSpec &route, std::string_view credentials,
                            const WorkspaceTable &table, const AccessTerms &terms, TimeMs provedAt,
                            TimeMs now);

} // namespace jasmineloom
