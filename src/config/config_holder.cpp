/// @file config_holder.cpp The active configuration of a node and the rules for replacing it.
#include "config/config_holder.h"

#include <algorithm>

namespace jasmineloom {

namespace {
constexpr std::size_t MaxRecentSnapshots = 16;
} // namespace

OfferResult ConfigHolder::offer(const ConfigDelta &delta) {
  observeVersion(delta.Version);
  if (delta.Version <= heldVersion())
    return OfferResult::Stale;
  if (delta.Version < Floor)
    return OfferResult::BelowFloor;
  absl::StatusOr<SnapshotPtr> staged = applyDelta(Held.get(), delta);
  if (!staged.ok()) {
    LastError = std::string(staged.status().message());
    const bool baseMismatch = absl::IsFailedPrecondition(staged.status());
    const bool isPartial = delta.BaseVersion != 0;
    return baseMismatch || isPartial ? OfferResult::NeedFull : OfferResult::Refused;
  }
  if (absl::Status status = validateSnapshot(**staged); !status.ok()) {
    LastError = std::string(status.message());
    return OfferResult::Refused;
  }
  if (Held) {
    RecentSnapshots.push_front(Held);
    if (RecentSnapshots.size() > MaxRecentSnapshots)
      RecentSnapshots.pop_back();
  }
  Held = *std::move(staged);
  EncodedDeltas.clear();
  return OfferResult::Applied;
}

void ConfigHolder::raiseFloor(ConfigVersion version) {
  Floor = std::max(Floor, version);
  observeVersion(version);
}

void ConfigHolder::observeVersion(ConfigVersion version) { Known = std::max(Known, version); }

const Snapshot *ConfigHolder::recentSnapshot(ConfigVersion version, std::uint64_t digest) const {
  for (const SnapshotPtr &base : RecentSnapshots) {
    if (base->Version == version && base->Digest == digest)
      return base.get();
  }
  return nullptr;
}

ConfigDelta ConfigHolder::deltaFrom(ConfigVersion version, std::uint64_t digest) const {
  return Held ? diffSnapshots(recentSnapshot(version, digest), *Held) : ConfigDelta{};
}

std::shared_ptr<const EncodedDelta> ConfigHolder::encodedDeltaFrom(ConfigVersion version,
                                                                   std::uint64_t digest) {
  if (!Held)
    return std::make_shared<const EncodedDelta>();
  const Snapshot *base = recentSnapshot(version, digest);
  std::shared_ptr<const EncodedDelta> &encoded = EncodedDeltas[base == nullptr ? 0 : base->Version];
  if (!encoded)
    encoded = std::make_shared<const EncodedDelta>(encodeDelta(diffSnapshots(base, *Held)));
  return encoded;
}

} // namespace jasmineloom
