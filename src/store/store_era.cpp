/// @file store_era.cpp Eras of the store, which may come back from an older copy of its data.
#include "store/store_era.h"

namespace jasmineloom {

EraChange StoreEra::observe(std::uint64_t era) {
  if (era < Current)
    return EraChange::Older;
  const bool newer = Current != 0 && era > Current;
  Current = era;
  return newer ? EraChange::Newer : EraChange::None;
}

StoreResponse withoutOlderEra(const StoreResponse &response) {
  StoreResponse unproved;
  if (response.Result != StoreResult::Unavailable)
    unproved.Result = StoreResult::Unknown;
  unproved.Era = response.Era;
  return unproved;
}

} // namespace jasmineloom
