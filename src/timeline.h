/// @file timeline.h Bounded event log of a process; jasminectl merges those of all nodes into a
/// time line.
#pragma once

#include "ids_type.h"

#include <deque>
#include <string>
#include <vector>

namespace jasmineloom {

struct TimelineEvent {
  std::uint64_t TimeUs = 0; ///< Unix time in microseconds.
  HostID Host;
  std::string Kind;    ///< "change", "apply", "link", "rollout", "host", "store", ...
  std::string Subject; ///< The version, rollout, route or host concerned.
  ConfigVersion Version = 0;
  std::string Text;
  auto operator<=>(const TimelineEvent &) const = default;
};

/// Events kept per process.
constexpr std::size_t MaxTimelineEvents = 2000;

/// The most recent events of one process; the oldest are dropped first.
class Timeline {
public:
  void add(TimelineEvent event) {
    Events.push_back(std::move(event));
    if (Events.size() > MaxTimelineEvents)
      Events.pop_front();
  }
  const std::deque<TimelineEvent> &events() const { return Events; }

private:
  std::deque<TimelineEvent> Events;
};

/// Selects the events whose subject or host contains a text, or whose kind or version equals it.
/// An empty text selects all.
std::vector<TimelineEvent> filterEvents(const std::vector<TimelineEvent> &events,
                                        const std::string &text);
/// Renders the events as text, one line each, sorted by time.
std::string timelineText(std::vector<TimelineEvent> events);
/// Renders the events as an SVG image with one lane per host.
std::string timelineSvg(std::vector<TimelineEvent> events);

} // namespace jasmineloom
