/// @file declarations.h Reads and validates configuration declared by operators in JSON files.
#pragma once

#include "config/config_func.h"

#include <capnp/compat/json.h>

#include <string>
#include <vector>

namespace jasmineloom {

/// Reads all *.json files of a directory, in the order of their names.
/// @returns InvalidArgument with the file, the field and the reason.
absl::StatusOr<std::vector<ConfigObject>> readDeclarationDirectory(const std::string &directory);

/// Parses the text of one file.
/// @param name file name for error messages.
absl::StatusOr<std::vector<ConfigObject>> parseDeclarations(const std::string &name,
                                                            const std::string &json);

/// Validates declarations offline, without the configuration in force.
absl::Status validateDeclarations(const std::vector<ConfigObject> &objects);

/// Makes a codec read and write declarations as operators write them.
void addDeclarationHandlers(capnp::JsonCodec &codec);

void writeDeclaredObjects(wire::Declarations::Builder to, const std::vector<ConfigObject> &objects);

} // namespace jasmineloom
