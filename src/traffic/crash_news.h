/// @file crash_news.h Tells gates that start which requests crash upstreams.
#pragma once

#include "admission/gate_base.h"
#include "mesh/host_type.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace jasmineloom {

/// Gates that tell each gate that starts. Several, as one may have started shortly before itself.
constexpr std::size_t CrashTellers = 4;

/// Decides which gates of the service this gate owes the crashes that it knows. A gate that starts
/// is told by the CrashTellers hosts that come after its own in the order of their names, the first
/// host following the last.
class CrashNews {
public:
  explicit CrashNews(HostID self) : Self(std::move(self)) {}

  /// Applies the present gates of the service, this one included.
  void setGates(const std::vector<HostRecord> &gates);
  /// Records that a gate was not reached, so that it lacks a crash.
  void recordFailure(const HostID &host) { Owed.insert(host); }
  /// @returns the gates to tell, each once; of those that have left none.
  std::vector<HostRecord> takeOwed();

private:
  bool isTellerOf(const HostID &started) const;

  HostID Self;
  std::map<HostID, HostRecord> Gates;
  std::set<HostID> Owed;
};

/// @returns the body of a call that tells a gate the crashes.
std::string encodeCrashes(const std::vector<KnownCrashes> &crashes);

/// @returns the crashes in the body of a call, without malformed ones.
std::vector<KnownCrashes> decodeCrashes(std::string_view body);

} // namespace jasmineloom
