/// @file host_table.cpp Replicated table of host records, read incrementally by cursor.
#include "mesh/host_table.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace jasmineloom {

namespace {

std::uint64_t digestOf(const HostRecord &record) {
  if (record.State == HostState::Gone)
    return 0;
  const std::uint64_t seed = record.Incarnation * 31 + record.Sequence;
  return XXH3_64bits_withSeed(record.Host.str().data(), record.Host.str().size(), seed);
}

} // namespace

bool HostTable::merge(const HostRecord &record, const HostID &from, TimeMs now) {
  Entry &entry = Entries[record.Host];
  const bool isNew = entry.ChangeIndex == 0;
  const bool newer = isNew || replaces(record, entry.Record);
  const bool keysLost =
      !isNew && record.Incarnation > entry.Record.Incarnation && !entry.Record.KeysHandedOver;
  const std::uint64_t lostIncarnation = keysLost ? entry.Record.Incarnation : 0;
  const std::uint64_t replaced =
      std::max({record.ReplacedIncarnation, entry.Record.ReplacedIncarnation, lostIncarnation});
  if (!newer && replaced == entry.Record.ReplacedIncarnation)
    return false;
  if (!isNew) {
    ByChangeIndex.erase(entry.ChangeIndex);
    Digest -= digestOf(entry.Record);
  }
  if (newer) {
    const std::string earlier = std::exchange(entry.Record, record).Departed;
    if (entry.Record.Departed.empty())
      entry.Record.Departed = earlier;
  }
  entry.Record.ReplacedIncarnation = replaced;
  entry.From = from;
  entry.ChangeIndex = ++ChangeIndex;
  entry.GoneAt = entry.Record.State == HostState::Gone ? now : 0;
  ByChangeIndex.emplace(entry.ChangeIndex, record.Host);
  Digest += digestOf(entry.Record);
  return true;
}

void HostTable::expire(TimeMs now) {
  for (auto it = Entries.begin(); it != Entries.end();) {
    const Entry &entry = it->second;
    if (entry.GoneAt == 0 || now < entry.GoneAt + TombstoneRetention) {
      ++it;
      continue;
    }
    ByChangeIndex.erase(entry.ChangeIndex);
    it = Entries.erase(it);
  }
}

const HostRecord *HostTable::find(const HostID &host) const {
  const auto it = Entries.find(host);
  return it == Entries.end() ? nullptr : &it->second.Record;
}

HostBatch HostTable::changesSince(std::uint64_t cursor, const HostID &to, std::size_t limit) const {
  HostBatch batch;
  batch.Cursor = cursor;
  for (auto it = ByChangeIndex.upper_bound(cursor); it != ByChangeIndex.end(); ++it) {
    if (batch.Records.size() >= limit)
      return batch;
    batch.Cursor = it->first;
    const Entry &entry = Entries.at(it->second);
    if (entry.From == to)
      continue;
    batch.Records.push_back(entry.Record);
  }
  batch.Cursor = std::max(batch.Cursor, ChangeIndex);
  return batch;
}

bool HostTable::hasChangesSince(std::uint64_t cursor, const HostID &to) const {
  for (auto it = ByChangeIndex.upper_bound(cursor); it != ByChangeIndex.end(); ++it) {
    if (Entries.at(it->second).From != to)
      return true;
  }
  return false;
}

std::size_t HostTable::countReady(const ServiceName &service) const {
  return static_cast<std::size_t>(
      std::count_if(Entries.begin(), Entries.end(), [&service](const auto &it) {
        const HostRecord &record = it.second.Record;
        return record.Service == service && record.State == HostState::Ready;
      }));
}

std::vector<HostID> HostTable::members(const DataCentreName &dataCentre) const {
  std::vector<HostID> found;
  for (const auto &[host, entry] : Entries) {
    if (entry.Record.State == HostState::Gone || entry.Record.DataCentre != dataCentre)
      continue;
    found.push_back(host);
  }
  return found;
}

} // namespace jasmineloom
