/// @file split_weights.cpp The operator changes the weights of a split and adds a route.
#include "world.h"

#include <cmath>

using namespace world;

namespace {

std::string splitConfig(int version, double desk, double office) {
  const std::string added = "n" + std::to_string(version);
  json config = json::parse(configText(version,
                                       {{"r1", "svc.example", "/a/", "safe", "desk"},
                                        {added, "svc.example", "/" + added + "/", "safe", "desk"}},
                                       {"desk", "office"}));
  config["routes"]["r1"].erase("service");
  config["routes"]["r1"]["split"] = {{{"service", "desk"}, {"weight", desk}},
                                     {{"service", "office"}, {"weight", office}}};
  return config.dump();
}

} // namespace

int main(int argc, char **argv) {
  if (argc != 3)
    return 2;
  signal(SIGPIPE, SIG_IGN);
  const std::string folder = argv[1];
  Record log(argv[2]);
  const bool trouble = getenv("TROUBLE") == nullptr || std::string(getenv("TROUBLE")) != "0";

  Store store;
  store.put("op/config", splitConfig(4, 3, 1));
  Machine desk("sidecar-a-1", "a", "desk", folder, store.port());
  Machine office("sidecar-a-2", "a", "office", folder, store.port());
  desk.start();
  office.start();
  if (!desk.awaitReady(10000) || !office.awaitReady(10000))
    finish(2);
  AppServer deskServer(desk, log, 12);
  AppServer officeServer(office, log, 12);
  deskServer.WorkMs = 2;
  officeServer.WorkMs = 2;
  sleepMs(5000);

  const auto ask = [&](const std::string &path) {
    const std::string id = newId();
    const auto answer = call(office.Ingress, "GET", path,
                             {{"Host", "svc.example"}, {"Request-Id", id}, {"Deadline-Remaining", "2000"}},
                             "", 2500);
    const int status = answer.has_value() ? answer->status() : 0;
    log.line("sent %s %s: %d", id.c_str(), path.c_str(), status);
    return status;
  };
  /// @returns the share of 400 requests that ran at the office.
  const auto officeShare = [&] {
    const std::size_t before = officeServer.runs().size();
    const std::size_t deskBefore = deskServer.runs().size();
    for (int n = 0; n < 400; ++n)
      ask("/a/1");
    const auto ran = static_cast<double>(officeServer.runs().size() - before);
    return ran / (ran + static_cast<double>(deskServer.runs().size() - deskBefore));
  };
  const double first = officeShare();
  log.line("version 4: share of the office %.3f", first);
  if (std::fabs(first - 0.25) > 0.2 || ask("/n4/1") != 200)
    finish(2);

  // The same proportions, written in whole numbers or as fractions.
  store.put("op/config", trouble ? splitConfig(5, 1.5, 0.5) : splitConfig(5, 15, 5));
  log.line("version 5 acknowledged: weights %s", trouble ? "1.5 and 0.5" : "15 and 5");
  sleepMs(InForceMs + 1500);
  const double share = officeShare();
  log.line("version 5: share of the office %.3f of 0.25", share);
  const bool shareBroken = std::fabs(share - 0.25) > 0.2;

  store.put("op/config", trouble ? splitConfig(6, 0.75, 0.25) : splitConfig(6, 75, 25));
  log.line("version 6 acknowledged: weights %s; route n6 added", trouble ? "0.75 and 0.25" : "75 and 25");
  sleepMs(InForceMs + 1500);
  int refused = 0;
  for (int n = 0; n < 40; ++n) {
    refused += ask("/n6/1") == 404 ? 1 : 0;
    sleepMs(100);
  }
  log.line("version 6: %d of 40 requests on its new route answered 404", refused);
  std::printf("share of the office %.3f of 0.25; %d of 40 requests on the new route answered 404\n",
              share, refused);
  finish(shareBroken || refused > 0 ? 1 : 0);
}
