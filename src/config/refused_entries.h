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
  /// @returns whether this content was not refused before.
  bool record(const std::string &key, const std::string &value);
  /// Records that an entry is accepted, or removed.
  void clear(const std::string &key) { Hashes.erase(key); }
  /// @returns number of refusals that were reported.
  std::uint64_t total() const { return Total; }

private:
  std::map<std::string, std::uint64_t> Hashes; ///< Of the refused content, by key.
  std::uint64_t Total = 0;
};

/// @returns what applies while a configuration is refused: the last accepted version as a whole.
/// Parts of the refused one are never used, because nodes that differ in what they know would then
/// differ in what they serve.
/// @param held version held; 0: none.
std::string describeInForce(ConfigVersion held);

} // namespace jasmineloom
