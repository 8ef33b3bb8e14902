/// @file unsignalled_service.cpp The server beside a process leaves, and its address goes to a server
/// of another service. The settings file names it; no signal is sent.
#include "world.h"

using namespace world;

namespace {

constexpr std::int64_t DrainMs = 2000;
constexpr std::int64_t ReuseAfterMs = 2500;       ///< `reuse_after_s` is 2.
constexpr std::int64_t SettingsBeforeMs = 300;    ///< The file is written before the server starts.
constexpr std::int64_t ObservedMs = 3000;

} // namespace

int main(int argc, char **argv) {
  if (argc != 3)
    return 2;
  signal(SIGPIPE, SIG_IGN);
  const std::string folder = argv[1];
  Record log(argv[2]);
  const bool trouble = getenv("TROUBLE") == nullptr || std::string(getenv("TROUBLE")) != "0";

  Store store;
  store.put("op/config", configText(4, {{"r1", "svc.example", "/a/", "unsafe", "desk"}},
                                    {"desk", "office"}));
  std::vector<std::unique_ptr<Machine>> machines;
  for (int n = 0; n < 6; ++n)
    machines.push_back(std::make_unique<Machine>("sidecar-a-" + std::to_string(n), "a", "desk",
                                                 folder, store.port()));
  for (const auto &machine : machines)
    machine->start();
  for (const auto &machine : machines) {
    if (!machine->awaitReady(10000))
      finish(2);
  }
  std::vector<std::unique_ptr<AppServer>> servers;
  for (const auto &machine : machines) {
    servers.push_back(std::make_unique<AppServer>(*machine, log, 12));
    servers.back()->WorkMs = 5;
  }
  sleepMs(6000);

  Machine &changed = *machines[0];
  AppServer &server = *servers[0];
  server.Draining = true;
  log.line("the desk server of %s drains, acknowledged with %d", changed.Name.c_str(),
           server.sendBeat());
  sleepMs(DrainMs + 500);
  log.line("it sends DELETE, answered %d, and ends", server.sendLeave());
  server.stop();
  sleepMs(ReuseAfterMs - SettingsBeforeMs);
  changed.Service = "office";
  changed.writeSettings();
  if (!trouble)
    changed.kill(SIGHUP);
  log.line("the settings file names office%s", trouble ? "; no signal is sent" : "; SIGHUP");
  sleepMs(SettingsBeforeMs);
  server.start();
  const int acknowledged = server.sendBeat();
  log.line("a server of office runs at the address; heartbeat answered %d", acknowledged);
  if (acknowledged != 200)
    finish(2);

  std::set<std::string> sent;
  const std::int64_t end = nowMs() + ObservedMs;
  while (nowMs() < end) {
    const std::string id = newId();
    sent.insert(id);
    const auto answer = call(changed.Ingress, "POST", "/a/1",
                             {{"Host", "svc.example"}, {"Request-Id", id}, {"Deadline-Remaining", "2000"}},
                             "order", 2500);
    log.line("sent %s at %s: %d", id.c_str(), changed.Name.c_str(),
             answer.has_value() ? answer->status() : 0);
    sleepMs(20);
  }
  int ran = 0;
  int wrong = 0;
  for (std::size_t n = 1; n < servers.size(); ++n) {
    for (const Run &run : servers[n]->runs()) {
      if (sent.count(run.Request.header("request-id")) == 0)
        continue;
      ++ran;
      wrong += run.Request.header("caller-service") == "office" ? 0 : 1;
    }
  }
  log.line("%d of %d requests that ran name another service than office as their caller", wrong, ran);
  std::printf("%d of %d requests that ran name another service than office as their caller\n", wrong,
              ran);
  finish(wrong > 0 ? 1 : ran > 0 ? 0 : 2);
}
