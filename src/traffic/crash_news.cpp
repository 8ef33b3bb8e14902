/// @file crash_news.cpp Tells gates that start which requests crash upstreams.
#include "traffic/crash_news.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <iterator>

namespace jasmineloom {

void CrashNews::setGates(const std::vector<HostRecord> &gates) {
  std::map<HostID, HostRecord> before;
  std::swap(before, Gates);
  for (const HostRecord &gate : gates)
    Gates.emplace(gate.Host, gate);
  for (const HostRecord &gate : gates) {
    const auto it = before.find(gate.Host);
    const bool hasStarted = it == before.end() || it->second.Incarnation != gate.Incarnation;
    if (hasStarted && isTellerOf(gate.Host))
      Owed.insert(gate.Host);
  }
}

bool CrashNews::isTellerOf(const HostID &started) const {
  const auto own = Gates.find(Self);
  const auto other = Gates.find(started);
  if (own == Gates.end() || other == Gates.end() || own == other)
    return false;
  auto distance = std::distance(Gates.begin(), own) - std::distance(Gates.begin(), other);
  if (distance < 0)
    distance += static_cast<std::ptrdiff_t>(Gates.size());
  return static_cast<std::size_t>(distance) <= CrashTellers;
}

std::vector<HostRecord> CrashNews::takeOwed() {
  std::vector<HostRecord> gates;
  for (const HostID &host : Owed) {
    const auto it = Gates.find(host);
    if (it != Gates.end())
      gates.push_back(it->second);
  }
  Owed.clear();
  return gates;
}

std::string encodeCrashes(const std::vector<KnownCrashes> &crashes) {
  std::string body;
  for (const KnownCrashes &known : crashes)
    absl::StrAppend(&body, known.Fingerprint, " ", known.Crashes, " ", known.Age, "\n");
  return body;
}

std::vector<KnownCrashes> decodeCrashes(std::string_view body) {
  std::vector<KnownCrashes> crashes;
  const absl::string_view text(body.data(), body.size());
  for (const absl::string_view line : absl::StrSplit(text, '\n', absl::SkipEmpty())) {
    const std::vector<absl::string_view> parts = absl::StrSplit(line, ' ');
    KnownCrashes known;
    if (parts.size() == 3 && absl::SimpleAtoi(parts[0], &known.Fingerprint) &&
        absl::SimpleAtoi(parts[1], &known.Crashes) && absl::SimpleAtoi(parts[2], &known.Age))
      crashes.push_back(known);
  }
  return crashes;
}

} // namespace jasmineloom
