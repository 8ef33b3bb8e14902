/// @file load_experiment.cpp Experiments of the load model, read from TOML files.
#include "load_experiment.h"

#include <absl/strings/str_cat.h>

#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

#include <algorithm>
#include <optional>
#include <set>

namespace jasmineloom {

namespace {

std::string placeOf(const toml::node &node) {
  return absl::StrCat("line ", node.source().begin.line, ": ");
}

/// Reads the keys of one table and remembers which ones were read.
class TableReader {
public:
  TableReader(const toml::table &table, absl::Status &status) : Table(table), Result(status) {}

  void number(const char *key, double min, double max, double &value) {
    const toml::node *node = find(key);
    if (node == nullptr)
      return;
    const std::optional<double> found = node->value<double>();
    if (!found.has_value() || *found < min || *found > max)
      fail(*node, absl::StrCat(key, " must be a number from ", min, " to ", max));
    else
      value = *found;
  }

  template <typename IntT> void integer(const char *key, double min, double max, IntT &value) {
    auto read = static_cast<double>(value);
    number(key, min, max, read);
    value = static_cast<IntT>(read);
  }

  void text(const char *key, std::string &value) {
    const toml::node *node = find(key);
    if (node == nullptr)
      return;
    const std::optional<std::string> found = node->value_exact<std::string>();
    if (found.has_value())
      value = *found;
    else
      fail(*node, absl::StrCat(key, " must be a text"));
  }

  void flag(const char *key, bool &value) {
    const toml::node *node = find(key);
    if (node == nullptr)
      return;
    const std::optional<bool> found = node->value_exact<bool>();
    if (found.has_value())
      value = *found;
    else
      fail(*node, absl::StrCat(key, " must be true or false"));
  }

  void numbers(const char *key, double min, double max, std::vector<double> &values) {
    const toml::node *node = find(key);
    if (node == nullptr)
      return;
    const toml::array *array = node->as_array();
    std::vector<double> found;
    for (std::size_t n = 0; array != nullptr && n < array->size(); ++n) {
      const std::optional<double> it = array->get(n)->value<double>();
      if (it.has_value() && *it >= min && *it <= max)
        found.push_back(*it);
    }
    if (array == nullptr || found.empty() || found.size() != array->size())
      fail(*node, absl::StrCat(key, " must be a list of numbers from ", min, " to ", max));
    else
      values = found;
  }

  /// Calls \p read with a reader for each table of an array of tables.
  template <typename ReadT> void tables(const char *key, ReadT read) {
    const toml::node *node = find(key);
    if (node == nullptr)
      return;
    const toml::array *array = node->as_array();
    if (array == nullptr || !array->is_array_of_tables()) {
      fail(*node, absl::StrCat(key, " must be a list of tables"));
      return;
    }
    for (const toml::node &it : *array) {
      TableReader reader(*it.as_table(), Result);
      read(reader);
      reader.finish();
    }
  }

  /// Refuses the keys that were not read.
  void finish() {
    for (const auto &[key, node] : Table) {
      if (!Read.contains(std::string(key.str())))
        fail(node, absl::StrCat("unknown key ", std::string(key.str())));
    }
  }

  void fail(const std::string &message) { fail(Table, message); }

private:
  const toml::node *find(const char *key) {
    Read.insert(key);
    return Table.get(key);
  }

  void fail(const toml::node &node, const std::string &message) {
    if (Result.ok())
      Result = absl::InvalidArgumentError(placeOf(node) + message);
  }

  const toml::table &Table;
  absl::Status &Result;
  std::set<std::string> Read;
};

constexpr double MaxMs = 600000;

ModelService readService(TableReader &from) {
  ModelService service;
  from.text("name", service.Name);
  from.integer("hosts", 1, 20000, service.Hosts);
  from.integer("slots", 1, 10000, service.Slots);
  from.numbers("speeds", 0.01, 100, service.Speeds);
  from.number("noise-share", 0, 1, service.NoiseShare);
  from.number("noise-factor", 1, 100, service.NoiseFactor);
  from.number("noise-period-ms", 1, MaxMs, service.NoisePeriodMs);
  return service;
}

ModelRoute readRoute(TableReader &from) {
  ModelRoute route;
  from.text("name", route.Name);
  from.text("service", route.Service);
  from.number("per-second", 0, 1e7, route.PerSecond);
  from.number("work-ms", 0.1, MaxMs, route.WorkMs);
  from.number("spread", 0, 3, route.Spread);
  from.integer("objective-ms", 1, MaxMs, route.Objective);
  from.integer("deadline-ms", 1, MaxMs, route.Deadline);
  from.integer("worth", 1, 1000, route.Worth);
  from.flag("idempotent", route.Idempotent);
  from.text("calls", route.Calls);
  from.integer("call-times", 0, 20, route.CallTimes);
  from.number("call-share", 0, 1, route.CallShare);
  from.integer("retries", 0, 10, route.Retries);
  from.number("late-share", 0, 1, route.LateShare);
  return route;
}

const std::vector<std::pair<const char *, ModelTroubleKind>> TroubleKinds = {
    {"slow", ModelTroubleKind::Slow},
    {"gone", ModelTroubleKind::Gone},
    {"cold", ModelTroubleKind::Cold},
    {"burst", ModelTroubleKind::Burst},
    {"shed", ModelTroubleKind::Shed}};

ModelTrouble readTrouble(TableReader &from) {
  ModelTrouble trouble;
  std::string kind;
  from.text("kind", kind);
  const auto it = std::find_if(TroubleKinds.begin(), TroubleKinds.end(),
                               [&kind](const auto &known) { return kind == known.first; });
  if (it == TroubleKinds.end())
    from.fail("kind must be slow, gone, cold, burst or shed");
  else
    trouble.Kind = it->second;
  from.number("at", 0, 86400, trouble.At);
  from.number("for", 0, 86400, trouble.For);
  from.text("service", trouble.Service);
  from.number("share", 0, 1, trouble.Share);
  from.number("factor", 0, 1000, trouble.Factor);
  return trouble;
}

/// @returns an error if something is named that the experiment lacks.
absl::Status checkNames(const ModelSettings &settings) {
  const auto isService = [&settings](const std::string &name) {
    return std::any_of(settings.Services.begin(), settings.Services.end(),
                       [&name](const ModelService &it) { return it.Name == name; });
  };
  const auto isRoute = [&settings](const std::string &name) {
    return std::any_of(settings.Routes.begin(), settings.Routes.end(),
                       [&name](const ModelRoute &it) { return it.Name == name; });
  };
  if (settings.Services.empty() || settings.Routes.empty())
    return absl::InvalidArgumentError("an experiment needs a service and a route");
  for (const ModelRoute &route : settings.Routes) {
    if (!isService(route.Service))
      return absl::InvalidArgumentError(
          absl::StrCat("route ", route.Name, ": there is no service \"", route.Service, "\""));
    if (!route.Calls.empty() && !isRoute(route.Calls))
      return absl::InvalidArgumentError(
          absl::StrCat("route ", route.Name, ": there is no route \"", route.Calls, "\""));
  }
  for (const ModelTrouble &trouble : settings.Troubles) {
    if (!trouble.Service.empty() && !isService(trouble.Service))
      return absl::InvalidArgumentError(
          absl::StrCat("trouble: there is no service \"", trouble.Service, "\""));
  }
  return absl::OkStatus();
}

} // namespace

absl::StatusOr<ModelSettings> parseExperiment(const std::string &text) {
  const toml::parse_result parsed = toml::parse(std::string_view(text));
  if (!parsed)
    return absl::InvalidArgumentError(absl::StrCat("line ", parsed.error().source().begin.line,
                                                   ": ",
                                                   std::string(parsed.error().description())));
  absl::Status status;
  ModelSettings settings;
  TableReader reader(parsed.table(), status);
  reader.integer("data-centres", 1, 1000, settings.DataCentres);
  reader.number("local-delay-ms", 0, 1000, settings.LocalDelayMs);
  reader.number("remote-delay-ms", 0, 1000, settings.RemoteDelayMs);
  reader.number("full-slowdown", 0, 10, settings.FullSlowdown);
  reader.number("seconds", 1, 86400, settings.Seconds);
  reader.number("warm-up-seconds", 0, 86400, settings.WarmUpSeconds);
  reader.number("wave-swing", 0, 1, settings.WaveSwing);
  reader.number("wave-seconds", 1, 86400, settings.WaveSeconds);
  reader.tables("service",
                [&settings](TableReader &it) { settings.Services.push_back(readService(it)); });
  reader.tables("route",
                [&settings](TableReader &it) { settings.Routes.push_back(readRoute(it)); });
  reader.tables("trouble",
                [&settings](TableReader &it) { settings.Troubles.push_back(readTrouble(it)); });
  reader.finish();
  if (!status.ok())
    return status;
  if (absl::Status names = checkNames(settings); !names.ok())
    return names;
  return settings;
}

} // namespace jasmineloom
