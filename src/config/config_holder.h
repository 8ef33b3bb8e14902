/// @file config_holder.h The active configuration of a node and the rules for replacing it.
#pragma once

#include "config/config_func.h"
#include "config/delta_codec.h"

#include <deque>
#include <map>
#include <memory>

namespace jasmineloom {

enum class OfferResult {
  Applied,    ///< The delta was valid and is now active.
  Stale,      ///< Not newer than the active version; nothing changed.
  BelowFloor, ///< Older than a version that this host held before its restart; nothing changed.
  NeedFull,   ///< The delta can't be applied to the active version; a full snapshot is needed.
  Refused,    ///< The resulting configuration is not valid; nothing changed.
};

/// Holds the active snapshot. Versions only increase, and updates are atomic.
class ConfigHolder {
public:
  /// Validates and applies a delta.
  /// lastError() holds the reason after NeedFull and Refused.
  OfferResult offer(const ConfigDelta &delta);

  /// Raises the lowest version that may be applied, so that a restarted host doesn't go back.
  /// @param version highest version that this host is known to have acknowledged.
  void raiseFloor(ConfigVersion version);

  /// Records that a version exists in the mesh; the difference to heldVersion() is this node's lag.
  void observeVersion(ConfigVersion version);

  /// @returns the held snapshot, or null before the first one.
  const SnapshotPtr &held() const { return Held; }
  ConfigVersion heldVersion() const { return Held ? Held->Version : 0; }
  std::uint64_t heldDigest() const { return Held ? Held->Digest : 0; }
  ConfigVersion knownVersion() const { return Known; }
  ConfigVersion floorVersion() const { return Floor; }
  const std::string &lastError() const { return LastError; }

  /// @returns a delta from the receiver's version, or a full one if that version is no longer kept.
  /// @param version version that the receiver holds, 0 if none.
  /// @param digest digest of that version; a mismatch makes the delta full.
  ConfigDelta deltaFrom(ConfigVersion version, std::uint64_t digest) const;

  /// @returns the encoding of deltaFrom(); it is computed once per base version.
  std::shared_ptr<const EncodedDelta> encodedDeltaFrom(ConfigVersion version, std::uint64_t digest);

private:
  const Snapshot *recentSnapshot(ConfigVersion version, std::uint64_t digest) const;

  SnapshotPtr Held;
  std::deque<SnapshotPtr> RecentSnapshots; ///< Base snapshots for deltas, newest first.
  /// Encoded deltas to the held snapshot, by base version; 0: the full snapshot.
  std::map<ConfigVersion, std::shared_ptr<const EncodedDelta>> EncodedDeltas;
  ConfigVersion Floor = 0;
  ConfigVersion Known = 0;
  std::string LastError;
};

} // namespace jasmineloom
