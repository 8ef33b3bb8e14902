/// @file key_table.h Remembers the idempotency keys of requests that run at most once.
#pragma once

#include "mesh/host_table.h"
#include "traffic/traffic_type.h"

#include <deque>
#include <unordered_map>
#include <vector>

namespace jasmineloom {

/// Time for which a key is remembered; a caller must not send a request again after it.
constexpr DurationMs KeyRetention = 600 * MsPerSecond;
/// Keys remembered at most; 64 bytes each.
constexpr std::size_t MaxKeys = 100000;
/// Hosts that must have been up for the whole window among those that remember a key.
constexpr std::size_t KeyElders = 2;
/// Hosts that remember a key at most.
constexpr std::size_t MaxKeyHolders = 32;

/// Result of claiming a key.
enum class KeyClaim : std::uint8_t {
  New,  ///< Never seen within the window; now remembered.
  Used, ///< Claimed before.
  Full, ///< No room; nothing was remembered.
};

/// A key with the time until which it is remembered.
struct ClaimedKey {
  std::uint64_t Key = 0;
  TimeMs Expires = 0;
  auto operator<=>(const ClaimedKey &) const = default;
};

/// Keys claimed at one host. A key is never forgotten within its window.
class KeyTable {
public:
  /// Claims a key.
  KeyClaim claim(std::uint64_t key, TimeMs now);
  /// Takes back the claim of a request that is proved not to have run.
  void release(std::uint64_t key);
  /// Takes a key over from a host that leaves. Keys are taken over beyond the table's size.
  void addTransferred(const ClaimedKey &key);
  /// @returns all keys that are remembered.
  std::vector<ClaimedKey> all() const;
  std::size_t size() const { return Keys.size(); }

private:
  std::unordered_map<std::uint64_t, TimeMs> Keys; ///< With the time of expiry.
  std::deque<ClaimedKey> ByAge;
};

/// A host as far as key memory is concerned.
struct KeyHolder {
  HostID Host;
  TimeMs Since = 0;        ///< Start of its memory.
  TimeMs GoneSince = 0;    ///< When it was found gone; 0 while it lives.
  bool HandedOver = false; ///< It left in good order: all others have its keys.
  bool Restarted = false;  ///< An earlier process of the host had a memory that is lost.
};

/// Where a key has to be claimed before its request runs.
struct KeyClaimPlan {
  std::vector<HostID> Holders; ///< In rendezvous order; each has to say New.
  bool Provable = false;       ///< False: too many holders were lost within the window.
  bool operator==(const KeyClaimPlan &) const = default;
};

/// Works out the holders of a key: hosts of the service in rendezvous order up to the second one
/// that has been up for the whole window. Any host that can run the request next claims at one of
/// those that saw the first claim, unless two of them were lost within the window.
/// @param hosts the service's hosts, those lost within the window included.
KeyClaimPlan planKeyClaim(const std::vector<KeyHolder> &hosts, const std::string &key, TimeMs now);

} // namespace jasmineloom
