/// @file secret.h Comparison of the cluster's shared secret.
#pragma once

#include <string_view>

namespace jasmineloom {

/// Compares two secrets in time that depends only on their lengths, to prevent timing attacks.
bool sameSecret(std::string_view left, std::string_view right);

} // namespace jasmineloom
