/// @file settings.cpp Settings of the programs, read from flags, environment variables and a file.
#include "settings.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_replace.h>
#include <absl/strings/str_split.h>
#include <boost/program_options.hpp>
#include <cxxopts.hpp>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

namespace jasmineloom {

namespace {

constexpr const char *ProgramVersion = "0.1.0";
constexpr int MaxPort = 65535;
/// Checks of a settings file that never settles after which it is read as it is. What is half
/// written fails the checks of its values, and then changes nothing.
constexpr int MaxChangedChecks = 4;

std::string environmentVariable(const SettingRow &row) {
  return "JASMINE_" + absl::AsciiStrToUpper(absl::StrReplaceAll(row.Name, {{"-", "_"}}));
}

absl::Status invalid(const SettingRow &row, const std::string &value, const std::string &expected) {
  return absl::InvalidArgumentError(absl::StrCat("invalid setting --", row.Name, " (",
                                                 environmentVariable(row), "): \"", value,
                                                 "\" is not ", expected));
}

std::string numberText(double value) { return absl::StrFormat("%.15g", value); }

std::string rangeText(const SettingRow &row) {
  return absl::StrCat(numberText(row.Min), " to ", numberText(row.Max));
}

std::optional<double> decimalOf(const std::string &text) {
  double value = 0;
  return absl::SimpleAtod(text, &value) && !std::isnan(value) ? std::optional(value) : std::nullopt;
}

bool isInRange(const SettingRow &row, double value) { return value >= row.Min && value <= row.Max; }

absl::Status check(const SettingRow &row, const std::string &value) {
  switch (row.Type) {
  case SettingType::Text:
    if (!isInRange(row, static_cast<double>(value.size())))
      return invalid(row, value, absl::StrCat("a string of ", rangeText(row), " characters"));
    return absl::OkStatus();
  case SettingType::Number: {
    const std::optional<double> number = decimalOf(value);
    if (!number.has_value() || !isInRange(row, *number) || *number != std::floor(*number))
      return invalid(row, value,
                     absl::StrCat("a whole number from ", rangeText(row), " ", row.Unit));
    return absl::OkStatus();
  }
  case SettingType::Figure: {
    const std::optional<double> figure = decimalOf(value);
    const bool isOpen = value.empty() && *row.Default == '\0';
    if (!isOpen && (!figure.has_value() || !isInRange(row, *figure)))
      return invalid(row, value, absl::StrCat("a number from ", rangeText(row), " ", row.Unit));
    return absl::OkStatus();
  }
  case SettingType::Address:
    if (value.empty() && row.Min == 0)
      return absl::OkStatus();
    for (const absl::string_view it : absl::StrSplit(value, ',')) {
      if (!splitAddress(std::string(it)).ok())
        return invalid(row, value, "IP:port");
    }
    return absl::OkStatus();
  case SettingType::Choice:
    for (const absl::string_view it : absl::StrSplit(row.Choices, ',')) {
      if (value == std::string(it))
        return absl::OkStatus();
    }
    return invalid(row, value, absl::StrCat("one of ", row.Choices));
  }
  return absl::OkStatus();
}

std::string helpText(const SettingRow &row) {
  std::string text = absl::StrCat(row.Help, " [", environmentVariable(row));
  if (row.Type == SettingType::Number || row.Type == SettingType::Figure)
    absl::StrAppend(&text, ", ", rangeText(row), " ", row.Unit);
  if (row.Type == SettingType::Choice)
    absl::StrAppend(&text, ", ", row.Choices);
  return text + "]";
}

/// Replaces a figure that check() refused.
/// @param fallback used if the value is no number.
void boundFigure(const SettingRow &row, const std::string &fallback, std::string &value,
                 ParsedSettings &parsed) {
  const std::optional<double> figure = decimalOf(value);
  const std::string used =
      figure.has_value() ? numberText(std::clamp(*figure, row.Min, row.Max)) : fallback;
  parsed.Warnings.push_back(
      absl::StrCat("setting ", row.Name, " (", environmentVariable(row), "): \"", value,
                   "\" is not a number from ", rangeText(row), " ", row.Unit, "; ",
                   used.empty() ? "it counts as not set" : used + " is used"));
  value = used;
}

constexpr const char *SettingsFileFlag = "settings-file";

/// A value and where it comes from.
struct StatedValue {
  std::string Text;
  bool IsFlag = false;
  bool IsInFile = false;
};

/// Parses a settings file.
/// @param text bytes of the file.
/// @returns InvalidArgument if the file has an unknown setting.
absl::StatusOr<std::map<std::string, std::string>>
parseSettingsFile(const std::string &path, const std::string &text,
                  const std::vector<SettingRow> &table) {
  std::istringstream file(text);
  std::map<std::string, std::string> values;
  std::optional<boost::program_options::parsed_options> parsed;
  try {
    parsed = boost::program_options::parse_config_file<char>(
        file, boost::program_options::options_description(), true);
  } catch (const boost::program_options::error &error) {
    return absl::InvalidArgumentError(absl::StrCat("settings file \"", path, "\": ", error.what()));
  }
  for (const auto &option : parsed->options) {
    const bool known = std::any_of(table.begin(), table.end(), [&option](const SettingRow &row) {
      return option.string_key == row.Name;
    });
    if (!known)
      return absl::InvalidArgumentError(
          absl::StrCat("settings file \"", path, "\": unknown setting ", option.string_key));
    if (!option.value.empty() && !option.value.front().empty())
      values[option.string_key] = option.value.front();
  }
  return values;
}

} // namespace

std::optional<std::string> settingsFileText(const std::string &path) {
  std::ifstream file(path, std::ios::binary);
  if (!file)
    return std::nullopt;
  return std::string(std::istreambuf_iterator<char>(file), {});
}

bool SettingsFileWatch::check(const std::optional<std::string> &text, bool signalled) {
  const bool isSettled = text == Last;
  Last = text;
  const bool isChanged = text.has_value() && text != InEffect;
  ChangedChecks = isChanged ? ChangedChecks + 1 : 0;
  if (!signalled && (!isChanged || (!isSettled && ChangedChecks < MaxChangedChecks)))
    return false;
  InEffect = text;
  ChangedChecks = 0;
  return true;
}

std::variant<ParsedSettings, int> settingsAtStart(const std::string &program,
                                                  const std::string &about,
                                                  const std::vector<SettingRow> &table, int argc,
                                                  const char *const *argv) {
  absl::StatusOr<ParsedSettings> parsed = parseSettings(program, about, table, argc, argv);
  if (!parsed.ok()) {
    std::cerr << program << ": " << parsed.status().message() << "\n";
    return ExitBadSettings;
  }
  if (!parsed->Message.empty()) {
    std::cout << parsed->Message;
    return 0;
  }
  return *std::move(parsed);
}

absl::StatusOr<HostPort> splitAddress(const std::string &address) {
  const std::size_t colon = address.rfind(':');
  int port = 0;
  if (colon == std::string::npos || colon == 0 ||
      !absl::SimpleAtoi(address.substr(colon + 1), &port) || port <= 0 || port > MaxPort)
    return absl::InvalidArgumentError(absl::StrCat("\"", address, "\" is not IP:port"));
  return HostPort{address.substr(0, colon), static_cast<std::uint16_t>(port)};
}

std::vector<std::string> Settings::list(const std::string &name) const {
  const std::string &value = Values.at(name);
  if (value.empty())
    return {};
  return absl::StrSplit(value, ',');
}

std::optional<double> Settings::figure(const std::string &name) const {
  return decimalOf(Values.at(name));
}

std::string Settings::print() const {
  std::string out;
  for (const auto &[name, value] : Values)
    absl::StrAppend(&out, name, "=", name == "secret" ? "(hidden)" : value, "\n");
  return out;
}

absl::StatusOr<ParsedSettings> parseSettings(const std::string &program, const std::string &about,
                                             const std::vector<SettingRow> &table, int argc,
                                             const char *const *argv, const Settings *inEffect) {
  cxxopts::Options options(program, about);
  for (const SettingRow &row : table)
    options.add_options()(row.Name, helpText(row),
                          cxxopts::value<std::string>()->default_value(row.Default));
  options.add_options()(SettingsFileFlag,
                        "File with one \"name = value\" per line [JASMINE_SETTINGS_FILE]",
                        cxxopts::value<std::string>()->default_value(""));
  options.add_options()("help", "Prints this help and exits")(
      "version", "Prints the version and exits")("print-settings",
                                                 "Checks and prints the settings, and exits");
  options.allow_unrecognised_options();
  ParsedSettings parsed;
  try {
    const cxxopts::ParseResult result = options.parse(argc, argv);
    for (const std::string &argument : result.unmatched()) {
      if (argument.size() > 1 && argument.front() == '-')
        return absl::InvalidArgumentError(absl::StrCat("unknown flag ", argument));
      parsed.Arguments.push_back(argument);
    }
    if (result.count("help") != 0) {
      parsed.Message = options.help();
      return parsed;
    }
    if (result.count("version") != 0) {
      parsed.Message = absl::StrCat(program, " ", ProgramVersion, "\n");
      return parsed;
    }
    std::string path = result[SettingsFileFlag].as<std::string>();
    if (const char *variable = std::getenv("JASMINE_SETTINGS_FILE");
        path.empty() && variable != nullptr)
      path = variable;
    std::map<std::string, std::string> file;
    parsed.FilePath = path;
    if (!path.empty()) {
      std::optional<std::string> text = settingsFileText(path);
      if (!text.has_value())
        return absl::InvalidArgumentError(
            absl::StrCat("settings file \"", path, "\" cannot be opened"));
      parsed.FileText = *std::move(text);
      auto read = parseSettingsFile(path, parsed.FileText, table);
      if (!read.ok())
        return read.status();
      file = *std::move(read);
    }
    std::map<std::string, StatedValue> stated;
    for (const SettingRow &row : table) {
      StatedValue &value = stated[row.Name];
      value = {result[row.Name].as<std::string>(), result.count(row.Name) != 0, false};
      const char *variable = std::getenv(environmentVariable(row).c_str());
      const auto it = file.find(row.Name);
      if (value.IsFlag)
        continue;
      if (variable != nullptr && *variable != '\0')
        value.Text = variable;
      else if (it != file.end())
        value = {it->second, false, true};
    }
    const auto figures = stated.find(FiguresSetting);
    const bool bounds = figures != stated.end() && figures->second.Text == BoundedFigures;
    for (const SettingRow &row : table) {
      StatedValue &value = stated[row.Name];
      absl::Status status = check(row, value.Text);
      if (!status.ok() && bounds && row.Type == SettingType::Figure && !value.IsFlag) {
        boundFigure(row, inEffect == nullptr ? row.Default : inEffect->text(row.Name), value.Text,
                    parsed);
        status = absl::OkStatus();
      }
      if (!status.ok())
        return value.IsInFile ? absl::InvalidArgumentError(absl::StrCat("settings file \"", path,
                                                                        "\": ", status.message()))
                              : status;
      if (row.Type == SettingType::Number)
        value.Text = numberText(*decimalOf(value.Text));
      parsed.Values.set(row.Name, value.Text);
    }
    if (result.count("print-settings") != 0)
      parsed.Message = parsed.Values.print();
  } catch (const std::exception &error) {
    return absl::InvalidArgumentError(error.what());
  }
  return parsed;
}

} // namespace jasmineloom
