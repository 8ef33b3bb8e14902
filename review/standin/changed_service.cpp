/// @file changed_service.cpp Case: a machine's server ends and a server of another service takes its
/// place, beside the same node. The platform writes the new service into the settings and sends SIGHUP.
#include "world.h"

using namespace review;

namespace {

constexpr long DrainMs = 2000;      // The bound drain_ms.
constexpr long ReuseAfterMs = 2000; // The bound reuse_after_s.
constexpr long StableWindowMs = 3000;
constexpr int Requests = 20;

std::shared_ptr<Server> serverOf(const Machine &machine, const std::string &id,
                                 const std::string &service) {
  auto server = std::make_shared<Server>();
  server->ID = id;
  server->Service = service;
  server->Port = machine.Application;
  server->Control = machine.Control;
  server->Zone = machine.Zone;
  server->WorkMs = 50;
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
  Machine changing{"sidecar-zagreb-a-1", "zagreb-a", "registry-desk"};
  Machine other{"sidecar-split-b-1", "split-b", "agreements"};
  nodes.start(changing);
  nodes.start(other);
  Bystanders others(nodes, runs, record, 4);
  if (!nodes.waitReady(changing) || !nodes.waitReady(other) || !others.begin(nodes, record))
    finish(nodes, CouldNotRun);
  ServerAddress changingAddress(changing.Application, runs, record);
  ServerAddress otherAddress(other.Application, runs, record);
  const auto first = serverOf(changing, "i-desk", "registry-desk");
  const auto agreements = serverOf(other, "i-agreements", "agreements");
  changingAddress.assign(first);
  otherAddress.assign(agreements);
  startBeating(first, record);
  startBeating(agreements, record);
  sleepMs(StableWindowMs);

  std::string service = "registry-desk";
  if (trouble) {
    first->Beating = false;
    beat(*first, first->heartbeat("draining"), record);
    sleepMs(DrainMs);
    call(changing.Control, "DELETE", "/instances/i-desk", "Host: control\r\n", "", 1000);
    changingAddress.assign(nullptr);
    record.write("server i-desk has sent DELETE and ended");
    sleepMs(ReuseAfterMs + 500);
    service = "royalties";
    changing.Service = service;
    nodes.writeSettings(changing);
    nodes.signalTo(changing, SIGHUP);
    const auto second = serverOf(changing, "i-royalties", service);
    changingAddress.assign(second);
    startBeating(second, record);
  }
  sleepMs(StableWindowMs + 2000);
  int served = 0;
  for (int n = 0; n < Requests; ++n) {
    served += request(changing, "POST", "/agreements/" + std::to_string(n),
                      "agreement-" + std::to_string(n), 4000, record) == 200;
    sleepMs(50);
  }
  int wrong = 0;
  for (const Run &run : runs.all())
    wrong += run.Path.rfind("/agreements/", 0) == 0 && run.CallerService != service ? 1 : 0;
  record.write("UNASKED: " + std::to_string(wrong) + " of " + std::to_string(served) +
               " served requests bore another Caller-Service than " + service);
  finish(nodes, served == 0 ? CouldNotRun : wrong == 0 ? Held : Broken);
}

} // namespace

int main(int argc, char **argv) {
  if (argc != 3)
    return CouldNotRun;
  return play(argv[1], std::string(argv[2]) != "0");
}
