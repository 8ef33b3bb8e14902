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
  bool operator==(const StoreEntry &) const = default;
};

struct StoreRead {
  std::string Key;
  bool operator==(const StoreRead &) const = default;
};
/// Reads all keys that start with a prefix.
struct StoreList {
  std::string Prefix;
  bool operator==(const StoreList &) const = default;
};
struct StorePut {
  std::string Key;
  std::string Value;
  std::int64_t Lease = 0;
  bool operator==(const StorePut &) const = default;
};
/// Compare-and-swap of one key; the deletions take effect together with it.
struct StoreSwap {
  std::string Key;
  std::string Value;
  std::int64_t ExpectedRevision = 0; ///< 0: the key must not exist.
  std::vector<std::string> Deletions;
  bool operator==(const StoreSwap &) const = default;
};
struct StoreGrantLease {
  std::int64_t Seconds = 0;
  bool operator==(const StoreGrantLease &) const = default;
};
struct StoreKeepAlive {
  std::int64_t Lease = 0;
  bool operator==(const StoreKeepAlive &) const = default;
};

using StoreRequest =
    std::variant<StoreRead, StoreList, StorePut, StoreSwap, StoreGrantLease, StoreKeepAlive>;

/// How a request to the store ended.
enum class StoreResult : std::uint8_t {
  Ok,
  Conflict,    ///< The comparison of a swap failed; nothing changed.
  Unavailable, ///< The request had no effect.
  Unknown,     ///< The request may or may not have taken effect, now or a little later.
};

struct StoreAnswer {
  StoreResult Result = StoreResult::Unavailable;
  std::vector<StoreEntry> Entries; ///< Of reads and lists.
  std::int64_t Lease = 0;          ///< Of a grant; 0 of a keep-alive whose lease has lapsed.
};

/// A call of the published etcd v3 JSON gateway.
struct GatewayCall {
  std::string Path;
  std::string Body;
};

/// @returns the gateway call of a request.
GatewayCall encodeStoreRequest(const StoreRequest &request);
/// @returns the answer in a gateway's reply of status 200.
StoreAnswer decodeStoreReply(const StoreRequest &request, const std::string &body);
/// @returns the body of a watch of one key.
std::string encodeWatch(const std::string &key);

} // namespace jasmineloom
