/// @file settings.h Settings of the programs, read from flags, environment variables and a file.
#pragma once

#include <absl/status/statusor.h>

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace jasmineloom {

/// Exit code for invalid settings.
constexpr int ExitBadSettings = 2;

enum class SettingType : std::uint8_t {
  Text,
  Number, ///< Whole; 8080.0 is one too.
  Figure, ///< Any decimal number. See BoundedFigures for one that is out of range.
  Address,
  Choice,
};

/// Name and value of the setting by which a figure that is out of range is replaced by the nearest
/// one in range, with a warning, and one that is no number by the one in effect, at the start by
/// the default. It is for settings that a deployment fills in: a figure that this program can't use
/// must not end the processes of all hosts. Figures in flags are always checked.
constexpr const char *FiguresSetting = "figures";
constexpr const char *BoundedFigures = "bounded";

/// Declares one setting of a program.
struct SettingRow {
  /// Flag; the environment variable is JASMINE_ and the name in capitals, with _ for -.
  const char *Name;
  SettingType Type;
  double Min; ///< Of a number's value or a text's length; 0: an address may be empty.
  double Max; ///< Of a number's value or a text's length.
  const char *Default;
  const char *Unit;
  const char *Help;
  const char *Choices = ""; ///< Allowed values of a choice, comma-separated.
};

/// Validated settings of a program.
class Settings {
public:
  const std::string &text(const std::string &name) const { return Values.at(name); }
  long number(const std::string &name) const { return std::stol(Values.at(name)); }
  /// @returns the value of a figure; nullopt if it is empty.
  std::optional<double> figure(const std::string &name) const;
  /// @returns the values of a comma-separated list.
  std::vector<std::string> list(const std::string &name) const;
  void set(const std::string &name, std::string value) { Values[name] = std::move(value); }
  /// @returns one "name=value" line per setting; secrets are hidden.
  std::string print() const;

private:
  std::map<std::string, std::string> Values;
};

/// Result of parsing a command line.
struct ParsedSettings {
  Settings Values;
  std::vector<std::string> Arguments; ///< Positional arguments.
  std::string FilePath;               ///< Settings file that was read; empty: none.
  std::string FileText;               ///< Bytes that were read from it.
  std::vector<std::string> Warnings;  ///< Figures that were bounded or replaced.
  /// Help, version or settings to print, after which the program exits; empty: it runs.
  std::string Message;
};

/// Parses and validates all settings. Precedence: flags, environment variables, the settings file
/// (named by a flag or variable, one "name = value" per line), defaults.
/// @param inEffect settings that are in effect already; null at the start.
/// @returns InvalidArgument with the setting, its value and the allowed range.
absl::StatusOr<ParsedSettings> parseSettings(const std::string &program, const std::string &about,
                                             const std::vector<SettingRow> &table, int argc,
                                             const char *const *argv,
                                             const Settings *inEffect = nullptr);

/// @returns the bytes of a settings file; nullopt if it can't be read.
std::optional<std::string> settingsFileText(const std::string &path);

/// Tells when a settings file is to be read again.
class SettingsFileWatch {
public:
  /// @param text bytes of the file that are in effect.
  explicit SettingsFileWatch(const std::string &text) : InEffect(text), Last(text) {}

  /// Checks the file. A file that changes without a signal may be half written, and counts once two
  /// checks have found the same, or several have found other content each time.
  /// @param text present bytes of the file; nullopt if it can't be read.
  /// @param signalled whether a signal says that the file has changed.
  /// @returns whether the file is to be read.
  bool check(const std::optional<std::string> &text, bool signalled);

  /// @returns whether the last check found other content than is in effect.
  bool isPending() const { return ChangedChecks > 0; }

private:
  std::optional<std::string> InEffect;
  std::optional<std::string> Last; ///< At the last check.
  int ChangedChecks = 0; ///< Checks in succession that found other content than is in effect.
};

/// Parses the settings at program start. Prints help, version, settings or an error if the program
/// has to exit instead of running.
/// @returns the settings, or the exit code.
std::variant<ParsedSettings, int> settingsAtStart(const std::string &program,
                                                  const std::string &about,
                                                  const std::vector<SettingRow> &table, int argc,
                                                  const char *const *argv);

struct HostPort {
  std::string Host;
  std::uint16_t Port = 0;
};

/// Splits "IP:port".
/// @returns InvalidArgument if the port is missing or not between 1 and 65535.
absl::StatusOr<HostPort> splitAddress(const std::string &address);

} // namespace jasmineloom
