/// @file proxy.h Forwards TCP connections. After SIGUSR1 the connections that are open go silent for
/// good, without a reset; new ones work.
#pragma once

#include "clients.h"

#include <csignal>

/// Number of times that the open connections went silent.
inline std::atomic<long> &silences() {
  static std::atomic<long> count{0};
  return count;
}

inline void forwardOne(int from, int to, long opened) {
  char bytes[65536];
  while (true) {
    pollfd poller{from, POLLIN, 0};
    if (poll(&poller, 1, 20) < 0 && errno != EINTR)
      break;
    // Both sockets stay open: the peers see neither an end nor a reset.
    while (silences() != opened)
      sleepMs(1000);
    if ((poller.revents & (POLLIN | POLLHUP | POLLERR)) == 0)
      continue;
    const ssize_t n = recv(from, bytes, sizeof(bytes), 0);
    if (n <= 0 || !sendAll(to, std::string(bytes, static_cast<std::size_t>(n))))
      break;
  }
  shutdown(from, SHUT_RDWR);
  shutdown(to, SHUT_RDWR);
}

/// --from IP:PORT,... --to IP:PORT,...: the addresses in the same order.
inline int runProxy(const Flags &flags) {
  std::signal(SIGUSR1, [](int) { ++silences(); });
  const std::vector<std::string> from = partsOf(flags.text("from"));
  const std::vector<std::string> to = partsOf(flags.text("to"));
  std::vector<std::thread> threads;
  for (std::size_t n = 0; n < from.size(); ++n) {
    threads.emplace_back([listener = listenOn(from[n]), target = to[n]] {
      while (true) {
        const int in = accept(listener, nullptr, nullptr);
        if (in < 0)
          continue;
        const int out = connectTo(target);
        if (out < 0) {
          const linger reset{1, 0};
          setsockopt(in, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
          close(in);
          continue;
        }
        const int on = 1;
        setsockopt(in, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        std::thread([in, out, opened = silences().load()] {
          std::thread back([in, out, opened] { forwardOne(out, in, opened); });
          forwardOne(in, out, opened);
          back.join();
          close(in);
          close(out);
        }).detach();
      }
    });
  }
  for (std::thread &it : threads)
    it.join();
  return 0;
}
