/// @file secret.cpp Comparison of the cluster's shared secret.
#include "secret.h"

#include <cstddef>

namespace jasmineloom {

bool sameSecret(std::string_view left, std::string_view right) {
  if (left.size() != right.size())
    return false;
  unsigned char difference = 0;
  for (std::size_t it = 0; it < left.size(); ++it)
    difference |= static_cast<unsigned char>(left[it] ^ right[it]);
  return difference == 0;
}

} // namespace jasmineloom
