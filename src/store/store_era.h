/// @file store_era.h Eras of the store, which may come back from an older copy of its data.
#pragma once

#include "store/store_type.h"

namespace jasmineloom {

/// What the era of a reply says of the store.
enum class EraChange : std::uint8_t {
  None,  ///< The era is known, or the first one that this node hears of.
  Newer, ///< The store has come back from an older copy: writes, leases and revisions were lost.
  Older, ///< The reply tells of a past that the store has lost, or does not state its era.
};

/// Follows the eras that the store states. A store that never states one has only one.
class StoreEra {
public:
  /// Judges a complete reply by its era.
  /// @param era era that it states; 0: none.
  EraChange observe(std::uint64_t era);
  /// @returns the latest era; 0: none was stated.
  std::uint64_t current() const { return Current; }

private:
  std::uint64_t Current = 0;
};

/// @returns what remains of a response of an older era: a read proves nothing, and a write may have
/// been lost. That a call had no effect stays true.
StoreResponse withoutOlderEra(const StoreResponse &response);

} // namespace jasmineloom
