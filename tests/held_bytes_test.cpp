/// @file held_bytes_test.cpp Bound of the bytes of messages that a process holds.
#define BOOST_TEST_MODULE held_bytes
#include <boost/test/unit_test.hpp>

#include "http/http_pool.h"
#include "http/http_server.h"

#include <absl/strings/str_cat.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <thread>

using namespace jasmineloom;

namespace {

constexpr std::uint16_t PeerPort = 26310;
constexpr std::uint16_t ServerPort = 26311;
constexpr std::size_t KiB = 1024;
constexpr std::size_t MiB = KiB * KiB;
/// The most that one connection adds between two checks of the account.
constexpr std::size_t OneRead = 64 * KiB;
constexpr std::size_t SteadyBytes = 32 * KiB;
constexpr int SteadyCalls = 8;

sockaddr_in loopback(std::uint16_t port) {
  sockaddr_in sin{};
  sin.sin_family = AF_INET;
  sin.sin_port = htons(port);
  sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return sin;
}

/// A peer that sends to each connection a prefix and then one unit over and over until the caller
/// closes it. A request for "/steady" gets half of a good response of SteadyBytes, and the other
/// half once release() was called.
class EndlessPeers {
public:
  EndlessPeers(std::string prefix, const std::string &unit)
      : Prefix(std::move(prefix)), Listener(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
    while (Block.size() < 16 * KiB)
      Block += unit;
    const int on = 1;
    setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in sin = loopback(PeerPort);
    BOOST_REQUIRE(bind(Listener, reinterpret_cast<const sockaddr *>(&sin), sizeof(sin)) == 0);
    BOOST_REQUIRE(listen(Listener, 256) == 0);
    Thread = std::thread([this] {
      while (!Stopping)
        serve();
    });
  }
  ~EndlessPeers() {
    Stopping = true;
    Thread.join();
    for (const Client &client : Clients)
      close(client.Fd);
    close(Listener);
  }
  void release() { Released = true; }

private:
  struct Client {
    int Fd = -1;
    bool Steady = false;
    std::string Unsent;
  };

  void serve() {
    for (int fd = 0; (fd = accept4(Listener, nullptr, nullptr, 0)) >= 0;) {
      char buf[4096] = {};
      static_cast<void>(recv(fd, buf, sizeof(buf), 0));
      Client client{fd, std::string_view(buf, sizeof(buf)).find("/steady") == 4, Prefix};
      if (client.Steady)
        client.Unsent = absl::StrCat("HTTP/1.1 200 OK\r\nContent-Length: ", SteadyBytes, "\r\n\r\n",
                                     std::string(SteadyBytes / 2, 's'));
      Clients.push_back(std::move(client));
    }
    for (Client &client : Clients) {
      if (client.Unsent.empty() && !client.Steady)
        client.Unsent = Block;
      if (client.Unsent.empty() && client.Steady && Released) {
        client.Unsent = std::string(SteadyBytes / 2, 's');
        client.Steady = false;
      }
      const ssize_t n = ::send(client.Fd, client.Unsent.data(), client.Unsent.size(),
                               MSG_NOSIGNAL | MSG_DONTWAIT);
      if (n > 0)
        client.Unsent.erase(0, static_cast<std::size_t>(n));
    }
    usleep(1000);
  }

  std::string Prefix;
  std::string Block;
  int Listener;
  std::vector<Client> Clients;
  std::atomic<bool> Released{false};
  std::atomic<bool> Stopping{false};
  std::thread Thread;
};

/// Calls of one pool.
class Calls {
public:
  explicit Calls(HeldBytes &held, std::size_t maxBody)
      : Base(makePreciseBase()), Pool(Base.get(), maxBody, &held) {}

  void start(const std::string &path, DurationMs timeout, std::vector<HttpResult> &results) {
    HttpCall call;
    call.Path = path;
    call.Timeout = timeout;
    ++Pending;
    Pool.call(absl::StrCat("127.0.0.1:", PeerPort), std::move(call),
              [this, &results](HttpResult result) {
                results.push_back(std::move(result));
                --Pending;
              });
  }
  /// Runs the event loop until \p left calls have not ended.
  void awaitUntil(int left) {
    while (Pending > left)
      event_base_loop(Base.get(), EVLOOP_ONCE);
  }

private:
  EventBasePtr Base;
  HttpPool Pool;
  int Pending = 0;
};

} // namespace

BOOST_AUTO_TEST_CASE(share_that_holds_most_is_cut_and_no_other) {
  HeldBytes held(100);
  std::vector<std::string> cuts;
  const auto cutOf = [&cuts](const char *name) {
    return [&cuts, name] {
      cuts.emplace_back(name);
      return std::string(name);
    };
  };
  HeldBytes::Share small(&held, 100, cutOf("small"));
  HeldBytes::Share large(&held, 100, cutOf("large"));
  {
    // May hold four times as much as the others.
    HeldBytes::Share wide(&held, 400, cutOf("wide"));
    small.set(10);
    large.set(30);
    wide.set(60);
    BOOST_TEST(cuts.empty());
    small.set(11);
    BOOST_TEST(cuts == std::vector<std::string>{"large"}, boost::test_tools::per_element());
    BOOST_TEST(held.total() == 71U);
    large.set(90); // It is being cut.
    BOOST_TEST(held.total() == 71U);
    small.set(0);
    BOOST_TEST(held.total() == 60U);
  }
  BOOST_TEST(held.total() == 0U);
  BOOST_TEST(held.peak() == 101U);
  BOOST_TEST(held.cuts() == 1U);
  small.set(101); // A single message above the limit.
  BOOST_TEST(small.isCut());
  BOOST_TEST(held.total() == 0U);
}

BOOST_AUTO_TEST_CASE(many_endless_responses_at_once_do_not_exceed_the_limit) {
  constexpr std::size_t Limit = 4 * MiB;
  constexpr int EndlessCalls = 24;
  HeldBytes held(Limit);
  EndlessPeers peers("HTTP/1.1 200 OK\r\n\r\n", "z");
  std::vector<HttpResult> endless;
  std::vector<HttpResult> steady;
  Calls calls(held, MiB);
  for (int n = 0; n < SteadyCalls; ++n)
    calls.start("/steady", 30 * MsPerSecond, steady);
  for (int n = 0; n < EndlessCalls; ++n)
    calls.start("/endless", 30 * MsPerSecond, endless);
  calls.awaitUntil(SteadyCalls);
  BOOST_TEST(endless.size() == static_cast<std::size_t>(EndlessCalls));
  for (const HttpResult &result : endless) {
    BOOST_TEST(!result.Complete);
    BOOST_TEST(result.BytesSent);
    BOOST_TEST(!result.TimedOut);
  }
  BOOST_TEST(held.cuts() > 0U);
  BOOST_TEST(held.peak() <= Limit + OneRead);
  peers.release();
  calls.awaitUntil(0);
  for (const HttpResult &result : steady) {
    BOOST_REQUIRE(result.Complete);
    BOOST_TEST(evbuffer_get_length(result.Body.get()) == SteadyBytes);
  }
  BOOST_TEST(held.total() == 0U);
}

struct EndlessCase {
  const char *Name;
  std::string Prefix;
  std::string Unit;
  bool Complete = false; ///< The endless bytes follow a complete response.
};

BOOST_AUTO_TEST_CASE(endless_part_of_any_kind_stays_within_the_limit_and_harms_no_other_call) {
  constexpr std::size_t Limit = MiB;
  constexpr int EndlessCalls = 40;
  constexpr DurationMs Timeout = 2 * MsPerSecond;
  const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::vector<EndlessCase> cases = {
      {"head", "HTTP/1.1 200 OK\r\n", "X: y\r\n"},
      {"head value", "HTTP/1.1 200 OK\r\nX: ", "y"},
      {"not HTTP", "", "nonsense"},
      {"interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
      {"body to the end", "HTTP/1.1 200 OK\r\n\r\n", "z"},
      {"body with length", "HTTP/1.1 200 OK\r\nContent-Length: 1048576\r\n\r\n", "z"},
      {"chunks", chunked, "400\r\n" + std::string(KiB, 'z') + "\r\n"},
      {"one chunk", chunked + "FFFFF\r\n", "z"},
      {"chunk size", chunked, "0"},
      {"chunk extension", chunked + "1;", "e"},
      {"many chunk extensions", chunked, "1;" + std::string(KiB, 'e') + "\r\nz\r\n"},
      {"trailer fields", chunked + "0\r\n", "T: v\r\n"},
      {"trailer value", chunked + "0\r\nT: ", "v"},
      {"after the end", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes", "z", true},
  };
  for (const EndlessCase &it : cases) {
    BOOST_TEST_CONTEXT(it.Name) {
      HeldBytes held(Limit);
      EndlessPeers peers(it.Prefix, it.Unit);
      std::vector<HttpResult> endless;
      std::vector<HttpResult> steady;
      Calls calls(held, MiB);
      calls.start("/steady", 30 * MsPerSecond, steady);
      for (int n = 0; n < EndlessCalls; ++n)
        calls.start("/endless", Timeout, endless);
      calls.awaitUntil(1);
      for (const HttpResult &result : endless) {
        BOOST_TEST(result.Complete == it.Complete);
        BOOST_TEST(result.BytesSent);
      }
      BOOST_TEST(held.peak() <= Limit + OneRead);
      peers.release();
      calls.awaitUntil(0);
      BOOST_REQUIRE(steady.front().Complete);
      BOOST_TEST(held.total() == 0U);
    }
  }
}

BOOST_AUTO_TEST_CASE(stated_length_above_the_body_limit_is_refused_before_the_body_comes) {
  HeldBytes held(MiB);
  // The peer sends the head once and then nothing, as the steady response never comes.
  EndlessPeers peers(absl::StrCat("HTTP/1.1 200 OK\r\nContent-Length: ", SteadyBytes, "\r\n\r\n"),
                     "z");
  std::vector<HttpResult> results;
  Calls calls(held, SteadyBytes - 1);
  calls.start("/steady", 30 * MsPerSecond, results);
  calls.awaitUntil(0);
  BOOST_TEST(!results.front().Complete);
  BOOST_TEST(!results.front().TimedOut);
  BOOST_TEST(held.peak() <= SteadyBytes);
}

namespace {

constexpr std::size_t LargeBytes = 6 * MiB;

/// A server that sends LargeBytes to "/large" and a short response to other requests.
class LargeServer {
public:
  explicit LargeServer(HeldBytes &held)
      : Base(makePreciseBase()),
        Server(
            Base.get(), {MiB, 2000, 100, 60 * MsPerSecond},
            [this](const HttpRequest &request) {
              const bool large = request.Path == "/large";
              Server.reply(request.ID,
                           {200, {}, makeBuffer(std::string(large ? LargeBytes : 5, 'r'))});
            },
            [](RequestID) {}, &held),
        StopPoll(Base.get(), [this] {
          if (Stopping)
            event_base_loopbreak(Base.get());
          StopPoll.start(10);
        }) {
    BOOST_REQUIRE(Server.bind("127.0.0.1", ServerPort));
    StopPoll.start(10);
    Thread = std::thread([this] { event_base_dispatch(Base.get()); });
  }
  ~LargeServer() { stop(); }
  /// Ends the event loop, so that the account may be read.
  void stop() {
    Stopping = true;
    if (Thread.joinable())
      Thread.join();
  }

private:
  EventBasePtr Base;
  HttpServer Server;
  std::atomic<bool> Stopping{false};
  Timer StopPoll;
  std::thread Thread;
};

int connectToServer() {
  constexpr int ReceiveBuffer = 4096;
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &ReceiveBuffer, sizeof(ReceiveBuffer));
  const timeval timeout{10, 0};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  const sockaddr_in sin = loopback(ServerPort);
  BOOST_REQUIRE(connect(fd, reinterpret_cast<const sockaddr *>(&sin), sizeof(sin)) == 0);
  return fd;
}

void sendText(int fd, const std::string &text) {
  static_cast<void>(::send(fd, text.data(), text.size(), MSG_NOSIGNAL));
}

/// @returns what is received up to a marker, the end of the connection or a time limit.
std::string readUntil(int fd, const std::string &marker) {
  std::string text;
  char buf[4096];
  while (text.find(marker) == std::string::npos) {
    const ssize_t n = recv(fd, buf, sizeof(buf), 0);
    if (n <= 0)
      break;
    text.append(buf, static_cast<std::size_t>(n));
  }
  return text;
}

/// @returns number of bytes received until the end of the connection.
std::size_t countBytes(int fd) {
  std::size_t count = 0;
  char buf[65536];
  for (ssize_t n = 0; (n = recv(fd, buf, sizeof(buf), 0)) > 0;)
    count += static_cast<std::size_t>(n);
  return count;
}

} // namespace

BOOST_AUTO_TEST_CASE(callers_that_do_not_read_are_cut_and_others_are_answered) {
  constexpr std::size_t Limit = 20 * MiB;
  constexpr int SlowReaders = 16;
  HeldBytes held(Limit);
  LargeServer server(held);
  std::vector<int> slow;
  for (int n = 0; n < SlowReaders; ++n) {
    slow.push_back(connectToServer());
    sendText(slow.back(), "GET /large HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    const int other = connectToServer();
    sendText(other, "GET /small HTTP/1.1\r\nHost: x\r\n\r\n");
    BOOST_TEST(readUntil(other, "rrrrr").find("HTTP/1.1 200 ") == 0U);
    close(other);
  }
  usleep(200000);
  int complete = 0;
  for (const int fd : slow) {
    complete += countBytes(fd) > LargeBytes ? 1 : 0;
    close(fd);
  }
  server.stop();
  BOOST_TEST(held.cuts() > 0U);
  BOOST_TEST(complete == SlowReaders - static_cast<int>(held.cuts()));
  BOOST_TEST(held.peak() <= Limit + LargeBytes + OneRead);
}

BOOST_AUTO_TEST_CASE(requests_that_never_end_are_cut_and_others_are_answered) {
  constexpr std::size_t Limit = 4 * MiB;
  constexpr int SlowSenders = 24;
  constexpr std::size_t SentBytes = 512 * KiB;
  HeldBytes held(Limit);
  LargeServer server(held);
  std::vector<int> slow;
  for (int n = 0; n < SlowSenders; ++n) {
    slow.push_back(connectToServer());
    sendText(slow.back(), "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n" +
                              std::string(SentBytes, 'q'));
    const int other = connectToServer();
    sendText(other, "POST /small HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc");
    BOOST_TEST(readUntil(other, "rrrrr").find("HTTP/1.1 200 ") == 0U);
    close(other);
  }
  usleep(200000);
  server.stop();
  BOOST_TEST(held.cuts() > 0U);
  BOOST_TEST(held.peak() <= Limit + OneRead);
  for (const int fd : slow)
    close(fd);
}
