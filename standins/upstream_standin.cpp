/// @file upstream_standin.cpp Simulated upstream for tests and benchmarks. Answers every request
/// with JSON, counts the runs of each idempotency key, and can be made to fail, slow down, crash,
/// start cold or drain.
#include "event_util.h"
#include "settings.h"

#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <csignal>
#include <deque>
#include <iostream>
#include <list>
#include <map>
#include <random>

namespace {

using namespace jasmineloom;

const std::vector<SettingRow> SettingTable = {
    {"address", SettingType::Text, 1, 64, "127.0.0.1", "", "IP address to listen on"},
    {"port", SettingType::Number, 1, 65535, "9000", "port", "Port to listen on"},
    {"service", SettingType::Text, 1, 64, "lookups", "", "Service to announce to the node"},
    {"serves-version", SettingType::Text, 1, 64, "v1", "",
     "Version to announce to the node and to send in responses"},
    {"slots", SettingType::Number, 1, 1000, "12", "requests",
     "Concurrency limit to announce; requests above the limit count as overruns"},
    {"node", SettingType::Address, 1, 0, "127.0.0.1:8083", "",
     "Management address of the local node"},
    {"latency", SettingType::Number, 0, 60000, "2", "ms", "Processing time of a request"},
    {"slow-path", SettingType::Text, 0, 128, "", "", "Path prefix of requests with added latency"},
    {"slow-by", SettingType::Number, 0, 60000, "0", "ms",
     "Latency added to requests for slow-path"},
    {"fail-percent", SettingType::Number, 0, 100, "0", "percent",
     "Share of requests answered with status 500"},
    {"cold", SettingType::Number, 0, 60000, "0", "ms",
     "Time after the start during which requests take 10 ms longer"},
    {"born-offset", SettingType::Number, -60000, 60000, "0", "ms",
     "Time by which the clock of its host is ahead"},
    {"limit", SettingType::Text, 0, 4096, "", "",
     "Requests per second to name as the limit in responses; empty: none"},
    {"leaving", SettingType::Choice, 0, 0, "no", "", "State in responses that it leaves", "no,yes"},
    {"seed", SettingType::Number, 0, 1000000000, "1", "", "Seed of the random failures"},
    {"log-runs", SettingType::Choice, 0, 0, "no", "",
     "Print the idempotency key of each request when it starts, who sent it and for which "
     "workspace; "
     "and each request that holds an API key",
     "no,yes"},
};

constexpr int StatusMisdirected = 421;
constexpr DurationMs AnnouncePeriod = 1 * MsPerSecond;
constexpr DurationMs ColdStartLatency = 10;
/// Length of the window in which the most arrivals are counted.
constexpr DurationMs ArrivalWindow = 4 * MsPerSecond;

class UpstreamStandin {
public:
  UpstreamStandin(event_base *base, Settings values)
      : Base(base), Values(std::move(values)), Random(static_cast<unsigned>(Values.number("seed"))),
        AnnounceTimer(base, [this] { announce(); }), StartTime(wallClockMs()),
        Born(static_cast<TimeMs>(static_cast<long>(StartTime) + Values.number("born-offset"))) {
    Slots = Values.number("slots");
    announce();
  }

  void serve(evhttp_request *request) {
    const std::string path = evhttp_request_get_uri(request);
    if (path.rfind("/standin/", 0) == 0) {
      handleControl(request);
      return;
    }
    if (evhttp_find_header(evhttp_request_get_input_headers(request), "x-crash") != nullptr)
      std::_Exit(9);
    const char *instance =
        evhttp_find_header(evhttp_request_get_input_headers(request), "x-upstream-instance");
    if (instance != nullptr && instance != instanceID()) {
      evhttp_send_reply(request, StatusMisdirected, "Misdirected Request", nullptr);
      return;
    }
    recordArrival(wallClockMs());
    const char *caller =
        evhttp_find_header(evhttp_request_get_input_headers(request), "x-jasmine-caller");
    LastCaller = caller == nullptr ? "" : caller;
    MaxInFlight = std::max(MaxInFlight, ++InFlight);
    if (InFlight > Slots) {
      ++Overruns;
    }
    const bool logRuns = Values.text("log-runs") == "yes";
    if (logRuns && evhttp_find_header(evhttp_request_get_input_headers(request), "authorization"))
      std::cerr << "saw-key " + path + "\n";
    const char *key =
        evhttp_find_header(evhttp_request_get_input_headers(request), "idempotency-key");
    if (key != nullptr)
      ++RunsByKey[key];
    // Each line is one unbuffered write, so the run is logged even if the process is killed next.
    if (key != nullptr && logRuns) {
      const char *workspace =
          evhttp_find_header(evhttp_request_get_input_headers(request), "x-workspace");
      const char *origin =
          evhttp_find_header(evhttp_request_get_input_headers(request), "x-sent-to");
      std::cerr << "run " + std::string(key) + " " + Values.text("service") + " " + path + " " +
                       (LastCaller.empty() ? "none" : LastCaller) + " " +
                       (origin == nullptr ? "none 0" : origin) + " " +
                       std::to_string(wallClockMs()) + " " +
                       (workspace == nullptr ? "none" : workspace) + "\n";
    }
    ++RequestCount;
    scheduleReply(request, path);
  }

private:
  /// A request whose response is sent when its processing time has passed.
  struct PendingReply {
    evhttp_request *Request; ///< Null once the client has closed the connection.
    std::string Path;
    std::unique_ptr<Timer> ReplyTimer;
  };

  /// @returns the identity of this process, which requests name.
  std::string instanceID() const {
    return "upstream-" + Values.text("port") + "-" + std::to_string(Born);
  }

  void recordArrival(TimeMs now) {
    Arrivals.push_back(now);
    while (Arrivals.front() + ArrivalWindow <= now)
      Arrivals.pop_front();
    MostArrivals = std::max(MostArrivals, Arrivals.size());
  }

  void scheduleReply(evhttp_request *request, const std::string &path) {
    DurationMs latencyMs = static_cast<DurationMs>(Values.number("latency"));
    const std::string &slowPath = Values.text("slow-path");
    if (!slowPath.empty() && path.rfind(slowPath, 0) == 0)
      latencyMs += static_cast<DurationMs>(Values.number("slow-by"));
    if (wallClockMs() < StartTime + static_cast<TimeMs>(Values.number("cold")))
      latencyMs += ColdStartLatency;
    PendingReplies.push_back({request, path, nullptr});
    auto it = std::prev(PendingReplies.end());
    evhttp_connection_set_closecb(
        evhttp_request_get_connection(request),
        [](evhttp_connection *, void *arg) { static_cast<PendingReply *>(arg)->Request = nullptr; },
        &*it);
    if (latencyMs == 0) {
      sendReply(it);
      return;
    }
    it->ReplyTimer = std::make_unique<Timer>(Base, [this, it] { sendReply(it); });
    it->ReplyTimer->start(latencyMs);
  }

  void sendReply(std::list<PendingReply>::iterator pending) {
    --InFlight;
    evhttp_request *request = pending->Request;
    if (request != nullptr) {
      evhttp_connection_set_closecb(evhttp_request_get_connection(request), nullptr, nullptr);
      const bool fails = static_cast<long>(Random() % 100) < Values.number("fail-percent");
      const char *token =
          evhttp_find_header(evhttp_request_get_input_headers(request), "x-request-token");
      const EvBufferPtr buf = makeBuffer(
          std::string("{\"version\":\"") + Values.text("serves-version") + "\",\"path\":\"" +
          pending->Path + "\",\"token\":\"" + (token == nullptr ? "" : token) + "\"}\n");
      evhttp_add_header(evhttp_request_get_output_headers(request), "x-upstream-version",
                        Values.text("serves-version").c_str());
      if (!Values.text("limit").empty())
        evhttp_add_header(evhttp_request_get_output_headers(request), "x-upstream-limit",
                          Values.text("limit").c_str());
      if (Values.text("leaving") == "yes")
        evhttp_add_header(evhttp_request_get_output_headers(request), "x-upstream-leaving", "1");
      evhttp_send_reply(request, fails ? 500 : 200, fails ? "failed" : "OK", buf.get());
    }
    PendingReplies.erase(pending);
  }

  /// Serves /standin/...: set, drain, count, stats and keys.
  void handleControl(evhttp_request *request) {
    evkeyvalq query{};
    const evhttp_uri *uri = evhttp_request_get_evhttp_uri(request);
    const char *rawQuery = evhttp_uri_get_query(uri);
    evhttp_parse_query_str(rawQuery == nullptr ? "" : rawQuery, &query);
    const std::string path = evhttp_uri_get_path(uri);
    std::string body = "ok\n";
    if (path == "/standin/set") {
      for (const evkeyval *it = query.tqh_first; it != nullptr; it = it->next.tqe_next)
        Values.set(it->key, it->value);
    }
    if (path == "/standin/drain") {
      Draining = true;
      announce();
    }
    if (path == "/standin/count") {
      Arrivals.clear();
      MostArrivals = 0;
    }
    if (path == "/standin/stats") {
      long duplicated = 0;
      for (const auto &[key, n] : RunsByKey)
        duplicated += n > 1 ? 1 : 0;
      body = "total " + std::to_string(RequestCount) + "\nkeys " +
             std::to_string(RunsByKey.size()) + "\ndoubled " + std::to_string(duplicated) +
             "\nmost-in-flight " + std::to_string(MaxInFlight) + "\noverruns " +
             std::to_string(Overruns) + "\nmost-in-4s " + std::to_string(MostArrivals) +
             "\nlast-caller " + LastCaller + "\n";
    }
    if (path == "/standin/keys") {
      body.clear();
      for (const auto &[key, n] : RunsByKey)
        body += key + " " + std::to_string(n) + "\n";
    }
    evhttp_clear_headers(&query);
    const EvBufferPtr buf = makeBuffer(body);
    evhttp_send_reply(request, 200, "OK", buf.get());
  }

  void announce() {
    const absl::StatusOr<HostPort> nodeAddress = splitAddress(Values.text("node"));
    if (nodeAddress.ok()) {
      if (NodeConnection == nullptr) {
        NodeConnection =
            evhttp_connection_base_new(Base, nullptr, nodeAddress->Host.c_str(), nodeAddress->Port);
        evhttp_connection_set_timeout(NodeConnection, 2);
      }
      evhttp_request *request = evhttp_request_new([](evhttp_request *, void *) {}, nullptr);
      evhttp_add_header(evhttp_request_get_output_headers(request), "Host",
                        nodeAddress->Host.c_str());
      evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Length", "0");
      const std::string path =
          "/announce?service=" + Values.text("service") +
          "&version=" + Values.text("serves-version") + "&slots=" + std::to_string(Slots) +
          "&id=" + instanceID() + "&born=" + std::to_string(Born) +
          "&sequence=" + std::to_string(++Sequence) + "&address=" + Values.text("address") + ":" +
          Values.text("port") + (Draining ? "&draining=1" : "");
      evhttp_make_request(NodeConnection, request, EVHTTP_REQ_POST, path.c_str());
    }
    AnnounceTimer.start(AnnouncePeriod);
  }

  event_base *Base;
  Settings Values;
  std::mt19937_64 Random;
  Timer AnnounceTimer;
  TimeMs StartTime;
  TimeMs Born; ///< The start by the clock of its host.
  std::uint64_t Sequence = 0;
  std::string LastCaller; ///< Service named as the caller of the last request.
  evhttp_connection *NodeConnection = nullptr;
  std::list<PendingReply> PendingReplies;
  std::map<std::string, int> RunsByKey;
  std::deque<TimeMs> Arrivals; ///< Of the last ArrivalWindow.
  std::size_t MostArrivals =
      0; ///< Most arrivals in an ArrivalWindow since the last /standin/count.
  long Slots = 1;
  long InFlight = 0;
  long MaxInFlight = 0;
  long Overruns = 0;
  long RequestCount = 0;
  bool Draining = false;
};

} // namespace

int main(int argc, char **argv) {
  const auto startup =
      settingsAtStart("upstream_standin", "Stand-in for an upstream", SettingTable, argc, argv);
  if (const int *code = std::get_if<int>(&startup); code != nullptr)
    return *code;
  const auto &parsed = std::get<ParsedSettings>(startup);
  std::signal(SIGPIPE, SIG_IGN);
  const EventBasePtr base = makePreciseBase();
  UpstreamStandin upstream(base.get(), parsed.Values);
  evhttp *http = evhttp_new(base.get());
  evhttp_set_allowed_methods(http, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT |
                                       EVHTTP_REQ_DELETE | EVHTTP_REQ_HEAD | EVHTTP_REQ_PATCH);
  evhttp_set_gencb(
      http,
      [](evhttp_request *request, void *arg) {
        static_cast<UpstreamStandin *>(arg)->serve(request);
      },
      &upstream);
  if (evhttp_bind_socket(http, parsed.Values.text("address").c_str(),
                         static_cast<std::uint16_t>(parsed.Values.number("port"))) != 0) {
    std::cerr << "upstream_standin: cannot listen on " << parsed.Values.text("address") << ":"
              << parsed.Values.number("port") << "\n";
    return 1;
  }
  event_base_dispatch(base.get());
  return 0;
}
