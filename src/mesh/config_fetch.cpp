/// @file config_fetch.cpp Decides from which peer a node fetches a newer configuration.
#include "mesh/config_fetch.h"

#include <tuple>

namespace jasmineloom {

namespace {

/// Number of retry delays for which a peer is avoided after its configuration was refused.
constexpr DurationMs RefusedDelayFactor = 20;

/// Orders offers: stated ones first, then the own data centre, then parents, then the newest
/// version, then the first.
bool isBetter(const ConfigOffer &left, const ConfigOffer &right) {
  return std::tuple(left.IsAssumed, !left.Local, left.IsChild, right.Version, left.KnownSince) <
         std::tuple(right.IsAssumed, !right.Local, right.IsChild, left.Version, right.KnownSince);
}

} // namespace

bool ConfigFetch::isAvoided(const ConfigOffer &offer) const {
  const auto it = Avoided.find(offer.Peer);
  return it != Avoided.end() &&
         (!it->second.Refused.has_value() || offer.Version <= *it->second.Refused);
}

std::optional<HostID> ConfigFetch::start(const std::vector<ConfigOffer> &offers, DurationMs minAge,
                                         TimeMs now) {
  if (inProgress())
    return std::nullopt;
  std::erase_if(Avoided, [now](const auto &it) { return now >= it.second.Until; });
  const ConfigOffer *best = nullptr;
  for (const ConfigOffer &offer : offers) {
    if (isAvoided(offer) || now < offer.KnownSince + minAge)
      continue;
    if (best == nullptr || isBetter(offer, *best))
      best = &offer;
  }
  if (best == nullptr)
    return std::nullopt;
  Current = *best;
  return Current->Peer;
}

void ConfigFetch::end(ConfigVersion held, TimeMs now) {
  if (!Current.has_value())
    return;
  if (held < Current->Version)
    Avoided[Current->Peer] = {now + RetryDelay, std::nullopt};
  else
    Avoided.erase(Current->Peer);
  Current.reset();
}

void ConfigFetch::endRefused(TimeMs now) {
  if (!Current.has_value())
    return;
  Avoided[Current->Peer] = {now + RefusedDelayFactor * RetryDelay, Current->Version};
  Current.reset();
}

} // namespace jasmineloom
