/// @file jasmine_model.cpp Plays an experiment of the load model and prints or plots its results.
#include "load_experiment.h"
#include "settings.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

using namespace jasmineloom;

const std::vector<SettingRow> SettingTable = {
    {"seed", SettingType::Number, 0, 1000000000, "1", "", "Seed; equal seeds give equal results"},
    {"placement", SettingType::Choice, 0, 0, "product", "",
     "How an upstream is chosen: as in the product, with all knowledge, or at random",
     "product,oracle,random"},
    {"load", SettingType::Number, 1, 1000, "100", "%",
     "Share of the callers' rates that is played"},
    {"output", SettingType::Choice, 0, 0, "text", "",
     "text, csv or json to standard output; svg: a plot of the outcomes by second",
     "text,csv,json,svg"},
    {"compare", SettingType::Choice, 0, 0, "no", "",
     "Plays each placement and prints a line for each", "yes,no"},
    {"progress", SettingType::Choice, 0, 0, "no", "", "Progress on standard error", "yes,no"},
};

const std::vector<std::pair<const char *, ModelPlacement>> Placements = {
    {"product", ModelPlacement::Product},
    {"oracle", ModelPlacement::Oracle},
    {"random", ModelPlacement::Random}};

double share(std::uint64_t part, std::uint64_t whole) {
  return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

nlohmann::json jsonOf(const ModelCounts &counts) {
  return {{"sent", counts.Sent},
          {"in_time", counts.InTime},
          {"late", counts.Late},
          {"refused", counts.Refused},
          {"failed", counts.Failed}};
}

std::string jsonOf(const ModelResult &result) {
  nlohmann::json json = {{"total", jsonOf(result.Total)},
                         {"worth_in_time", result.WorthInTime},
                         {"worth_earned", result.WorthEarned},
                         {"slot_use", result.SlotUse},
                         {"busiest_over_mean", result.BusiestOverMean},
                         {"attempts", result.Attempts},
                         {"busy", result.Busy},
                         {"overloaded", result.Overloaded},
                         {"remote", result.Remote},
                         {"turned_away", result.TurnedAway},
                         {"repeated", result.Repeated}};
  for (const ModelRouteResult &route : result.Routes)
    json["routes"][route.Route] = {{"counts", jsonOf(route.Counts)},
                                   {"p50_ms", route.P50Ms},
                                   {"p99_ms", route.P99Ms},
                                   {"refusal_p50_ms", route.RefusalP50Ms}};
  for (const ModelCounts &second : result.Seconds)
    json["seconds"].push_back(jsonOf(second));
  return json.dump(1) + "\n";
}

std::string csvOf(const ModelResult &result) {
  std::string text = "second,sent,in_time,late,refused,failed\n";
  for (std::size_t n = 0; n < result.Seconds.size(); ++n) {
    const ModelCounts &it = result.Seconds[n];
    absl::StrAppend(&text, n, ",", it.Sent, ",", it.InTime, ",", it.Late, ",", it.Refused, ",",
                    it.Failed, "\n");
  }
  return text;
}

std::string textOf(const ModelResult &result) {
  std::string text = absl::StrFormat("%-12s %8s %8s %8s %8s %8s %8s %8s\n", "route", "sent",
                                     "in time", "late", "refused", "failed", "p50 ms", "p99 ms");
  for (const ModelRouteResult &it : result.Routes)
    absl::StrAppendFormat(&text, "%-12s %8d %8.4f %8.4f %8.4f %8.4f %8.0f %8.0f\n", it.Route,
                          it.Counts.Sent, it.Counts.inTimeShare(),
                          share(it.Counts.Late, it.Counts.Sent),
                          share(it.Counts.Refused, it.Counts.Sent),
                          share(it.Counts.Failed, it.Counts.Sent), it.P50Ms, it.P99Ms);
  return text;
}

std::string lineOf(const char *name, const ModelResult &result) {
  return absl::StrFormat(
      "%-8s worth in time %.4f, with late answers %.4f, in time %.4f, refused %.4f, failed %.4f, "
      "slots "
      "in use %.2f, busiest/mean %.2f; attempts a request %.2f, busy %.3f, "
      "remote %.3f\n",
      name, result.WorthInTime, result.WorthEarned, result.Total.inTimeShare(),
      share(result.Total.Refused, result.Total.Sent), share(result.Total.Failed, result.Total.Sent),
      result.SlotUse, result.BusiestOverMean, share(result.Attempts, result.Executions),
      share(result.Busy, result.Attempts), share(result.Remote, result.Attempts));
}

/// Draws the outcomes by second as stacked areas.
std::string svgOf(const ModelResult &result) {
  constexpr double Width = 800;
  constexpr double Height = 300;
  struct Layer {
    const char *Name;
    const char *Colour;
    std::uint64_t ModelCounts::*Count;
  };
  const std::vector<Layer> layers = {{"in time", "#2a7", &ModelCounts::InTime},
                                     {"late", "#dc3", &ModelCounts::Late},
                                     {"refused", "#e83", &ModelCounts::Refused},
                                     {"failed", "#c33", &ModelCounts::Failed}};
  std::string svg =
      absl::StrFormat("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%.0f\" height=\"%.0f\" "
                      "font-family=\"sans-serif\" font-size=\"12\">\n",
                      Width + 40, Height + 60);
  const double step = Width / static_cast<double>(std::max<std::size_t>(result.Seconds.size(), 1));
  for (std::size_t n = 0; n < result.Seconds.size(); ++n) {
    const ModelCounts &second = result.Seconds[n];
    double y = 10 + Height;
    for (const Layer &layer : layers) {
      const double height = Height * share(second.*(layer.Count), second.Sent);
      y -= height;
      absl::StrAppendFormat(
          &svg, "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"%.1f\" fill=\"%s\"/>\n",
          10 + static_cast<double>(n) * step, y, step, height, layer.Colour);
    }
  }
  constexpr std::size_t LabelledSeconds = 5;
  for (std::size_t n = 0; n <= result.Seconds.size(); n += LabelledSeconds)
    absl::StrAppendFormat(&svg, "<text x=\"%.0f\" y=\"%.0f\">%d s</text>\n",
                          10 + static_cast<double>(n) * step, Height + 24, n);
  double x = 10;
  for (const Layer &layer : layers) {
    absl::StrAppendFormat(&svg, "<text x=\"%.0f\" y=\"%.0f\" fill=\"%s\">%s</text>\n", x,
                          Height + 44, layer.Colour, layer.Name);
    x += 80;
  }
  absl::StrAppendFormat(&svg,
                        "<text x=\"%.0f\" y=\"%.0f\">share of requests by second sent</text>\n", x,
                        Height + 44);
  return svg + "</svg>\n";
}

std::string outputOf(const std::string &format, const ModelResult &result) {
  if (format == "csv")
    return csvOf(result);
  if (format == "json")
    return jsonOf(result);
  return format == "svg" ? svgOf(result) : textOf(result);
}

} // namespace

int main(int argc, char **argv) {
  const auto started = settingsAtStart("jasmine_model",
                                       "Model of a mesh under load. Argument: "
                                       "experiment file",
                                       SettingTable, argc, argv);
  if (const int *code = std::get_if<int>(&started); code != nullptr)
    return *code;
  const auto &parsed = std::get<ParsedSettings>(started);
  const Settings &values = parsed.Values;
  if (parsed.Arguments.size() != 1) {
    std::cerr << "jasmine_model: exactly one experiment file is needed\n";
    return ExitBadSettings;
  }
  std::ifstream file(parsed.Arguments.front());
  std::stringstream text;
  text << file.rdbuf();
  if (!file) {
    std::cerr << "jasmine_model: cannot read " << parsed.Arguments.front() << "\n";
    return ExitBadSettings;
  }
  absl::StatusOr<ModelSettings> settings = parseExperiment(text.str());
  if (!settings.ok()) {
    std::cerr << "jasmine_model: " << parsed.Arguments.front() << ": "
              << settings.status().message() << "\n";
    return ExitBadSettings;
  }
  settings->Seed = static_cast<std::uint64_t>(values.number("seed"));
  for (ModelRoute &route : settings->Routes)
    route.PerSecond *= static_cast<double>(values.number("load")) / 100;
  const auto progress = [&values](double seconds) {
    if (values.text("progress") == "yes")
      std::cerr << "\r" << seconds << " s played" << std::flush;
  };
  for (const auto &[name, placement] : Placements) {
    const bool compare = values.text("compare") == "yes";
    if (!compare && values.text("placement") != name)
      continue;
    settings->Placement = placement;
    const ModelResult result = playLoad(*settings, progress);
    std::cout << (compare ? lineOf(name, result) : outputOf(values.text("output"), result));
  }
  return 0;
}
