/// @file settings_test.cpp Settings file that changes while the program runs.
#define BOOST_TEST_MODULE settings
#include <boost/test/unit_test.hpp>

#include "settings.h"

#include <absl/strings/str_cat.h>
#include <rapidcheck.h>
#include <unistd.h>

#include <cmath>
#include <filesystem>
#include <fstream>

#include <cstdlib>
#include <vector>

using namespace jasmineloom;

namespace {

struct FileCheck {
  std::optional<std::string> Text;
  bool Signalled;
  bool IsRead; ///< Expected.
};

struct WatchCase {
  const char *Name;
  std::vector<FileCheck> Checks;
};

} // namespace

// Guards against requests that name a service of which the settings file held only a part.
BOOST_AUTO_TEST_CASE(settings_file_without_a_signal_is_read_once_it_is_complete) {
  const std::string before = "local-service = first\n";
  const std::string after = "local-service = second\n";
  const std::vector<WatchCase> cases = {
      {"no change", {{before, false, false}, {before, false, false}}},
      {"written at once", {{after, false, false}, {after, false, true}, {after, false, false}}},
      {"emptied, half written, whole",
       {{"", false, false},
        {"local-service = sec", false, false},
        {after, false, false},
        {after, false, true}}},
      {"away for a time",
       {{std::nullopt, false, false},
        {std::nullopt, false, false},
        {before, false, false},
        {before, false, false},
        {after, false, false},
        {after, false, true}}},
      {"set back before it counted", {{after, false, false}, {before, false, false}}},
      {"changed again before each check",
       {{"a = 1", false, false},
        {"a = 2", false, false},
        {"a = 3", false, false},
        {"a = 4", false, true},
        {"a = 5", false, false},
        {"a = 5", false, true}}},
      {"a signal", {{after, true, true}, {after, false, false}, {after, true, true}}},
      {"a signal while it is half written",
       {{"local-service = sec", true, true}, {after, false, false}, {after, false, true}}},
      {"a signal while it is away, and then the same file",
       {{std::nullopt, true, true}, {before, false, false}, {before, false, true}}},
  };
  for (const WatchCase &it : cases) {
    SettingsFileWatch watch(before);
    for (std::size_t n = 0; n < it.Checks.size(); ++n) {
      const FileCheck &check = it.Checks[n];
      BOOST_TEST(watch.check(check.Text, check.Signalled) == check.IsRead,
                 it.Name << ", check " << n);
    }
  }
}

namespace {

const std::vector<SettingRow> FigureTable = {
    {FiguresSetting, SettingType::Choice, 0, 0, "checked", "", "", "checked,bounded"},
    {"stop-time", SettingType::Figure, 0.1, 600, "6", "seconds", "A time"},
    {"capacity", SettingType::Figure, 0.001, 1e6, "", "cores", "A share of a core"},
    {"port", SettingType::Number, 1, 65535, "80", "port", "A port"}};

absl::StatusOr<ParsedSettings> parseFile(const std::string &text,
                                         std::vector<const char *> flags = {},
                                         const Settings *inEffect = nullptr) {
  const std::string path =
      std::filesystem::temp_directory_path() / absl::StrCat("settings_test.", getpid(), ".conf");
  std::ofstream(path) << text;
  flags.insert(flags.begin(), {"program", "--settings-file", path.c_str()});
  auto parsed = parseSettings("program", "", FigureTable, static_cast<int>(flags.size()),
                              flags.data(), inEffect);
  std::filesystem::remove(path);
  return parsed;
}

} // namespace

// Guards against a figure that ends all processes of a deployment at their start.
BOOST_AUTO_TEST_CASE(figures_that_a_deployment_fills_in_are_read_or_bounded) {
  struct FigureCase {
    const char *Text;
    double Used;
    bool IsWarned;
  };
  for (const FigureCase &it : std::vector<FigureCase>{{"6", 6, false},
                                                      {"6.5", 6.5, false},
                                                      {"6.0", 6, false},
                                                      {"65e-1", 6.5, false},
                                                      {"+6", 6, false},
                                                      {"0.3333333333333333", 1.0 / 3, false},
                                                      {"", 6, false},
                                                      {"0", 0.1, true},
                                                      {"-0.0", 0.1, true},
                                                      {"-3", 0.1, true},
                                                      {"601", 600, true},
                                                      {"1e300", 600, true},
                                                      {"inf", 600, true},
                                                      {"nan", 6, true},
                                                      {"true", 6, true},
                                                      {"6 s", 6, true},
                                                      {"[6]", 6, true}}) {
    const auto parsed = parseFile(std::string("figures = bounded\nstop-time = ") + it.Text + "\n");
    BOOST_TEST_REQUIRE(parsed.ok(), it.Text << ": " << parsed.status().message());
    BOOST_TEST(std::abs(*parsed->Values.figure("stop-time") - it.Used) < 1e-9, it.Text);
    BOOST_TEST(parsed->Warnings.size() == (it.IsWarned ? 1U : 0U), it.Text);
    if (it.IsWarned) {
      BOOST_TEST(parsed->Warnings[0].find("stop-time") != std::string::npos);
      BOOST_TEST(parsed->Warnings[0].find("0.1 to 600 seconds") != std::string::npos,
                 parsed->Warnings[0]);
    }
  }
  BOOST_TEST(!parseFile("figures = bounded\n")->Values.figure("capacity").has_value());
  BOOST_TEST(*parseFile("figures = bounded\ncapacity = 1e-9\n")->Values.figure("capacity") ==
             0.001);
  BOOST_TEST(parseFile("figures = bounded\nport = 8080.0\n")->Values.number("port") == 8080);
  BOOST_TEST(parseFile("figures = bounded\nport = 8e3\n")->Values.number("port") == 8000);
}

// Guards against a reload in which one odd figure holds back all other settings.
BOOST_AUTO_TEST_CASE(a_reload_keeps_the_figure_in_effect_for_one_that_is_no_number) {
  const auto before = parseFile("figures = bounded\nstop-time = 7\nport = 81\n");
  BOOST_TEST_REQUIRE(before.ok());
  const auto after =
      parseFile("figures = bounded\nstop-time = none\nport = 82\n", {}, &before->Values);
  BOOST_TEST_REQUIRE(after.ok());
  BOOST_TEST(*after->Values.figure("stop-time") == 7);
  BOOST_TEST(after->Values.number("port") == 82);
  BOOST_TEST(after->Warnings.size() == 1U);
}

BOOST_AUTO_TEST_CASE(no_number_in_a_bounded_figure_is_an_error) {
  BOOST_TEST(rc::check("any number", [] {
    const std::string text =
        absl::StrCat(*rc::gen::inRange(-1000, 1000), ".", *rc::gen::inRange(0, 1000), "e",
                     *rc::gen::inRange(-400, 400));
    const auto parsed = parseFile("figures = bounded\nstop-time = " + text + "\n");
    RC_ASSERT(parsed.ok());
    const double used = *parsed->Values.figure("stop-time");
    RC_ASSERT(used >= 0.1 && used <= 600);
  }));
}

BOOST_AUTO_TEST_CASE(figures_written_by_hand_are_checked) {
  for (const char *text : {"0", "-3", "601", "nan", "many"}) {
    const auto parsed = parseFile(std::string("stop-time = ") + text + "\n");
    BOOST_TEST_REQUIRE(!parsed.ok(), text);
    for (const char *part : {"settings_test.", "stop-time", "0.1 to 600 seconds"})
      BOOST_TEST(parsed.status().message().find(part) != std::string::npos,
                 parsed.status().message());
    BOOST_TEST(!parseFile("figures = bounded\n", {"--stop-time", text}).ok(), text);
  }
  BOOST_TEST(*parseFile("stop-time = 6.5\n")->Values.figure("stop-time") == 6.5);
  BOOST_TEST(!parseFile("figures = bounded\nport = 80.5\n").ok());
}

// Guards against a start that fails because a deployment leaves a value open.
BOOST_AUTO_TEST_CASE(an_empty_environment_variable_leaves_the_default) {
  const std::vector<SettingRow> table = {
      {"some-time", SettingType::Number, 0, 600, "7", "ms", "A time"}};
  const char *const arguments[] = {"program"};
  for (const auto &[value, expected] :
       std::vector<std::pair<const char *, long>>{{"", 7}, {"9", 9}}) {
    setenv("JASMINE_SOME_TIME", value, 1);
    const absl::StatusOr<ParsedSettings> parsed = parseSettings("program", "", table, 1, arguments);
    BOOST_REQUIRE(parsed.ok());
    BOOST_TEST(parsed->Values.number("some-time") == expected);
  }
  unsetenv("JASMINE_SOME_TIME");
}
