/// @file http.h Blocking HTTP/1.1 on loopback sockets, for the stand-ins of the review.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <thread>

namespace review {

using Clock = std::chrono::steady_clock;
using Fields = std::multimap<std::string, std::string>; ///< Names in lower case.

inline double secondsSince(Clock::time_point start) {
  return std::chrono::duration<double>(Clock::now() - start).count();
}

inline void sleepMs(long ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

inline sockaddr_in loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

/// @returns a free port, below those that the kernel gives to outgoing connections and another one at
/// each call. Processes begin at different ports, so that scripts can run side by side.
inline std::uint16_t freePort() {
  constexpr int First = 20000;
  constexpr int Count = 12000;
  constexpr int PortsPerProcess = 64;
  static int next = getpid() * PortsPerProcess % Count;
  for (;;) {
    const auto port = static_cast<std::uint16_t>(First + next++ % Count);
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = loopback(port);
    const bool isFree = bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0;
    close(fd);
    if (isFree)
      return port;
  }
}

inline std::string addressOf(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

struct Message {
  std::string StartLine;
  Fields Headers;
  std::string Body;
  std::string header(const std::string &name) const {
    const auto it = Headers.find(name);
    return it == Headers.end() ? "" : it->second;
  }
  std::string word(int n) const {
    std::size_t from = 0;
    for (; n > 0; --n)
      from = StartLine.find(' ', from) + 1;
    return StartLine.substr(from, StartLine.find(' ', from) - from);
  }
};

/// A connected socket with a read buffer.
class Stream {
public:
  explicit Stream(int fd) : Fd(fd) {
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  ~Stream() { close(Fd); }
  Stream(const Stream &) = delete;
  Stream &operator=(const Stream &) = delete;

  static std::unique_ptr<Stream> connectTo(std::uint16_t port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(port);
    auto stream = std::make_unique<Stream>(fd);
    if (connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0)
      return nullptr;
    return stream;
  }

  bool send(const std::string &bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t n = ::send(Fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (n <= 0)
        return false;
      sent += static_cast<std::size_t>(n);
    }
    return true;
  }

  /// Reads a message with a length, or with an empty body if it states none.
  /// @returns nullopt if the peer closes or the time is over.
  std::optional<Message> read(Clock::time_point deadline) {
    std::size_t end = 0;
    while ((end = Buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!fill(deadline))
        return std::nullopt;
    }
    Message message;
    std::size_t line = Buffer.find("\r\n");
    message.StartLine = Buffer.substr(0, line);
    while (line < end) {
      const std::size_t next = Buffer.find("\r\n", line + 2);
      const std::string field = Buffer.substr(line + 2, next - line - 2);
      const std::size_t colon = field.find(':');
      std::string name = field.substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(), ::tolower);
      const std::size_t value = field.find_first_not_of(' ', colon + 1);
      message.Headers.emplace(name, value == std::string::npos ? "" : field.substr(value));
      line = next;
    }
    Buffer.erase(0, end + 4);
    const std::string text = message.header("content-length");
    const std::size_t length = text.empty() ? 0 : std::stoul(text);
    while (Buffer.size() < length) {
      if (!fill(deadline))
        return std::nullopt;
    }
    message.Body = Buffer.substr(0, length);
    Buffer.erase(0, length);
    return message;
  }

  /// @returns whether the peer has closed the connection.
  bool closedByPeer() const {
    char byte = 0;
    return recv(Fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
  }

private:
  bool fill(Clock::time_point deadline) {
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Clock::now()).count();
    pollfd entry{Fd, POLLIN, 0};
    if (left <= 0 || poll(&entry, 1, static_cast<int>(left)) <= 0)
      return false;
    char bytes[8192];
    const ssize_t n = recv(Fd, bytes, sizeof(bytes), 0);
    if (n <= 0)
      return false;
    Buffer.append(bytes, static_cast<std::size_t>(n));
    return true;
  }

  int Fd;
  std::string Buffer;
};

inline std::string responseText(int status, const std::string &body, const std::string &fields) {
  return "HTTP/1.1 " + std::to_string(status) + " -\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Accepts connections on a loopback port and runs a handler for each in a thread of its own.
inline int listenOn(std::uint16_t port, std::function<void(std::unique_ptr<Stream>)> handler) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = loopback(port);
  if (bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0 || listen(fd, 512) != 0)
    return -1;
  std::thread([fd, handler = std::move(handler)] {
    for (;;) {
      const int accepted = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0)
        return;
      std::thread(handler, std::make_unique<Stream>(accepted)).detach();
    }
  }).detach();
  return fd;
}

/// Sends one request on a new connection.
/// @returns nullopt without a complete answer in time.
inline std::optional<Message> call(std::uint16_t port, const std::string &method,
                                   const std::string &path, const std::string &fields,
                                   const std::string &body, long timeoutMs) {
  const std::unique_ptr<Stream> stream = Stream::connectTo(port);
  if (!stream)
    return std::nullopt;
  const bool mayHaveBody = method == "POST" || method == "PUT";
  stream->send(method + " " + path + " HTTP/1.1\r\n" + fields +
               (mayHaveBody ? "Content-Length: " + std::to_string(body.size()) + "\r\n" : "") +
               "\r\n" + body);
  return stream->read(Clock::now() + std::chrono::milliseconds(timeoutMs));
}

} // namespace review
