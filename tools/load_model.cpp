/// @file load_model.cpp Discrete-event simulation of a mesh under load.
#include "load_model.h"

#include "admission/gate_base.h"
#include "balance/placement.h"
#include "traffic/retry_rule.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <numbers>
#include <queue>
#include <random>

namespace jasmineloom {

namespace {

using TimeUs = std::uint64_t;

constexpr double UsPerMs = 1000;
constexpr double UsPerSecond = 1e6;
/// Virtual time at the start. The decision modules use 0 for "never".
constexpr TimeUs Epoch = 1000000000;
constexpr DurationMs QueueCheckPeriod = 20;
constexpr DurationMs ColdTime = 3 * MsPerSecond;
constexpr double ColdFactor = 2;
/// Time until the nodes know that a host is gone.
constexpr double GoneNoticeSeconds = 1;
constexpr DurationMs LostHostTimeout = 300;
constexpr double RetrySlack = 600;
constexpr DurationMs MinRetryAfter = 100;

TimeMs toMs(TimeUs time) { return time / 1000; }
TimeUs toUs(double ms) { return static_cast<TimeUs>(ms * UsPerMs); }

struct Request;

/// A host: an ingress, a gate and an upstream.
struct Host {
  std::size_t Index = 0;
  std::size_t Service = 0;
  std::uint32_t DataCentre = 0;
  double Speed = 1;
  double SlowFactor = 1;
  double NoiseFactor = 1;
  TimeUs NoiseUntil = 0;
  double ShedShare = 0;
  TimeUs ColdUntil = 0;
  bool Gone = false;
  Gate Admission;
  EndpointStats Stats;
  std::vector<RetryBudget> Budgets; ///< By service.
  std::map<GateTicket, std::shared_ptr<Request>> AtGate;
  bool TickPending = false;
  double BusyUs = 0; ///< Slot time used.
};

/// A request at an ingress, of a caller or of an upstream.
struct Request {
  const ModelRoute *Route = nullptr;
  std::size_t Service = 0;
  Host *Ingress = nullptr;
  Host *Target = nullptr;
  TimeUs SentAt = 0; ///< By the caller, at its first attempt.
  TimeUs ArrivedAt = 0;
  TimeUs Deadline = 0;
  std::uint64_t Draw = 0;
  EndpointSearch Search;
  std::uint32_t Attempts = 0;
  std::uint32_t UpstreamsReached = 0;
  std::uint32_t OverloadRefusals = 0;
  std::uint32_t Executions = 0;
  std::uint32_t CallerRetries = 0;
  std::uint32_t CallsLeft = 0;
  bool CallFailed = false;
  DurationMs RetryAfter = 0;
  TimeUs StartedAt = 0; ///< At the upstream.
  /// Called once with the final result at the ingress.
  std::function<void(AttemptResult)> Done;
};
using RequestPtr = std::shared_ptr<Request>;

class LoadModel {
public:
  explicit LoadModel(const ModelSettings &settings)
      : Settings(settings), Random(settings.Seed), Now(Epoch) {
    createHosts();
    createViews();
    Result.Seconds.resize(static_cast<std::size_t>(std::ceil(settings.Seconds)));
    Latencies.resize(settings.Routes.size());
    Refusals.resize(settings.Routes.size());
  }

  ModelResult play(const std::function<void(double)> &progress) {
    for (const ModelRoute &route : Settings.Routes) {
      if (route.PerSecond > 0)
        scheduleArrival(route);
    }
    for (const ModelTrouble &trouble : Settings.Troubles)
      scheduleTrouble(trouble);
    double played = 0;
    while (!Events.empty()) {
      const Event event = Events.top();
      Events.pop();
      Now = event.At;
      event.Action();
      const double seconds = static_cast<double>(Now - Epoch) / UsPerSecond;
      if (progress && seconds >= played + 1)
        progress(played = std::floor(seconds));
    }
    summarise();
    return std::move(Result);
  }

private:
  struct Event {
    TimeUs At = 0;
    std::uint64_t Number = 0;
    std::function<void()> Action;
    bool operator<(const Event &other) const {
      return At != other.At ? At > other.At : Number > other.Number;
    }
  };

  // --- Set-up ---

  void createHosts() {
    std::uint32_t next = 0;
    for (std::size_t n = 0; n < Settings.Services.size(); ++n) {
      const ModelService &service = Settings.Services[n];
      for (std::uint32_t it = 0; it < service.Hosts; ++it) {
        auto host = std::make_unique<Host>();
        host->Index = Hosts.size();
        host->Service = n;
        host->DataCentre = next++ % Settings.DataCentres;
        host->Speed = service.Speeds[it % service.Speeds.size()];
        host->Admission.setUpstream(
            {ServiceName(service.Name), VersionLabel("v1"), service.Slots, "u" + idOf(*host)});
        Hosts.push_back(std::move(host));
      }
    }
    for (const auto &host : Hosts)
      host->Budgets.assign(Settings.Services.size(),
                           RetryBudget(maxRetryTokens(RetrySlack, Hosts.size())));
  }

  static std::string idOf(const Host &host) { return "h" + std::to_string(host.Index); }

  /// Builds the views of all data centres, without the hosts that are known to be gone.
  void createViews() {
    Views.assign(Settings.DataCentres, {});
    for (std::uint32_t dc = 0; dc < Settings.DataCentres; ++dc) {
      for (const ModelService &service : Settings.Services) {
        ServiceView view;
        view.Name = ServiceName(service.Name);
        view.Version = VersionLabel("v1");
        Views[dc].push_back(std::move(view));
      }
      for (const auto &host : Hosts) {
        if (host->Gone)
          continue;
        Views[dc][host->Service].add({HostID(idOf(*host)), "", VersionLabel("v1"),
                                      Settings.Services[host->Service].Slots,
                                      host->DataCentre == dc, 0, host->Admission.upstream().ID});
      }
    }
    for (const auto &host : Hosts) {
      for (const ServiceView &view : Views[host->DataCentre]) {
        for (const Endpoint &endpoint : view.Endpoints)
          host->Stats.recordSeen(endpoint, toMs(Now));
      }
    }
  }

  void at(TimeUs time, std::function<void()> action) {
    Events.push({std::max(time, Now), ++EventCount, std::move(action)});
  }
  void after(double ms, std::function<void()> action) { at(Now + toUs(ms), std::move(action)); }
  double uniform() { return std::uniform_real_distribution<>(0, 1)(Random); }

  std::size_t serviceNamed(const std::string &name) const {
    const auto it =
        std::find_if(Settings.Services.begin(), Settings.Services.end(),
                     [&name](const ModelService &service) { return service.Name == name; });
    return static_cast<std::size_t>(it - Settings.Services.begin());
  }

  const ModelRoute *routeNamed(const std::string &name) const {
    const auto it = std::find_if(Settings.Routes.begin(), Settings.Routes.end(),
                                 [&name](const ModelRoute &route) { return route.Name == name; });
    return it == Settings.Routes.end() ? nullptr : &*it;
  }

  // --- Troubles ---

  void scheduleTrouble(const ModelTrouble &trouble) {
    at(Epoch + static_cast<TimeUs>(trouble.At * UsPerSecond), [this, &trouble] { begin(trouble); });
  }

  void begin(const ModelTrouble &trouble) {
    if (trouble.Kind == ModelTroubleKind::Burst) {
      LoadFactor = trouble.Factor;
      after(trouble.For * MsPerSecond, [this] { LoadFactor = 1; });
      return;
    }
    std::vector<Host *> hosts;
    for (const auto &host : Hosts) {
      if (trouble.Service.empty() || Settings.Services[host->Service].Name == trouble.Service)
        hosts.push_back(host.get());
    }
    std::shuffle(hosts.begin(), hosts.end(), Random);
    hosts.resize(static_cast<std::size_t>(trouble.Share * static_cast<double>(hosts.size())));
    for (Host *host : hosts)
      begin(trouble, *host);
    if (trouble.Kind == ModelTroubleKind::Gone)
      after(GoneNoticeSeconds * MsPerSecond, [this] { createViews(); });
  }

  void begin(const ModelTrouble &trouble, Host &host) {
    switch (trouble.Kind) {
    case ModelTroubleKind::Slow:
      host.SlowFactor = trouble.Factor;
      after(trouble.For * MsPerSecond, [&host] { host.SlowFactor = 1; });
      break;
    case ModelTroubleKind::Shed:
      host.ShedShare = trouble.Factor;
      after(trouble.For * MsPerSecond, [&host] { host.ShedShare = 0; });
      break;
    case ModelTroubleKind::Cold:
      host.ColdUntil = Now + toUs(ColdTime);
      break;
    case ModelTroubleKind::Gone:
      host.Gone = true;
      break;
    case ModelTroubleKind::Burst:
      break;
    }
  }

  // --- Callers ---

  void scheduleArrival(const ModelRoute &route) {
    const double seconds = static_cast<double>(Now - Epoch) / UsPerSecond;
    const double wave =
        1 + Settings.WaveSwing * std::sin(2 * std::numbers::pi * seconds / Settings.WaveSeconds);
    const double gapMs =
        std::exponential_distribution<>(route.PerSecond * LoadFactor * wave / MsPerSecond)(Random);
    const TimeUs time = Now + toUs(gapMs);
    if (time >= Epoch + static_cast<TimeUs>(Settings.Seconds * UsPerSecond))
      return;
    at(time, [this, &route] {
      sendOfCaller(route, Now, 0);
      scheduleArrival(route);
    });
  }

  void sendOfCaller(const ModelRoute &route, TimeUs firstSent, std::uint32_t retries) {
    Host *ingress = Hosts[Random() % Hosts.size()].get();
    while (ingress->Gone)
      ingress = Hosts[Random() % Hosts.size()].get();
    auto request =
        makeRequest(route, *ingress, firstSent + toUs(static_cast<double>(route.Deadline)));
    request->SentAt = firstSent;
    request->CallerRetries = retries;
    request->Done = [this, request = request.get()](AttemptResult result) {
      finishOfCaller(*request, result);
    };
    startAttempt(request);
  }

  RequestPtr makeRequest(const ModelRoute &route, Host &ingress, TimeUs deadline) {
    auto request = std::make_shared<Request>();
    request->Route = &route;
    request->Service = serviceNamed(route.Service);
    request->Ingress = &ingress;
    request->SentAt = Now;
    request->ArrivedAt = Now;
    request->Deadline = deadline;
    request->Draw = Random();
    ingress.Budgets[request->Service].deposit();
    return request;
  }

  void finishOfCaller(const Request &request, AttemptResult result) {
    const ModelRoute &route = *request.Route;
    const double elapsedMs = static_cast<double>(Now - request.SentAt) / UsPerMs;
    if (result == AttemptResult::NotRun) {
      const double waitMs =
          static_cast<double>(std::max(request.RetryAfter, MinRetryAfter)) * (1 + uniform());
      const double leftMs = static_cast<double>(route.Deadline) - elapsedMs;
      if (request.CallerRetries < route.Retries && waitMs < leftMs / 3) {
        after(waitMs, [this, &route, sent = request.SentAt, n = request.CallerRetries + 1] {
          sendOfCaller(route, sent, n);
        });
        return;
      }
    }
    const double sentAt = static_cast<double>(request.SentAt - Epoch) / UsPerSecond;
    count(Result.Seconds[static_cast<std::size_t>(sentAt)], route, result, elapsedMs);
    if (sentAt < Settings.WarmUpSeconds)
      return;
    const auto index = static_cast<std::size_t>(&route - Settings.Routes.data());
    count(ByRoute[index], route, result, elapsedMs);
    count(Result.Total, route, result, elapsedMs);
    WorthSent += route.Worth;
    if (result == AttemptResult::Answered) {
      const bool late = elapsedMs > static_cast<double>(route.Objective);
      WorthEarned += route.Worth * (late ? route.LateShare : 1);
      Latencies[index].push_back(elapsedMs);
      WorthInTime += elapsedMs <= static_cast<double>(route.Objective) ? route.Worth : 0;
    } else if (result == AttemptResult::NotRun) {
      Refusals[index].push_back(static_cast<double>(Now - request.ArrivedAt) / UsPerMs);
    }
  }

  static void count(ModelCounts &counts, const ModelRoute &route, AttemptResult result,
                    double elapsedMs) {
    ++counts.Sent;
    if (result == AttemptResult::NotRun)
      ++counts.Refused;
    else if (result == AttemptResult::Unknown)
      ++counts.Failed;
    else if (elapsedMs <= static_cast<double>(route.Objective))
      ++counts.InTime;
    else
      ++counts.Late;
  }

  // --- Ingress ---

  void startAttempt(const RequestPtr &request) {
    if (Now >= request->Deadline) {
      finish(*request, request->Executions > 0 ? AttemptResult::Unknown : AttemptResult::NotRun);
      return;
    }
    Host *target = choose(*request);
    if (target == nullptr) {
      finish(*request, AttemptResult::NotRun);
      return;
    }
    ++request->Attempts;
    request->Target = target;
    Host &ingress = *request->Ingress;
    ingress.Stats.recordSent(HostID(idOf(*target)));
    ++Result.Attempts;
    Result.Remote += target->DataCentre != ingress.DataCentre ? 1 : 0;
    if (target->Gone) {
      after(LostHostTimeout, [this, request] { receiveNotRun(request, Refusal::Transport, 0); });
      return;
    }
    after(delayMs(*request), [this, request] { arriveAtGate(request); });
  }

  double delayMs(const Request &request) const {
    return request.Target->DataCentre == request.Ingress->DataCentre ? Settings.LocalDelayMs
                                                                     : Settings.RemoteDelayMs;
  }

  Host *choose(Request &request) {
    Host &ingress = *request.Ingress;
    const ServiceView &view = Views[ingress.DataCentre][request.Service];
    if (Settings.Placement == ModelPlacement::Oracle)
      return chooseAsOracle(request);
    if (Settings.Placement == ModelPlacement::Random) {
      request.Search.MayQueue = true;
      const Endpoint &endpoint = view.Endpoints[Random() % view.Endpoints.size()];
      return request.Attempts > 0 ? nullptr : hostOf(endpoint);
    }
    const TimeMs objectiveAt = toMs(request.SentAt) + request.Route->Objective;
    const TimeMs now = toMs(Now);
    const PlacementRequest attributes{request.Draw, objectiveAt > now ? objectiveAt - now : 0, {}};
    const Endpoint *endpoint =
        nextEndpoint(request.Search, view, attributes, ingress.Stats, Random, now);
    return endpoint == nullptr ? nullptr : hostOf(*endpoint);
  }

  Host *hostOf(const Endpoint &endpoint) const {
    return Hosts[std::stoul(endpoint.Host.str().substr(1))].get();
  }

  /// @returns the present increase of a host's service time by other work on it.
  double noiseFactor(Host &host) {
    const ModelService &service = Settings.Services[host.Service];
    if (service.NoiseShare == 0)
      return 1;
    if (Now >= host.NoiseUntil) {
      host.NoiseUntil = Now + toUs(service.NoisePeriodMs * 2 * uniform());
      host.NoiseFactor = uniform() < service.NoiseShare ? service.NoiseFactor : 1;
    }
    return host.NoiseFactor;
  }

  double serviceFactor(Host &host) {
    const double use = static_cast<double>(host.Admission.inFlight()) /
                       static_cast<double>(Settings.Services[host.Service].Slots);
    return host.SlowFactor * noiseFactor(host) * (Now < host.ColdUntil ? ColdFactor : 1) /
           host.Speed * (1 + Settings.FullSlowdown * use * use);
  }

  Host *chooseAsOracle(Request &request) {
    request.Search.MayQueue = true;
    Host *best = nullptr;
    double bestMs = 0;
    bool bestHasRoom = false;
    for (const auto &host : Hosts) {
      if (host->Gone || host->Service != request.Service ||
          request.Search.Tried.contains(HostID(idOf(*host))))
        continue;
      const std::uint32_t slots = Settings.Services[host->Service].Slots;
      const auto held = static_cast<double>(host->Admission.inFlight() + host->Admission.queued());
      const bool hasRoom = host->Admission.queued() < host->Admission.queueCapacity();
      const double ahead = std::max(0.0, held + 1 - slots);
      const double ms =
          request.Route->WorkMs * serviceFactor(*host) * (1 + ahead / slots) +
          2 * (host->DataCentre == request.Ingress->DataCentre ? Settings.LocalDelayMs
                                                               : Settings.RemoteDelayMs);
      if (best == nullptr || (hasRoom && !bestHasRoom) || (hasRoom == bestHasRoom && ms < bestMs)) {
        best = host.get();
        bestMs = ms;
        bestHasRoom = hasRoom;
      }
    }
    return best;
  }

  void finish(Request &request, AttemptResult result) {
    const auto done = std::move(request.Done);
    done(result);
  }

  void receiveReport(Request &request, const LoadReport &report) {
    const HostID host(idOf(*request.Target));
    request.Ingress->Stats.recordDone(host);
    request.Ingress->Stats.recordLoad(host, report, toMs(Now));
    request.Ingress->Stats.recordReachable(host);
  }

  void receiveNotRun(const RequestPtr &request, Refusal reason, DurationMs retryAfter) {
    const HostID host(idOf(*request->Target));
    request->Search.Tried.insert(host);
    if (reason == Refusal::Transport) {
      request->Ingress->Stats.recordDone(host);
      request->Ingress->Stats.recordUnreachable(host, {}, toMs(Now));
    }
    if (reason == Refusal::Busy)
      request->Search.Busy.insert(host);
    if (retryAfter != 0)
      request->RetryAfter =
          request->RetryAfter == 0 ? retryAfter : std::min(request->RetryAfter, retryAfter);
    request->OverloadRefusals += reason == Refusal::Overloaded ? 1 : 0;
    request->UpstreamsReached += reason == Refusal::NotTaken ? 1 : 0;
    const bool final = request->OverloadRefusals >= MaxOverloadRefusals ||
                       !mayRetry(*request, AttemptResult::NotRun);
    if (final)
      finish(*request, AttemptResult::NotRun);
    else
      startAttempt(request);
  }

  bool mayRetry(Request &request, AttemptResult result) {
    if (decideRetry(result, request.Route->Idempotent, true, request.Attempts,
                    toMs(request.Deadline), toMs(Now)) != RetryDecision::Retry)
      return false;
    return request.UpstreamsReached == 0 || request.Ingress->Budgets[request.Service].tryWithdraw();
  }

  // --- Gate and upstream ---

  LoadReport reportOf(Host &host) {
    const ModelService &service = Settings.Services[host.Service];
    if (service.NoiseShare > 0)
      host.Admission.recordPace(static_cast<std::uint32_t>(100 * noiseFactor(host)), toMs(Now));
    return {host.Admission.inFlight(), static_cast<std::uint32_t>(host.Admission.queued()),
            static_cast<std::uint32_t>(host.Admission.presentServiceMs(toMs(Now))),
            host.Admission.failurePerMille()};
  }

  void sendRefusal(const RequestPtr &request, Refusal reason, DurationMs retryAfter) {
    Result.Busy += reason == Refusal::Busy ? 1 : 0;
    Result.Overloaded += reason == Refusal::Overloaded ? 1 : 0;
    after(delayMs(*request),
          [this, request, reason, retryAfter, report = reportOf(*request->Target)] {
            receiveReport(*request, report);
            receiveNotRun(request, reason, retryAfter);
          });
  }

  void arriveAtGate(const RequestPtr &request) {
    Host &host = *request->Target;
    const ModelRoute &route = *request->Route;
    GateRequest entry;
    entry.Ticket = ++LastTicket;
    entry.Service = host.Admission.upstream().Service;
    entry.Version = host.Admission.upstream().Version;
    entry.Worth = route.Worth;
    entry.Deadline = toMs(request->Deadline);
    entry.Fingerprint = entry.Ticket;
    entry.MayQueue = request->Search.MayQueue;
    entry.ObjectiveAt = toMs(request->SentAt) + route.Objective;
    entry.Route = RouteName(route.Name);
    const AdmissionResult admitted = host.Admission.admit(entry, toMs(Now));
    if (admitted.Evicted.has_value())
      refuseAtGate(host, *admitted.Evicted, Refusal::Overloaded);
    if (admitted.Result == Admission::Refused) {
      sendRefusal(request, admitted.Reason, admitted.RetryAfter);
      return;
    }
    host.AtGate.emplace(entry.Ticket, request);
    if (admitted.Result == Admission::Run)
      execute(host, entry.Ticket);
    else
      scheduleTick(host);
  }

  void refuseAtGate(Host &host, GateTicket ticket, Refusal reason) {
    const RequestPtr request = host.AtGate.at(ticket);
    host.AtGate.erase(ticket);
    sendRefusal(request, reason, 0);
  }

  void release(Host &host, const DequeueResult &released) {
    for (const ExcludedRequest &it : released.Excluded)
      refuseAtGate(host, it.Ticket, it.Reason);
    for (const GateTicket ticket : released.Expired)
      refuseAtGate(host, ticket, Refusal::Deadline);
    for (const GateTicket ticket : released.Run)
      execute(host, ticket);
  }

  void scheduleTick(Host &host) {
    if (host.TickPending)
      return;
    host.TickPending = true;
    after(QueueCheckPeriod, [this, &host] {
      host.TickPending = false;
      release(host, host.Admission.tick(toMs(Now)));
      if (host.Admission.queued() > 0)
        scheduleTick(host);
    });
  }

  void execute(Host &host, GateTicket ticket) {
    const RequestPtr request = host.AtGate.at(ticket);
    const ModelRoute &route = *request->Route;
    if (uniform() < host.ShedShare) {
      ++Result.TurnedAway;
      host.Admission.recordResult(true);
      host.AtGate.erase(ticket);
      sendRefusal(request, Refusal::NotTaken, 0);
      release(host, host.Admission.finish(toMs(Now)));
      return;
    }
    ++Result.Executions;
    ++request->UpstreamsReached;
    if (request->Executions++ > 0) {
      ++Result.Repeated;
      Result.RepeatedUnsafe += route.Idempotent ? 0 : 1;
    }
    request->StartedAt = Now;
    request->CallFailed = false;
    request->CallsLeft = !route.Calls.empty() && uniform() < route.CallShare ? route.CallTimes : 0;
    // The mean of a lognormal variable is exp(mu + sigma^2 / 2).
    const double mu = std::log(route.WorkMs) - route.Spread * route.Spread / 2;
    const double workMs = std::lognormal_distribution<>(mu, route.Spread)(Random);
    after(workMs * serviceFactor(host),
          [this, &host, ticket, request] { callNext(host, ticket, request); });
  }

  /// Makes the calls of a running request one after the other, and then ends it.
  void callNext(Host &host, GateTicket ticket, const RequestPtr &request) {
    if (request->CallsLeft == 0 || Now >= request->Deadline || host.Gone) {
      complete(host, ticket, request);
      return;
    }
    --request->CallsLeft;
    const ModelRoute &route = *routeNamed(request->Route->Calls);
    const TimeUs deadline =
        std::min(request->Deadline, Now + toUs(static_cast<double>(route.Deadline)));
    const RequestPtr call = makeRequest(route, host, deadline);
    call->Done = [this, &host, ticket, request](AttemptResult result) {
      if (result != AttemptResult::Answered) {
        request->CallsLeft = 0;
        request->CallFailed = true;
      }
      callNext(host, ticket, request);
    };
    startAttempt(call);
  }

  void complete(Host &host, GateTicket ticket, const RequestPtr &request) {
    const double busyUs = static_cast<double>(Now - request->StartedAt);
    host.BusyUs += busyUs;
    host.AtGate.erase(ticket);
    host.Admission.recordServiceTime(RouteName(request->Route->Name),
                                     static_cast<DurationMs>(busyUs / UsPerMs));
    host.Admission.recordResult(false);
    const LoadReport report = reportOf(host);
    release(host, host.Admission.finish(toMs(Now)));
    if (host.Gone || Now >= request->Deadline) {
      finish(*request, AttemptResult::Unknown);
      return;
    }
    after(delayMs(*request), [this, request, report] {
      receiveReport(*request, report);
      finish(*request, request->CallFailed ? AttemptResult::Unknown : AttemptResult::Answered);
    });
  }

  // --- Results ---

  static double quantile(std::vector<double> &values, double share) {
    if (values.empty())
      return 0;
    const auto n = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(n), values.end());
    return values[n];
  }

  void summarise() {
    for (auto &[index, counts] : ByRoute)
      Result.Routes.push_back({Settings.Routes[index].Name, counts, quantile(Latencies[index], 0.5),
                               quantile(Latencies[index], 0.99), quantile(Refusals[index], 0.5)});
    Result.WorthEarned = WorthSent == 0 ? 1 : WorthEarned / WorthSent;
    Result.WorthInTime = WorthSent == 0 ? 1 : WorthInTime / WorthSent;
    double used = 0;
    double slots = 0;
    double busiest = 0;
    double sum = 0;
    double hosts = 0;
    for (const auto &host : Hosts) {
      used += host->BusyUs;
      slots += Settings.Services[host->Service].Slots;
      if (host->Service != 0)
        continue;
      busiest = std::max(busiest, host->BusyUs);
      sum += host->BusyUs;
      ++hosts;
    }
    Result.SlotUse = used / (slots * Settings.Seconds * UsPerSecond);
    Result.BusiestOverMean = sum == 0 ? 0 : busiest * hosts / sum;
  }

  const ModelSettings &Settings;
  std::mt19937_64 Random;
  TimeUs Now;
  std::uint64_t EventCount = 0;
  std::priority_queue<Event> Events;
  std::vector<std::unique_ptr<Host>> Hosts;
  std::vector<std::vector<ServiceView>> Views; ///< By data centre and service.
  GateTicket LastTicket = 0;
  double LoadFactor = 1;
  ModelResult Result;
  std::map<std::size_t, ModelCounts> ByRoute;
  std::vector<std::vector<double>> Latencies; ///< In ms, by route.
  std::vector<std::vector<double>> Refusals;  ///< Time until a refusal in ms, by route.
  double WorthSent = 0;
  double WorthInTime = 0;
  double WorthEarned = 0;
};

} // namespace

ModelResult playLoad(const ModelSettings &settings, const std::function<void(double)> &progress) {
  return LoadModel(settings).play(progress);
}

} // namespace jasmineloom
