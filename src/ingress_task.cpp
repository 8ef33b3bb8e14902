/// @file ingress_task.cpp Takes callers' requests, routes them, and answers each with its outcome.
#include "ingress_task.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

namespace jasmineloom {

namespace {

constexpr int StatusUnavailable = 503;
constexpr int StatusBadGateway = 502;
constexpr int StatusGatewayTimeout = 504;
constexpr int StatusNotFound = 404;
constexpr int StatusConflict = 409;

bool hopByHop(const std::string &name) {
  return absl::EqualsIgnoreCase(name, "connection") || absl::EqualsIgnoreCase(name, "keep-alive") ||
         absl::EqualsIgnoreCase(name, "te") || absl::EqualsIgnoreCase(name, "transfer-encoding") ||
         absl::EqualsIgnoreCase(name, "content-length") ||
         absl::EqualsIgnoreCase(name, "upgrade") || absl::EqualsIgnoreCase(name, "expect");
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
bool refusedEverywhere(const std::string &reason) {
  return reason == nameOf(Refusal::Quarantined) || reason == nameOf(Refusal::KeyInUse) ||
         reason == nameOf(Refusal::KeyUnproved);
}

int statusFor(Outcome outcome, Refusal reason) {
  if (reason == Refusal::NoRoute)
    return StatusNotFound;
  if (reason == Refusal::KeyInUse)
    return StatusConflict;
  if (reason == Refusal::Deadline)
    return StatusGatewayTimeout;
  return outcome == Outcome::NotRun ? StatusUnavailable : StatusBadGateway;
}

Refusal refusalNamed(const std::string &name) {
  for (int it = 0; it <= static_cast<int>(Refusal::Transport); ++it) {
    if (nameOf(static_cast<Refusal>(it)) == name)
      return static_cast<Refusal>(it);
  }
  return Refusal::Transport;
}

} // namespace

struct IngressTask::Job {
  HttpRequest Request;
  RouteSpec Route;
  std::string Key;
  TimeMs Deadline = 0;
  std::uint64_t ArrivedUs = 0;
  std::uint32_t Attempts = 0;
  std::set<HostID> Tried;
  HostID Host;
  HttpCallID Call = 0;
  std::uint32_t UpstreamCuts = 0; ///< Upstreams that ended within the request.
  bool MayHaveRun = false;        ///< Some attempt may have reached an upstream.
  Refusal LastRefusal = Refusal::NoUpstream;
};

IngressTask::IngressTask(event_base *base, const TrafficSettings &settings, HttpPool &pool,
                         Metrics &metrics)
    : Settings(settings), Pool(pool), Figures(metrics),
      Server(
          base,
          {settings.MaxBody, settings.MaxHeaderBytes, settings.MaxConnections, 30 * MsPerSecond},
          [this](HttpRequest request) { take(std::move(request)); },
          [this](RequestID id) { gone(id); }),
      Random(settings.Seed) {}

IngressTask::~IngressTask() = default;

bool IngressTask::listen() { return Server.bind(Settings.ListenAddress, Settings.IngressPort); }

void IngressTask::stopAccepting() { Server.stopAccepting(); }

void IngressTask::take(HttpRequest request) {
  const TimeMs now = wallClockMs();
  auto made = std::make_unique<Job>();
  Job &job = *made;
  job.Request = std::move(request);
  job.ArrivedUs = steadyClockUs();
  const bool full = Jobs.size() >= Settings.MaxInFlight;
  Jobs.emplace(job.Request.ID, std::move(made));
  if (!View) {
    refuse(job, Outcome::NotRun, Refusal::NoConfig);
    return;
  }
  const RouteSpec *route = View->routeFor(job.Request.Path);
  if (route == nullptr) {
    refuse(job, Outcome::NotRun, Refusal::NoRoute);
    return;
  }
  job.Route = *route;
  if (full) {
    refuse(job, Outcome::NotRun, Refusal::Overloaded);
    return;
  }
  DurationMs allowed = route->Deadline;
  const std::string *asked = findHeader(job.Request.Headers, header::DeadlineMs);
  std::uint64_t askedMs = 0;
  if (asked != nullptr && absl::SimpleAtoi(*asked, &askedMs))
    allowed = std::min<DurationMs>(allowed, askedMs);
  job.Deadline = now + allowed;
  const std::string *key = findHeader(job.Request.Headers, header::Key);
  if (key != nullptr && !route->Idempotent)
    job.Key = *key;
  Budget.noteFresh();
  attempt(job);
}

const Endpoint *IngressTask::choose(const Job &job, const ServiceView &service, TimeMs now) {
  if (job.Key.empty())
    return chooseEndpoint(service, Ledger, job.Tried, Random, now);
  return chooseEndpointForKey(service, job.Key, Ledger, job.Tried, now);
}

HttpCall IngressTask::callFor(const Job &job, const Endpoint &endpoint, TimeMs now) const {
  HttpCall call;
  call.Method = job.Request.Method;
  call.Path = job.Request.Path;
  call.Timeout = job.Deadline - now;
  for (const HeaderField &field : job.Request.Headers) {
    if (hopByHop(field.Name) || absl::StartsWithIgnoreCase(field.Name, header::Prefix))
      continue;
    call.Headers.push_back(field);
  }
  call.Headers.push_back({header::Service, job.Route.Service.str()});
  call.Headers.push_back({header::Version, endpoint.Version.str()});
  call.Headers.push_back({header::Route, job.Route.Name.str()});
  call.Headers.push_back({header::Worth, absl::StrCat(job.Route.Worth)});
  call.Headers.push_back({header::DeadlineMs, absl::StrCat(call.Timeout)});
  call.Headers.push_back({header::Secret, Settings.Secret});
  if (!job.Route.Idempotent)
    call.Headers.push_back({header::Once, "1"});
  if (job.UpstreamCuts > 0)
    call.Headers.push_back({header::Suspect, "1"});
  call.Body = makeBuffer();
  evbuffer_add_buffer_reference(call.Body.get(), job.Request.Body.get());
  return call;
}

void IngressTask::attempt(Job &job) {
  const TimeMs now = wallClockMs();
  const Outcome failed = job.MayHaveRun ? Outcome::Unknown : Outcome::NotRun;
  if (now >= job.Deadline) {
    refuse(job, failed, Refusal::Deadline);
    return;
  }
  const ServiceView *service = View->serviceNamed(job.Route.Service);
  const Endpoint *endpoint = service == nullptr ? nullptr : choose(job, *service, now);
  if (endpoint == nullptr) {
    refuse(job, failed, job.LastRefusal);
    return;
  }
  ++job.Attempts;
  job.Host = endpoint->Host;
  Ledger.noteSent(job.Host);
  const RequestID id = job.Request.ID;
  job.Call = Pool.call(endpoint->GateAddress, callFor(job, *endpoint, now),
                       [this, id](HttpResult result) { attempted(id, std::move(result)); });
}

void IngressTask::attempted(RequestID id, HttpResult result) {
  const TimeMs now = wallClockMs();
  Job &job = *Jobs.at(id);
  job.Call = 0;
  Ledger.noteDone(job.Host);
  if (result.Complete)
    Ledger.noteReachable(job.Host);
  else if (!result.TimedOut)
    Ledger.noteUnreachable(job.Host, now);
  const AttemptResult attemptResult = resultOf(result);
  if (attemptResult == AttemptResult::Answered) {
    answer(job, std::move(result));
    return;
  }
  job.MayHaveRun |= attemptResult == AttemptResult::Unknown;
  job.Tried.insert(job.Host);
  const std::string *reason = findHeader(result.Headers, header::Reason);
  job.LastRefusal = reason != nullptr ? refusalNamed(*reason)
                    : result.TimedOut ? Refusal::Deadline
                                      : Refusal::Transport;
  job.UpstreamCuts += job.LastRefusal == Refusal::UpstreamCut ? 1 : 0;
  const bool final =
      (reason != nullptr && refusedEverywhere(*reason)) || job.UpstreamCuts >= MaxUpstreamCuts;
  NextStep next = NextStep::Reply;
  if (!final && decideRetry(attemptResult, job.Route.Idempotent, true, job.Attempts, job.Deadline,
                            now) == NextStep::TryAgain)
    next = Budget.take() ? NextStep::TryAgain : NextStep::Reply;
  if (next == NextStep::TryAgain) {
    Figures.noteRetry();
    attempt(job);
    return;
  }
  refuse(job, job.MayHaveRun ? Outcome::Unknown : Outcome::NotRun, job.LastRefusal);
}

void IngressTask::answer(Job &job, HttpResult result) {
  Figures.noteRequest(job.Route.Name, Outcome::Answered, Refusal::None,
                      static_cast<double>(steadyClockUs() - job.ArrivedUs));
  HttpReply reply;
  reply.Status = result.Status;
  for (HeaderField &field : result.Headers) {
    if (!hopByHop(field.Name))
      reply.Headers.push_back(std::move(field));
  }
  reply.Headers.push_back({header::Host, job.Host.str()});
  reply.Body = std::move(result.Body);
  Server.reply(job.Request.ID, std::move(reply));
  Jobs.erase(job.Request.ID);
}

void IngressTask::refuse(Job &job, Outcome outcome, Refusal reason) {
  Figures.noteRequest(job.Route.Name, outcome, reason,
                      static_cast<double>(steadyClockUs() - job.ArrivedUs));
  const std::string outcomeName(nameOf(outcome));
  const std::string reasonName(nameOf(reason));
  Server.reply(job.Request.ID, {statusFor(outcome, reason),
                                {{header::Outcome, outcomeName}, {header::Reason, reasonName}},
                                makeBuffer(absl::StrCat(outcomeName, ": ", reasonName, "\n"))});
  Jobs.erase(job.Request.ID);
}

void IngressTask::gone(RequestID id) {
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
  Jobs.erase(it);
}

} // namespace jasmineloom
