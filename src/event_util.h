/// @file event_util.h Owning handles for libevent objects, and clocks.
#pragma once

#include "ids_type.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace jasmineloom {

struct EventBaseDeleter {
  void operator()(event_base *base) const { event_base_free(base); }
};
struct EventDeleter {
  void operator()(event *ev) const { event_free(ev); }
};
struct EvBufferDeleter {
  void operator()(evbuffer *buf) const { evbuffer_free(buf); }
};
struct BuffereventDeleter {
  void operator()(bufferevent *bev) const { bufferevent_free(bev); }
};
using EventBasePtr = std::unique_ptr<event_base, EventBaseDeleter>;
using EventPtr = std::unique_ptr<event, EventDeleter>;
using EvBufferPtr = std::unique_ptr<evbuffer, EvBufferDeleter>;
using BuffereventPtr = std::unique_ptr<bufferevent, BuffereventDeleter>;

/// Socket address in the form of the system calls.
struct SocketAddress {
  sockaddr_storage Storage{};
  int Size = sizeof(sockaddr_storage);
  const sockaddr *get() const { return reinterpret_cast<const sockaddr *>(&Storage); }
};
/// Parses "IP:port".
/// @returns nullopt if the text has another form.
std::optional<SocketAddress> socketAddressOf(const std::string &address);
/// @returns whether a text is a numeric IP address with a port in range.
bool isSocketAddress(const std::string &address);

/// Disables Nagle's algorithm on a TCP socket.
void setNoDelay(evutil_socket_t fd);

/// Creates an event loop whose timers are accurate to well under a millisecond.
EventBasePtr makePreciseBase();

EvBufferPtr makeBuffer();
EvBufferPtr makeBuffer(std::string_view text);
/// Makes a buffer of a text without copying it, unless it is short.
EvBufferPtr adoptBuffer(std::string text);
/// Calls a function with each contiguous part of a buffer's content, in order, without copying it.
void forEachPart(evbuffer *buf, const std::function<void(const void *, std::size_t)> &visit);
/// Copies a buffer's content without draining it.
std::string textOf(evbuffer *buf);

/// Unix time, which may jump when the clock is set. Used for time stamps, and for times that are
/// compared between hosts.
TimeMs wallClockMs();
std::uint64_t wallClockUs();
/// Monotonic time in microseconds.
std::uint64_t steadyClockUs();
/// Monotonic time. Only tasks read it; decision functions take the current time as an argument.
TimeMs steadyClockMs();
/// Monotonic time that includes time for which the machine was suspended.
TimeMs bootClockMs();

timeval toTimeval(DurationMs duration);

/// Calls a function once after a delay; the function may start the timer again.
class Timer {
public:
  Timer(event_base *base, std::function<void()> action);
  ~Timer() = default;
  Timer(const Timer &) = delete;
  Timer &operator=(const Timer &) = delete;
  /// Schedules the action; replaces a delay that is still running.
  void start(DurationMs delay);
  void stop();
  /// Schedules the action unless it is already scheduled.
  void ensure(DurationMs delay);

private:
  std::function<void()> Action;
  EventPtr Event;
};

} // namespace jasmineloom
