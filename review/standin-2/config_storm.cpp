/// @file config_storm.cpp Configurations come in quick succession while the store turns away three
/// machines of a zone, those that watch it.
#include "world.h"

#include <dirent.h>

using namespace world;

namespace {

constexpr std::int64_t MaxStretchMs = 5000;
constexpr std::int64_t TurnedAwayMs = 9000;
constexpr std::int64_t StormGapMs = 230;
constexpr std::int64_t StormMs = 8500; ///< Two storms of up to 5 s, one after the other.
constexpr std::size_t TurnedAway = 3;

/// @returns the inode of the socket at the other end of a loopback connection; empty: not found.
std::string peerInode(int fd) {
  sockaddr_in peer{};
  socklen_t size = sizeof(peer);
  if (getpeername(fd, reinterpret_cast<sockaddr *>(&peer), &size) != 0)
    return "";
  const int own = portOf(fd);
  std::ifstream table("/proc/net/tcp");
  std::string line;
  std::getline(table, line);
  while (std::getline(table, line)) {
    unsigned localPort = 0;
    unsigned remotePort = 0;
    unsigned long inode = 0;
    const int fields =
        std::sscanf(line.c_str(), " %*d: %*x:%x %*x:%x %*x %*x:%*x %*x:%*x %*x %*d %*d %lu",
                    &localPort, &remotePort, &inode);
    if (fields == 3 && localPort == ntohs(peer.sin_port) && remotePort == static_cast<unsigned>(own))
      return "socket:[" + std::to_string(inode) + "]";
  }
  return "";
}

bool holds(pid_t pid, const std::string &inode) {
  const std::string folder = "/proc/" + std::to_string(pid) + "/fd";
  DIR *open = opendir(folder.c_str());
  if (open == nullptr)
    return false;
  bool found = false;
  while (const dirent *entry = readdir(open)) {
    char target[64] = {};
    const std::string path = folder + "/" + entry->d_name;
    found |= readlink(path.c_str(), target, sizeof(target) - 1) > 0 && inode == target;
  }
  closedir(open);
  return found;
}

} // namespace

int main(int argc, char **argv) {
  if (argc != 3)
    return 2;
  signal(SIGPIPE, SIG_IGN);
  const std::string folder = argv[1];
  Record log(argv[2]);
  const bool trouble = getenv("TROUBLE") == nullptr || std::string(getenv("TROUBLE")) != "0";

  std::vector<std::unique_ptr<Machine>> machines;
  std::mutex mutex;
  std::map<std::pair<int, std::string>, Machine *> callers; ///< By descriptor and inode.
  std::map<Machine *, std::int64_t> watchedAt;
  std::set<Machine *> turnedAway;
  Store store;
  // The store knows its callers by their addresses; here all have the same one.
  store.TurnsAway = [&](int fd, const Message &request) {
    const std::string inode = peerInode(fd);
    const std::lock_guard lock(mutex);
    Machine *&caller = callers[{fd, inode}];
    for (const auto &machine : machines) {
      if (caller == nullptr && machine->Pid > 0 && holds(machine->Pid, inode))
        caller = machine.get();
    }
    if (caller != nullptr && request.target().rfind("/kv-watch", 0) == 0)
      watchedAt[caller] = nowMs();
    return turnedAway.count(caller) != 0 ? 503 : 0;
  };
  std::vector<Route> routes = {{"r1", "svc.example", "/a/", "safe", "desk"}};
  int version = 4;
  store.put("op/config", configText(version, routes, {"desk"}));
  {
    const std::lock_guard lock(mutex);
    for (int n = 0; n < 9; ++n)
      machines.push_back(std::make_unique<Machine>("sidecar-" + std::string(n < 5 ? "b-" : "a-") +
                                                       std::to_string(n),
                                                   n < 5 ? "b" : "a", "desk", folder, store.port()));
    for (const auto &machine : machines)
      machine->start();
  }
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

  std::vector<Machine *> calm;
  {
    const std::lock_guard lock(mutex);
    std::size_t chosen = 0;
    for (const auto &machine : machines) {
      if (machine->Zone != "b")
        continue;
      const auto it = watchedAt.find(machine.get());
      const bool watches = it != watchedAt.end() && nowMs() < it->second + 5000;
      if (!watches || chosen == TurnedAway) {
        calm.push_back(machine.get());
        continue;
      }
      ++chosen;
      if (trouble)
        turnedAway.insert(machine.get());
      log.line("%s watches the store%s", machine->Name.c_str(),
               trouble ? "; the store turns it away from now on" : "");
    }
    if (chosen != TurnedAway)
      finish(2);
  }
  const std::int64_t turnedAwayAt = nowMs();
  sleepMs(300);

  /// A request on the route that a version has added, to a machine that nothing happens to.
  struct Probe {
    std::int64_t Due;
    std::int64_t AckedAt;
    int Version;
    Machine *At;
  };
  std::vector<Probe> probes;
  const std::int64_t stormEnd = nowMs() + StormMs;
  std::thread end([&] {
    sleepMs(turnedAwayAt + TurnedAwayMs - nowMs());
    const std::lock_guard lock(mutex);
    turnedAway.clear();
    log.line("the store serves all machines again");
  });
  std::mutex probeMutex;
  std::thread storm([&] {
    while (nowMs() < stormEnd) {
      ++version;
      const std::string name = "n" + std::to_string(version);
      routes.push_back({name, "svc.example", "/" + name + "/", "safe", "desk"});
      store.put("op/config", configText(version, routes, {"desk"}));
      const std::int64_t acked = nowMs();
      log.line("version %d acknowledged; it adds /%s/", version, name.c_str());
      {
        const std::lock_guard lock(probeMutex);
        for (const std::int64_t after : {InForceMs + 100L, InForceMs + MaxStretchMs + 100L}) {
          for (Machine *machine : calm)
            probes.push_back({acked + after, acked, version, machine});
        }
      }
      sleepMs(StormGapMs);
    }
  });
  int late = 0;
  int beyondStretch = 0;
  int sent = 0;
  const std::int64_t last = stormEnd + InForceMs + MaxStretchMs + 1000;
  while (nowMs() < last) {
    std::optional<Probe> due;
    {
      const std::lock_guard lock(probeMutex);
      for (auto it = probes.begin(); it != probes.end() && !due.has_value(); ++it) {
        if (it->Due > nowMs())
          continue;
        due = *it;
        probes.erase(it);
        break;
      }
    }
    if (!due.has_value()) {
      sleepMs(5);
      continue;
    }
    const std::string id = newId();
    const std::int64_t sentAt = nowMs();
    const auto answer = call(due->At->Ingress, "GET", "/n" + std::to_string(due->Version) + "/1",
                             {{"Host", "svc.example"}, {"Request-Id", id}, {"Deadline-Remaining", "2000"}},
                             "", 2500);
    const int status = answer.has_value() ? answer->status() : 0;
    const std::int64_t age = sentAt - due->AckedAt;
    log.line("sent %s to %s, /n%d/ acknowledged %lld ms before: %d", id.c_str(),
             due->At->Name.c_str(), due->Version, static_cast<long long>(age), status);
    ++sent;
    late += status == 404 ? 1 : 0;
    beyondStretch += status == 404 && age > InForceMs + MaxStretchMs ? 1 : 0;
  }
  storm.join();
  end.join();
  log.line("%d of %d requests on acknowledged routes answered 404 after %d ms; %d of them after %lld",
           late, sent, InForceMs, beyondStretch, static_cast<long long>(InForceMs + MaxStretchMs));
  std::printf("%d of %d requests on acknowledged routes answered 404 after %d ms; %d of them after "
              "%lld ms\n",
              late, sent, InForceMs, beyondStretch,
              static_cast<long long>(InForceMs + MaxStretchMs));
  finish(beyondStretch > 0 ? 1 : 0);
}
