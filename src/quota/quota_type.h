/// @file quota_type.h Quotas of workspaces, and what nodes tell each other to keep them together.
#pragma once

#include "ids_type.h"

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace jasmineloom {

/// Quota of a workspace over all nodes.
struct QuotaLimit {
  double PerSecond = 0;
  double Burst = 0;
  auto operator<=>(const QuotaLimit &) const = default;
};
using QuotaLimits = absl::flat_hash_map<std::string, QuotaLimit>; ///< By workspace.

/// Workspaces are divided among this many keepers. The same on all nodes.
constexpr std::uint32_t QuotaShards = 4;
/// Time in which a credit may be used, from the moment when it was asked for.
constexpr DurationMs CreditLife = 400;
/// Time for which a host lends its part of the quotas, from the keeper's stamp.
constexpr DurationMs LoanTime = 1200;
/// Time without an answer of a keeper after which a host no longer uses its own part.
constexpr DurationMs OwnPartTime = 30 * MsPerSecond;
/// Time for which a host that is gone still counts among those that divide the quotas: until it
/// surely no longer uses its part.
constexpr DurationMs PartRetention = OwnPartTime + 10 * MsPerSecond;

std::uint32_t quotaShardOf(const WorkspaceName &workspace);

/// Moment on a keeper's boot clock.
struct KeeperStamp {
  std::uint64_t Incarnation = 0; ///< Start of the keeper's process; 0: none.
  TimeMs At = 0;
  auto operator<=>(const KeeperStamp &) const = default;
};

/// Credits that a host asks for.
struct QuotaNeed {
  WorkspaceName Workspace;
  std::uint32_t Waiting = 0; ///< For requests that wait for them.
  std::uint32_t Ahead = 0;   ///< For requests that are expected.
  auto operator<=>(const QuotaNeed &) const = default;
};

/// Call of a host to the keeper of a shard.
struct QuotaAsk {
  HostID Host;
  std::uint32_t Shard = 0;
  std::uint32_t Hosts = 0; ///< Number of hosts that divide the quotas, as the caller knows them.
  KeeperStamp Stamp;       ///< Of the keeper's last answer.
  bool Lends = false;      ///< Lends its part for LoanTime from the stamp; else takes it back.
  std::vector<QuotaNeed> Needs;
  auto operator<=>(const QuotaAsk &) const = default;
};

struct QuotaGrant {
  WorkspaceName Workspace;
  std::uint32_t Credits = 0;
  DurationMs Wait = 0; ///< If they were too few: time until the next one.
  auto operator<=>(const QuotaGrant &) const = default;
};

struct QuotaAnswer {
  KeeperStamp Stamp;
  std::uint32_t Hosts = 0;        ///< As the keeper knows them.
  bool Holds = false;             ///< The keeper holds a loan of the caller.
  std::uint32_t LentPerMille = 0; ///< Share of the quotas that hosts have lent to the keeper.
  std::vector<QuotaGrant> Grants;
  auto operator<=>(const QuotaAnswer &) const = default;
};

// --- Decisions on a request ---

/// The request may be sent.
struct QuotaCredit {
  TimeMs Until = 0; ///< Until then it may be given back if the request was not run.
  auto operator<=>(const QuotaCredit &) const = default;
};
/// The request is beyond the quota.
struct QuotaExceeded {
  DurationMs Wait = 0;
  auto operator<=>(const QuotaExceeded &) const = default;
};
/// The node has no part of the quota that it may use.
struct QuotaUnproved {
  DurationMs Wait = 0;
  auto operator<=>(const QuotaUnproved &) const = default;
};
using QuotaDecision = std::variant<QuotaCredit, QuotaExceeded, QuotaUnproved>;

// --- Encoding of calls and answers as text ---

std::string encodeAsk(const QuotaAsk &ask);
/// @returns nullopt if the text is malformed.
std::optional<QuotaAsk> decodeAsk(std::string_view text);
std::string encodeAnswer(const QuotaAnswer &answer);
/// @returns nullopt if the text is malformed.
std::optional<QuotaAnswer> decodeAnswer(std::string_view text);

} // namespace jasmineloom
