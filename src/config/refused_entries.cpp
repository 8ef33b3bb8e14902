/// @file refused_entries.cpp Entries of the operators' document that this node refuses.
#include "config/refused_entries.h"

#include <absl/strings/str_cat.h>
#include <xxhash.h>

namespace jasmineloom {

bool RefusedEntries::record(const std::string &key, const std::string &value,
                            const std::string &reason) {
  const std::uint64_t hash = XXH3_64bits(value.data(), value.size());
  const auto [it, added] = Entries.try_emplace(key);
  if (!added && it->second.Hash == hash)
    return false;
  it->second = {hash, reason};
  ++Total;
  return true;
}

std::map<std::string, std::string> RefusedEntries::reasons() const {
  std::map<std::string, std::string> reasons;
  for (const auto &[key, entry] : Entries)
    reasons[key] = entry.Reason;
  return reasons;
}

std::string describeInForce(ConfigVersion held) {
  if (held == 0)
    return "no configuration is in force, requests get 503";
  return absl::StrCat("version ", held, " stays in force as a whole");
}

} // namespace jasmineloom
