/// @file odd_heartbeat.cpp Case: a node acknowledges that its server is gone. Later a heartbeat of
/// another writer, with fields missing, names that server.
#include "world.h"

using namespace review;

namespace {

constexpr long DrainMs = 2000; // The bound drain_ms.
constexpr long StableWindowMs = 3000;
constexpr long RequestPeriodMs = 25; // 40 a second: half of the 82.3 of the site, for two servers of four.
constexpr long ServesOnMs = 8000; // Leaving servers stay for up to 15 s on the site's days.

std::shared_ptr<Server> serverOf(const Machine &machine, const std::string &id) {
  auto server = std::make_shared<Server>();
  server->ID = id;
  server->Service = machine.Service;
  server->Port = machine.Application;
  server->Control = machine.Control;
  server->Zone = machine.Zone;
  server->WorkMs = 210;
  return server;
}

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
  Machine callers{"sidecar-zagreb-a-1", "zagreb-a", "registry-desk"};
  Machine leaving{"sidecar-zagreb-a-2", "zagreb-a", "agreements"};
  Machine staying{"sidecar-split-b-1", "split-b", "agreements"};
  for (Machine *it : {&callers, &leaving, &staying})
    nodes.start(*it);
  Bystanders others(nodes, runs, record, 3);
  for (Machine *it : {&callers, &leaving, &staying}) {
    if (!nodes.waitReady(*it))
      finish(nodes, CouldNotRun);
  }
  if (!others.begin(nodes, record))
    finish(nodes, CouldNotRun);
  ServerAddress callersAddress(callers.Application, runs, record);
  const auto callersServer = serverOf(callers, "i-callers");
  callersAddress.assign(callersServer);
  startBeating(callersServer, record);
  ServerAddress leavingAddress(leaving.Application, runs, record);
  ServerAddress stayingAddress(staying.Application, runs, record);
  const auto left = serverOf(leaving, "i-leaving");
  const auto stays = serverOf(staying, "i-staying");
  leavingAddress.assign(left);
  stayingAddress.assign(stays);
  startBeating(left, record);
  startBeating(stays, record);
  sleepMs(StableWindowMs);

  std::atomic<bool> sending = true;
  std::atomic<int> served = 0;
  std::thread clients([&] {
    std::vector<std::thread> open;
    for (int n = 0; sending; ++n) {
      open.emplace_back([&, n] {
        served += request(callers, "POST", "/agreements/" + std::to_string(n),
                          "agreement-" + std::to_string(n), 2000, record) == 200;
      });
      sleepMs(RequestPeriodMs);
    }
    for (std::thread &it : open)
      it.join();
  });
  sleepMs(2000);
  left->Beating = false;
  const auto answer =
      call(leaving.Control, "DELETE", "/instances/i-leaving", "Host: control\r\n", "", 1000);
  const double acknowledgedAt = secondsSince(record.Start);
  record.write("DELETE of i-leaving -> " + (answer.has_value() ? answer->word(1) : "no answer"));
  sleepMs(DrainMs + 500);
  if (trouble) {
    json odd = json::parse(left->heartbeat("ready"));
    odd.erase("born");
    odd["status"].erase("sequence");
    record.write("another writer's heartbeat, without born and sequence:");
    beat(*left, odd.dump(), record);
  }
  sleepMs(ServesOnMs - DrainMs - 500);
  sending = false;
  clients.join();

  int wrong = 0;
  for (const Run &run : runs.all())
    wrong += run.Server == "i-leaving" && run.At > acknowledgedAt + DrainMs / 1000.0 ? 1 : 0;
  record.write("DRAIN: " + std::to_string(wrong) + " requests reached i-leaving later than " +
               std::to_string(DrainMs) + " ms after the acknowledgement");
  const bool acknowledged = answer.has_value() && answer->word(1) == "200";
  finish(nodes, !acknowledged || served == 0 ? CouldNotRun : wrong == 0 ? Held : Broken);
}

} // namespace

int main(int argc, char **argv) {
  if (argc != 3)
    return CouldNotRun;
  return play(argv[1], std::string(argv[2]) != "0");
}
