/// @file timeline.h Bounded record of what a process did, for the time line over all processes.
#pragma once

#include "ids_type.h"

#include <deque>
#include <string>
#include <vector>

namespace jasmineloom {

/// Something that happened.
struct TimelineEvent {
  std::uint64_t TimeUs = 0; ///< Unix time, microseconds.
  HostID Host;
  std::string Kind;    ///< "change", "apply", "link", "rollout", "host", "store", ...
  std::string Subject; ///< Version, rollout, route or host that it is about.
  ConfigVersion Version = 0;
  std::string Text;
  auto operator<=>(const TimelineEvent &) const = default;
};

/// Events kept by a process.
constexpr std::size_t MaxTimelineEvents = 2000;

/// The newest events of one process.
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

/// Picks the events that mention a text in their subject, host or kind; all if it is empty.
std::vector<TimelineEvent> filterEvents(const std::vector<TimelineEvent> &events,
                                        const std::string &text);
/// @returns the events as lines of text, in the order of time.
std::string timelineText(std::vector<TimelineEvent> events);
/// @returns the events as an SVG picture with a lane for each host.
std::string timelineSvg(std::vector<TimelineEvent> events);

} // namespace jasmineloom
