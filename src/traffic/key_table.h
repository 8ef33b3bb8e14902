/// @file key_table.h Idempotency keys of non-idempotent requests, which run at most once.
#pragma once

#include "mesh/host_table.h"
#include "routing/outcome_type.h"

#include <deque>
#include <unordered_map>
#include <vector>

namespace jasmineloom {

/// Time for which a key is kept. A caller must not retry a request later than this.
constexpr DurationMs KeyRetention = 600 * MsPerSecond;
/// Capacity of the table, at 64 bytes a key.
constexpr std::size_t MaxKeys = 100000;
/// Established hosts, up for the whole retention time, that must hold each key. With two, one of
/// them may be lost without losing the key.
constexpr std::size_t MinEstablishedHolders = 2;
/// Upper limit of the hosts that hold one key.
constexpr std::size_t MaxKeyHolders = 32;

/// Result of claiming a key.
enum class KeyClaim : std::uint8_t {
  New,  ///< Not claimed within the retention time; now stored.
  Used, ///< Claimed before.
  Full, ///< The table is full; nothing was stored.
};

/// A claimed key and its time of expiry.
struct ClaimedKey {
  std::uint64_t Key = 0;
  TimeMs Expires = 0;
  auto operator<=>(const ClaimedKey &) const = default;
};

/// Keys claimed at one host. A claimed key is never evicted before it expires.
class KeyTable {
public:
  KeyClaim claim(std::uint64_t key, TimeMs now);
  /// Removes the claim of a request that certainly did not run.
  void release(std::uint64_t key);
  /// Adds a key handed over by a host that shuts down, even if the table is full.
  void addTransferred(const ClaimedKey &key);
  std::vector<ClaimedKey> claimedKeys() const;
  std::size_t size() const { return Keys.size(); }

private:
  std::unordered_map<std::uint64_t, TimeMs> Keys; ///< Time of expiry by key.
  std::deque<ClaimedKey> ByAge;
};

/// A host that may hold keys of its service.
struct KeyHolder {
  HostID Host;
  TimeMs TableSince = 0;   ///< When its table was started empty.
  TimeMs GoneAt = 0;       ///< When it was found gone; 0 while it is up.
  bool HandedOver = false; ///< It shut down after sending its keys to all others.
  bool Restarted = false;  ///< An earlier process of the host lost its table.
};

/// Hosts at which a key must be claimed before its request runs.
struct KeyClaimPlan {
  std::vector<HostID> Holders; ///< In rendezvous order; each must return New.
  bool Provable = false;       ///< False: too many tables were lost to prove that the key is new.
  bool operator==(const KeyClaimPlan &) const = default;
};

/// Selects the holders of a key: the hosts of the service in rendezvous order, up to the second one
/// that has been up for the whole retention time. The holders of any two claims of a key overlap
/// unless two of the hosts lost their tables within the retention time.
/// @param hosts the service's hosts, including those lost within the retention time.
KeyClaimPlan planKeyClaim(const std::vector<KeyHolder> &hosts, const std::string &key, TimeMs now);

} // namespace jasmineloom
