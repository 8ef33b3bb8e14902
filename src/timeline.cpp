/// @file timeline.cpp Filters and renders time line events.
#include "timeline.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <map>

namespace jasmineloom {

namespace {

constexpr int LaneHeight = 26;
constexpr int LabelWidth = 150;
constexpr int PlotWidth = 1100;
constexpr int TopMargin = 40;

std::string xmlEscaped(const std::string &text) {
  std::string out;
  for (const char c : text) {
    if (c == '<')
      out += "&lt;";
    else if (c == '&')
      out += "&amp;";
    else
      out += c;
  }
  return out;
}

const char *colourOf(const std::string &kind) {
  if (kind == "apply")
    return "#2a7f3f";
  if (kind == "change")
    return "#1f4e9c";
  if (kind == "rollout")
    return "#b3541e";
  if (kind == "host")
    return "#7a3e9d";
  return kind == "store" ? "#a01f2d" : "#777777";
}

} // namespace

std::vector<TimelineEvent> filterEvents(const std::vector<TimelineEvent> &events,
                                        const std::string &text) {
  std::vector<TimelineEvent> found;
  for (const TimelineEvent &event : events) {
    const bool match = text.empty() || event.Subject.find(text) != std::string::npos ||
                       event.Host.str().find(text) != std::string::npos || event.Kind == text ||
                       absl::StrCat(event.Version) == text;
    if (match)
      found.push_back(event);
  }
  return found;
}

std::string timelineText(std::vector<TimelineEvent> events) {
  std::sort(events.begin(), events.end());
  std::string out;
  const std::uint64_t first = events.empty() ? 0 : events.front().TimeUs;
  for (const TimelineEvent &event : events)
    absl::StrAppendFormat(&out, "%+10.3f s  %-14s %-8s %-22s %s\n",
                          static_cast<double>(event.TimeUs - first) / 1e6, event.Host.str(),
                          event.Kind, event.Subject, event.Text);
  return out;
}

std::string timelineSvg(std::vector<TimelineEvent> events) {
  std::sort(events.begin(), events.end());
  std::map<std::string, int> lanes;
  for (const TimelineEvent &event : events)
    lanes.emplace(event.Host.str(), 0);
  int n = 0;
  for (auto &[host, lane] : lanes)
    lane = n++;
  const std::uint64_t first = events.empty() ? 0 : events.front().TimeUs;
  const std::uint64_t span =
      events.empty() ? 1 : std::max<std::uint64_t>(1, events.back().TimeUs - first);
  const int height = TopMargin + n * LaneHeight + 40;
  std::string out = absl::StrFormat(
      "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" "
      "font-family=\"sans-serif\" font-size=\"12\">\n<rect width=\"100%%\" height=\"100%%\" "
      "fill=\"white\"/>\n<text x=\"10\" y=\"20\">%d events over %.3f s</text>\n",
      LabelWidth + PlotWidth + 40, height, static_cast<int>(events.size()),
      static_cast<double>(span) / 1e6);
  for (const auto &[host, lane] : lanes) {
    const int y = TopMargin + lane * LaneHeight;
    absl::StrAppendFormat(&out,
                          "<text x=\"10\" y=\"%d\">%s</text><line x1=\"%d\" y1=\"%d\" x2=\"%d\" "
                          "y2=\"%d\" stroke=\"#ccc\"/>\n",
                          y + 4, xmlEscaped(host), LabelWidth, y, LabelWidth + PlotWidth, y);
  }
  for (const TimelineEvent &event : events) {
    const double x = LabelWidth + static_cast<double>(event.TimeUs - first) /
                                      static_cast<double>(span) * PlotWidth;
    absl::StrAppendFormat(&out,
                          "<circle cx=\"%.1f\" cy=\"%d\" r=\"5\" fill=\"%s\" fill-opacity=\"0.7\">"
                          "<title>%s %s: %s</title></circle>\n",
                          x, TopMargin + lanes.at(event.Host.str()) * LaneHeight,
                          colourOf(event.Kind), xmlEscaped(event.Kind), xmlEscaped(event.Subject),
                          xmlEscaped(event.Text));
  }
  int legendX = LabelWidth;
  for (const char *kind : {"change", "apply", "rollout", "host", "store", "link"}) {
    absl::StrAppendFormat(&out,
                          "<circle cx=\"%d\" cy=\"%d\" r=\"5\" fill=\"%s\"/>"
                          "<text x=\"%d\" y=\"%d\">%s</text>\n",
                          legendX, height - 14, colourOf(kind), legendX + 10, height - 10, kind);
    legendX += 90;
  }
  return out + "</svg>\n";
}

} // namespace jasmineloom
