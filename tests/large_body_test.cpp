/// @file large_body_test.cpp Requests with large bodies: where they are sent, what a gate and a
/// server decide before the body is read.
#define BOOST_TEST_MODULE large_body
#include <boost/test/unit_test.hpp>

#include "admission/gate_base.h"
#include "balance/large_body.h"
#include "http/http_server.h"

#include <absl/strings/str_cat.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace jasmineloom;

namespace {

constexpr TimeMs Now = 50000;
constexpr std::uint16_t ServerPort = 27690;
constexpr std::uint32_t Slots = 4;

/// Four upstreams, the first two in the own data centre.
ServiceView fourUpstreams() {
  ServiceView view;
  view.Name = ServiceName("s");
  view.Version = VersionLabel("v1");
  for (int n = 0; n < 4; ++n)
    view.add({HostID(absl::StrCat("h", n)), "127.0.0.1:1", VersionLabel("v1"), Slots, n < 2, 0,
              absl::StrCat("u", n)});
  return view;
}

std::string hostOf(const Endpoint *endpoint) {
  return endpoint == nullptr ? "none" : endpoint->Host.str();
}

struct ReportedLoad {
  const char *Host;
  std::uint32_t Running;
  TimeMs At;
};

struct PlacementCase {
  const char *Name;
  const char *Own;
  std::vector<ReportedLoad> Reports;
  std::string Expected;
};

GateRequest requestFor(const char *service, bool mayQueue) {
  GateRequest request;
  request.Ticket = 99;
  request.Service = ServiceName(service);
  request.Version = VersionLabel("v1");
  request.Deadline = Now + 10000;
  request.MayQueue = mayQueue;
  return request;
}

/// A gate whose upstream runs and queues some requests.
Gate gateWith(std::uint32_t running, std::uint32_t queued) {
  Gate gate;
  gate.setUpstream({ServiceName("s"), VersionLabel("v1"), Slots, "u", 0});
  for (std::uint32_t n = 0; n < running + queued; ++n) {
    GateRequest request = requestFor("s", true);
    request.Ticket = n + 1;
    gate.admit(request, Now);
  }
  return gate;
}

/// A client of a server in the same event loop.
class LoopClient {
public:
  LoopClient(event_base *base) : Base(base), Fd(socket(AF_INET, SOCK_STREAM, 0)) {
    const auto address = socketAddressOf(absl::StrCat("127.0.0.1:", ServerPort));
    BOOST_REQUIRE(connect(Fd, address->get(), static_cast<socklen_t>(address->Size)) == 0);
  }
  ~LoopClient() { close(Fd); }
  void send(const std::string &text) {
    BOOST_REQUIRE(::send(Fd, text.data(), text.size(), MSG_NOSIGNAL) > 0);
    for (int n = 0; n < 5; ++n)
      event_base_loop(Base, EVLOOP_NONBLOCK);
  }
  /// @returns what has been received.
  std::string received() {
    char buf[4096];
    const ssize_t n = recv(Fd, buf, sizeof(buf), MSG_DONTWAIT);
    return n > 0 ? std::string(buf, static_cast<std::size_t>(n)) : std::string();
  }

private:
  event_base *Base;
  int Fd;
};

/// A server that refuses bodies to "/refused" by their header and answers the rest.
struct RefusingServer {
  RefusingServer()
      : Base(makePreciseBase()), Server(
                                     Base.get(), {1 << 20, 2000, 100, 5 * MsPerSecond},
                                     [this](HttpRequest request) {
                                       ++Dispatched;
                                       Server.reply(request.ID, {200, {}, makeBuffer("done")});
                                     },
                                     [](RequestID) {}) {
    BOOST_REQUIRE(Server.bind("127.0.0.1", ServerPort));
    Server.setHeaderHandler([this](const RequestHeader &head) -> std::optional<HttpResponse> {
      Declared = head.DeclaredBody;
      if (head.Path != "/refused")
        return std::nullopt;
      return HttpResponse{503, {{header::RetryAfter, "0.5"}}, makeBuffer("not-run\n")};
    });
  }
  EventBasePtr Base;
  HttpServer Server;
  int Dispatched = 0;
  std::size_t Declared = 0;
};

} // namespace

// Load: bodies whose transfer takes as long as the work. Guards against one that is sent to a gate
// of which nothing is known, or to another data centre, while a nearer one has room.
BOOST_AUTO_TEST_CASE(large_bodies_go_where_a_free_slot_is_known) {
  const TimeMs old = Now - LoadReportLifetime;
  const std::vector<PlacementCase> cases = {
      {"nothing is known", "h0", {}, "none"},
      {"the reports are old", "h0", {{"h0", 0, old}, {"h2", 0, old}}, "none"},
      {"own host", "h1", {{"h0", 0, Now}, {"h1", 3, Now}, {"h2", 0, Now}}, "h1"},
      {"own host is full", "h1", {{"h0", 3, Now}, {"h1", 4, Now}, {"h2", 0, Now}}, "h0"},
      {"own data centre first", "x", {{"h0", 3, Now}, {"h2", 0, Now}}, "h0"},
      {"least occupied", "x", {{"h0", 3, Now}, {"h1", 1, Now}}, "h1"},
      {"own data centre is full", "x", {{"h0", 4, Now}, {"h1", 4, Now}, {"h3", 3, Now}}, "h3"},
      {"all are full", "x", {{"h0", 4, Now}, {"h2", 5, Now}}, "none"},
  };
  const ServiceView view = fourUpstreams();
  for (const PlacementCase &it : cases) {
    EndpointStats stats;
    for (const ReportedLoad &load : it.Reports)
      stats.recordLoad(HostID(load.Host), {load.Running, 0, 100, 0}, load.At);
    std::mt19937_64 random(7);
    const Endpoint *endpoint =
        endpointWithKnownSlot(view, {0, 0, {}}, stats, {}, HostID(it.Own), random, Now);
    BOOST_TEST(hostOf(endpoint) == it.Expected, it.Name);
  }
}

// Load: all gates are nearly full. Guards against a body that is offered to one gate after another.
BOOST_AUTO_TEST_CASE(a_large_body_queues_after_one_gate_without_a_free_slot) {
  const ServiceView view = fourUpstreams();
  EndpointStats stats;
  for (const char *host : {"h0", "h1", "h2", "h3"})
    stats.recordLoad(HostID(host), {3, 0, 100, 0}, Now);
  std::mt19937_64 random(7);
  EndpointSearch search;
  const Endpoint *first =
      nextForLargeBody(search, view, {0, 0, {}}, stats, HostID("x"), random, Now);
  BOOST_REQUIRE(first != nullptr);
  BOOST_TEST(!search.MayQueue);
  search.Tried.insert(first->Host);
  search.Busy.insert(first->Host);
  BOOST_TEST(
      (nextForLargeBody(search, view, {0, 0, {}}, stats, HostID("x"), random, Now) != nullptr));
  BOOST_TEST(search.MayQueue);
  BOOST_TEST(search.Tried.empty());
}

struct HeaderCase {
  const char *Name;
  std::uint32_t Running;
  std::uint32_t Queued;
  const char *Service;
  bool MayQueue;
  bool Draining;
  Refusal Expected;
};

// Load: a link on which a body takes 300 ms. Guards against a transfer whose refusal is certain.
BOOST_AUTO_TEST_CASE(a_gate_decides_on_a_large_body_by_its_header) {
  const std::vector<HeaderCase> cases = {
      {"a slot is free", 3, 0, "s", false, false, Refusal::None},
      {"no slot, may not queue", 4, 0, "s", false, false, Refusal::Busy},
      {"no slot, may queue", 4, 0, "s", true, false, Refusal::None},
      {"queue full", 4, 8, "s", true, false, Refusal::Overloaded},
      {"another service", 0, 0, "t", true, false, Refusal::WrongUpstream},
      {"draining", 0, 0, "s", true, true, Refusal::Draining},
  };
  for (const HeaderCase &it : cases) {
    Gate gate = gateWith(it.Running, it.Queued);
    gate.setDraining(it.Draining);
    const GateRequest request = requestFor(it.Service, it.MayQueue);
    const AdmissionResult early = gate.checkHeader(request, Now);
    BOOST_TEST((early.Reason == it.Expected), it.Name);
    BOOST_TEST(gate.inFlight() == it.Running, it.Name);
    // With its body there, the gate would have refused it for the same reason.
    const AdmissionResult late = gate.admit(request, Now);
    BOOST_TEST((late.Reason == it.Expected), it.Name);
  }
}

BOOST_AUTO_TEST_CASE(a_body_is_refused_before_it_is_read) {
  RefusingServer server;
  LoopClient client(server.Base.get());
  client.send("POST /refused HTTP/1.1\r\nHost: x\r\nContent-Length: 360000\r\n"
              "Expect: 100-continue\r\n\r\n");
  const std::string response = client.received();
  BOOST_TEST(response.find("HTTP/1.1 503 ") == 0U, response);
  BOOST_TEST(response.find("retry-after: 0.5") != std::string::npos);
  BOOST_TEST(response.find("Connection: close") != std::string::npos);
  BOOST_TEST(server.Declared == 360000U);
  // What the client has sent already is no request.
  client.send(std::string(5000, 'x') + "GET /next HTTP/1.1\r\nHost: x\r\n\r\n");
  BOOST_TEST(server.Dispatched == 0);
}

BOOST_AUTO_TEST_CASE(a_body_that_is_not_refused_is_read_and_asked_for_if_its_sender_waits) {
  RefusingServer server;
  LoopClient client(server.Base.get());
  client.send(
      "POST /taken HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n");
  BOOST_TEST(client.received() == "HTTP/1.1 100 Continue\r\n\r\n");
  client.send("abc");
  BOOST_TEST(client.received().find("HTTP/1.1 200 ") == 0U);
  client.send("POST /refused HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc");
  BOOST_TEST(client.received().find("HTTP/1.1 503 ") == 0U);
  BOOST_TEST(server.Dispatched == 1);
}
