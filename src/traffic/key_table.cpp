/// @file key_table.cpp Remembers the idempotency keys of requests that run at most once.
#include "traffic/key_table.h"

#include "mesh/tree_func.h"

#include <algorithm>

namespace jasmineloom {

KeyClaim KeyTable::claim(std::uint64_t key, TimeMs now) {
  while (!ByAge.empty() && now >= ByAge.front().Expires) {
    const ClaimedKey oldest = ByAge.front();
    ByAge.pop_front();
    const auto it = Keys.find(oldest.Key);
    if (it != Keys.end() && it->second == oldest.Expires)
      Keys.erase(it);
  }
  if (Keys.contains(key))
    return KeyClaim::Used;
  if (Keys.size() >= MaxKeys)
    return KeyClaim::Full;
  Keys.emplace(key, now + KeyRetention);
  ByAge.push_back({key, now + KeyRetention});
  return KeyClaim::New;
}

void KeyTable::release(std::uint64_t key) { Keys.erase(key); }

void KeyTable::addTransferred(const ClaimedKey &key) {
  TimeMs &expires = Keys[key.Key];
  if (key.Expires <= expires)
    return;
  expires = key.Expires;
  ByAge.push_back(key);
}

std::vector<ClaimedKey> KeyTable::all() const {
  std::vector<ClaimedKey> keys;
  keys.reserve(Keys.size());
  for (const auto &[key, expires] : Keys)
    keys.push_back({key, expires});
  return keys;
}

KeyClaimPlan planKeyClaim(const std::vector<KeyHolder> &hosts, const std::string &key, TimeMs now) {
  std::vector<HostID> names;
  for (const KeyHolder &holder : hosts)
    names.push_back(holder.Host);
  KeyClaimPlan plan;
  std::size_t elders = 0;
  std::size_t lost = 0;
  std::size_t rememberers = 0;
  for (const HostID &host : rendezvousOrder(std::move(names), key)) {
    const auto it = std::find_if(hosts.begin(), hosts.end(),
                                 [&host](const KeyHolder &holder) { return holder.Host == host; });
    const bool young = now < it->Since + KeyRetention;
    if (it->HandedOver) {
      // What its earlier process had forgotten, it could not hand over.
      lost += young && it->Restarted ? 1 : 0;
      continue;
    }
    if (it->GoneSince != 0) {
      lost += now < it->GoneSince + KeyRetention ? 1 : 0;
      continue;
    }
    plan.Holders.push_back(host);
    elders += young ? 0 : 1;
    lost += young && it->Restarted ? 1 : 0;
    ++rememberers;
    if (elders == KeyElders)
      break;
    // More young hosts than can be asked: the elders behind them may know the key.
    if (rememberers == MaxKeyHolders)
      return plan;
  }
  // Two sets that each leave out one host meet only if two are left.
  const bool enough = lost == 0 || plan.Holders.size() >= KeyElders;
  plan.Provable = !plan.Holders.empty() && lost < KeyElders && enough;
  return plan;
}

} // namespace jasmineloom
