/// @file log.h Log output with a fixed prefix for each part of the program.
#pragma once

#include <absl/status/status.h>
#include <log4cxx/logger.h>

#include <string>

namespace jasmineloom {

/// Sets the output up: text or one JSON object a line, to standard output. A reader that doesn't
/// keep up blocks nobody: lines that don't fit into the buffer are dropped and counted in a later
/// line.
void startLogging(const std::string &format, const std::string &level);

/// Writes what is buffered.
void endLogging();

/// Changes the level at run time.
/// @returns InvalidArgument if there is no such level.
absl::Status setLogLevel(const std::string &level);

/// @returns the logger of a part: "config", "link", "gate", "store", "rollout", "operator", "main".
log4cxx::LoggerPtr loggerOf(const char *part);

} // namespace jasmineloom
