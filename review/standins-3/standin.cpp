/// @file standin.cpp Stand-ins of the third review: standin KIND --flag value ...
#include "clients.h"
#include "server.h"
#include "store.h"

#include <csignal>
#include <random>

namespace {

/// Prints free ports of the loopback address, from below the range that the kernel gives to clients.
int runPorts(const Flags &flags) {
  constexpr int FirstPort = 12000;
  constexpr int LastPort = 31999;
  std::random_device seed;
  std::mt19937 random(seed());
  std::uniform_int_distribution<int> draw(FirstPort, LastPort);
  long left = flags.number("count");
  std::vector<int> sockets;
  while (left > 0) {
    const int port = draw(random);
    const sockaddr_in address = addressOf("127.0.0.1:" + std::to_string(port));
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockets.push_back(fd);
    if (bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0)
      continue;
    std::printf("%d\n", port);
    --left;
  }
  return 0;
}

/// Writes --file under --key as the operator does.
int runPut(const Flags &flags) {
  const std::string body = "{\"writes\":[{\"key\":\"" + flags.text("key") + "\",\"value\":\"" +
                           base64Of(fileText(flags.text("file"))) + "\"}]}";
  Message answer;
  const std::string head = "POST /kv-txn HTTP/1.1\r\nHost: store\r\n";
  return callOnce(flags.text("store"), head, body, answer, 4000) == 200 ? 0 : 1;
}

/// Waits until a GET of --path at --address is answered with 200.
int runAwait(const Flags &flags) {
  const std::int64_t until = wallMs() + 1000 * flags.number("seconds", 20);
  while (wallMs() < until) {
    Message answer;
    const std::string head = "GET " + flags.text("path") + " HTTP/1.1\r\nHost: " + flags.text("host", "x") +
                             "\r\nRequest-Id: await" + std::to_string(wallMs()) + "\r\n";
    if (callOnce(flags.text("address"), head, "", answer, 3000) == 200)
      return 0;
    sleepMs(100);
  }
  return 1;
}

} // namespace

int main(int argc, char **argv) {
  std::signal(SIGPIPE, SIG_IGN);
  const std::string kind = argc > 1 ? argv[1] : "";
  const Flags flags(argc, argv);
  if (kind == "store")
    return runStore(flags);
  if (kind == "server") {
    static Server server(flags);
    return server.run();
  }
  if (kind == "rate")
    return runRate(flags);
  if (kind == "kept")
    return runKept(flags);
  if (kind == "slow-reader")
    return runSlowReader(flags);
  if (kind == "pipeline")
    return runPipeline(flags);
  if (kind == "put")
    return runPut(flags);
  if (kind == "ports")
    return runPorts(flags);
  if (kind == "await")
    return runAwait(flags);
  std::fprintf(stderr, "unknown stand-in \"%s\"\n", kind.c_str());
  return 2;
}
