/// @file large_uploads.cpp Uploads within the `body_bytes` that the configuration states.
#include "world.h"

using namespace world;

int main(int argc, char **argv) {
  if (argc != 3)
    return 2;
  signal(SIGPIPE, SIG_IGN);
  const std::string folder = argv[1];
  Record log(argv[2]);
  const bool trouble = getenv("TROUBLE") == nullptr || std::string(getenv("TROUBLE")) != "0";
  constexpr int Uploads = 40;
  const std::size_t size = trouble ? 1500000 : 1000000;

  Store store;
  store.put("op/config",
            configText(4, {{"r1", "svc.example", "/a/", "upload", "desk", 5000}}, {"desk"}));
  Machine desk("sidecar-a-1", "a", "desk", folder, store.port());
  Machine other("sidecar-a-2", "a", "desk", folder, store.port());
  desk.start();
  other.start();
  if (!desk.awaitReady(10000) || !other.awaitReady(10000))
    finish(2);
  AppServer deskServer(desk, log, 12);
  AppServer otherServer(other, log, 12);
  sleepMs(6000);

  int refused = 0;
  int served = 0;
  for (int n = 0; n < Uploads; ++n) {
    const std::string id = newId();
    const auto answer = call(other.Ingress, "POST", "/a/1",
                             {{"Host", "svc.example"}, {"Request-Id", id}, {"Deadline-Remaining", "10000"}},
                             std::string(size, 'u'), 10000);
    const int status = answer.has_value() ? answer->status() : 0;
    log.line("sent %s, %zu bytes: %d", id.c_str(), size, status);
    refused += status == 413 ? 1 : 0;
    served += status == 200 ? 1 : 0;
    sleepMs(100);
  }
  const std::size_t runs = deskServer.runs().size() + otherServer.runs().size();
  log.line("%d uploads of %zu bytes, 67108864 allowed: %d served, %d answered 413, %zu runs", Uploads,
           size, served, refused, runs);
  std::printf("%d uploads of %zu bytes, 67108864 allowed: %d served, %d answered 413, %zu runs\n",
              Uploads, size, served, refused, runs);
  finish(refused > 5 + Uploads / 500 ? 1 : served == Uploads ? 0 : 2);
}
