/// @file store_type.h The contract with the platform's key-value service.
#pragma once

#include "ids_type.h"

#include <string>
#include <variant>
#include <vector>

namespace jasmineloom {

/// A key with its value and the revision of its last change; revision 0: it doesn't exist.
struct StoreEntry {
  std::string Key;
  std::string Value;
  std::int64_t Revision = 0;
  bool Removed = false; ///< In a watch: the key was deleted at this revision.
  bool operator==(const StoreEntry &) const = default;
};

struct StoreRead {
  std::string Key;
  bool operator==(const StoreRead &) const = default;
};
/// Reads all keys that start with a prefix.
struct StoreList {
  std::string Prefix;
  std::string AfterKey{};  ///< Starts behind this key; empty: at the first one.
  bool AllowStale = false; ///< The answer may be some seconds old; costs the store less.
  bool operator==(const StoreList &) const = default;
};
struct StorePut {
  std::string Key;
  std::string Value;
  std::int64_t Lease = 0;
  bool operator==(const StorePut &) const = default;
};
/// Compare-and-swap of one key; the deletions take effect together with it.
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

/// Waits for changes under a prefix after a revision; the answer may be empty.
struct StoreWatch {
  std::string Prefix;
  std::int64_t AfterRevision = 0;
  DurationMs Wait = 0;
  bool operator==(const StoreWatch &) const = default;
};

using StoreRequest = std::variant<StoreRead, StoreList, StorePut, StoreCompareAndSwap,
                                  StoreGrantLease, StoreKeepAlive, StoreWatch>;

/// How a request to the store ended.
enum class StoreResult : std::uint8_t {
  Ok,
  Conflict,    ///< The comparison of a swap failed; nothing changed.
  Unavailable, ///< The request had no effect.
  Unknown,     ///< The request may or may not have taken effect, now or a little later.
  Compacted,   ///< The history that a watch asked for is gone; what exists has to be listed.
};

struct StoreResponse {
  StoreResult Result = StoreResult::Unavailable;
  std::vector<StoreEntry> Entries{}; ///< Of reads, lists and watches.
  std::int64_t Lease = 0;            ///< Of a grant; 0 of a keep-alive whose lease has lapsed.
  std::int64_t Revision = 0;         ///< Of the whole store, where the protocol tells it.
  bool HasMore = false;              ///< A list goes on behind its last entry.
};

enum class StoreHttpMethod : std::uint8_t { Get, Post };

/// A call of the store's HTTP interface.
struct StoreHttpRequest {
  StoreHttpMethod Verb = StoreHttpMethod::Post;
  std::string Path; ///< With the query.
  std::string Body;
};

/// The form in which a store takes requests; each form passes the same contract test.
struct StoreProtocol {
  /// @returns the call of a request.
  StoreHttpRequest (*Encode)(const StoreRequest &request) = nullptr;
  /// @returns the answer in a whole reply.
  StoreResponse (*Decode)(const StoreRequest &request, int status,
                          const std::string &body) = nullptr;
  bool LongPoll = false; ///< StoreWatch is answered when something has changed.
};

/// @returns the protocol of the published etcd v3 JSON gateway.
StoreProtocol etcdGatewayProtocol();

/// @returns the body of the etcd gateway's streaming watch of one key.
std::string encodeWatchRequest(const std::string &key);

} // namespace jasmineloom
