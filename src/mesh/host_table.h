/// @file host_table.h All hosts that a node knows, merged from every link; reads by cursor.
#pragma once

#include "mesh/host_type.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace jasmineloom {

/// A part of a table for one link.
struct HostBatch {
  std::vector<HostRecord> Records;
  std::uint64_t Cursor = 0; ///< Position in the table after these records.
};

/// Host records, each with the position of its last change. Merging is commutative, associative
/// and idempotent, so lost, doubled and crossed messages do no harm.
class HostTable {
public:
  /// Takes a record if it replaces the known one.
  /// @param from link that brought it; it is not sent back there.
  /// @param now present time; starts the retention of a Gone record.
  /// @returns whether the table changed.
  bool merge(const HostRecord &record, const HostID &from, TimeMs now);

  /// Forgets Gone records after their retention.
  void expire(TimeMs now);

  /// @returns the record of a host, or null.
  const HostRecord *find(const HostID &host) const;

  /// @returns the records changed after a cursor but for those learned from \p to.
  HostBatch changesSince(std::uint64_t cursor, const HostID &to, std::size_t limit) const;

  /// @returns whether after() would return records.
  bool hasChangesSince(std::uint64_t cursor, const HostID &to) const;

  /// @returns position of the last change.
  std::uint64_t cursor() const { return ChangeIndex; }

  /// @returns a sum over the hosts that are not gone; equal on nodes that agree.
  std::uint64_t digest() const { return Digest; }

  /// Calls a visitor for each record and the time at which it was found gone (0: it lives).
  template <typename VisitorT> void forEach(VisitorT visit) const {
    for (const auto &[host, entry] : Entries)
      visit(entry.Record, entry.GoneAt);
  }

  /// @returns the hosts of a data centre that are not gone.
  std::vector<HostID> members(const DataCentreName &dataCentre) const;

  /// @returns the number of records, gone ones included.
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

/// Time for which a Gone record is kept; longer than idempotency keys are remembered.
constexpr DurationMs TombstoneRetention = 700 * MsPerSecond;

} // namespace jasmineloom
