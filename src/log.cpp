/// @file log.cpp Log set-up; each component of the program has a named logger.
#include "log.h"

#include <absl/strings/str_cat.h>
#include <log4cxx/asyncappender.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

namespace jasmineloom {

namespace {
/// Lines buffered for a slow reader: ten seconds at a process's maximum log rate.
constexpr int MaxBufferedLines = 1000;
} // namespace

void startLogging(const std::string &format, const std::string &level) {
  log4cxx::LayoutPtr layout;
  if (format == "json")
    layout = std::make_shared<log4cxx::JSONLayout>();
  else
    layout = std::make_shared<log4cxx::PatternLayout>("%d{HH:mm:ss.SSS} %-5p [%c] %m%n");
  const auto appender =
      std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemOut());
  const auto buffer = std::make_shared<log4cxx::AsyncAppender>();
  buffer->setBlocking(false);
  buffer->setBufferSize(MaxBufferedLines);
  buffer->addAppender(appender);
  log4cxx::Logger::getRootLogger()->addAppender(buffer);
  setLogLevel(level).IgnoreError();
}

void endLogging() { log4cxx::LogManager::shutdown(); }

absl::Status setLogLevel(const std::string &level) {
  for (const char *known : {"trace", "debug", "info", "warn", "error"}) {
    if (level != known)
      continue;
    log4cxx::Logger::getRootLogger()->setLevel(log4cxx::Level::toLevel(level));
    return absl::OkStatus();
  }
  return absl::InvalidArgumentError(
      absl::StrCat("log level \"", level, "\" is not one of trace, debug, info, warn, error"));
}

log4cxx::LoggerPtr loggerOf(const char *component) { return log4cxx::Logger::getLogger(component); }

} // namespace jasmineloom
