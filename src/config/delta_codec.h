/// @file delta_codec.h Compressed form of a configuration delta, as it is sent between nodes.
#pragma once

#include "config/config_type.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace jasmineloom {

/// Maximum size of a delta before compression.
constexpr std::size_t MaxDeltaBytes = 64 << 20;

/// A delta that was encoded once, to be sent to all peers that hold the same version.
struct EncodedDelta {
  ConfigVersion Version = 0;
  ConfigVersion BaseVersion = 0; ///< 0: a full snapshot.
  std::size_t Objects = 0;
  std::string Bytes; ///< Empty if there is no configuration.
};

EncodedDelta encodeDelta(const ConfigDelta &delta);

/// @returns a description of a delta for the log.
std::string transferText(ConfigVersion baseVersion, std::size_t objects, std::size_t bytes);

/// @returns DataLoss if the bytes are not a delta of at most MaxDeltaBytes.
absl::StatusOr<ConfigDelta> decodeDelta(std::string_view bytes);

} // namespace jasmineloom
