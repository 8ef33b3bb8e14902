/// @file environment.h The interfaces that depend on where a node is deployed: header names,
/// management calls, the store's protocol and the operators' configuration format.
#pragma once

#include "config/config_type.h"
#include "rollout/rollout_type.h"
#include "store/store_type.h"
#include "traffic/announcement.h"

#include <absl/status/statusor.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace jasmineloom {

/// Names of the HTTP headers shared with callers and upstreams. Empty: the header is not used.
struct HttpHeaderNames {
  std::string Deadline;      ///< From callers: time limit in ms; to upstreams: time left in ms.
  std::string RequestID;     ///< Identifies a request; responses echo it.
  std::string CallerService; ///< Service on the host that the request came from.
  std::string Upstream;      ///< In requests: the upstream that is to run the request.
  std::string RespondingUpstream; ///< In responses: the upstream that responded.
  std::string NotRun;             ///< In responses: the upstream has not run the request.
  std::string Signature;          ///< Only in complete responses of the upstream itself.
  std::string Leaving{};          ///< In responses: "1" if the upstream leaves.
  std::string Limit{};            ///< In responses: requests per second that the upstream takes.
  std::string ApiKey{};           ///< From callers: ApiKeyScheme, a space and the key.
  std::string ApiKeyScheme{};     ///< Compared case-insensitively.
  std::string Workspace{};        ///< In requests: workspace of the caller's key.
  /// In responses: requests running, waiting and slots, and the time that work takes at present in
  /// percent of the usual; comma-separated. The last may be missing.
  std::string Load{};
  std::string WarmUpLeft{}; ///< In health responses: remaining time of warming up, ms.
  std::string HealthPath{}; ///< Path at which upstreams answer health questions.
};

// --- Management calls ---

struct ReadinessQuery {};
struct HealthQuery {};
struct MetricsQuery {};
struct DrainCommand {};
/// Deregisters an upstream, which sends no further heartbeats.
struct Withdrawal {
  UpstreamID ID;
};
/// A call with an unknown path or malformed content.
struct InvalidCall {
  int Status = 404;
  std::string Reason;
};
using ManagementCall = std::variant<ReadinessQuery, HealthQuery, MetricsQuery, DrainCommand,
                                    Announcement, Withdrawal, InvalidCall>;

/// An HTTP request to the management port, before parsing.
struct ManagementRequest {
  std::string Method;
  std::string Path;
  std::string Query;
  std::string Body;
};

// --- Configuration that operators write to the store as one document ---

/// A complete configuration.
struct ConfigDocument {
  ConfigVersion Version = 0;
  std::vector<ConfigObject> Objects;
};

/// Orders that a service's traffic be moved to another version within a given time.
struct RolloutOrder {
  ServiceName Service;
  VersionLabel To;
  DurationMs Duration = 0;
  std::uint64_t Number = 0; ///< Store revision of the order, so it increases within an era.
  std::uint64_t Era = 0;    ///< Era of the store in which the order was read; 0: not stated.
  auto operator<=>(const RolloutOrder &) const = default;
};

/// Orders that nothing more be sent to the upstreams of a data centre, or takes that back.
struct EvacuationEntry {
  DataCentreName DataCentre;
  std::uint64_t Revision = 0; ///< Store revision of the change.
  bool Active = false;        ///< False: the order was removed.
  auto operator<=>(const EvacuationEntry &) const = default;
};

/// Decoded entry below DocumentFormat::Prefix.
using DocumentEntry = std::variant<std::monostate, ConfigDocument, RolloutOrder, EvacuationEntry>;

/// Store keys and formats of the operators' configuration, and of the rollout states that they
/// read.
struct DocumentFormat {
  std::string Prefix;    ///< Prefix of the keys that operators write; nodes only read them.
  std::string ConfigKey; ///< Key of the newest configuration.
  /// @returns the decoded entry; monostate if it was removed or its key is not used.
  absl::StatusOr<DocumentEntry> (*Decode)(const StoreEntry &entry) = nullptr;
  /// @returns the key under which the progress of a service's rollout is published.
  std::string (*StatusKey)(const ServiceName &service) = nullptr;
  std::string (*EncodeStatus)(const RolloutProgress &progress) = nullptr;
  /// @returns the published progress, or nullopt if the text is malformed.
  std::optional<RolloutProgress> (*DecodeStatus)(const std::string &text) = nullptr;
};

/// Everything that differs between the deployments selected by --surroundings.
struct Environment {
  HttpHeaderNames Http;
  ManagementCall (*ReadManagement)(const ManagementRequest &request) = nullptr;
  /// @returns the response body for heartbeats and deregistrations.
  std::string (*HeartbeatResponse)() = nullptr;
  StoreProtocol Store;
  std::optional<DocumentFormat> Document; ///< Empty: operators change the configuration by RPC.
};

/// Returns the project's own headers and management calls, with etcd as the store.
Environment nativeEnvironment();

} // namespace jasmineloom
