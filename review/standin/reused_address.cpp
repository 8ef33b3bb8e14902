/// @file reused_address.cpp Case: the address of a server that is gone is used by another service
/// while requests for the first one wait at the gate.
#include "world.h"

using namespace review;

namespace {

constexpr long WarmUpMs = 5000;
constexpr long ReuseAfterMs = 2000; // The bound reuse_after_s.
constexpr long RequestPeriodMs = 50; // 20 a second: a quarter of the 82.3 of the site, for one server of four.
constexpr long DeadlineMs = 4000;

int play(const std::string &folder, bool trouble) {
  Record record(folder + "/record.txt");
  const char *temporary = std::getenv("REVIEW_TMP");
  if (temporary == nullptr)
    return CouldNotRun;
  const std::uint16_t storePort = freePort();
  Store store(storePort);
  store.put("op/config", configuration());
  Runs runs(record);
  Nodes nodes(temporary, storePort, record);
  Machine desk{"sidecar-zagreb-a-1", "zagreb-a", "registry-desk"};
  Machine other{"sidecar-split-b-1", "split-b", "agreements"};
  nodes.start(desk);
  nodes.start(other);
  Bystanders others(nodes, runs, record, 4);
  if (!nodes.waitReady(desk) || !nodes.waitReady(other) || !others.begin(nodes, record))
    finish(nodes, CouldNotRun);

  ServerAddress deskAddress(desk.Application, runs, record);
  ServerAddress otherAddress(other.Application, runs, record);
  auto deskServer = std::make_shared<Server>();
  deskServer->ID = "i-desk";
  deskServer->Service = "registry-desk";
  deskServer->Port = desk.Application;
  deskServer->Control = desk.Control;
  deskServer->Zone = desk.Zone;
  auto first = std::make_shared<Server>();
  first->ID = "i-agreements";
  first->Service = "agreements";
  first->Port = other.Application;
  first->Control = other.Control;
  first->Zone = other.Zone;
  deskAddress.assign(deskServer);
  otherAddress.assign(first);
  startBeating(deskServer, record);
  startBeating(first, record);
  sleepMs(1000);

  std::atomic<bool> sending = true;
  std::atomic<int> answered = 0;
  std::thread clients([&] {
    std::vector<std::thread> open;
    for (int n = 0; sending; ++n) {
      open.emplace_back([&, n] {
        const std::string id = "agreement-" + std::to_string(n);
        answered += request(desk, "POST", "/agreements/" + std::to_string(n), id, DeadlineMs,
                            record) == 200;
      });
      sleepMs(RequestPeriodMs);
    }
    for (std::thread &it : open)
      it.join();
  });
  sleepMs(WarmUpMs);
  if (answered == 0) {
    sending = false;
    clients.join();
    finish(nodes, CouldNotRun);
  }
  if (trouble) {
    first->Dark = true;
    record.write("server i-agreements falls silent");
  }
  sleepMs(ReuseAfterMs + 300);
  auto second = std::make_shared<Server>();
  second->ID = "i-royalties";
  second->Service = "royalties";
  second->Port = other.Application;
  second->Control = other.Control;
  second->Zone = other.Zone;
  second->WorkMs = 110;
  if (trouble) {
    record.write("its address goes to server i-royalties");
    other.Service = second->Service;
    nodes.writeSettings(other);
    nodes.signalTo(other, SIGHUP);
    otherAddress.assign(second);
    startBeating(second, record);
  }
  sleepMs(4000);
  sending = false;
  clients.join();

  int wrong = 0;
  for (const Run &run : runs.all()) {
    const bool agreement = run.Path.rfind("/agreements/", 0) == 0;
    wrong += agreement && run.Service != "agreements" ? 1 : 0;
  }
  record.write("ROUTE: " + std::to_string(wrong) +
               " requests of the route agreement-register were run by a server of royalties");
  finish(nodes, wrong == 0 ? Held : Broken);
}

} // namespace

int main(int argc, char **argv) {
  if (argc != 3)
    return CouldNotRun;
  return play(argv[1], std::string(argv[2]) != "0");
}
