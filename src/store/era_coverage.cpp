/// @file era_coverage.cpp Tells whether a process knows what the store may have lost.
#include "store/era_coverage.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <vector>

namespace jasmineloom {

std::string encodeEraRecord(const EraRecord &record) {
  return absl::StrCat(record.Era, " ", record.Version);
}

std::optional<EraRecord> decodeEraRecord(const std::string &text) {
  const std::vector<std::string> parts = absl::StrSplit(text, ' ');
  EraRecord record;
  const bool valid = parts.size() == 2 && absl::SimpleAtoi(parts[0], &record.Era) &&
                     absl::SimpleAtoi(parts[1], &record.Version) && record.Era != 0;
  return valid ? std::optional(record) : std::nullopt;
}

void EraCoverage::recordAnswer(std::uint64_t era, TimeMs now) {
  if (covers(era, now)) {
    if (Latest.has_value() || era != 0)
      Latest = std::max(latest(), era);
  } else if (Latest.has_value()) {
    Latest = era;
  } else if (UncoveredSince == 0) {
    UncoveredSince = now;
  }
}

void EraCoverage::recordRecord(const std::optional<EraRecord> &record, std::uint64_t era) {
  if (!record.has_value() || record->Era == era)
    Latest = std::max(latest(), era);
}

void EraCoverage::recordPeer(std::uint64_t era) { Latest = std::max(latest(), era); }

bool EraCoverage::covers(std::uint64_t era, TimeMs now) const {
  return era <= latest() || (UncoveredSince != 0 && now >= UncoveredSince + Patience);
}

} // namespace jasmineloom
