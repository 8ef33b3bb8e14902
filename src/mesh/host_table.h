/// @file host_table.h Replicated table of host records, read incrementally by cursor.
#pragma once

#include "mesh/host_type.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace jasmineloom {

/// Part of a table, for one message.
struct HostBatch {
  std::vector<HostRecord> Records;
  std::uint64_t Cursor = 0; ///< Change index up to which the table is covered.
};

/// Host records, each with the index of its last change. Merging is commutative, associative and
/// idempotent, so lost, duplicated and reordered messages are harmless.
class HostTable {
public:
  /// Merges a record if it is newer than the known one.
  /// @param from peer that sent the record; it is not sent back to this peer.
  /// @param now steady time; starts the retention of a tombstone.
  /// @returns whether the table changed.
  bool merge(const HostRecord &record, const HostID &from, TimeMs now);

  /// Removes tombstones (records in state Gone) after their retention.
  void expire(TimeMs now);

  /// @returns the record, or null if the host is unknown.
  const HostRecord *find(const HostID &host) const;

  /// @returns up to \p limit records that changed after a cursor, without those sent by \p to.
  HostBatch changesSince(std::uint64_t cursor, const HostID &to, std::size_t limit) const;

  /// @returns whether changesSince() would return records.
  bool hasChangesSince(std::uint64_t cursor, const HostID &to) const;

  /// @returns the index of the last change.
  std::uint64_t cursor() const { return ChangeIndex; }

  /// @returns a sum of hashes over the hosts that are not gone; equal for tables that agree.
  std::uint64_t digest() const { return Digest; }

  /// Calls \p visit for each record with the time at which the host was found gone; 0 if it is not.
  template <typename VisitorT> void forEach(VisitorT visit) const {
    for (const auto &[host, entry] : Entries)
      visit(entry.Record, entry.GoneAt);
  }

  /// @returns the hosts of a data centre that are not gone.
  std::vector<HostID> members(const DataCentreName &dataCentre) const;

  /// @returns the number of hosts that are ready to serve a service.
  std::size_t countReady(const ServiceName &service) const;

  /// @returns the number of records, including tombstones.
  std::size_t size() const { return Entries.size(); }

private:
  struct Entry {
    HostRecord Record;
    std::uint64_t ChangeIndex = 0;
    HostID From;
    TimeMs GoneAt = 0;
  };

  std::unordered_map<HostID, Entry> Entries;
  std::map<std::uint64_t, HostID> ByChangeIndex;
  std::uint64_t ChangeIndex = 0;
  std::uint64_t Digest = 0;
};

/// Time for which a tombstone is kept; longer than the retention of idempotency keys.
constexpr DurationMs TombstoneRetention = 700 * MsPerSecond;

} // namespace jasmineloom
