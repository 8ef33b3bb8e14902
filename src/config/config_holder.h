/// @file config_holder.h What a node holds of the configuration, and the rules for replacing it.
#pragma once

#include "config/config_func.h"

#include <deque>

namespace jasmineloom {

/// Result of offering a delta to a holder.
enum class OfferResult {
  Applied,    ///< Validated as a whole and switched to.
  Stale,      ///< Not newer than what is held; nothing changed.
  BelowFloor, ///< Older than what this host had held before its restart; nothing changed.
  NeedFull,   ///< The delta doesn't fit the held version; a full snapshot is needed.
  Refused,    ///< The content is not valid; nothing changed.
};

/// Holds one snapshot. Versions only rise; a snapshot is applied whole or not at all.
class ConfigHolder {
public:
  /// Validates and applies a delta.
  /// @returns what became of it; lastError() tells why if it was refused.
  OfferResult offer(const ConfigDelta &delta);

  /// Raises the version below which nothing may be applied.
  /// @param version highest version that this host is known to have acknowledged.
  void raiseFloor(ConfigVersion version);

  /// Notes a version that exists somewhere, so that lag is visible.
  void observeVersion(ConfigVersion version);

  /// @returns the held snapshot, or null before the first one.
  const SnapshotPtr &held() const { return Held; }
  ConfigVersion heldVersion() const { return Held ? Held->Version : 0; }
  std::uint64_t heldDigest() const { return Held ? Held->Digest : 0; }
  ConfigVersion knownVersion() const { return Known; }
  ConfigVersion floorVersion() const { return Floor; }
  const std::string &lastError() const { return LastError; }

  /// @returns a delta from the receiver's version, or a full one if that version is no longer kept.
  /// @param version what the receiver holds, 0 if nothing.
  /// @param digest digest of what the receiver holds; a mismatch makes the delta full.
  ConfigDelta deltaFrom(ConfigVersion version, std::uint64_t digest) const;

private:
  SnapshotPtr Held;
  std::deque<SnapshotPtr> Earlier; ///< Recent snapshots that deltas can start from, newest first.
  ConfigVersion Floor = 0;
  ConfigVersion Known = 0;
  std::string LastError;
};

} // namespace jasmineloom
