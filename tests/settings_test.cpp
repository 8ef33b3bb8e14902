/// @file settings_test.cpp Settings file that changes while the program runs.
#define BOOST_TEST_MODULE settings
#include <boost/test/unit_test.hpp>

#include "settings.h"

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
