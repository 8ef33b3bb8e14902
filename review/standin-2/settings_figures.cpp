/// @file settings_figures.cpp A figure of the settings changes, and the processes are restarted one
/// after the other. Each has to start.
#include "world.h"

using namespace world;

int main(int argc, char **argv) {
  if (argc != 4)
    return 2;
  signal(SIGPIPE, SIG_IGN);
  const std::string folder = argv[1];
  const std::string figure = argv[3];
  Record log(argv[2]);
  const bool trouble = getenv("TROUBLE") == nullptr || std::string(getenv("TROUBLE")) != "0";

  Store store;
  store.put("op/config",
            configText(4, {{"r1", "svc.example", "/a/", "safe", "desk"}}, {"desk"}));
  std::vector<std::unique_ptr<Machine>> machines;
  std::vector<std::unique_ptr<AppServer>> servers;
  for (int n = 0; n < 3; ++n)
    machines.push_back(std::make_unique<Machine>("sidecar-a-" + std::to_string(n), "a", "desk",
                                                 folder, store.port()));
  for (const auto &machine : machines)
    machine->start();
  for (const auto &machine : machines) {
    if (!machine->awaitReady(10000)) {
      log.line("%s was not ready at the first start", machine->Name.c_str());
      finish(2);
    }
  }
  for (const auto &machine : machines)
    servers.push_back(std::make_unique<AppServer>(*machine, log, 12));
  sleepMs(4000);
  const auto ask = [&log](const Machine &machine) {
    const std::string id = newId();
    const auto answer = call(machine.Ingress, "GET", "/a/1",
                             {{"Host", "svc.example"}, {"Request-Id", id}, {"Deadline-Remaining", "2000"}},
                             "", 2500);
    const int status = answer.has_value() ? answer->status() : 0;
    log.line("sent %s to %s: %d", id.c_str(), machine.Name.c_str(), status);
    return status == 200;
  };
  for (const auto &machine : machines) {
    if (!ask(*machine))
      finish(2);
  }

  int notStarted = 0;
  for (const auto &machine : machines) {
    if (figure == "cpu_share")
      machine->CpuShare = trouble ? "0.3333333333333333" : "0.3";
    else
      machine->Grace = trouble ? "6.5" : "7";
    machine->writeSettings();
    log.line("%s: %s is %s from now on; SIGTERM", machine->Name.c_str(), figure.c_str(),
             figure == "cpu_share" ? machine->CpuShare.c_str() : machine->Grace.c_str());
    machine->kill(SIGTERM);
    machine->reap();
    // The platform starts a process that has ended again after a short delay.
    bool ready = false;
    for (int attempt = 0; attempt < 3 && !ready; ++attempt) {
      sleepMs(500);
      machine->start();
      ready = machine->awaitReady(3000);
      int status = 0;
      if (machine->hasEnded(status))
        log.line("%s ended by itself at its start, exit status %d", machine->Name.c_str(),
                 WIFEXITED(status) ? WEXITSTATUS(status) : -1);
      else
        log.line("%s %s", machine->Name.c_str(), ready ? "is ready" : "runs, but is not ready");
    }
    notStarted += ready ? 0 : 1;
  }
  sleepMs(4000);
  int served = 0;
  for (const auto &machine : machines)
    served += ask(*machine) ? 1 : 0;
  log.line("%d of 3 processes did not start again; %d of 3 requests served at the end", notStarted,
           served);
  std::printf("%d of 3 processes did not start again; %d of 3 requests served at the end\n",
              notStarted, served);
  finish(notStarted == 0 && served == 3 ? 0 : 1);
}
