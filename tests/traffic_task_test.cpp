/// @file traffic_task_test.cpp End of a traffic task under load.
#define BOOST_TEST_MODULE traffic_task
#include <boost/test/unit_test.hpp>

#include "event_util.h"
#include "traffic/traffic_task.h"

#include <sys/socket.h>
#include <unistd.h>

#include <thread>

using namespace jasmineloom;

namespace {

constexpr std::uint16_t IngressPort = 27670;
constexpr int Callers = 60;

TrafficSettings testSettings() {
  TrafficSettings settings;
  settings.Host = HostID("h1");
  settings.GateIP = "127.0.0.1";
  settings.GatePort = IngressPort + 1;
  settings.IngressIP = "127.0.0.1";
  settings.IngressPort = IngressPort;
  settings.ManagementAddresses = {"127.0.0.1:" + std::to_string(IngressPort + 2)};
  settings.StoreAddress = "127.0.0.1:1";
  settings.Secret = "a-secret-of-the-test";
  settings.HeartbeatTimeout = 5 * MsPerSecond;
  settings.StopTime = 6 * MsPerSecond;
  settings.MaxBody = 10000;
  settings.MaxHeaderBytes = 4000;
  settings.MaxConnections = 1000;
  settings.MaxInFlight = 1000;
  return settings;
}

int connectToIngress() {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const timeval timeout{5, 0};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  const std::optional<SocketAddress> address =
      socketAddressOf("127.0.0.1:" + std::to_string(IngressPort));
  BOOST_REQUIRE(connect(fd, address->get(), static_cast<socklen_t>(address->Size)) == 0);
  return fd;
}

/// @returns what is received until the connection ends.
std::string readAll(int fd) {
  std::string text;
  char buf[4096];
  ssize_t n = 0;
  while ((n = recv(fd, buf, sizeof(buf), 0)) > 0)
    text.append(buf, static_cast<std::size_t>(n));
  return n == 0 ? text : "reset after: " + text;
}

} // namespace

BOOST_AUTO_TEST_CASE(requests_sent_before_the_task_stops_are_answered) {
  TrafficMailbox inbox;
  ControlMailbox control;
  const Environment environment = nativeEnvironment();
  TrafficTask task(testSettings(), environment, inbox, control);
  BOOST_REQUIRE(task.listen());
  // The loop does not run yet, so that all these connections are queued when it starts.
  std::vector<int> callers;
  const std::string request = "GET /x HTTP/1.1\r\nHost: x\r\n\r\n";
  for (int n = 0; n < Callers; ++n) {
    callers.push_back(connectToIngress());
    BOOST_REQUIRE(::send(callers.back(), request.data(), request.size(), MSG_NOSIGNAL) > 0);
  }
  inbox.put(StopTask{});
  std::thread loop([&task] { task.run(); });
  loop.join();
  for (const int fd : callers) {
    const std::string response = readAll(fd);
    BOOST_TEST(response.find("HTTP/1.1 503 ") == 0U, response);
    close(fd);
  }
}

BOOST_AUTO_TEST_CASE(a_request_in_flight_at_the_end_of_a_drain_is_answered_as_unknown) {
  TrafficMailbox inbox;
  ControlMailbox control;
  const Environment environment = nativeEnvironment();
  TrafficTask task(testSettings(), environment, inbox, control);
  BOOST_REQUIRE(task.listen());
  // A gate that accepts connections and never answers.
  const std::string gateAddress = "127.0.0.1:" + std::to_string(IngressPort + 3);
  const std::optional<SocketAddress> address = socketAddressOf(gateAddress);
  const int gate = socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  setsockopt(gate, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  BOOST_REQUIRE(bind(gate, address->get(), static_cast<socklen_t>(address->Size)) == 0);
  BOOST_REQUIRE(::listen(gate, Callers) == 0);
  auto view = std::make_shared<RoutingView>();
  RouteSpec route;
  route.Name = RouteName("r");
  route.Prefix = "/x";
  route.Service = ServiceName("s");
  route.Deadline = 60 * MsPerSecond;
  view->Routes.emplace("/x", route);
  view->Services["s"].Name = route.Service;
  view->Services["s"].add({HostID("h2"), gateAddress, VersionLabel(), 9, true, 0, "i-1"});
  inbox.put(PublishView{view});
  std::thread loop([&task] { task.run(); });
  const int caller = connectToIngress();
  const std::string request = "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
  BOOST_REQUIRE(::send(caller, request.data(), request.size(), MSG_NOSIGNAL) > 0);
  // The request is in flight once the gate has its connection.
  const int connection = accept(gate, nullptr, nullptr);
  char first = 0;
  BOOST_REQUIRE(recv(connection, &first, 1, 0) == 1);
  inbox.put(StopTask{});
  loop.join();
  const std::string response = readAll(caller);
  BOOST_TEST(response.find("HTTP/1.1 502 ") == 0U, response);
  BOOST_TEST(response.find("unknown: draining") != std::string::npos, response);
  close(caller);
  close(connection);
  close(gate);
}
