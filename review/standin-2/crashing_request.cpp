/// @file crashing_request.cpp A request that crashes each server that begins to run it comes again
/// and again, while the processes of the system are stopped and started in turn.
#include "world.h"

using namespace world;

namespace {

constexpr int Servers = 5;
constexpr std::int64_t StableWindowMs = 3000;
constexpr std::int64_t ServerDownMs = 2000;

struct Crash {
  std::int64_t At = 0;
  std::int64_t SentAt = 0; ///< By the client.
};

} // namespace

int main(int argc, char **argv) {
  if (argc != 3)
    return 2;
  signal(SIGPIPE, SIG_IGN);
  const std::string folder = argv[1];
  Record log(argv[2]);
  const bool trouble = getenv("TROUBLE") == nullptr || std::string(getenv("TROUBLE")) != "0";

  Store store;
  store.put("op/config", configText(4,
                                    {{"r1", "svc.example", "/a/", "safe", "desk"},
                                     {"r2", "svc.example", "/b/", "unsafe", "desk"}},
                                    {"desk", "office"}));
  std::vector<std::unique_ptr<Machine>> machines;
  for (int n = 0; n < Servers; ++n)
    machines.push_back(std::make_unique<Machine>("sidecar-a-" + std::to_string(n), "a", "desk",
                                                 folder, store.port()));
  // The clients' machine, which nothing happens to.
  Machine office("sidecar-a-office", "a", "office", folder, store.port());
  for (const auto &machine : machines)
    machine->start();
  office.start();
  for (const auto &machine : machines) {
    if (!machine->awaitReady(10000))
      finish(2);
  }
  if (!office.awaitReady(10000))
    finish(2);

  std::mutex mutex;
  std::vector<Crash> crashes;
  std::set<AppServer *> down;
  std::int64_t sentAt = 0;
  std::vector<std::unique_ptr<AppServer>> servers;
  for (const auto &machine : machines) {
    servers.push_back(std::make_unique<AppServer>(*machine, log, 12));
    servers.back()->OnRequest = [&](AppServer &server, int fd, const Message &request) {
      if (request.target() != "/a/crash") {
        sleepMs(200);
        return server.reply(fd, request, "done");
      }
      const std::lock_guard lock(mutex);
      crashes.push_back({nowMs(), sentAt});
      log.line("crash %zu, of the server at %s", crashes.size(), server.Beside.Name.c_str());
      if (down.insert(&server).second)
        std::thread([&server, &mutex, &down] {
          server.stop();
          sleepMs(ServerDownMs);
          server.start();
          const std::lock_guard end(mutex);
          down.erase(&server);
        }).detach();
      return false;
    };
  }
  AppServer officeServer(office, log, 12);
  sleepMs(6000);

  std::atomic<bool> ends = false;
  std::atomic<int> sent = 0;
  std::atomic<int> unknown = 0;
  std::vector<std::thread> clients;
  for (int n = 0; n < 4; ++n)
    clients.emplace_back([&] {
      while (!ends) {
        const std::string id = newId();
        const auto answer = call(office.Ingress, "POST", "/b/1",
                                 {{"Host", "svc.example"}, {"Request-Id", id}, {"Deadline-Remaining", "2000"}},
                                 "order", 2500);
        ++sent;
        const int status = answer.has_value() ? answer->status() : 0;
        // Neither done nor refused: whether the order was taken is not known.
        if (status == 502 || status == 504 || status == 0) {
          ++unknown;
          log.line("order %s: %d", id.c_str(), status);
        }
        sleepMs(20);
      }
    });
  const auto poison = [&](int times) {
    for (int n = 0; n < times; ++n) {
      const std::string id = newId();
      {
        const std::lock_guard lock(mutex);
        sentAt = nowMs();
      }
      const auto answer = call(office.Ingress, "GET", "/a/crash",
                               {{"Host", "svc.example"}, {"Request-Id", id}, {"Deadline-Remaining", "2000"}},
                               "", 2500);
      log.line("sent crashing request %s: %d", id.c_str(), answer.has_value() ? answer->status() : 0);
      sleepMs(300);
    }
  };
  poison(10);
  for (int round = 0; round < Servers; ++round) {
    if (trouble) {
      log.line("SIGTERM to %s", machines[round]->Name.c_str());
      machines[round]->kill(SIGTERM);
      machines[round]->reap();
      sleepMs(300);
      machines[round]->start();
    } else {
      sleepMs(3500);
    }
    // All machines are in touch again when the request comes.
    sleepMs(StableWindowMs + 2500);
    poison(14);
  }
  ends = true;
  for (std::thread &client : clients)
    client.join();

  const std::lock_guard lock(mutex);
  std::size_t late = 0;
  for (const Crash &crash : crashes)
    late += crashes.size() > 3 && crash.SentAt > crashes[2].At + StableWindowMs ? 1 : 0;
  log.line("%zu crashes; %zu later than %lld ms after the third; %d of %d orders end unknown",
           crashes.size(), late, static_cast<long long>(StableWindowMs), unknown.load(), sent.load());
  std::printf("%zu crashes; %zu later than %lld ms after the third; %d of %d orders end unknown\n",
              crashes.size(), late, static_cast<long long>(StableWindowMs), unknown.load(),
              sent.load());
  finish(late > 3 ? 1 : 0);
}
