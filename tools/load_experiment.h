/// @file load_experiment.h Experiments of the load model, read from TOML files.
#pragma once

#include "load_model.h"

#include <absl/status/statusor.h>

namespace jasmineloom {

/// Reads an experiment. Every key must be known, of the right type and in its range, and every
/// service and route that is named must exist.
/// @returns InvalidArgument with the place in the text.
absl::StatusOr<ModelSettings> parseExperiment(const std::string &text);

} // namespace jasmineloom
