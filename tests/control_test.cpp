/// @file control_test.cpp Calls of a control task to the store, without a traffic task.
#define BOOST_TEST_MODULE control
#include <boost/test/unit_test.hpp>

#include "control/control_task.h"

#include "event_util.h"
#include "platform_environment.h"

#include <thread>
#include <unistd.h>

using namespace jasmineloom;

namespace {

constexpr const char *RpcAddress = "127.0.0.1:27660";
/// Well above the delay after which a starting node confirms its version floor.
constexpr DurationMs ObservedTime = 1500;

/// Runs a control task and collects its calls to the store, which are never answered.
class UnansweredStore {
public:
  UnansweredStore() : Thread([this] { run(); }) {}
  ~UnansweredStore() { Thread.join(); }

  /// @returns the paths of the calls made within a time.
  std::vector<std::string> callsWithin(DurationMs time) {
    std::vector<std::string> paths;
    const TimeMs end = steadyClockMs() + time;
    while (steadyClockMs() < end) {
      for (const TrafficCommand &command : Traffic.takeAll()) {
        if (const auto *call = std::get_if<StoreCall>(&command))
          paths.push_back(call->Call.Path);
      }
      usleep(5000);
    }
    Inbox.put(Drained{});
    return paths;
  }

private:
  void run() {
    ControlSettings settings;
    settings.Identity = {HostID("h1"), 1, DataCentreName("dc"), RpcAddress, "127.0.0.1:27661"};
    settings.RpcAddress = RpcAddress;
    settings.Secret = "a-secret-of-the-test";
    settings.Times = MeshTimings::forPropagationBound(2 * MsPerSecond);
    settings.Env = platform::platformEnvironment();
    ControlTask control(std::move(settings), Traffic, Inbox);
    static_cast<void>(control.run());
  }

  TrafficMailbox Traffic;
  ControlMailbox Inbox;
  std::thread Thread;
};

} // namespace

BOOST_AUTO_TEST_CASE(starting_node_reads_the_document_once) {
  UnansweredStore store;
  const std::vector<std::string> paths = store.callsWithin(ObservedTime);
  const std::string documentRead = "/kv-range?prefix=op";
  BOOST_TEST(std::count_if(paths.begin(), paths.end(), [&](const std::string &path) {
               return path.rfind(documentRead, 0) == 0;
             }) == 1);
}
