/// @file key_digest.cpp Digests of API keys.
#include "workspace/key_digest.h"

#include <sodium.h>

namespace jasmineloom {

KeyDigest digestOfKey(std::string_view key) {
  KeyDigest digest{};
  crypto_generichash(digest.data(), digest.size(),
                     reinterpret_cast<const unsigned char *>(key.data()), key.size(), nullptr, 0);
  return digest;
}

} // namespace jasmineloom
