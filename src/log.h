/// @file log.h Log set-up; each component of the program has a named logger.
#pragma once

#include <absl/status/status.h>
#include <log4cxx/logger.h>

#include <string>

namespace jasmineloom {

/// Starts asynchronous logging to standard output. A slow reader of the output does not block the
/// program: lines that don't fit into the buffer are dropped and counted in a later line.
/// @param format "json" for one JSON object per line, anything else for plain text.
/// @param level see setLogLevel(); an unknown level leaves the default.
void startLogging(const std::string &format, const std::string &level);

/// Flushes the buffered lines and ends logging.
void endLogging();

/// Changes the level at run time.
/// @returns InvalidArgument if the level is unknown.
absl::Status setLogLevel(const std::string &level);

/// Returns a component's logger: "config", "link", "gate", "store", "rollout", "operator", "main".
log4cxx::LoggerPtr loggerOf(const char *component);

} // namespace jasmineloom
