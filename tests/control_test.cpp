/// @file control_test.cpp Calls of a control task to the store, and its listener, without a traffic
/// task.
#define BOOST_TEST_MODULE control
#include <boost/test/unit_test.hpp>

#include "control/control_task.h"

#include "event_util.h"
#include "platform_environment.h"

#include <absl/strings/escaping.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <optional>
#include <thread>

using namespace jasmineloom;

namespace {

constexpr const char *RpcAddress = "127.0.0.1:27660";
/// Well above the delay after which a starting node confirms its version floor.
constexpr DurationMs ObservedTime = 1500;
/// Time in which a change must be in force on all nodes.
constexpr DurationMs PropagationBound = 2 * MsPerSecond;

/// Runs a control task against a store that answers only lists of the registered roots and of the
/// operators' document, or nothing.
class ListingStore {
public:
  /// @param roots number of roots of the task's data centre in the list; none: nothing is answered.
  /// @param value value of each entry, in Base64; by default 127.0.0.1:1.
  /// @param hasDocument whether lists of the operators' document are answered.
  /// @param document items of those lists.
  explicit ListingStore(std::optional<int> roots,
                        std::string value = "MTI3LjAuMC4xOjE=", bool hasDocument = false,
                        std::string document = "")
      : Roots(roots), Value(std::move(value)), HasDocument(hasDocument),
        Document(std::move(document)), Thread([this] { run(); }) {}
  ~ListingStore() {
    Inbox.put(Drained{});
    Thread.join();
  }

  /// @returns the longest time after which a watch made within a time fails if it is not answered;
  /// 0: no watch.
  DurationMs longestWatchWithin(DurationMs time) {
    LongestWatch = 0;
    static_cast<void>(callsWithin(time));
    return LongestWatch;
  }

  /// @returns the number of refused documents that the task states, once it states any.
  std::uint64_t refusedDocuments() {
    for (int n = 0; n < 1000; ++n) {
      for (const TrafficCommand &command : Traffic.takeAll()) {
        if (const auto *call = std::get_if<StoreCall>(&command))
          receive(*call);
        const auto *figures = std::get_if<ControlFigures>(&command);
        if (figures != nullptr && figures->RefusedDocuments != 0)
          return figures->RefusedDocuments;
      }
      usleep(5000);
    }
    return 0;
  }

  /// Answers the watch that is waiting.
  void answerWatch(int status, const std::string &body, std::uint64_t era) {
    Inbox.put(StoreReply{PendingWatch, true, true, status, body, era});
  }

  /// Era that later answers to lists state; 0: none.
  std::uint64_t Era = 0;

  /// @returns the paths of the calls made within a time.
  std::vector<std::string> callsWithin(DurationMs time) {
    std::vector<std::string> paths;
    const TimeMs end = steadyClockMs() + time;
    while (steadyClockMs() < end) {
      for (const TrafficCommand &command : Traffic.takeAll()) {
        if (const auto *call = std::get_if<StoreCall>(&command))
          paths.push_back(receive(*call));
      }
      usleep(5000);
    }
    return paths;
  }

private:
  std::string receive(const StoreCall &call) {
    const bool isDocumentList = call.Call.Path.rfind("/kv-range?prefix=op", 0) == 0;
    const bool isRootList = !isDocumentList && call.Call.Path.rfind("/kv-range", 0) == 0;
    if (isDocumentList && HasDocument)
      Inbox.put(StoreReply{call.Number, true, true, 200,
                           R"({"store_revision":5,"has_more":false,"items":[)" + Document + "]}",
                           Era});
    if (call.Call.Path.rfind("/kv-watch", 0) == 0) {
      PendingWatch = call.Number;
      LongestWatch = std::max(LongestWatch, call.Timeout);
    }
    if (isRootList && Roots.has_value()) {
      std::string items;
      for (int n = 0; n < *Roots; ++n)
        items += (n == 0 ? "" : ",") + std::string(R"({"key":")") + RootPrefix + "dc/old" +
                 std::to_string(n) + R"(","value":")" + Value + "\"}";
      Inbox.put(StoreReply{call.Number, true, true, 200,
                           R"({"store_revision":5,"has_more":false,"items":[)" + items + "]}",
                           Era});
    }
    return call.Call.Path;
  }

  void run() {
    ControlSettings settings;
    settings.Identity = {HostID("h1"), 1, DataCentreName("dc"), RpcAddress, "127.0.0.1:27661"};
    settings.RpcAddress = RpcAddress;
    settings.Secret = "a-secret-of-the-test";
    settings.Times = MeshTimings::forPropagationBound(PropagationBound);
    settings.Env = platform::platformEnvironment();
    ControlTask control(std::move(settings), Traffic, Inbox);
    static_cast<void>(control.run());
  }

  std::optional<int> Roots;
  std::string Value;
  bool HasDocument;
  std::string Document;
  DurationMs LongestWatch = 0;
  std::uint64_t PendingWatch = 0; ///< Number of the last watch.
  TrafficMailbox Traffic;
  ControlMailbox Inbox;
  std::thread Thread;
};

std::ptrdiff_t countOf(const std::vector<std::string> &paths, const std::string &prefix) {
  return std::count_if(paths.begin(), paths.end(),
                       [&prefix](const std::string &path) { return path.rfind(prefix, 0) == 0; });
}

/// @returns whether the control task closes a connection on which it receives no valid message,
/// which it can only do for a connection that it has accepted.
bool isConnectionHandled(int fd) {
  const timeval timeout{5, 0};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  const std::string text(64, '\xff');
  static_cast<void>(::send(fd, text.data(), text.size(), MSG_NOSIGNAL));
  char buf[256];
  ssize_t n = 1;
  while (n > 0)
    n = recv(fd, buf, sizeof(buf), 0);
  return n == 0 || errno == ECONNRESET;
}

int connectToRpc() {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const std::optional<SocketAddress> address = socketAddressOf(RpcAddress);
  for (int n = 0; n < 500; ++n) {
    if (connect(fd, address->get(), static_cast<socklen_t>(address->Size)) == 0)
      return fd;
    usleep(10000);
  }
  BOOST_FAIL("cannot connect to the control task");
  return fd;
}

} // namespace

BOOST_AUTO_TEST_CASE(starting_node_reads_the_document_once) {
  ListingStore store(std::nullopt);
  const std::vector<std::string> paths = store.callsWithin(ObservedTime);
  BOOST_TEST(countOf(paths, "/kv-range?prefix=op") == 1);
}

// Guards against a node that waits for the end of a watch which the store will never answer.
BOOST_AUTO_TEST_CASE(unanswered_watch_of_the_document_fails_within_the_propagation_bound) {
  ListingStore store(0, "MTI3LjAuMC4xOjE=", true);
  const DurationMs longest = store.longestWatchWithin(2 * ObservedTime);
  BOOST_TEST(longest > 0U);
  BOOST_TEST(longest <= PropagationBound);
}

// Guards against a configuration that is refused without a sign.
BOOST_AUTO_TEST_CASE(a_document_with_an_odd_object_is_refused_and_counted) {
  const std::string config =
      R"({"version":"00000001","services":{"s":{}},"routes":{"r":{"host":"h","prefix":"/",)"
      R"("kind":"sometimes","service":"s","timeout_ms":1000,"attempts":1}}})";
  std::string encoded;
  absl::Base64Escape(config, &encoded);
  ListingStore store(0, "MTI3LjAuMC4xOjE=", true,
                     R"({"key":"op/config","revision":1,"value":")" + encoded + "\"}");
  BOOST_TEST(store.refusedDocuments() == 1U);
}

struct LostHistoryCase {
  const char *Name;
  int Status;
  const char *Body;
  std::uint64_t Era;
};

// Guards against a watch that goes on from a revision which the store has lost and gives out again.
BOOST_AUTO_TEST_CASE(the_document_is_listed_again_after_the_store_has_lost_history) {
  const std::vector<LostHistoryCase> cases = {
      {"a newer era", 200, R"({"store_revision":1,"events":[]})", 2},
      {"a newer era, revision unknown", 410, "{}", 2},
      {"compacted", 410, "{}", 1},
      {"a lower revision of the same era", 200, R"({"store_revision":4,"events":[]})", 1},
  };
  for (const LostHistoryCase &it : cases) {
    ListingStore store(0, "MTI3LjAuMC4xOjE=", true);
    store.Era = 1;
    BOOST_TEST(countOf(store.callsWithin(ObservedTime), "/kv-range?prefix=op") == 1, it.Name);
    store.Era = it.Era;
    store.answerWatch(it.Status, it.Body, it.Era);
    BOOST_TEST(countOf(store.callsWithin(ObservedTime / 3), "/kv-range?prefix=op") >= 1, it.Name);
  }
}

BOOST_AUTO_TEST_CASE(starting_node_registers_only_if_few_roots_are_registered) {
  for (const int roots : {0, 1, 2, 3, 6}) {
    ListingStore store(roots);
    // Those that are registered do not respond, as after a restart of all nodes.
    const std::vector<std::string> paths = store.callsWithin(ObservedTime);
    BOOST_TEST(countOf(paths, "/kv-lease") == (roots < 3 ? 1 : 0), roots << " roots registered");
    BOOST_TEST(countOf(paths, "/kv-watch") <= 1, roots << " roots registered");
  }
}

BOOST_AUTO_TEST_CASE(odd_entries_among_the_registered_roots_are_passed_over) {
  // "[[[[[[", "1e999", "127.0.0.1:99999" and "localhost:80" in Base64.
  for (const char *value : {"W1tbW1tb", "MWU5OTk=", "MTI3LjAuMC4xOjk5OTk5", "bG9jYWxob3N0Ojgw"}) {
    ListingStore store(3, value);
    BOOST_TEST(countOf(store.callsWithin(ObservedTime), "/kv-lease") == 1, value);
  }
}

BOOST_AUTO_TEST_CASE(node_that_finds_only_unresponsive_roots_registers_in_the_end) {
  ListingStore store(6);
  BOOST_TEST(countOf(store.callsWithin(2 * ObservedTime), "/kv-lease") == 1);
}

BOOST_AUTO_TEST_CASE(malformed_messages_and_a_lack_of_descriptors_do_not_end_the_listener) {
  ListingStore store(std::nullopt);
  const int first = connectToRpc();
  BOOST_TEST(isConnectionHandled(first));
  const int waiting = socket(AF_INET, SOCK_STREAM, 0);
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  const rlimit lowered{static_cast<rlim_t>(waiting) + 1, limit.rlim_max};
  // No descriptor is left for the connection's other end.
  std::vector<int> filler;
  for (int fd = dup(waiting); fd >= 0 && fd <= waiting; fd = dup(waiting))
    filler.push_back(fd);
  BOOST_REQUIRE(setrlimit(RLIMIT_NOFILE, &lowered) == 0);
  const std::optional<SocketAddress> address = socketAddressOf(RpcAddress);
  BOOST_REQUIRE(connect(waiting, address->get(), static_cast<socklen_t>(address->Size)) == 0);
  usleep(200000);
  BOOST_REQUIRE(setrlimit(RLIMIT_NOFILE, &limit) == 0);
  for (const int fd : filler)
    close(fd);
  const int last = connectToRpc();
  BOOST_TEST(isConnectionHandled(last));
  for (const int fd : {first, waiting, last})
    close(fd);
}
