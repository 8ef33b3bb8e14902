/// @file event_util.cpp Owning handles for libevent objects, and clocks.
#include "event_util.h"

#include <chrono>
#include <ctime>
#include <netinet/in.h>
#include <netinet/tcp.h>

namespace jasmineloom {

std::optional<SocketAddress> socketAddressOf(const std::string &address) {
  SocketAddress parsed;
  if (evutil_parse_sockaddr_port(address.c_str(), reinterpret_cast<sockaddr *>(&parsed.Storage),
                                 &parsed.Size) != 0)
    return std::nullopt;
  return parsed;
}

bool isSocketAddress(const std::string &address) {
  const std::optional<SocketAddress> parsed = socketAddressOf(address);
  if (!parsed.has_value())
    return false;
  // Both address families have their port at the same place.
  return reinterpret_cast<const sockaddr_in *>(&parsed->Storage)->sin_port != 0;
}

void setNoDelay(evutil_socket_t fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

EventBasePtr makePreciseBase() {
  event_config *config = event_config_new();
  event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
  EventBasePtr base(event_base_new_with_config(config));
  event_config_free(config);
  return base;
}

EvBufferPtr makeBuffer() { return EvBufferPtr(evbuffer_new()); }

EvBufferPtr makeBuffer(std::string_view text) {
  EvBufferPtr buf = makeBuffer();
  evbuffer_add(buf.get(), text.data(), text.size());
  return buf;
}

EvBufferPtr adoptBuffer(std::string text) {
  constexpr std::size_t MaxCopiedBytes = 4096;
  if (text.size() <= MaxCopiedBytes)
    return makeBuffer(text);
  EvBufferPtr buf = makeBuffer();
  auto owned = std::make_unique<std::string>(std::move(text));
  const auto release = [](const void *, std::size_t, void *arg) {
    delete static_cast<std::string *>(arg);
  };
  if (evbuffer_add_reference(buf.get(), owned->data(), owned->size(), release, owned.get()) == 0)
    static_cast<void>(owned.release());
  return buf;
}

void forEachPart(evbuffer *buf, const std::function<void(const void *, std::size_t)> &visit) {
  std::vector<evbuffer_iovec> parts(
      static_cast<std::size_t>(evbuffer_peek(buf, -1, nullptr, nullptr, 0)));
  evbuffer_peek(buf, -1, nullptr, parts.data(), static_cast<int>(parts.size()));
  for (const evbuffer_iovec &part : parts)
    visit(part.iov_base, part.iov_len);
}

std::string textOf(evbuffer *buf) {
  std::string text(evbuffer_get_length(buf), '\0');
  evbuffer_copyout(buf, text.data(), text.size());
  return text;
}

TimeMs wallClockMs() { return wallClockUs() / 1000; }

std::uint64_t wallClockUs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

std::uint64_t steadyClockUs() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

TimeMs steadyClockMs() { return steadyClockUs() / 1000; }

TimeMs bootClockMs() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return static_cast<TimeMs>(now.tv_sec) * MsPerSecond + static_cast<TimeMs>(now.tv_nsec) / 1000000;
}

timeval toTimeval(DurationMs duration) {
  return {static_cast<time_t>(duration / MsPerSecond),
          static_cast<suseconds_t>(duration % MsPerSecond * 1000)};
}

Timer::Timer(event_base *base, std::function<void()> action) : Action(std::move(action)) {
  const auto fire = [](evutil_socket_t, short, void *arg) { static_cast<Timer *>(arg)->Action(); };
  Event.reset(event_new(base, -1, 0, fire, this));
}

void Timer::start(DurationMs delay) {
  const timeval tv = toTimeval(delay);
  event_add(Event.get(), &tv);
}

void Timer::ensure(DurationMs delay) {
  if (event_pending(Event.get(), EV_TIMEOUT, nullptr) == 0)
    start(delay);
}

void Timer::stop() { event_del(Event.get()); }

} // namespace jasmineloom
