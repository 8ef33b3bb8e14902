/// @file net.h Blocking HTTP/1.1 over TCP for the stand-ins of the review's scripts.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <map>
#include <mutex>
#include <string>
#include <thread>

inline std::int64_t wallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

inline void sleepMs(std::int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/// Flags of the form --name value.
class Flags {
public:
  Flags(int argc, char **argv) {
    for (int n = 2; n + 1 < argc; n += 2)
      Values[std::string(argv[n]).substr(2)] = argv[n + 1];
  }
  std::string text(const std::string &name, const std::string &fallback = "") const {
    const auto it = Values.find(name);
    return it == Values.end() ? fallback : it->second;
  }
  long number(const std::string &name, long fallback = 0) const {
    return std::atol(text(name, std::to_string(fallback)).c_str());
  }

private:
  std::map<std::string, std::string> Values;
};

/// Writes lines with the Unix time in ms to standard output.
inline void record(const std::string &line) {
  static std::mutex lock;
  const std::lock_guard guard(lock);
  std::printf("%lld %s\n", static_cast<long long>(wallMs()), line.c_str());
  std::fflush(stdout);
}

inline sockaddr_in addressOf(const std::string &text) {
  sockaddr_in address{};
  const std::size_t colon = text.rfind(':');
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(std::atoi(text.c_str() + colon + 1)));
  inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
  return address;
}

/// @returns -1 if nothing accepts the connection within a second.
inline int connectTo(const std::string &text) {
  const sockaddr_in address = addressOf(text);
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval limit{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  if (connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
    close(fd);
    return -1;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  const timeval none{0, 0};
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &none, sizeof(none));
  return fd;
}

inline int listenOn(const std::string &text) {
  const sockaddr_in address = addressOf(text);
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0 ||
      listen(fd, 512) != 0) {
    std::fprintf(stderr, "cannot listen on %s\n", text.c_str());
    std::exit(2);
  }
  return fd;
}

inline bool sendAll(int fd, const std::string &bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

/// A request or a response.
struct Message {
  std::string Start; ///< Request line or status line.
  std::map<std::string, std::string> Fields; ///< By name in lower case.
  std::string Body;

  std::string field(const std::string &name) const {
    const auto it = Fields.find(name);
    return it == Fields.end() ? "" : it->second;
  }
  std::string method() const { return Start.substr(0, Start.find(' ')); }
  std::string target() const {
    const std::size_t from = Start.find(' ') + 1;
    return Start.substr(from, Start.find(' ', from) - from);
  }
  int status() const { return std::atoi(Start.c_str() + std::min<std::size_t>(Start.size(), 9)); }
};

/// A connection with what was received on it and not used yet.
struct Connection {
  int Fd = -1;
  std::string Received;

  explicit Connection(int fd) : Fd(fd) {}
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;
  ~Connection() { end(); }
  void end() {
    if (Fd >= 0)
      close(Fd);
    Fd = -1;
  }
  /// @returns whether more bytes were received before the time limit.
  bool receive(std::int64_t until) {
    const std::int64_t left = until - wallMs();
    pollfd poller{Fd, POLLIN, 0};
    if (left <= 0 || poll(&poller, 1, static_cast<int>(left)) <= 0)
      return false;
    char bytes[65536];
    const ssize_t n = recv(Fd, bytes, sizeof(bytes), 0);
    if (n > 0)
      Received.append(bytes, static_cast<std::size_t>(n));
    return n > 0;
  }
  /// Reads a message with a length; @returns whether it is complete.
  bool read(Message &message, std::int64_t until) {
    std::size_t head = 0;
    while ((head = Received.find("\r\n\r\n")) == std::string::npos) {
      if (!receive(until))
        return false;
    }
    message = Message{};
    std::size_t at = Received.find("\r\n");
    message.Start = Received.substr(0, at);
    while (at < head) {
      const std::size_t next = Received.find("\r\n", at + 2);
      const std::string line = Received.substr(at + 2, next - at - 2);
      const std::size_t colon = line.find(':');
      std::string name = line.substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
      if (colon != std::string::npos)
        message.Fields[name] = line.substr(std::min(line.size(), line.find_first_not_of(' ', colon + 1)));
      at = next;
    }
    const auto length = static_cast<std::size_t>(std::atoll(message.field("content-length").c_str()));
    while (Received.size() < head + 4 + length) {
      if (!receive(until))
        return false;
    }
    message.Body = Received.substr(head + 4, length);
    Received.erase(0, head + 4 + length);
    return true;
  }
};

/// Sends one request on a connection of its own; @returns its status, 0 if there was no answer.
inline int callOnce(const std::string &address, const std::string &head, const std::string &body,
                    Message &answer, std::int64_t limitMs) {
  Connection connection(connectTo(address));
  if (connection.Fd < 0)
    return 0;
  const std::string bytes =
      head + "Content-Length: " + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body;
  if (!sendAll(connection.Fd, bytes) || !connection.read(answer, wallMs() + limitMs))
    return 0;
  return answer.status();
}
