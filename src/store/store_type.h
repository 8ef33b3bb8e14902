/// @file store_type.h Requests to and responses from the key-value store.
#pragma once

#include "ids_type.h"

#include <string>
#include <variant>
#include <vector>

namespace jasmineloom {

/// A key with its value and the revision of its last change; revision 0: the key doesn't exist.
struct StoreEntry {
  std::string Key;
  std::string Value;
  std::int64_t Revision = 0;
  bool Removed = false; ///< Watches only: the key was deleted at this revision.
  bool operator==(const StoreEntry &) const = default;
};

struct StoreRead {
  std::string Key;
  bool operator==(const StoreRead &) const = default;
};
/// Lists the keys with a prefix, one page at a time.
struct StoreList {
  std::string Prefix;
  std::string AfterKey{};  ///< Lists keys greater than this one; empty: from the first one.
  bool AllowStale = false; ///< The response may be some seconds old; cheaper for the store.
  bool operator==(const StoreList &) const = default;
};
struct StorePut {
  std::string Key;
  std::string Value;
  std::int64_t Lease = 0;
  bool operator==(const StorePut &) const = default;
};
/// Compare-and-swap of one key; the deletions are part of the same transaction.
struct StoreCompareAndSwap {
  std::string Key;
  std::string Value;
  std::int64_t ExpectedRevision = 0; ///< 0: the key must not exist.
  std::vector<std::string> Deletions;
  bool operator==(const StoreCompareAndSwap &) const = default;
};
struct StoreGrantLease {
  std::int64_t Seconds = 0;
  bool operator==(const StoreGrantLease &) const = default;
};
struct StoreKeepAlive {
  std::int64_t Lease = 0;
  bool operator==(const StoreKeepAlive &) const = default;
};

/// Waits for changes under a prefix after a revision; the response may be empty.
struct StoreWatch {
  std::string Prefix;
  std::int64_t AfterRevision = 0;
  DurationMs Wait = 0;
  bool operator==(const StoreWatch &) const = default;
};

using StoreRequest = std::variant<StoreRead, StoreList, StorePut, StoreCompareAndSwap,
                                  StoreGrantLease, StoreKeepAlive, StoreWatch>;

enum class StoreResult : std::uint8_t {
  Ok,
  Conflict,    ///< The comparison failed, or the lease does not exist; nothing changed.
  Unavailable, ///< The request had no effect.
  Unknown,     ///< The request may or may not have taken effect, now or a little later.
  Compacted,   ///< The requested revision of a watch has been compacted; list the keys again.
};

struct StoreResponse {
  StoreResult Result = StoreResult::Unavailable;
  std::vector<StoreEntry> Entries{}; ///< Result of reads, lists and watches.
  std::int64_t Lease = 0;            ///< Granted or renewed lease; 0 if it had expired.
  std::int64_t Revision = 0;         ///< Revision of the whole store, if the protocol reports it.
  bool HasMore = false;              ///< The list continues after its last entry.
  /// Rises each time that the store comes back from an older copy; 0: not stated.
  std::uint64_t Era = 0;
};

enum class StoreHttpMethod : std::uint8_t { Get, Post };

/// HTTP request to the store.
struct StoreHttpRequest {
  StoreHttpMethod Verb = StoreHttpMethod::Post;
  std::string Path; ///< Includes the query string.
  std::string Body;
};

/// Encoding of store requests over HTTP; each protocol passes the same contract test.
struct StoreProtocol {
  StoreHttpRequest (*Encode)(const StoreRequest &request) = nullptr;
  /// @returns the response decoded from a complete HTTP response.
  StoreResponse (*Decode)(const StoreRequest &request, int status,
                          const std::string &body) = nullptr;
  bool LongPoll = false;   ///< The store delays the response to StoreWatch until a key changes.
  std::string EraHeader{}; ///< Names the era of the store in all its responses; empty: none.
};

/// Protocol of the etcd v3 JSON gateway.
StoreProtocol etcdGatewayProtocol();

/// @returns the body of the etcd gateway's streaming watch of one key.
std::string encodeWatchRequest(const std::string &key);

} // namespace jasmineloom
