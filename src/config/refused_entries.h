/// @file refused_entries.h Entries of the operators' document that this node refuses.
#pragma once

#include "ids_type.h"

#include <cstdint>
#include <map>
#include <string>

namespace jasmineloom {

/// Remembers which content of each entry was refused, so that an entry which every read of the
/// document returns again is reported once.
class RefusedEntries {
public:
  /// Records that an entry is refused.
  /// @param reason names the object and the field.
  /// @returns whether this content was not refused before.
  bool record(const std::string &key, const std::string &value, const std::string &reason);
  /// Records that an entry is accepted, or removed.
  void clear(const std::string &key) { Entries.erase(key); }
  /// @returns the reasons of the entries that are refused at present, by key.
  std::map<std::string, std::string> reasons() const;
  /// @returns number of refusals that were reported.
  std::uint64_t total() const { return Total; }

private:
  struct RefusedEntry {
    std::uint64_t Hash = 0; ///< Of the refused content.
    std::string Reason;
  };

  std::map<std::string, RefusedEntry> Entries; ///< By key.
  std::uint64_t Total = 0;
};

/// @returns what applies while a configuration is refused: the last accepted version as a whole.
/// Parts of the refused one are never used, because nodes that differ in what they know would then
/// differ in what they serve.
/// @param held version held; 0: none.
std::string describeInForce(ConfigVersion held);

} // namespace jasmineloom
