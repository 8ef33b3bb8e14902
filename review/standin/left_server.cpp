/// @file left_server.cpp Case: a node acknowledges that its server is gone and is killed. After its
/// restart a late heartbeat of that server arrives.
#include "world.h"

using namespace review;

namespace {

constexpr long DrainMs = 2000; // The bound drain_ms.
constexpr long StableWindowMs = 3000;
constexpr long RequestPeriodMs = 25; // 40 a second: half of the 82.3 of the site, for two servers of four.
constexpr long RestartDelayMs = 500;
constexpr long HeartbeatDelayMs = 2000; // "A heartbeat may arrive seconds late."

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
  const std::string late = left->heartbeat("ready");
  const auto answer =
      call(leaving.Control, "DELETE", "/instances/i-leaving", "Host: control\r\n", "", 1000);
  const double acknowledgedAt = secondsSince(record.Start);
  record.write("DELETE of i-leaving -> " + (answer.has_value() ? answer->word(1) : "no answer"));
  double startedAt = acknowledgedAt;
  if (trouble) {
    nodes.signalTo(leaving, SIGKILL);
    sleepMs(RestartDelayMs);
    nodes.start(leaving);
    startedAt = secondsSince(record.Start);
    if (!nodes.waitReady(leaving))
      finish(nodes, CouldNotRun);
  }
  sleepMs(HeartbeatDelayMs);
  beat(*left, late, record);
  sleepMs(StableWindowMs + 2000);
  sending = false;
  clients.join();

  // The restarted node is in touch again after the stable window.
  const double from = std::max(acknowledgedAt + DrainMs / 1000.0,
                               startedAt + (StableWindowMs + 100) / 1000.0);
  int wrong = 0;
  for (const Run &run : runs.all())
    wrong += run.Server == "i-leaving" && run.At > from ? 1 : 0;
  record.write("DRAIN: " + std::to_string(wrong) + " requests reached i-leaving later than " +
               std::to_string(DrainMs) + " ms after the acknowledgement and with its node in touch");
  const bool acknowledged = answer.has_value() && answer->word(1) == "200";
  finish(nodes, !acknowledged || served == 0 ? CouldNotRun : wrong == 0 ? Held : Broken);
}

} // namespace

int main(int argc, char **argv) {
  if (argc != 3)
    return CouldNotRun;
  return play(argv[1], std::string(argv[2]) != "0");
}
