/// @file ingress_task.cpp Takes callers' requests, routes them, and answers each with its outcome.
#include "traffic/ingress_task.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>

namespace jasmineloom {

namespace {

constexpr int StatusUnavailable = 503;
constexpr int StatusBadGateway = 502;
constexpr int StatusGatewayTimeout = 504;
constexpr int StatusNotFound = 404;
constexpr int StatusConflict = 409;
constexpr int FirstServerError = 500;

/// Time in which a connection to a gate must open: a hundred times the way between data centres.
constexpr DurationMs GateConnectTimeout = 300;
/// Shortest and longest time told to a caller that is refused.
constexpr DurationMs MinRetryAfter = 100;
constexpr DurationMs MaxRetryAfter = 2 * MsPerSecond;
/// Least time left for which an idempotent request is sent to a second upstream.
constexpr DurationMs MinRetryTime = 50;

/// Reads what a gate says of its upstream.
std::optional<LoadReport> loadOf(const HeaderFields &fields) {
  const std::vector<std::string> parts = absl::StrSplit(headerValue(fields, header::Load), ',');
  LoadReport report;
  const bool whole = parts.size() == 4 && absl::SimpleAtoi(parts[0], &report.Running) &&
                     absl::SimpleAtoi(parts[1], &report.Queued) &&
                     absl::SimpleAtoi(parts[2], &report.ServiceMs) &&
                     absl::SimpleAtoi(parts[3], &report.Failing);
  return whole ? std::optional(report) : std::nullopt;
}

DurationMs retryAfterOf(const HeaderFields &fields) {
  double seconds = 0;
  return absl::SimpleAtod(headerValue(fields, header::RetryAfter), &seconds) && seconds > 0
             ? static_cast<DurationMs>(seconds * MsPerSecond)
             : 0;
}

AttemptResult resultOf(const HttpResult &result) {
  if (!result.Complete)
    return result.BytesSent ? AttemptResult::Unknown : AttemptResult::NotRun;
  const std::string *outcome = findHeader(result.Headers, header::Outcome);
  if (outcome == nullptr)
    return AttemptResult::Unknown;
  if (*outcome == nameOf(Outcome::Answered))
    return AttemptResult::Answered;
  return *outcome == nameOf(Outcome::NotRun) ? AttemptResult::NotRun : AttemptResult::Unknown;
}

/// Refusals that every other upstream would repeat.
bool refusedEverywhere(Refusal reason) {
  return reason == Refusal::Quarantined || reason == Refusal::KeyInUse ||
         reason == Refusal::KeyUnproved;
}

int statusFor(Outcome outcome, Refusal reason) {
  if (reason == Refusal::NoRoute)
    return StatusNotFound;
  if (reason == Refusal::KeyInUse)
    return StatusConflict;
  if (outcome == Outcome::NotRun)
    return StatusUnavailable;
  return reason == Refusal::Deadline ? StatusGatewayTimeout : StatusBadGateway;
}

Refusal refusalNamed(const std::string &name) {
  for (int it = 0; it <= static_cast<int>(Refusal::Transport); ++it) {
    if (nameOf(static_cast<Refusal>(it)) == name)
      return static_cast<Refusal>(it);
  }
  return Refusal::Transport;
}

/// @returns why an attempt failed; None if it was answered.
Refusal refusalOf(const HttpResult &result) {
  const std::string *reason = findHeader(result.Headers, header::Reason);
  if (reason != nullptr)
    return refusalNamed(*reason);
  if (result.Complete)
    return Refusal::None;
  return result.TimedOut && result.BytesSent ? Refusal::Deadline : Refusal::Transport;
}

/// The low bits of a request's draw choose the version, the ones above the part of a split.
constexpr int SplitDrawShift = 32;

} // namespace

struct IngressTask::Job {
  HttpRequest Request;
  std::string Identity; ///< Of the request, as the caller named it.
  RouteSpec Route;
  ServiceName Service;
  std::string Key;
  TimeMs Deadline = 0;
  TimeMs Arrived = 0;
  std::uint64_t ArrivedUs = 0;
  std::uint64_t Draw = 0;     ///< Fixes the part of a split and the version of a rollout.
  std::uint32_t Attempts = 0; ///< Gates that were asked.
  std::uint32_t Reached = 0;  ///< Upstreams that the request has been at.
  SlotSearch Search;
  std::uint32_t Overloads = 0; ///< Gates whose queues were too long for it.
  HostID Host;
  HttpCallID Call = 0;
  std::uint32_t UpstreamCuts = 0; ///< Upstreams that ended within the request.
  bool MayHaveRun = false;        ///< Some attempt may have reached an upstream.
  Refusal LastRefusal = Refusal::NoUpstream;
  DurationMs RetryAfter = 0;          ///< The shortest that a gate told.
  std::optional<HttpResult> Fallback; ///< A failure that an upstream answered, kept for the end.
};

IngressTask::IngressTask(event_base *base, const TrafficSettings &settings, HttpPool &pool,
                         Metrics &metrics)
    : Settings(settings), Pool(pool), Figures(metrics),
      Server(
          base,
          {settings.MaxBody, settings.MaxHeaderBytes, settings.MaxConnections, ListenerReadTimeout},
          [this](HttpRequest request) { take(std::move(request)); },
          [this](RequestID id) { gone(id); }),
      Random(settings.Seed), Log("ingress") {}

IngressTask::~IngressTask() = default;

bool IngressTask::listen() { return Server.bind(Settings.IngressIP, Settings.IngressPort); }

void IngressTask::setView(RoutingViewPtr view, TimeMs now) {
  View = std::move(view);
  RetryTokens = retryTokensOf(Settings.RetrySlack, View->Hosts.size());
  for (auto &[service, budget] : Budgets)
    budget.limit(RetryTokens);
  for (const auto &[name, service] : View->Services) {
    for (const Endpoint &endpoint : service.Endpoints)
      Ledger.noteSeen(endpoint, now);
  }
}

void IngressTask::beginClose() {
  Closing = true;
  Server.closeAfterResponses();
}

RetryBudget &IngressTask::budgetOf(const ServiceName &service) {
  return Budgets.try_emplace(service, RetryTokens).first->second;
}

void IngressTask::take(HttpRequest request) {
  const TimeMs now = steadyClockMs();
  LastTaken = now;
  auto made = std::make_unique<Job>();
  Job &job = *made;
  job.Request = std::move(request);
  job.Identity = headerValue(job.Request.Headers, Settings.Http.RequestID);
  job.Arrived = now;
  job.ArrivedUs = steadyClockUs();
  job.Draw = Random();
  const bool full = Jobs.size() >= Settings.MaxInFlight;
  Jobs.emplace(job.Request.ID, std::move(made));
  if (!View) {
    refuse(job, Outcome::NotRun, Refusal::NoConfig);
    return;
  }
  const RouteSpec *route = View->routeFor(job.Request.Path, headerValue(job.Request.Headers, "host"));
  if (route == nullptr) {
    refuse(job, Outcome::NotRun, Refusal::NoRoute);
    return;
  }
  job.Route = *route;
  job.Service = chooseService(*route, job.Draw >> SplitDrawShift);
  if (full || Closing) {
    refuse(job, Outcome::NotRun, Closing ? Refusal::Draining : Refusal::Overloaded);
    return;
  }
  DurationMs allowed = route->Deadline;
  std::uint64_t askedMs = 0;
  if (absl::SimpleAtoi(headerValue(job.Request.Headers, Settings.Http.Deadline), &askedMs))
    allowed = std::min<DurationMs>(allowed, askedMs);
  job.Deadline = now + allowed;
  if (!route->Idempotent)
    job.Key = headerValue(job.Request.Headers, header::Key);
  budgetOf(job.Service).noteFresh();
  attempt(job);
}

HttpCall IngressTask::callFor(const Job &job, const Endpoint &endpoint, TimeMs now) const {
  HttpCall call;
  call.Method = job.Request.Method;
  call.Path = job.Request.Path;
  call.Timeout = job.Deadline - now;
  call.ConnectTimeout = GateConnectTimeout;
  for (HeaderField &field : endToEndFields(job.Request.Headers)) {
    const bool own = absl::StartsWithIgnoreCase(field.Name, header::Prefix) ||
                     absl::EqualsIgnoreCase(field.Name, Settings.Http.CallerService) ||
                     absl::EqualsIgnoreCase(field.Name, Settings.Http.Deadline) ||
                     absl::EqualsIgnoreCase(field.Name, Settings.Http.Upstream);
    if (!own)
      call.Headers.push_back(std::move(field));
  }
  call.Headers.push_back({header::Service, job.Service.str()});
  call.Headers.push_back({header::Version, endpoint.Version.str()});
  call.Headers.push_back({header::Route, job.Route.Name.str()});
  call.Headers.push_back({header::Worth, absl::StrCat(job.Route.Worth)});
  if (job.Route.Objective != 0) {
    const DurationMs passed = std::min(now - job.Arrived, job.Route.Objective);
    call.Headers.push_back({header::Objective, absl::StrCat(job.Route.Objective - passed)});
  }
  call.Headers.push_back({header::DeadlineMs, absl::StrCat(call.Timeout)});
  call.Headers.push_back({header::Secret, Settings.Secret});
  if (!Settings.Http.CallerService.empty() && !Settings.CallerService.empty())
    call.Headers.push_back({Settings.Http.CallerService, Settings.CallerService.str()});
  if (!job.Route.Idempotent)
    call.Headers.push_back({header::Once, "1"});
  if (job.UpstreamCuts > 0)
    call.Headers.push_back({header::Suspect, "1"});
  if (job.Search.Queues)
    call.Headers.push_back({header::MayQueue, "1"});
  call.Body = makeBuffer();
  evbuffer_add_buffer_reference(call.Body.get(), job.Request.Body.get());
  return call;
}

void IngressTask::attempt(Job &job) {
  const TimeMs now = steadyClockMs();
  // A node without processor time reads answers before it reads that the caller has left.
  if (Server.isCallerDisconnected(job.Request.ID)) {
    gone(job.Request.ID);
    return;
  }
  if (now >= job.Deadline) {
    giveUp(job, Refusal::Deadline);
    return;
  }
  const ServiceView *service = View->serviceNamed(job.Service);
  const Endpoint *endpoint =
      service == nullptr ? nullptr
                         : findSlot(job.Search, *service, job.Key, Ledger, Random, now, job.Draw);
  if (endpoint == nullptr) {
    giveUp(job, job.LastRefusal);
    return;
  }
  ++job.Attempts;
  job.Host = endpoint->Host;
  Ledger.noteSent(job.Host);
  const RequestID id = job.Request.ID;
  job.Call = Pool.call(endpoint->GateAddress, callFor(job, *endpoint, now),
                       [this, id](HttpResult result) { attempted(id, std::move(result)); });
}

void IngressTask::noteAttempt(Job &job, const HttpResult &result, TimeMs now) {
  Ledger.noteDone(job.Host);
  if (const std::optional<LoadReport> load = loadOf(result.Headers); load.has_value())
    Ledger.noteLoad(job.Host, *load, now);
  const Refusal reason = refusalOf(result);
  const bool unreachable = (!result.Complete && now < job.Deadline) ||
                           reason == Refusal::Transport || reason == Refusal::WrongUpstream ||
                           reason == Refusal::NoUpstream;
  if (unreachable)
    Ledger.noteUnreachable(job.Host, now);
  else if (result.Complete)
    Ledger.noteReachable(job.Host);
}

void IngressTask::attempted(RequestID id, HttpResult result) {
  const TimeMs now = steadyClockMs();
  Job &job = *Jobs.at(id);
  job.Call = 0;
  noteAttempt(job, result, now);
  const AttemptResult attemptResult = resultOf(result);
  const bool reached = attemptResult != AttemptResult::NotRun ||
                       findHeader(result.Headers, header::Reached) != nullptr;
  job.Reached += reached ? 1 : 0;
  job.Search.Tried.insert(job.Host);
  if (refusalOf(result) == Refusal::Busy)
    job.Search.Busy.insert(job.Host);
  if (attemptResult == AttemptResult::Answered) {
    const bool failed = result.Status >= FirstServerError && job.Route.Idempotent;
    if (failed && mayTryAgain(job, attemptResult, now)) {
      job.Fallback = std::move(result);
      tryAgain(job, "upstream-failed", now);
      return;
    }
    answer(job, std::move(result));
    return;
  }
  job.MayHaveRun |= attemptResult == AttemptResult::Unknown;
  job.LastRefusal = refusalOf(result);
  if (const DurationMs after = retryAfterOf(result.Headers); after != 0)
    job.RetryAfter = job.RetryAfter == 0 ? after : std::min(job.RetryAfter, after);
  job.UpstreamCuts += job.LastRefusal == Refusal::UpstreamCut ? 1 : 0;
  job.Overloads += job.LastRefusal == Refusal::Overloaded ? 1 : 0;
  const bool final = refusedEverywhere(job.LastRefusal) || job.UpstreamCuts >= MaxUpstreamCuts ||
                     job.Overloads >= MaxOverloads;
  if (!final && mayTryAgain(job, attemptResult, now)) {
    tryAgain(job, nameOf(job.LastRefusal), now);
    return;
  }
  giveUp(job, job.LastRefusal);
}

bool IngressTask::mayTryAgain(Job &job, AttemptResult result, TimeMs now) {
  // An upstream's own failure of an idempotent request may be tried elsewhere like a lost answer.
  const AttemptResult judged = result == AttemptResult::Answered ? AttemptResult::Unknown : result;
  if (decideRetry(judged, job.Route.Idempotent, true, job.Attempts, job.Deadline, now) !=
      NextStep::TryAgain)
    return false;
  if (job.Reached == 0)
    return true;
  // Only what has been at an upstream draws on the budget and on the route's attempts.
  return job.Reached < job.Route.Attempts && now + MinRetryTime < job.Deadline &&
         budgetOf(job.Service).take();
}

void IngressTask::tryAgain(Job &job, std::string_view reason, TimeMs now) {
  Figures.noteRetry();
  RequestLine line = lineOf(job, "retried", now);
  line.Reason = reason;
  if (job.Reached > 0)
    Log.write(line, now);
  attempt(job);
}

RequestLine IngressTask::lineOf(const Job &job, std::string_view decision, TimeMs now) const {
  RequestLine line;
  line.Request = job.Identity;
  line.Decision = decision;
  line.Route = job.Route.Name.str();
  line.Host = job.Host.str();
  line.Version = View ? View->Version : 0;
  line.Attempts = job.Attempts;
  line.Elapsed = now - job.Arrived;
  line.Left = job.Deadline > now ? job.Deadline - now : 0;
  return line;
}

void IngressTask::giveUp(Job &job, Refusal reason) {
  if (job.Fallback.has_value()) {
    HttpResult result = std::move(*job.Fallback);
    answer(job, std::move(result));
    return;
  }
  refuse(job, job.MayHaveRun ? Outcome::Unknown : Outcome::NotRun, reason);
}

void IngressTask::answer(Job &job, HttpResult result) {
  const TimeMs now = steadyClockMs();
  Figures.noteRequest(job.Route.Name, Outcome::Answered, Refusal::None,
                      static_cast<double>(steadyClockUs() - job.ArrivedUs));
  RequestLine line = lineOf(job, nameOf(Outcome::Answered), now);
  line.Status = result.Status;
  Log.write(line, now);
  HttpResponse reply;
  reply.Status = result.Status;
  reply.Headers = endToEndFields(std::move(result.Headers));
  std::erase_if(reply.Headers, [](const HeaderField &field) {
    return absl::EqualsIgnoreCase(field.Name, header::Load);
  });
  reply.Headers.push_back({header::Host, job.Host.str()});
  reply.Body = std::move(result.Body);
  Server.reply(job.Request.ID, std::move(reply));
  Jobs.erase(job.Request.ID);
}

DurationMs IngressTask::retryAfter(const Job &job) {
  const DurationMs told = std::clamp(job.RetryAfter, MinRetryAfter, MaxRetryAfter);
  // Spread over as much again, so that refused callers don't return together.
  return told + Random() % told;
}

void IngressTask::refuse(Job &job, Outcome outcome, Refusal reason) {
  const TimeMs now = steadyClockMs();
  Figures.noteRequest(job.Route.Name, outcome, reason,
                      static_cast<double>(steadyClockUs() - job.ArrivedUs));
  const std::string outcomeName(nameOf(outcome));
  const std::string reasonName(nameOf(reason));
  HttpResponse reply{statusFor(outcome, reason),
                  {{header::Outcome, outcomeName}, {header::Reason, reasonName}},
                  makeBuffer(absl::StrCat(outcomeName, ": ", reasonName, "\n"))};
  RequestLine line = lineOf(job, decisionOf(outcome), now);
  line.Reason = reasonName;
  line.Status = reply.Status;
  if (reply.Status == StatusUnavailable) {
    line.RetryAfter = retryAfter(job);
    reply.Headers.push_back(
        {header::RetryAfter,
         absl::StrFormat("%.3f", static_cast<double>(line.RetryAfter) / MsPerSecond)});
  }
  Log.write(line, now);
  Server.reply(job.Request.ID, std::move(reply));
  Jobs.erase(job.Request.ID);
}

void IngressTask::gone(RequestID id) {
  const TimeMs now = steadyClockMs();
  const auto it = Jobs.find(id);
  if (it == Jobs.end())
    return;
  Job &job = *it->second;
  if (job.Call != 0) {
    Pool.cancel(job.Call);
    Ledger.noteDone(job.Host);
  }
  Figures.noteRequest(job.Route.Name, job.Call != 0 ? Outcome::Unknown : Outcome::NotRun,
                      Refusal::None, 0);
  Log.write(lineOf(job, "cancelled", now), now);
  Jobs.erase(it);
}

} // namespace jasmineloom
