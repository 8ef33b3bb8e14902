/// @file secret.h The cluster's shared secret.
#pragma once

#include <string_view>

namespace jasmineloom {

/// Compares two secrets in a time that depends on their lengths only.
bool sameSecret(std::string_view left, std::string_view right);

} // namespace jasmineloom
