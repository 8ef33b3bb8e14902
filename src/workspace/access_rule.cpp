/// @file access_rule.cpp Decides whether a caller's request may be sent, and for which workspace.
#include "workspace/access_rule.h"

#include "workspace/key_digest.h"

#include <absl/strings/match.h>

namespace jasmineloom {

namespace {

/// Part of the revocation time kept free, for clocks that differ in speed and for rounding. Neither
/// the message's way nor a pause of the process needs any: a proof is dated by when it was asked
/// for, and a request is checked at a time read after it.
constexpr DurationMs RevocationMarginDivisor = 50;

/// @returns whether a proof is younger than a limit. A time in the future is no proof.
bool isYounger(TimeMs provedAt, DurationMs limit, TimeMs now) {
  return provedAt != 0 && provedAt <= now && now - provedAt < limit;
}

} // namespace

bool maySpeakForKeys(TimeMs provedAt, DurationMs revocationTime, TimeMs now) {
  return revocationTime == 0 ||
         isYounger(provedAt, revocationTime - revocationTime / RevocationMarginDivisor, now);
}

bool hasScheme(std::string_view credentials, std::string_view scheme) {
  const std::size_t end = scheme.size();
  return credentials.size() >= end && (credentials.size() == end || credentials[end] == ' ') &&
         absl::EqualsIgnoreCase(absl::string_view(credentials.data(), end),
                                absl::string_view(scheme.data(), end));
}

std::string_view keyIn(std::string_view credentials, std::string_view scheme) {
  const std::size_t end = scheme.size();
  if (credentials.size() <= end + 1 || !hasScheme(credentials, scheme))
    return {};
  credentials.remove_prefix(credentials.find_first_not_of(' ', end) < credentials.size()
                                ? credentials.find_first_not_of(' ', end)
                                : credentials.size());
  return credentials;
}

AccessDecision decideAccess(const RouteSpec &route, std::string_view credentials,
                            const WorkspaceTable &table, const AccessTerms &terms, TimeMs provedAt,
                            TimeMs now) {
  if (!route.NeedsKey)
    return AccessGranted{WorkspaceName(), route.Worth};
  const std::string_view key = keyIn(credentials, terms.Scheme);
  const bool isCurrent = isYounger(provedAt, terms.InForceTime, now);
  // A newer configuration may have made the route public.
  if (key.empty())
    return AccessRefused{isCurrent ? Refusal::NoKey : Refusal::ConfigUnproved};
  const Workspace *workspace = table.holderOf(digestOfKey(key));
  if (workspace == nullptr)
    return AccessRefused{isCurrent ? Refusal::UnknownKey : Refusal::ConfigUnproved};
  if (!maySpeakForKeys(provedAt, terms.RevocationTime, now))
    return AccessRefused{Refusal::ConfigUnproved};
  return AccessGranted{workspace->Name, workspace->Worth != 0 ? workspace->Worth : route.Worth};
}

} // namespace jasmineloom
