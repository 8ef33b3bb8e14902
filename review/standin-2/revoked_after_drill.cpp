/// @file revoked_after_drill.cpp A key is taken away; then the store comes back from a copy that is
/// some seconds old, and half of the processes are killed and started again.
#include "world.h"

using namespace world;

namespace {

constexpr int Machines = 12;
constexpr int Killed = 6;
constexpr int RevokeAfterMs = 5000;
constexpr std::int64_t AwayAfterMs = 4000;    ///< From the acknowledgement of the revocation.
constexpr std::int64_t BackAfterMs = 5000;    ///< The same; the copy is 6 s old then.
constexpr std::int64_t KilledAfterMs = 4500;  ///< The same.
constexpr std::int64_t RewriteDelayMs = 2000; ///< Until the operator has written again.

} // namespace

int main(int argc, char **argv) {
  if (argc != 3)
    return 2;
  signal(SIGPIPE, SIG_IGN);
  const std::string folder = argv[1];
  Record log(argv[2]);
  const bool trouble = getenv("TROUBLE") == nullptr || std::string(getenv("TROUBLE")) != "0";

  const auto configWith = [](int version, const json &keys) {
    return configText(version, {{"r1", "svc.example", "/a/", "safe", "desk"}}, {"desk"},
                      {{"tenants", {{"shop", {{"api_keys", keys}, {"priority", 1}}}}}});
  };
  Store store;
  store.put("op/config", configWith(4, {"kept-key-1", "lost-key-2"}));
  std::vector<std::unique_ptr<Machine>> machines;
  for (int n = 0; n < Machines; ++n) {
    machines.push_back(std::make_unique<Machine>("sidecar-a-" + std::to_string(n), "a", "desk",
                                                 folder, store.port()));
    machines.back()->RevokeMs = RevokeAfterMs;
  }
  for (const auto &machine : machines)
    machine->start();
  for (const auto &machine : machines) {
    if (!machine->awaitReady(10000))
      finish(2);
  }
  std::vector<std::unique_ptr<AppServer>> servers;
  for (const auto &machine : machines) {
    servers.push_back(std::make_unique<AppServer>(*machine, log, 12));
    servers.back()->WorkMs = 2;
  }
  sleepMs(8000);

  const auto askAt = [](const Machine &machine, const std::string &key) {
    const std::string id = newId();
    const auto answer = call(machine.Ingress, "GET", "/a/" + key,
                             {{"Host", "svc.example"},
                              {"Authorization", "Token " + key},
                              {"Request-Id", id},
                              {"Deadline-Remaining", "1000"}},
                             "", 1500);
    return answer.has_value() ? answer->status() : 0;
  };
  for (const auto &machine : machines) {
    if (askAt(*machine, "kept-key-1") != 200 || askAt(*machine, "lost-key-2") != 200)
      finish(2);
  }

  store.keepCopy();
  sleepMs(1000);
  store.put("op/config", configWith(5, {"kept-key-1"}));
  const std::int64_t acked = nowMs();
  log.line("version 5 acknowledged; it takes lost-key-2 away");

  const auto at = [acked](std::int64_t after) { sleepMs(acked + after - nowMs()); };
  std::thread events([&] {
    if (!trouble)
      return;
    at(AwayAfterMs);
    store.Down = true;
    log.line("the store is away");
    at(KilledAfterMs);
    for (int n = 0; n < Killed; ++n)
      machines[n]->kill(SIGKILL);
    log.line("%d processes killed", Killed);
    at(BackAfterMs);
    store.restoreCopy();
    store.Down = false;
    log.line("the store is back from its copy");
    for (int n = 0; n < Killed; ++n)
      machines[n]->start();
    log.line("they are started again");
    at(BackAfterMs + RewriteDelayMs);
    store.put("op/config", configWith(5, {"kept-key-1"}));
    log.line("the operator has written version 5 again");
    // A process ends with the thread that has started it.
    while (true)
      sleepMs(1000);
  });
  events.detach();
  std::map<int, int> statuses;
  int ran = 0;
  std::int64_t last = 0;
  for (int n = 0; nowMs() < acked + BackAfterMs + RewriteDelayMs + 4000; n = (n + 1) % Killed) {
    const std::int64_t after = nowMs() - acked;
    const int status = askAt(*machines[n], "lost-key-2");
    ++statuses[status];
    if (status == 200 && after > RevokeAfterMs) {
      ++ran;
      last = after;
      log.line("a request with lost-key-2 sent %lld ms after the acknowledgement was answered 200 at %s",
               static_cast<long long>(after), machines[n]->Name.c_str());
    }
    sleepMs(3);
  }
  const bool serves = askAt(*machines[0], "kept-key-1") == 200;
  for (const auto &[status, count] : statuses)
    log.line("answers with status %d: %d", status, count);
  log.line("%d requests with the key that was taken away ran later than %d ms, the last after %lld ms; "
           "the other key is %sserved",
           ran, RevokeAfterMs, static_cast<long long>(last), serves ? "" : "not ");
  std::printf("%d requests with the key that was taken away ran later than %d ms, the last after %lld "
              "ms; the other key is %sserved\n",
              ran, RevokeAfterMs, static_cast<long long>(last), serves ? "" : "not ");
  finish(ran > 0 ? 1 : serves ? 0 : 2);
}
