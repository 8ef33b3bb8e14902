/// @file key_table.cpp Idempotency keys of non-idempotent requests, which run at most once.
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

std::vector<ClaimedKey> KeyTable::claimedKeys() const {
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
  std::size_t established = 0;
  std::size_t lost = 0;
  std::size_t holders = 0;
  for (const HostID &host : rendezvousOrder(std::move(names), key)) {
    const auto it = std::find_if(hosts.begin(), hosts.end(),
                                 [&host](const KeyHolder &holder) { return holder.Host == host; });
    const bool recent = now < it->TableSince + KeyRetention;
    if (it->HandedOver) {
      // The hand-over did not include the keys that an earlier process of the host had lost.
      lost += recent && it->Restarted ? 1 : 0;
      continue;
    }
    if (it->GoneAt != 0) {
      lost += now < it->GoneAt + KeyRetention ? 1 : 0;
      continue;
    }
    plan.Holders.push_back(host);
    established += recent ? 0 : 1;
    lost += recent && it->Restarted ? 1 : 0;
    ++holders;
    if (established == MinEstablishedHolders)
      break;
    // Too many recent hosts come first: established hosts after them may hold the key.
    if (holders == MaxKeyHolders)
      return plan;
  }
  // With one table lost, the holders of two claims overlap only if at least two remain.
  const bool enough = lost == 0 || plan.Holders.size() >= MinEstablishedHolders;
  plan.Provable = !plan.Holders.empty() && lost < MinEstablishedHolders && enough;
  return plan;
}

} // namespace jasmineloom
