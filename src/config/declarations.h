/// @file declarations.h Reads operators' declarations from a directory of JSON files.
#pragma once

#include "config/config_func.h"

#include <string>
#include <vector>

namespace jasmineloom {

/// Reads all *.json files of a directory, in the order of their names.
/// @returns InvalidArgument with the file, the field and the reason.
absl::StatusOr<std::vector<ConfigObject>> readDeclarationDirectory(const std::string &directory);

/// Reads one file's text.
/// @param name name of the file, for messages.
absl::StatusOr<std::vector<ConfigObject>> parseDeclarations(const std::string &name,
                                                            const std::string &json);

/// Checks declarations as a whole, without a mesh.
absl::Status validateDeclarations(const std::vector<ConfigObject> &objects);

/// Writes declared objects in their wire form.
void writeDeclaredObjects(wire::Declarations::Builder to, const std::vector<ConfigObject> &objects);

} // namespace jasmineloom
