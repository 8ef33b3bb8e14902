/// @file key_memory.cpp Remembers the idempotency keys of requests that run at most once.
#include "key_memory.h"

#include "tree_func.h"

#include <algorithm>

namespace jasmineloom {

KeyClaim KeyMemory::claim(std::uint64_t key, TimeMs now) {
  while (!ByAge.empty() && now >= ByAge.front().Expires) {
    const Entry oldest = ByAge.front();
    ByAge.pop_front();
    const auto it = Keys.find(oldest.Key);
    if (it != Keys.end() && it->second == oldest.Expires)
      Keys.erase(it);
  }
  if (Keys.contains(key))
    return KeyClaim::Used;
  if (Keys.size() >= MaxKeys)
    return KeyClaim::Full;
  Keys.emplace(key, now + KeyWindow);
  ByAge.push_back({key, now + KeyWindow});
  return KeyClaim::New;
}

void KeyMemory::release(std::uint64_t key) { Keys.erase(key); }

KeyPlan planKeyClaim(const std::vector<KeyHolder> &hosts, const std::string &key, TimeMs now) {
  std::vector<HostID> names;
  for (const KeyHolder &holder : hosts)
    names.push_back(holder.Host);
  KeyPlan plan;
  std::size_t elders = 0;
  std::size_t lost = 0;
  std::size_t rememberers = 0;
  for (const HostID &host : rendezvousOrder(std::move(names), key)) {
    const auto it = std::find_if(hosts.begin(), hosts.end(),
                                 [&host](const KeyHolder &holder) { return holder.Host == host; });
    if (it->GoneSince != 0) {
      lost += now < it->GoneSince + KeyWindow ? 1 : 0;
      continue;
    }
    plan.Holders.push_back(host);
    const bool elder = now >= it->Since + KeyWindow;
    elders += elder ? 1 : 0;
    lost += !elder && it->Restarted ? 1 : 0;
    ++rememberers;
    if (elders == KeyElders || rememberers == MaxKeyHolders)
      break;
  }
  plan.Provable = !plan.Holders.empty() && lost < KeyElders;
  return plan;
}

} // namespace jasmineloom
