/// @file store_duty.cpp Tells which nodes of a data centre get answers from the store.
#include "control/store_duty.h"

#include "mesh/tree_func.h"

#include <algorithm>

namespace jasmineloom {

void StoreContact::recordEnd(bool answered, TimeMs now) {
  if (answered)
    FailingSince = 0;
  else if (FailingSince == 0)
    FailingSince = DueAt == 0 ? now : std::min(DueAt, now);
  DueAt = 0;
}

DurationMs StoreContact::silence(TimeMs now) const {
  if (FailingSince != 0)
    return now - std::min(FailingSince, now);
  return DueAt != 0 && now > DueAt ? now - DueAt : 0;
}

void StoreStatements::record(const HostID &root, bool silent, TimeMs now) {
  std::erase_if(SilentUntil, [now](const auto &it) { return now >= it.second; });
  if (silent)
    SilentUntil[root] = now + ReturnTime;
}

bool StoreStatements::isAnswered(const HostID &root, TimeMs now) const {
  const auto it = SilentUntil.find(root);
  return it == SilentUntil.end() || now >= it->second;
}

StoreDuty storeDutyOf(bool isRoot, const std::vector<RootContact> &before) {
  if (!isRoot)
    return StoreDuty::None;
  const auto responding = static_cast<std::size_t>(std::count_if(
      before.begin(), before.end(), [](const RootContact &it) { return it.Responds; }));
  const auto answered = static_cast<std::size_t>(
      std::count_if(before.begin(), before.end(),
                    [](const RootContact &it) { return it.Responds && it.IsAnswered; }));
  if (responding < StoreRoots)
    return StoreDuty::Own;
  return answered < StoreRoots ? StoreDuty::StandIn : StoreDuty::None;
}

} // namespace jasmineloom
