/// @file world.h Stand-ins for the platform around jasmined: store, servers, clients, machines.
/// Everything listens on 127.0.0.1 at free ports. One thread for each connection.
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <strings.h>
#include <thread>
#include <vector>

namespace world {

using nlohmann::json;

inline std::int64_t nowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}
inline std::int64_t unixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}
inline void sleepMs(std::int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/// Writes what was sent, answered and run, with the time since the start.
class Record {
public:
  explicit Record(const std::string &path) : File(std::fopen(path.c_str(), "w")), Start(nowMs()) {}
  void line(const char *format, ...) __attribute__((format(printf, 2, 3))) {
    const std::lock_guard lock(Mutex);
    if (File == nullptr)
      return;
    std::fprintf(File, "%8.3f ", static_cast<double>(nowMs() - Start) / 1000);
    va_list list;
    va_start(list, format);
    std::vfprintf(File, format, list);
    va_end(list);
    std::fputc('\n', File);
    std::fflush(File);
  }

private:
  std::mutex Mutex;
  std::FILE *File;
  std::int64_t Start;
};

/// Ends the case; its processes end with it.
[[noreturn]] inline void finish(int code) {
  std::fflush(stdout);
  _exit(code);
}

// --- Sockets and HTTP ---

inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

/// @returns a listening socket; port 0 picks a free one.
inline int listenOn(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = loopback(port);
  if (bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0 ||
      listen(fd, 512) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}
inline int portOf(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
  return ntohs(address.sin_port);
}
/// @returns a free port below the range from which the kernel takes ports of its own.
inline int freePort() {
  static int next = 12000 + static_cast<int>(getpid() % 145) * 128;
  for (int n = 0; n < 2000; ++n) {
    const int port = next++;
    if (next > 31000)
      next = 12000;
    const int fd = listenOn(port);
    if (fd < 0)
      continue;
    close(fd);
    return port;
  }
  return 0;
}
inline int connectTo(int port, std::int64_t timeoutMs = 1000) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = loopback(port);
  const timeval limit{timeoutMs / 1000, (timeoutMs % 1000) * 1000};
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  if (connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
    close(fd);
    return -1;
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

using Fields = std::vector<std::pair<std::string, std::string>>;

struct Message {
  std::string First; ///< Request or status line.
  Fields Headers;
  std::string Body;
  std::string header(const char *name) const {
    for (const auto &[key, value] : Headers) {
      if (strcasecmp(key.c_str(), name) == 0)
        return value;
    }
    return "";
  }
  bool has(const char *name) const {
    for (const auto &it : Headers) {
      if (strcasecmp(it.first.c_str(), name) == 0)
        return true;
    }
    return false;
  }
  std::string method() const { return First.substr(0, First.find(' ')); }
  std::string target() const {
    const std::size_t from = First.find(' ') + 1;
    return First.substr(from, First.find(' ', from) - from);
  }
  int status() const {
    return First.rfind("HTTP/1.", 0) == 0 ? std::atoi(First.c_str() + 9) : 0;
  }
};

/// Reads messages from a socket.
class Reader {
public:
  explicit Reader(int fd) : Fd(fd) {}
  /// @returns whether bytes arrived by the deadline (steady clock).
  bool fill(std::int64_t deadline) {
    const std::int64_t left = deadline - nowMs();
    pollfd waiting{Fd, POLLIN, 0};
    if (left <= 0 || poll(&waiting, 1, static_cast<int>(left)) <= 0)
      return false;
    char bytes[65536];
    const ssize_t n = recv(Fd, bytes, sizeof(bytes), 0);
    if (n <= 0) {
      Ended = true;
      Reset = n < 0;
      return false;
    }
    Buffer.append(bytes, static_cast<std::size_t>(n));
    return true;
  }
  bool line(std::string &out, std::int64_t deadline) {
    std::size_t end;
    while ((end = Buffer.find("\r\n")) == std::string::npos) {
      if (!fill(deadline))
        return false;
    }
    out = Buffer.substr(0, end);
    Buffer.erase(0, end + 2);
    return true;
  }
  bool bytes(std::size_t n, std::string &out, std::int64_t deadline) {
    while (Buffer.size() < n) {
      if (!fill(deadline))
        return false;
    }
    out += Buffer.substr(0, n);
    Buffer.erase(0, n);
    return true;
  }
  bool head(Message &out, std::int64_t deadline) {
    out = {};
    do {
      if (!line(out.First, deadline))
        return false;
    } while (out.First.empty());
    std::string text;
    while (line(text, deadline)) {
      if (text.empty())
        return true;
      const std::size_t colon = text.find(':');
      if (colon == std::string::npos)
        return false;
      std::size_t from = colon + 1;
      while (from < text.size() && text[from] == ' ')
        ++from;
      out.Headers.emplace_back(text.substr(0, colon), text.substr(from));
    }
    return false;
  }
  bool body(Message &out, std::int64_t deadline, bool untilEnd) {
    if (strcasecmp(out.header("transfer-encoding").c_str(), "chunked") == 0) {
      while (true) {
        std::string size;
        if (!line(size, deadline))
          return false;
        const std::size_t n = std::strtoul(size.c_str(), nullptr, 16);
        if (n != 0 && !bytes(n, out.Body, deadline))
          return false;
        std::string end;
        if (!line(end, deadline))
          return false;
        if (n == 0)
          return end.empty();
      }
    }
    if (out.has("content-length"))
      return bytes(std::strtoul(out.header("content-length").c_str(), nullptr, 10), out.Body,
                   deadline);
    if (!untilEnd)
      return true;
    while (fill(deadline)) {
    }
    out.Body += Buffer;
    Buffer.clear();
    return Ended && !Reset;
  }
  bool request(Message &out, std::int64_t deadline) {
    return head(out, deadline) && body(out, deadline, false);
  }
  bool response(Message &out, std::int64_t deadline) {
    do {
      if (!head(out, deadline))
        return false;
    } while (out.status() >= 100 && out.status() < 200);
    return body(out, deadline, true);
  }
  bool ended() const { return Ended; }
  std::string &buffer() { return Buffer; }

private:
  int Fd;
  std::string Buffer;
  bool Ended = false;
  bool Reset = false;
};

inline std::string responseText(int status, const std::string &body, const Fields &headers = {}) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " -\r\n";
  for (const auto &[name, value] : headers)
    text += name + ": " + value + "\r\n";
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
inline std::string requestText(const std::string &method, const std::string &target,
                               const Fields &headers, const std::string &body) {
  std::string text = method + " " + target + " HTTP/1.1\r\n";
  for (const auto &[name, value] : headers)
    text += name + ": " + value + "\r\n";
  if (!body.empty() || method == "POST" || method == "PUT")
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + body;
}

/// @returns the response; nullopt if none came in time.
inline std::optional<Message> call(int port, const std::string &method, const std::string &target,
                                   const Fields &headers, const std::string &body,
                                   std::int64_t timeoutMs) {
  const int fd = connectTo(port, std::min<std::int64_t>(timeoutMs, 1000));
  if (fd < 0)
    return std::nullopt;
  std::optional<Message> result;
  Reader reader(fd);
  Message message;
  if (sendAll(fd, requestText(method, target, headers, body)) &&
      reader.response(message, nowMs() + timeoutMs))
    result = std::move(message);
  close(fd);
  return result;
}

/// Accepts connections until the end of the process or close().
class Listener {
public:
  using Handler = std::function<void(int fd)>;
  Listener(int port, Handler handler) : OnConnection(std::move(handler)), Fd(listenOn(port)) {
    Port = Fd < 0 ? 0 : portOf(Fd);
    Thread = std::thread([this] { run(); });
  }
  ~Listener() { close(); }
  int port() const { return Port; }
  void close() {
    if (Closed.exchange(true))
      return;
    shutdown(Fd, SHUT_RDWR);
    Thread.join();
    ::close(Fd);
  }

private:
  void run() {
    while (!Closed) {
      const int fd = accept4(Fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        if (Closed)
          return;
        sleepMs(5);
        continue;
      }
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([handler = OnConnection, fd] {
        handler(fd);
        ::close(fd);
      }).detach();
    }
  }
  Handler OnConnection;
  int Fd;
  int Port = 0;
  std::atomic<bool> Closed = false;
  std::thread Thread;
};

// --- The platform's store ---

inline std::string base64(const std::string &text) {
  static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t it = 0; it < text.size(); it += 3) {
    std::uint32_t bits = 0;
    for (std::size_t n = 0; n < 3; ++n)
      bits = bits << 8 | (it + n < text.size() ? static_cast<unsigned char>(text[it + n]) : 0);
    for (std::size_t n = 0; n < 4; ++n)
      out += it + n > text.size() ? '=' : digits[bits >> (18 - 6 * n) & 63];
  }
  return out;
}
inline std::string unbase64(const std::string &text) {
  std::string out;
  std::uint32_t bits = 0;
  int count = 0;
  for (const char c : text) {
    int value = c >= 'A' && c <= 'Z'   ? c - 'A'
                : c >= 'a' && c <= 'z' ? c - 'a' + 26
                : c >= '0' && c <= '9' ? c - '0' + 52
                : c == '+'             ? 62
                : c == '/'             ? 63
                                       : -1;
    if (value < 0)
      break;
    bits = bits << 6 | static_cast<std::uint32_t>(value);
    count += 6;
    if (count >= 8) {
      count -= 8;
      out += static_cast<char>(bits >> count & 255);
    }
  }
  return out;
}
inline std::string unescape(const std::string &text) {
  std::string out;
  for (std::size_t it = 0; it < text.size(); ++it) {
    if (text[it] == '%' && it + 2 < text.size()) {
      out += static_cast<char>(std::strtoul(text.substr(it + 1, 2).c_str(), nullptr, 16));
      it += 2;
    } else {
      out += text[it];
    }
  }
  return out;
}

/// The store as PROTOCOL.md describes it. A proxy in front of it plays its disruptions.
class Store {
public:
  struct Item {
    std::string Value;
    std::int64_t Revision = 0;
    std::int64_t Created = 0;
    std::int64_t Lease = 0;
  };
  struct Event {
    std::int64_t Revision = 0;
    std::string Key;
    bool Removed = false;
    Item Now;
  };

  explicit Store() : Server(0, [this](int fd) { serve(fd); }) {
    std::thread([this] {
      while (true) {
        sleepMs(100);
        expire();
      }
    }).detach();
  }
  int port() const { return Server.port(); }
  /// Writes as the operator does.
  void put(const std::string &key, const std::string &value) {
    const std::lock_guard lock(Mutex);
    ++Revision;
    write(key, value, 0);
    Changed.notify_all();
  }
  std::string get(const std::string &key) {
    const std::lock_guard lock(Mutex);
    const auto it = Items.find(key);
    return it == Items.end() ? "" : it->second.Value;
  }
  /// Comes back as it was at copy(), in a new era.
  void keepCopy() {
    const std::lock_guard lock(Mutex);
    Copy = {Items, Leases, Revision, NextLease};
  }
  void restoreCopy() {
    const std::lock_guard lock(Mutex);
    std::tie(Items, Leases, Revision, NextLease) = Copy;
    History.clear();
    FirstRevision = Revision;
    ++Era;
    Changed.notify_all();
  }
  std::atomic<bool> Down = false; ///< Connections are reset.
  /// @returns the status with which a call is turned away; 0: it is served.
  std::function<int(int fd, const Message &request)> TurnsAway;

private:
  void write(const std::string &key, const std::string &value, std::int64_t lease) {
    Item &item = Items[key];
    if (item.Created == 0)
      item.Created = Revision;
    item.Value = value;
    item.Revision = Revision;
    item.Lease = lease;
    History.push_back({Revision, key, false, item});
  }
  void remove(const std::string &key) {
    if (Items.erase(key) != 0)
      History.push_back({Revision, key, true, {}});
  }
  void expire() {
    const std::lock_guard lock(Mutex);
    for (auto it = Leases.begin(); it != Leases.end();) {
      if (nowMs() < it->second.second) {
        ++it;
        continue;
      }
      endLease(it->first);
      it = Leases.erase(it);
    }
  }
  void endLease(std::int64_t lease) {
    std::vector<std::string> keys;
    for (const auto &[key, item] : Items) {
      if (item.Lease == lease)
        keys.push_back(key);
    }
    if (keys.empty())
      return;
    ++Revision;
    for (const std::string &key : keys)
      remove(key);
    Changed.notify_all();
  }
  json itemOf(const std::string &key, const Item &item) const {
    return {{"key", key},
            {"value", base64(item.Value)},
            {"revision", item.Revision},
            {"created", item.Created},
            {"lease", item.Lease}};
  }
  void serve(int fd) {
    Reader reader(fd);
    Message request;
    while (reader.request(request, nowMs() + 600000)) {
      if (Down)
        return;
      int status = TurnsAway ? TurnsAway(fd, request) : 0;
      json body = {{"error", "busy"}};
      if (status == 0) {
        status = 200;
        body = answer(request, status);
      }
      if (Down)
        return;
      const std::string era = std::to_string(Era);
      if (!sendAll(fd, responseText(status, body.dump(),
                                    {{"Content-Type", "application/json"}, {"Store-Era", era}})))
        return;
    }
  }
  json answer(const Message &request, int &status) {
    const std::string target = request.target();
    const std::size_t mark = target.find('?');
    const std::string path = target.substr(0, mark);
    std::map<std::string, std::string> query;
    std::size_t from = mark == std::string::npos ? target.size() : mark + 1;
    while (from < target.size()) {
      std::size_t end = target.find('&', from);
      end = end == std::string::npos ? target.size() : end;
      const std::string part = target.substr(from, end - from);
      const std::size_t equals = part.find('=');
      if (equals != std::string::npos)
        query[part.substr(0, equals)] = unescape(part.substr(equals + 1));
      from = end + 1;
    }
    std::unique_lock lock(Mutex);
    if (path == "/kv-key") {
      const auto it = Items.find(query["key"]);
      if (it == Items.end()) {
        status = 404;
        return {{"error", "no such key"}};
      }
      json body = itemOf(it->first, it->second);
      body["store_revision"] = Revision;
      return body;
    }
    if (path == "/kv-range") {
      json items = json::array();
      bool more = false;
      for (const auto &[key, item] : Items) {
        if (key.rfind(query["prefix"], 0) != 0 || (!query["after"].empty() && key <= query["after"]))
          continue;
        if (items.size() >= 500) {
          more = true;
          break;
        }
        items.push_back(itemOf(key, item));
      }
      return {{"items", items}, {"has_more", more}, {"store_revision", Revision}};
    }
    if (path == "/kv-watch") {
      const std::int64_t after = std::atoll(query["after"].c_str());
      const std::int64_t until = nowMs() + std::atoll(query["wait_ms"].c_str());
      const std::uint64_t era = Era;
      while (true) {
        if (era != Era || after > Revision || after < FirstRevision) {
          status = 410;
          return {{"error", "gone"}};
        }
        json events = json::array();
        for (const Event &event : History) {
          if (event.Revision <= after || event.Key.rfind(query["prefix"], 0) != 0)
            continue;
          if (event.Removed)
            events.push_back({{"key", event.Key}, {"revision", event.Revision}, {"removed", true}});
          else
            events.push_back(itemOf(event.Key, event.Now));
        }
        if (!events.empty() || nowMs() >= until)
          return {{"events", events}, {"store_revision", Revision}};
        Changed.wait_for(lock, std::chrono::milliseconds(until - nowMs()));
      }
    }
    if (path == "/kv-txn")
      return transact(json::parse(request.Body, nullptr, false), status);
    if (path == "/kv-lease") {
      const json body = json::parse(request.Body, nullptr, false);
      const std::int64_t ttl = body.value("ttl_ms", 1000);
      Leases[++NextLease] = {ttl, nowMs() + ttl};
      return {{"lease", NextLease}, {"ttl_ms", ttl}};
    }
    if (path.rfind("/kv-keep/", 0) == 0) {
      const auto it = Leases.find(std::atoll(path.c_str() + 9));
      if (it == Leases.end()) {
        status = 404;
        return {{"error", "ended"}};
      }
      it->second.second = nowMs() + it->second.first;
      return {{"ttl_ms", it->second.first}};
    }
    status = 404;
    return {{"error", "no such call"}};
  }
  json transact(const json &body, int &status) {
    json states = json::array();
    bool holds = true;
    for (const json &row : body.at("precondition")) {
      const auto it = Items.find(row.at("key").get<std::string>());
      const std::int64_t revision = it == Items.end() ? 0 : it->second.Revision;
      holds = holds && revision == row.at("revision").get<std::int64_t>();
      if (it != Items.end())
        states.push_back(itemOf(it->first, it->second));
    }
    if (!holds) {
      status = 412;
      return {{"items", states}};
    }
    for (const json &row : body.at("writes")) {
      const std::int64_t lease = row.value("lease", std::int64_t{0});
      if (lease != 0 && Leases.count(lease) == 0) {
        status = 404;
        return {{"error", "no such lease"}};
      }
    }
    ++Revision;
    for (const json &row : body.at("writes"))
      write(row.at("key").get<std::string>(), unbase64(row.at("value").get<std::string>()),
            row.value("lease", std::int64_t{0}));
    for (const json &key : body.at("deletes"))
      remove(key.get<std::string>());
    Changed.notify_all();
    return {{"revision", Revision}};
  }

  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, Item> Items;
  std::map<std::int64_t, std::pair<std::int64_t, std::int64_t>> Leases;
  std::int64_t Revision = 10;
  std::int64_t FirstRevision = 0;
  std::int64_t NextLease = 100;
  std::vector<Event> History;
  std::tuple<std::map<std::string, Item>,
             std::map<std::int64_t, std::pair<std::int64_t, std::int64_t>>, std::int64_t,
             std::int64_t>
      Copy;
  std::atomic<std::uint64_t> Era = 1;
  Listener Server;
};

// --- Machines ---

/// Bounds of a small deployment (the first one in SYSTEM.md).
constexpr int GraceSeconds = 6;
constexpr int HeartbeatMs = 1500;
constexpr int InForceMs = 2000;

/// A machine with its process of the system.
class Machine {
public:
  Machine(std::string name, std::string zone, std::string service, const std::string &folder,
          int storePort)
      : Name(std::move(name)), Zone(std::move(zone)), Service(std::move(service)),
        Folder(folder + "/" + Name), Ingress(freePort()), Ready(freePort()), Control(freePort()),
        Gate(freePort()), Rpc(freePort()), App(freePort()), StorePort(storePort) {
    writeSettings();
  }
  ~Machine() { kill(SIGKILL); }

  /// Fills in deploy/jasmined.conf as the platform does.
  void writeSettings() const {
    const auto local = [](int port) { return "127.0.0.1:" + std::to_string(port); };
    const std::map<std::string, std::string> fields = {
        {"node", Name},
        {"zone", Zone},
        {"ip_address", "127.0.0.1"},
        {"listen_addresses.outbound", local(Ingress)},
        {"listen_addresses.ready", local(Ready)},
        {"listen_addresses.control", local(Control)},
        {"internal_ports.0", std::to_string(Gate)},
        {"internal_ports.1", std::to_string(Rpc)},
        {"platform.address", local(StorePort)},
        {"seeds", ""},
        {"service", Service},
        {"bounds.config_propagation_ms", std::to_string(InForceMs)},
        {"heartbeat_interval_ms", std::to_string(HeartbeatMs)},
        {"bounds.grace_s", Grace},
        {"bounds.retry_slack", "62"}};
    std::ifstream from("deploy/jasmined.conf");
    std::string text(std::istreambuf_iterator<char>(from), {});
    std::size_t open = 0;
    while ((open = text.find("{{", open)) != std::string::npos) {
      const std::size_t end = text.find("}}", open);
      const auto it = fields.find(text.substr(open + 2, end - open - 2));
      const std::string value = it == fields.end() ? "" : it->second;
      text.replace(open, end + 2 - open, value);
      open += value.size();
    }
    std::ofstream(Folder + ".conf") << text;
  }
  void start() {
    const std::string settings = Folder + ".conf";
    const std::string log = Folder + ".log";
    const std::string revocation = RevokeMs == 0 ? "" : std::to_string(RevokeMs);
    Pid = fork();
    if (Pid != 0)
      return;
    // No process outlives the case, however it ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, 1);
    dup2(out, 2);
    setenv("JASMINE_CAPACITY", CpuShare.c_str(), 1);
    setenv("JASMINE_REVOCATION_TIME", revocation.c_str(), 1);
    setenv("JASMINELOOM_CONFIG", settings.c_str(), 1);
    signal(SIGPIPE, SIG_DFL);
    execl("target/jasmined", "target/jasmined", "--settings-file", settings.c_str(), nullptr);
    _exit(127);
  }
  void kill(int signal) {
    if (Pid <= 0)
      return;
    ::kill(Pid, signal);
    if (signal == SIGKILL)
      reap();
  }
  /// @returns the wait status once the process has ended.
  int reap() {
    int status = 0;
    if (Pid > 0)
      waitpid(Pid, &status, 0);
    Pid = 0;
    return status;
  }
  /// @returns whether the process has ended by itself.
  bool hasEnded(int &status) {
    if (Pid <= 0 || waitpid(Pid, &status, WNOHANG) != Pid)
      return false;
    Pid = 0;
    return true;
  }
  bool isReady() const {
    const auto answer = call(Ready, "GET", "/readiness", {{"Host", "node"}}, "", 500);
    return answer.has_value() && answer->status() == 200;
  }
  bool awaitReady(std::int64_t limitMs) const {
    const std::int64_t end = nowMs() + limitMs;
    while (nowMs() < end) {
      if (isReady())
        return true;
      sleepMs(50);
    }
    return false;
  }

  std::string Name;
  std::string Zone;
  std::string Service;
  std::string Folder;
  int Ingress;
  int Ready;
  int Control;
  int Gate;
  int Rpc;
  int App;
  int StorePort;
  int RevokeMs = 0;
  std::string Grace = std::to_string(GraceSeconds); ///< bounds.grace_s
  std::string CpuShare = "0.2";                      ///< limits.cpu_share
  pid_t Pid = 0;
};

// --- Servers ---

/// One run of a request at a server.
struct Run {
  std::int64_t At = 0;
  std::string Server;
  Message Request;
};

/// A server beside a machine: heartbeats, and answers after its working time.
class AppServer {
public:
  using Work = std::function<bool(AppServer &, int fd, const Message &)>;

  AppServer(Machine &machine, Record &record, int slots, std::string version = "v1")
      : Beside(machine), Log(record), Slots(slots), Version(std::move(version)) {
    start();
  }
  ~AppServer() { stop(); }

  /// Starts a new incarnation.
  void start(const std::string &id = "") {
    Born = unixMs();
    Id = id.empty() ? "i-" + Beside.Name + "-" + std::to_string(Born % 100000000) : id;
    Sequence = 0;
    Draining = false;
    Beating = true;
    Up = true;
    Server = std::make_unique<Listener>(Beside.App, [this](int fd) { serve(fd); });
    Heart = std::thread([this] { beat(); });
  }
  void stop() {
    if (!Up.exchange(false))
      return;
    Beating = false;
    Heart.join();
    Server.reset();
    const std::lock_guard lock(OpenMutex);
    for (const int fd : Open)
      shutdown(fd, SHUT_RDWR);
  }
  /// Sends one heartbeat now. @returns the status of the answer; 0: none.
  int sendBeat() {
    const json body = {{"address", "127.0.0.1:" + std::to_string(Beside.App)},
                       {"born", Born},
                       {"information",
                        {{"service", Beside.Service},
                         {"version", Version},
                         {"zone", Beside.Zone},
                         {"slots", Slots}}},
                       {"status",
                        {{"state", Draining ? "draining" : "ready"},
                         {"sequence", ++Sequence},
                         {"cold_remaining_ms", 0}}}};
    const auto answer = call(Beside.Control, "PUT", "/instances/" + Id,
                             {{"Host", "node"}, {"Content-Type", "application/json"}}, body.dump(),
                             1000);
    return answer.has_value() ? answer->status() : 0;
  }
  int sendLeave() {
    const auto answer =
        call(Beside.Control, "DELETE", "/instances/" + Id, {{"Host", "node"}}, "", 1000);
    return answer.has_value() ? answer->status() : 0;
  }
  std::vector<Run> runs() {
    const std::lock_guard lock(RunMutex);
    return Runs;
  }
  /// Sends the usual answer.
  bool reply(int fd, const Message &request, const std::string &body, int status = 200,
             Fields more = {}) {
    Fields headers = {{"Request-Id", request.header("request-id")}, {"Server-Signature", "s." + Id}};
    headers.insert(headers.end(), more.begin(), more.end());
    return sendAll(fd, responseText(status, body, headers));
  }
  std::string load() const {
    return std::to_string(Running) + ",0," + std::to_string(Slots);
  }

  Machine &Beside;
  Record &Log;
  int Slots;
  std::string Version;
  std::string Id;
  std::int64_t Born = 0;
  std::atomic<bool> Draining = false;
  std::atomic<int> WorkMs = 50;
  Work OnRequest; ///< @returns whether the connection stays open.
  std::atomic<int> Running = 0;

private:
  void beat() {
    while (Beating) {
      sendBeat();
      for (int n = 0; n < HeartbeatMs / 50 && Beating; ++n)
        sleepMs(50);
    }
  }
  void serve(int fd) {
    {
      const std::lock_guard lock(OpenMutex);
      Open.insert(fd);
    }
    Reader reader(fd);
    Message request;
    while (Up && reader.request(request, nowMs() + 10000)) {
      if (!handle(fd, request))
        break;
    }
    const std::lock_guard lock(OpenMutex);
    Open.erase(fd);
  }
  bool handle(int fd, const Message &request) {
    if (request.target() == "/health")
      return sendAll(fd, responseText(200, "", {{"Instance-Id", Id}}));
    const std::string expected = request.header("expected-instance");
    if (!expected.empty() && expected != Id)
      return sendAll(fd, responseText(421, "", {{"Instance-Id", Id}}));
    {
      const std::lock_guard lock(RunMutex);
      Runs.push_back({nowMs(), Beside.Name, request});
    }
    Log.line("run %s %s id=%s caller=%s at %s (%s)", request.method().c_str(),
             request.target().substr(0, 60).c_str(), request.header("request-id").c_str(),
             request.header("caller-service").c_str(), Beside.Name.c_str(), Id.c_str());
    ++Running;
    bool open;
    if (OnRequest) {
      open = OnRequest(*this, fd, request);
    } else {
      sleepMs(WorkMs);
      open = reply(fd, request, "answer to " + request.header("request-id"));
    }
    --Running;
    return open;
  }

  std::int64_t Sequence = 0;
  std::atomic<bool> Beating = false;
  std::atomic<bool> Up = false;
  std::unique_ptr<Listener> Server;
  std::thread Heart;
  std::mutex RunMutex;
  std::vector<Run> Runs;
  std::mutex OpenMutex;
  std::set<int> Open;
};

// --- Configuration ---

struct Route {
  std::string Name;
  std::string Host;
  std::string Prefix;
  std::string Kind;
  std::string Service;
  int TimeoutMs = 2000;
  int Attempts = 2;
};

inline std::string configText(int version, const std::vector<Route> &routes,
                              const std::vector<std::string> &services,
                              const json &extra = json::object()) {
  char number[16];
  std::snprintf(number, sizeof(number), "%08x", version);
  json body = {{"version", number},
               {"routes", json::object()},
               {"services", json::object()},
               {"limits",
                {{"header_bytes", 16384},
                 {"body_bytes", 67108864},
                 {"header_timeout_ms", 3000},
                 {"idle_timeout_ms", 15000}}}};
  for (const Route &it : routes)
    body["routes"][it.Name] = {{"host", it.Host},
                               {"prefix", it.Prefix},
                               {"kind", it.Kind},
                               {"timeout_ms", it.TimeoutMs},
                               {"target_latency_ms", 500},
                               {"priority", 1},
                               {"service", it.Service},
                               {"attempts", it.Attempts}};
  for (const std::string &it : services)
    body["services"][it] = {{"health_check_path", "/health"},
                            {"connection_limit", 130},
                            {"protocol", "h1"},
                            {"tls", false}};
  body.update(extra);
  return body.dump();
}

inline std::string newId() {
  static std::atomic<std::uint64_t> next = static_cast<std::uint64_t>(unixMs()) << 20;
  char text[20];
  std::snprintf(text, sizeof(text), "%016llx",
                static_cast<unsigned long long>(next.fetch_add(1) * 0x9e3779b97f4a7c15ULL));
  return text;
}

} // namespace world
