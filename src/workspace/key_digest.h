/// @file key_digest.h Digests of API keys.
#pragma once

#include "config/config_type.h"

#include <string_view>

namespace jasmineloom {

/// @returns the BLAKE2b digest of a key. Keys are random and long, so that their digests need no
/// salt.
KeyDigest digestOfKey(std::string_view key);

} // namespace jasmineloom
