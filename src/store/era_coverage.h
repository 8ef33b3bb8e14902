/// @file era_coverage.h Tells whether a process knows what the store may have lost.
#pragma once

#include "ids_type.h"

#include <optional>
#include <string>

namespace jasmineloom {

/// Key of the latest EraRecord.
constexpr const char *EraKey = "/jasmineloom/era";

/// Statement, kept in the store, that the nodes know what was accepted before an era. A store that
/// comes back from an older copy shows the record of an earlier era, or none.
struct EraRecord {
  std::uint64_t Era = 0;
  ConfigVersion Version = 0; ///< Held by the node that wrote the record.
  auto operator<=>(const EraRecord &) const = default;
};

std::string encodeEraRecord(const EraRecord &record);
/// @returns nullopt if the text is malformed.
std::optional<EraRecord> decodeEraRecord(const std::string &text);

/// Follows for which era of the store this process knows the configurations that were accepted
/// before. A process that runs while the era changes knows them. One that starts has only what the
/// store shows, which may have been lost or taken back; it has to hear of the present era from the
/// store's record or from a node that covers it. Where nobody answers for long, nobody else knows
/// more.
class EraCoverage {
public:
  /// @param patience time for which an era is not believed without a statement on it.
  explicit EraCoverage(DurationMs patience) : Patience(patience) {}

  /// Records the era of an answer of the store.
  /// @param era 0: none was stated.
  void recordAnswer(std::uint64_t era, TimeMs now);
  /// Records what the store holds under EraKey.
  /// @param record nullopt: no era was recorded yet, so the store has lost none.
  /// @param era of the answer.
  void recordRecord(const std::optional<EraRecord> &record, std::uint64_t era);
  /// Records that a peer covers an era.
  void recordPeer(std::uint64_t era);
  /// @returns whether what the store shows in an era may be believed.
  bool covers(std::uint64_t era, TimeMs now) const;
  /// @returns the latest era that this process covers; 0: none, or none was stated.
  std::uint64_t latest() const { return Latest.value_or(0); }

private:
  DurationMs Patience;
  std::optional<std::uint64_t> Latest;
  TimeMs UncoveredSince = 0; ///< When the store first answered in an era not covered; 0: never.
};

} // namespace jasmineloom
