/// @file jasmine_load.cpp Load generator: sends a mix of requests, checks that every response
/// belongs to its request, retries unanswered requests through other nodes, and compares the
/// reported outcomes with the runs that the simulated upstreams counted.
#include "event_util.h"
#include "http/http_pool.h"
#include "routing/outcome_type.h"
#include "settings.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <csignal>
#include <iostream>
#include <map>
#include <random>

namespace {

using namespace jasmineloom;

const std::vector<SettingRow> SettingTable = {
    {"targets", SettingType::Address, 1, 0, "127.0.0.1:8080", "",
     "Comma-separated ingress addresses"},
    {"mix", SettingType::Text, 1, 4096, "GET:/lookups:1", "",
     "Comma-separated request kinds METHOD:PATH:WEIGHT"},
    {"rate", SettingType::Number, 1, 1000000, "200", "1/s", "Request rate of the open loop"},
    {"seconds", SettingType::Number, 1, 86400, "10", "s", "Duration of the run"},
    {"connections", SettingType::Number, 0, 100000, "0", "connections",
     "Concurrent requests of the closed loop; 0: open loop"},
    {"distance", SettingType::Number, 0, 1000, "0", "ms",
     "Simulated one-way latency between caller and ingress"},
    {"upstreams", SettingType::Address, 0, 0, "", "",
     "Simulated upstreams whose runs are counted at the end"},
    {"resends", SettingType::Number, 0, 10, "2", "times",
     "Maximum number of retries of a request that was not answered"},
    {"timeout", SettingType::Number, 1, 600000, "5000", "ms", "Response timeout of an attempt"},
    {"seed", SettingType::Number, 0, 1000000000, "1", "",
     "Seed of the request mix and of the idempotency keys"},
    {"api-keys", SettingType::Text, 0, 4096, "", "",
     "API keys of the callers, comma-separated; requests take them in turn"},
    {"plain", SettingType::Choice, 0, 0, "no", "",
     "Accept responses without an outcome header, as upstreams send them when called directly",
     "no,yes"},
    {"outcomes", SettingType::Choice, 0, 0, "no", "",
     "Print the outcome of each idempotency key, and the API key sent with it", "no,yes"},
    {"versions", SettingType::Choice, 0, 0, "no", "",
     "Print the number of responses of each upstream version by second", "no,yes"},
};

constexpr std::size_t MaxResponseBytes = 1 << 20;
constexpr DurationMs RetryDelay = 100;
constexpr DurationMs DrainTimeout = 8 * MsPerSecond;

struct RequestKind {
  std::string Method;
  std::string Path;
  int Weight = 1;
};

/// A request with all its attempts.
struct Request {
  std::uint64_t Number = 0;
  const RequestKind *Kind = nullptr;
  std::string Key;    ///< Idempotency key, empty unless a POST.
  std::string ApiKey; ///< Empty: none is sent.
  std::uint32_t Attempts = 0;
  bool MayHaveRun = false;
  std::uint64_t ScheduledUs = 0; ///< Scheduled send time.
};

/// Outcome of a request with an idempotency key, and its runs at the upstreams.
struct KeyRecord {
  bool Answered = false;
  bool MayHaveRun = false;
  std::string ApiKey;
  long Runs = 0;
};

struct LoadTotals {
  std::uint64_t Sent = 0;
  std::uint64_t Answered = 0;
  std::uint64_t NotRun = 0;
  std::uint64_t Unknown = 0;
  std::uint64_t Failed = 0;  ///< Answered with a status of 500 or above.
  std::uint64_t Crossed = 0; ///< Responses without the token of their request.
  std::uint64_t Cut = 0;     ///< Timed out without a complete response.
  std::uint64_t Resent = 0;
  std::vector<double> LatencyUs;
};

class LoadGenerator {
public:
  LoadGenerator(event_base *base, Settings values)
      : Base(base), Values(std::move(values)), Pool(base, MaxResponseBytes),
        Random(static_cast<unsigned>(Values.number("seed"))), Targets(Values.list("targets")),
        ApiKeys(Values.list("api-keys")), SendTimer(base, [this] { sendDue(); }),
        EndTimer(base, [this] { collectRuns(); }) {
    for (const std::string &it : Values.list("mix")) {
      const std::vector<std::string> parts = absl::StrSplit(it, ':');
      RequestKind kind{parts.at(0), parts.at(1), 1};
      if (parts.size() > 2 && !absl::SimpleAtoi(parts[2], &kind.Weight))
        kind.Weight = 1;
      RequestKinds.push_back(kind);
    }
    for (std::size_t it = 0; it < RequestKinds.size(); ++it)
      WeightedKinds.insert(WeightedKinds.end(), static_cast<std::size_t>(RequestKinds[it].Weight),
                           it);
    StartUs = steadyClockUs();
    EndUs = StartUs + static_cast<std::uint64_t>(Values.number("seconds")) * 1000000;
  }

  void start() {
    EndTimer.start(static_cast<DurationMs>(Values.number("seconds")) * MsPerSecond + DrainTimeout);
    const long connections = Values.number("connections");
    for (long it = 0; it < connections; ++it)
      sendNew(steadyClockUs());
    if (connections == 0)
      sendDue();
  }

  /// Prints the totals as one JSON object.
  /// @returns the exit code: 1 if an outcome was wrong, or a request was cut or is still open.
  int report() {
    std::sort(Totals.LatencyUs.begin(), Totals.LatencyUs.end());
    std::uint64_t doubled = 0;
    std::uint64_t falselyNotRun = 0;
    std::uint64_t lost = 0;
    for (const auto &[key, record] : Keys) {
      doubled += record.Runs > 1 ? 1 : 0;
      falselyNotRun += !record.MayHaveRun && !record.Answered && record.Runs > 0 ? 1 : 0;
      lost += record.Answered && record.Runs == 0 && RunsComplete ? 1 : 0;
    }
    std::cout << absl::StreamFormat(
        "{\"sent\": %d, \"answered\": %d, \"notRun\": %d, \"unknown\": %d, \"failed\": %d, "
        "\"crossed\": %d, \"cut\": %d, \"open\": %d, \"resent\": %d, \"keys\": %d, \"doubled\": "
        "%d, \"falselyNotRun\": %d, \"lost\": %d, \"p50us\": %.0f, \"p99us\": %.0f, \"maxus\": "
        "%.0f}\n",
        Totals.Sent, Totals.Answered, Totals.NotRun, Totals.Unknown, Totals.Failed, Totals.Crossed,
        Totals.Cut, OpenRequests, Totals.Resent, Keys.size(), doubled, falselyNotRun, lost,
        quantile(0.5), quantile(0.99), quantile(1));
    if (Values.text("outcomes") == "yes") {
      for (const auto &[key, record] : Keys)
        std::cerr << "key " << key << " "
                  << (record.Answered     ? "answered"
                      : record.MayHaveRun ? "unknown"
                                          : "not-run")
                  << " " << (record.ApiKey.empty() ? "none" : record.ApiKey) << "\n";
    }
    if (Values.text("versions") == "yes") {
      for (const auto &[second, counts] : Versions) {
        std::cerr << absl::StreamFormat("%4d s", second);
        for (const auto &[version, n] : counts)
          std::cerr << "  " << version << " " << n;
        std::cerr << "\n";
      }
    }
    const bool passed = doubled == 0 && falselyNotRun == 0 && lost == 0 && Totals.Crossed == 0 &&
                        Totals.Cut == 0 && OpenRequests == 0;
    return passed ? 0 : 1;
  }

private:
  double quantile(double q) const {
    if (Totals.LatencyUs.empty())
      return 0;
    const auto last = static_cast<double>(Totals.LatencyUs.size() - 1);
    return Totals.LatencyUs[static_cast<std::size_t>(q * last)];
  }

  /// Sends all requests that are due. A request sent late keeps its scheduled time, so its latency
  /// includes the delay.
  void sendDue() {
    const std::uint64_t now = steadyClockUs();
    const double rate = static_cast<double>(Values.number("rate"));
    for (;;) {
      const auto due =
          StartUs + static_cast<std::uint64_t>(1e6 * static_cast<double>(Totals.Sent) / rate);
      if (due > now || due >= EndUs)
        break;
      sendNew(due);
    }
    if (now < EndUs)
      SendTimer.start(1);
  }

  void sendNew(std::uint64_t scheduledUs) {
    auto request = std::make_shared<Request>();
    request->Number = ++Totals.Sent;
    request->Kind = &RequestKinds[WeightedKinds[Random() % WeightedKinds.size()]];
    request->ScheduledUs = scheduledUs;
    // Each key is sent to each target.
    if (!ApiKeys.empty())
      request->ApiKey = ApiKeys[request->Number / Targets.size() % ApiKeys.size()];
    if (request->Kind->Method == "POST") {
      request->Key = absl::StrCat("load-", Values.number("seed"), "-", request->Number);
      Keys[request->Key].ApiKey = request->ApiKey;
    }
    ++OpenRequests;
    runAfter(static_cast<DurationMs>(Values.number("distance")),
             [this, request] { sendAttempt(request); });
  }

  void runAfter(DurationMs delay, std::function<void()> action) {
    if (delay == 0) {
      action();
      return;
    }
    auto *timer = new std::unique_ptr<Timer>();
    *timer = std::make_unique<Timer>(Base, [this, timer, action = std::move(action)] {
      // The action may clear ExpiredTimers, which destroys this closure: run a copy of it.
      const auto actionCopy = action;
      ExpiredTimers.emplace_back(std::move(*timer));
      delete timer;
      actionCopy();
    });
    (*timer)->start(delay);
  }

  void sendAttempt(const std::shared_ptr<Request> &request) {
    ExpiredTimers.clear();
    ++request->Attempts;
    HttpCall call;
    call.Method = request->Kind->Method == "POST" ? EVHTTP_REQ_POST : EVHTTP_REQ_GET;
    call.Path = absl::StrCat(request->Kind->Path, "/", request->Number);
    call.Timeout = static_cast<DurationMs>(Values.number("timeout"));
    const std::string &target = Targets[(request->Number + request->Attempts) % Targets.size()];
    call.Headers = {{"x-request-token", absl::StrCat(request->Number)},
                    {"x-sent-to", absl::StrCat(target, " ", wallClockMs())}};
    if (!request->ApiKey.empty())
      call.Headers.push_back({"authorization", "Bearer " + request->ApiKey});
    if (!request->Key.empty()) {
      call.Headers.push_back({header::Key, request->Key});
      call.Body = makeBuffer("{\"amount\": 1}");
    }
    Pool.call(target, std::move(call), [this, request](HttpResult result) {
      auto shared = std::make_shared<HttpResult>(std::move(result));
      runAfter(static_cast<DurationMs>(Values.number("distance")),
               [this, request, shared] { onResponse(request, *shared); });
    });
  }

  void onResponse(const std::shared_ptr<Request> &request, const HttpResult &result) {
    const std::string *outcome = findHeader(result.Headers, header::Outcome);
    const bool plain = Values.text("plain") == "yes";
    const bool complete = result.Complete && (outcome != nullptr || plain);
    if (complete && (plain || *outcome == nameOf(Outcome::Answered))) {
      recordResponse(*request, result);
      finishRequest();
      return;
    }
    const bool notRun = complete ? *outcome == nameOf(Outcome::NotRun) : !result.BytesSent;
    request->MayHaveRun |= !notRun;
    const bool retry = request->Attempts <= static_cast<std::uint32_t>(Values.number("resends"));
    if (retry) {
      ++Totals.Resent;
      runAfter(RetryDelay, [this, request] { sendAttempt(request); });
      return;
    }
    if (!request->Key.empty())
      Keys[request->Key].MayHaveRun = request->MayHaveRun;
    if (!complete && result.TimedOut)
      ++Totals.Cut;
    ++(request->MayHaveRun ? Totals.Unknown : Totals.NotRun);
    finishRequest();
  }

  void recordResponse(const Request &request, const HttpResult &result) {
    ++Totals.Answered;
    Totals.Failed += result.Status >= 500 ? 1 : 0;
    Totals.LatencyUs.push_back(static_cast<double>(steadyClockUs() - request.ScheduledUs));
    const std::string body = textOf(result.Body.get());
    const bool tokenMatches =
        body.find(absl::StrCat("\"token\":\"", request.Number, "\"}")) != std::string::npos;
    Totals.Crossed += tokenMatches ? 0 : 1;
    if (!tokenMatches)
      std::cerr << absl::StrCat("crossed ", request.Kind->Path, "/", request.Number, ": status ",
                                result.Status, ", body ", body, "\n");
    if (!request.Key.empty())
      Keys[request.Key].Answered = true;
    const std::string *version = findHeader(result.Headers, "x-upstream-version");
    if (version != nullptr)
      ++Versions[static_cast<int>((steadyClockUs() - StartUs) / 1000000)][*version];
  }

  void finishRequest() {
    --OpenRequests;
    const std::uint64_t now = steadyClockUs();
    if (Values.number("connections") > 0 && now < EndUs)
      sendNew(now);
    if (OpenRequests == 0 && steadyClockUs() >= EndUs)
      collectRuns();
  }

  /// Fetches the runs of each key from the upstreams, then stops the event loop.
  void collectRuns() {
    if (Collecting)
      return;
    Collecting = true;
    const std::vector<std::string> upstreams = Values.list("upstreams");
    PendingReports = upstreams.size();
    if (upstreams.empty())
      event_base_loopbreak(Base);
    for (const std::string &upstream : upstreams) {
      HttpCall call;
      call.Path = "/standin/keys";
      call.Timeout = 2 * MsPerSecond;
      RunsComplete = true;
      Pool.call(upstream, std::move(call), [this](const HttpResult &result) {
        if (result.Complete)
          recordRuns(textOf(result.Body.get()));
        else
          RunsComplete = false;
        if (--PendingReports == 0)
          event_base_loopbreak(Base);
      });
    }
  }

  void recordRuns(const std::string &text) {
    for (const absl::string_view line : absl::StrSplit(text, '\n', absl::SkipEmpty())) {
      const std::vector<std::string> parts = absl::StrSplit(line, ' ');
      long n = 0;
      const auto it = Keys.find(parts.front());
      if (it != Keys.end() && absl::SimpleAtoi(parts.back(), &n))
        it->second.Runs += n;
    }
  }

  event_base *Base;
  Settings Values;
  HttpPool Pool;
  std::mt19937_64 Random;
  std::vector<std::string> Targets;
  std::vector<std::string> ApiKeys;
  std::vector<RequestKind> RequestKinds;
  std::vector<std::size_t> WeightedKinds;
  std::map<std::string, KeyRecord> Keys;
  std::map<int, std::map<std::string, long>> Versions;
  std::vector<std::unique_ptr<Timer>> ExpiredTimers;
  LoadTotals Totals;
  std::uint64_t StartUs = 0;
  std::uint64_t EndUs = 0;
  long OpenRequests = 0;
  bool Collecting = false;
  bool RunsComplete = false;
  std::size_t PendingReports = 0;
  Timer SendTimer;
  Timer EndTimer;
};

} // namespace

int main(int argc, char **argv) {
  const auto startup = settingsAtStart("jasmine_load", "Load generator", SettingTable, argc, argv);
  if (const int *code = std::get_if<int>(&startup); code != nullptr)
    return *code;
  const auto &parsed = std::get<ParsedSettings>(startup);
  std::signal(SIGPIPE, SIG_IGN);
  const EventBasePtr base = makePreciseBase();
  LoadGenerator run(base.get(), parsed.Values);
  run.start();
  event_base_loop(base.get(), EVLOOP_NO_EXIT_ON_EMPTY);
  return run.report();
}
