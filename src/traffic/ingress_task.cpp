/// @file ingress_task.cpp Routes the requests of local callers to gates and reports each outcome.
#include "traffic/ingress_task.h"

#include "traffic/drain_rule.h"
#include "workspace/access_rule.h"

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
constexpr int StatusUnauthorized = 401;
constexpr int StatusNotFound = 404;
constexpr int StatusConflict = 409;
constexpr int StatusTooManyRequests = 429;
constexpr int FirstServerError = 500;
/// Length from which the body of a request to an unknown route is not read.
constexpr std::size_t LargeBodyBytes = 64 * 1024;

/// Connect timeout for gates; a hundred times the round-trip time between data centres, which is
/// about 3 ms.
constexpr DurationMs GateConnectTimeout = 300;
/// Bounds of the Retry-After time of a refusal, before jitter.
constexpr DurationMs MinRetryAfter = 100;
constexpr DurationMs MaxRetryAfter = 2 * MsPerSecond;
/// Longest Retry-After of a gate that is read, seconds.
constexpr double MaxStatedRetryAfter = 3600;
/// Minimum time until the deadline for retrying a request that has reached an upstream.
constexpr DurationMs MinRetryTime = 50;

/// Parses the load report that a gate adds to its responses.
std::optional<LoadReport> parseLoadReport(const HeaderFields &fields) {
  const std::vector<std::string> parts = absl::StrSplit(headerValue(fields, header::Load), ',');
  LoadReport report;
  const bool valid = parts.size() == 4 && absl::SimpleAtoi(parts[0], &report.Running) &&
                     absl::SimpleAtoi(parts[1], &report.Queued) &&
                     absl::SimpleAtoi(parts[2], &report.ServiceMs) &&
                     absl::SimpleAtoi(parts[3], &report.FailurePerMille);
  if (!valid)
    return std::nullopt;
  const std::vector<std::string> limit =
      absl::StrSplit(headerValue(fields, header::Limit), absl::MaxSplits(',', 2));
  double perSecond = 0;
  double available = 0;
  if (limit.size() == 3 && absl::SimpleAtod(limit[0], &perSecond) &&
      absl::SimpleAtod(limit[1], &available)) {
    report.LimitPerSecond = perSecond;
    report.LimitAvailable = available;
    report.LimitProcess = limit[2];
  }
  return report;
}

DurationMs parseRetryAfter(const HeaderFields &fields) {
  const double seconds = decimalIn(fields, header::RetryAfter).value_or(0);
  return static_cast<DurationMs>(std::min(seconds, MaxStatedRetryAfter) * MsPerSecond);
}

AttemptResult attemptResultOf(const HttpResult &result) {
  if (!result.Complete)
    return result.BytesSent ? AttemptResult::Unknown : AttemptResult::NotRun;
  const std::string *outcome = findHeader(result.Headers, header::Outcome);
  if (outcome == nullptr)
    return AttemptResult::Unknown;
  if (*outcome == nameOf(Outcome::Answered))
    return AttemptResult::Answered;
  return *outcome == nameOf(Outcome::NotRun) ? AttemptResult::NotRun : AttemptResult::Unknown;
}

/// @returns whether every other upstream would refuse the request for the same reason.
bool isUpstreamIndependent(Refusal reason) {
  return reason == Refusal::Quarantined || reason == Refusal::KeyInUse ||
         reason == Refusal::KeyUnproved;
}

int statusFor(Outcome outcome, Refusal reason) {
  if (reason == Refusal::NoRoute)
    return StatusNotFound;
  if (reason == Refusal::KeyInUse)
    return StatusConflict;
  if (reason == Refusal::NoKey || reason == Refusal::UnknownKey)
    return StatusUnauthorized;
  if (reason == Refusal::OverQuota)
    return StatusTooManyRequests;
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

/// @returns the reason why an attempt failed; None if it succeeded.
Refusal refusalOf(const HttpResult &result) {
  const std::string *reason = findHeader(result.Headers, header::Reason);
  if (reason != nullptr)
    return refusalNamed(*reason);
  if (result.Complete)
    return Refusal::None;
  return result.TimedOut && result.BytesSent ? Refusal::Deadline : Refusal::Transport;
}

HttpResponse makeRefusal(Outcome outcome, Refusal reason) {
  const std::string outcomeName(nameOf(outcome));
  const std::string reasonName(nameOf(reason));
  return {statusFor(outcome, reason),
          {{header::Outcome, outcomeName}, {header::Reason, reasonName}},
          makeBuffer(absl::StrCat(outcomeName, ": ", reasonName, "\n"))};
}

} // namespace

struct IngressTask::RequestContext {
  HttpRequest Request;
  std::string CallerRequestID; ///< Empty if the caller set none.
  ServiceName CallerName;      ///< Service on this host when the request arrived.
  RouteSpec Route;
  ServiceName Service;
  WorkspaceName Workspace; ///< Empty: the route needs no key.
  std::string Key;
  TimeMs Deadline = 0;
  TimeMs ArrivedAt = 0;
  std::uint64_t ArrivedAtUs = 0;
  std::uint64_t RoutingDraw = 0;      ///< Random; selects the version.
  std::uint32_t Attempts = 0;         ///< Gates to which the request was sent.
  std::uint32_t UpstreamsReached = 0; ///< Attempts that may have reached an upstream.
  EndpointSearch Search;
  std::uint32_t OverloadRefusals = 0; ///< Refusals because of a gate's queue length.
  HostID Host;
  std::string UpstreamProcess; ///< At that host, as the routing view had it.
  HttpCallID Call = 0;
  std::uint32_t UpstreamCuts = 0; ///< Attempts that the upstream ended without a complete response.
  bool MayHaveRun = false;        ///< An attempt may have executed the request.
  Refusal LastRefusal = Refusal::NoUpstream;
  bool AwaitsQuota = false;                   ///< The quota's decision is due.
  std::optional<QuotaCredit> Credit;          ///< Of the workspace's quota.
  DurationMs RetryAfter = 0;                  ///< Shortest time stated by a gate; 0: none.
  std::optional<HttpResult> FallbackResponse; ///< 5xx response to send if no retry is answered.
};

IngressTask::IngressTask(event_base *base, const TrafficSettings &settings,
                         const CallerService &caller, HttpPool &pool, QuotaTask &quotas,
                         HeldBytes &held, Metrics &metrics)
    : Settings(settings), Caller(caller), Pool(pool), Quotas(quotas), Stats(metrics),
      Server(
          base,
          {settings.MaxBody, settings.MaxHeaderBytes, settings.MaxConnections, ListenerReadTimeout},
          [this](HttpRequest request) { handleRequest(std::move(request)); },
          [this](RequestID id) { handleDisconnect(id); }, &held),
      Random(settings.Seed), Log("ingress") {
  Server.setHeaderHandler([this](const RequestHeader &head) { return checkHeader(head); });
  Quotas.setHandler(
      [this](RequestID id, const QuotaDecision &decision) { handleQuota(id, decision); });
}

IngressTask::~IngressTask() = default;

bool IngressTask::listen() { return Server.bind(Settings.IngressIP, Settings.IngressPort); }

void IngressTask::setView(RoutingViewPtr view, TimeMs now) {
  View = std::move(view);
  KeysInUse |= View->NeedsKeys || !View->Workspaces->workspaces().empty();
  updateRetryBudgets();
  for (const auto &[name, service] : View->Services) {
    for (const Endpoint &endpoint : service.Endpoints)
      EndpointStates.recordSeen(endpoint, now);
  }
}

Explanation IngressTask::explain(const ExplainQuery &query, TimeMs now) const {
  return explainRequest(View.get(), EndpointStates, query, Random, now);
}

void IngressTask::updateRetryBudgets() {
  if (!View)
    return;
  MaxRetryTokens = maxRetryTokens(Settings.RetrySlack, View->Hosts.size());
  for (auto &[service, budget] : Budgets)
    budget.setMaxTokens(MaxRetryTokens);
}

void IngressTask::beginShutdown() {
  Closing = true;
  Server.closeAfterResponses();
}

void IngressTask::stopListening() {
  Closing = true;
  Server.stopListening();
  endPending();
}

void IngressTask::endPending() {
  std::vector<RequestID> pending;
  for (const auto &[id, context] : Contexts)
    pending.push_back(id);
  for (const RequestID id : pending) {
    RequestContext &context = *Contexts.at(id);
    if (context.Call != 0) {
      Pool.cancel(context.Call);
      context.MayHaveRun = true;
    }
    if (context.AwaitsQuota)
      Quotas.cancel(id, context.Workspace);
    failRequest(context, Refusal::Draining);
  }
}

bool IngressTask::mayAccept(DurationMs timeout, TimeMs now) const {
  return !Closing && (!DrainSince.has_value() ||
                      mayAcceptWhileDraining(now - *DrainSince, Settings.StopTime, timeout));
}

RetryBudget &IngressTask::retryBudgetFor(const ServiceName &service) {
  return Budgets.try_emplace(service, MaxRetryTokens).first->second;
}

std::string IngressTask::takeCredentials(HttpRequest &request) const {
  const HttpHeaderNames &names = Settings.Http;
  std::string credentials = headerValue(request.Headers, names.ApiKey);
  std::erase_if(request.Headers, [&names](const HeaderField &field) {
    // Credentials of another scheme are the upstream's own.
    const bool key = !names.ApiKey.empty() && absl::EqualsIgnoreCase(field.Name, names.ApiKey) &&
                     hasScheme(field.Value, names.ApiKeyScheme);
    return key || (!names.Workspace.empty() && absl::EqualsIgnoreCase(field.Name, names.Workspace));
  });
  return credentials;
}

AccessDecision IngressTask::accessOf(const RouteSpec &route, const std::string &credentials) const {
  return decideAccess(route, credentials, *View->Workspaces,
                      {Settings.Http.ApiKeyScheme, Settings.RevocationTime, Settings.InForceTime},
                      ConfigProvedAt, bootClockMs());
}

DurationMs IngressTask::timeoutOf(const RouteSpec &route, const HeaderFields &fields) const {
  const std::optional<double> requested = decimalIn(fields, Settings.Http.Deadline);
  if (!requested.has_value() || *requested >= static_cast<double>(route.Deadline))
    return route.Deadline;
  return static_cast<DurationMs>(*requested);
}

Refusal IngressTask::entryRefusal(const RouteSpec *route, const HeaderFields &fields,
                                  TimeMs now) const {
  if (!View)
    return Refusal::NoConfig;
  if (route == nullptr)
    return Refusal::NoRoute;
  if (!mayAccept(timeoutOf(*route, fields), now))
    return Refusal::Draining;
  return Contexts.size() >= Settings.MaxInFlight ? Refusal::Overloaded : Refusal::None;
}

std::optional<HttpResponse> IngressTask::checkHeader(const RequestHeader &head) {
  const HeaderFields &fields = *head.Fields;
  const RouteSpec *route = View ? View->routeFor(head.Path, headerValue(fields, "host")) : nullptr;
  const bool large = route == nullptr ? head.DeclaredBody >= LargeBodyBytes : route->LargeBody;
  const TimeMs now = steadyClockMs();
  Refusal reason = large ? entryRefusal(route, fields, now) : Refusal::None;
  if (large && reason == Refusal::None) {
    const AccessDecision access = accessOf(*route, headerValue(fields, Settings.Http.ApiKey));
    if (const auto *refused = std::get_if<AccessRefused>(&access); refused != nullptr)
      reason = refused->Reason;
  }
  if (reason == Refusal::None)
    return std::nullopt;
  LastRequestAt = now;
  const RouteName name = route == nullptr ? RouteName() : route->Name;
  Stats.recordRequest(name, Outcome::NotRun, reason, 0);
  Stats.recordHeaderRefusal(head.DeclaredBody);
  HttpResponse response = makeRefusal(Outcome::NotRun, reason);
  const std::string id = headerValue(fields, Settings.Http.RequestID);
  RequestLine line;
  line.Request = id;
  line.Decision = decisionOf(Outcome::NotRun);
  line.Reason = nameOf(reason);
  line.Route = name.str();
  line.Status = response.Status;
  line.RetryAfter = addRetryAfter(response, 0);
  Log.write(line, now);
  return response;
}

void IngressTask::handleRequest(HttpRequest request) {
  const TimeMs now = steadyClockMs();
  LastRequestAt = now;
  auto owned = std::make_unique<RequestContext>();
  RequestContext &context = *owned;
  context.Request = std::move(request);
  context.CallerRequestID = headerValue(context.Request.Headers, Settings.Http.RequestID);
  context.CallerName = Caller.current();
  Stats.recordCaller(context.CallerName);
  context.ArrivedAt = now;
  context.ArrivedAtUs = steadyClockUs();
  context.RoutingDraw = Random();
  const HeaderFields &fields = context.Request.Headers;
  const RouteSpec *route =
      View ? View->routeFor(context.Request.Path, headerValue(fields, "host")) : nullptr;
  const Refusal reason = entryRefusal(route, fields, now);
  Contexts.emplace(context.Request.ID, std::move(owned));
  if (route != nullptr) {
    context.Route = *route;
    context.Service = chooseService(*route, Random());
  }
  if (reason != Refusal::None) {
    refuse(context, Outcome::NotRun, reason);
    return;
  }
  const std::string credentials =
      KeysInUse || route->NeedsKey ? takeCredentials(context.Request) : std::string();
  const AccessDecision access = accessOf(*route, credentials);
  if (const auto *refused = std::get_if<AccessRefused>(&access); refused != nullptr) {
    refuse(context, Outcome::NotRun, refused->Reason);
    return;
  }
  context.Workspace = std::get<AccessGranted>(access).Workspace;
  context.Route.Worth = std::get<AccessGranted>(access).Worth;
  context.Deadline = now + timeoutOf(*route, fields);
  if (!route->Idempotent)
    context.Key = headerValue(context.Request.Headers, header::Key);
  if (Quotas.isLimited(context.Workspace)) {
    context.AwaitsQuota = true;
    Quotas.request(context.Request.ID, context.Workspace);
    return;
  }
  admit(context);
}

void IngressTask::admit(RequestContext &context) {
  retryBudgetFor(context.Service).deposit();
  startAttempt(context);
}

void IngressTask::handleQuota(RequestID id, const QuotaDecision &decision) {
  const auto it = Contexts.find(id);
  if (it == Contexts.end())
    return;
  RequestContext &context = *it->second;
  context.AwaitsQuota = false;
  const auto refuseFor = [this, &context](Refusal reason, DurationMs wait) {
    Stats.recordQuotaRefusal(context.Workspace, reason);
    context.RetryAfter = wait;
    refuse(context, Outcome::NotRun, reason);
  };
  std::visit(
      Overloaded{
          [&](const QuotaCredit &credit) {
            context.Credit = credit;
            admit(context);
          },
          [&](const QuotaExceeded &exceeded) { refuseFor(Refusal::OverQuota, exceeded.Wait); },
          [&](const QuotaUnproved &unproved) { refuseFor(Refusal::QuotaUnknown, unproved.Wait); }},
      decision);
}

HttpCall IngressTask::makeGateCall(const RequestContext &context, const Endpoint &endpoint,
                                   TimeMs now) const {
  HttpCall call;
  call.Method = context.Request.Method;
  call.Path = context.Request.Path;
  call.Timeout = context.Deadline - now;
  call.ConnectTimeout = GateConnectTimeout;
  for (HeaderField &field : endToEndFields(context.Request.Headers)) {
    const bool internal = absl::StartsWithIgnoreCase(field.Name, header::Prefix) ||
                          absl::EqualsIgnoreCase(field.Name, Settings.Http.CallerService) ||
                          absl::EqualsIgnoreCase(field.Name, Settings.Http.Deadline) ||
                          absl::EqualsIgnoreCase(field.Name, Settings.Http.Upstream);
    if (!internal)
      call.Headers.push_back(std::move(field));
  }
  call.Headers.push_back({header::Service, context.Service.str()});
  call.Headers.push_back({header::Version, endpoint.Version.str()});
  call.Headers.push_back({header::Route, context.Route.Name.str()});
  call.Headers.push_back({header::Worth, absl::StrCat(context.Route.Worth)});
  if (context.Route.Objective != 0) {
    const DurationMs passed = std::min(now - context.ArrivedAt, context.Route.Objective);
    call.Headers.push_back({header::Objective, absl::StrCat(context.Route.Objective - passed)});
  }
  call.Headers.push_back({header::DeadlineMs, absl::StrCat(call.Timeout)});
  if (const auto at = GateClocks.timeAt(endpoint.Host, context.Deadline); at.has_value())
    call.Headers.push_back({header::DeadlineAt, encodePeerTime(*at)});
  call.Headers.push_back({header::Secret, Settings.Secret});
  if (!Settings.Http.CallerService.empty() && !context.CallerName.empty())
    call.Headers.push_back({Settings.Http.CallerService, context.CallerName.str()});
  if (!context.Workspace.empty() && !Settings.Http.Workspace.empty())
    call.Headers.push_back({Settings.Http.Workspace, context.Workspace.str()});
  if (!context.Route.Idempotent)
    call.Headers.push_back({header::Once, "1"});
  if (context.UpstreamCuts > 0)
    call.Headers.push_back({header::Suspect, "1"});
  if (const double limit = EndpointStates.limitOf(endpoint); limit > 0)
    call.Headers.push_back({header::Limit, absl::StrFormat("%.3f,%s", limit, endpoint.InstanceID)});
  if (context.Route.LargeBody)
    call.Headers.push_back({header::LargeBody, "1"});
  if (context.Search.MayQueue)
    call.Headers.push_back({header::MayQueue, "1"});
  call.Body = makeBuffer();
  evbuffer_add_buffer_reference(call.Body.get(), context.Request.Body.get());
  return call;
}

PlacementRequest IngressTask::placementOf(const RequestContext &context, TimeMs now) {
  const TimeMs objectiveAt = context.ArrivedAt + context.Route.Objective;
  return {context.RoutingDraw, objectiveAt > now ? objectiveAt - now : 0, context.Key};
}

void IngressTask::countNewVersion(const RequestContext &context, const ServiceView &service,
                                  const Endpoint &endpoint, TimeMs now) {
  const bool running =
      service.Rollout.has_value() && service.Progress.Phase == RolloutPhase::Running;
  if (!running || endpoint.Version != service.Rollout->To)
    return;
  const VersionLabel drawn = drawnVersion(service, placementOf(context, now), now);
  Stats.recordNewVersion(service.Name, drawn == endpoint.Version);
}

const Endpoint *IngressTask::chooseGate(RequestContext &context, const ServiceView &service,
                                        TimeMs now) {
  const PlacementRequest request = placementOf(context, now);
  return context.Route.LargeBody
             ? nextForLargeBody(context.Search, service, request, EndpointStates, Settings.Host,
                                Random, now)
             : nextEndpoint(context.Search, service, request, EndpointStates, Random, now);
}

void IngressTask::startAttempt(RequestContext &context) {
  const TimeMs now = steadyClockMs();
  // When the node is short of CPU time, the event loop may process a gate's response before the
  // caller's disconnect.
  if (Server.isCallerDisconnected(context.Request.ID)) {
    handleDisconnect(context.Request.ID);
    return;
  }
  if (now >= context.Deadline) {
    failRequest(context, Refusal::Deadline);
    return;
  }
  const ServiceView *service = View->serviceNamed(context.Service);
  const Endpoint *endpoint = service == nullptr ? nullptr : chooseGate(context, *service, now);
  if (endpoint == nullptr) {
    const bool evacuated = service != nullptr && service->evacuated();
    failRequest(context, evacuated ? Refusal::Evacuated : context.LastRefusal);
    return;
  }
  countNewVersion(context, *service, *endpoint, now);
  ++context.Attempts;
  context.Host = endpoint->Host;
  context.UpstreamProcess = endpoint->InstanceID;
  EndpointStates.recordSent(context.Host);
  const RequestID id = context.Request.ID;
  context.Call =
      Pool.call(endpoint->GateAddress, makeGateCall(context, *endpoint, now),
                [this, id](HttpResult result) { handleAttemptResult(id, std::move(result)); });
}

void IngressTask::recordAttempt(RequestContext &context, const HttpResult &result, TimeMs now) {
  EndpointStates.recordDone(context.Host);
  if (const std::optional<LoadReport> load = parseLoadReport(result.Headers); load.has_value())
    EndpointStates.recordLoad(context.Host, *load, now);
  if (const auto clock = decodePeerTime(headerValue(result.Headers, header::Clock));
      clock.has_value())
    GateClocks.record(context.Host, *clock, now);
  if (const std::string process = headerValue(result.Headers, header::Leaving); !process.empty())
    EndpointStates.recordLeaving(context.Host, process);
  const Refusal reason = refusalOf(result);
  const bool unreachable = (!result.Complete && now < context.Deadline) ||
                           reason == Refusal::Transport || reason == Refusal::WrongUpstream ||
                           reason == Refusal::NoUpstream;
  if (unreachable)
    EndpointStates.recordUnreachable(context.Host, context.UpstreamProcess, now);
  else if (result.Complete)
    EndpointStates.recordReachable(context.Host);
}

void IngressTask::handleAttemptResult(RequestID id, HttpResult result) {
  const TimeMs now = steadyClockMs();
  RequestContext &context = *Contexts.at(id);
  context.Call = 0;
  recordAttempt(context, result, now);
  const AttemptResult attemptResult = attemptResultOf(result);
  const bool reached = attemptResult != AttemptResult::NotRun ||
                       findHeader(result.Headers, header::Reached) != nullptr;
  context.UpstreamsReached += reached ? 1 : 0;
  context.Search.Tried.insert(context.Host);
  if (refusalOf(result) == Refusal::Busy)
    context.Search.Busy.insert(context.Host);
  if (attemptResult == AttemptResult::Answered) {
    const bool failed = result.Status >= FirstServerError && context.Route.Idempotent;
    if (failed && mayRetry(context, attemptResult, now)) {
      context.FallbackResponse = std::move(result);
      Server.setKept(context.Request.ID,
                     evbuffer_get_length(context.Request.Body.get()) +
                         evbuffer_get_length(context.FallbackResponse->Body.get()));
      retry(context, "upstream-failed", now);
      return;
    }
    respond(context, std::move(result));
    return;
  }
  context.MayHaveRun |= attemptResult == AttemptResult::Unknown;
  context.LastRefusal = refusalOf(result);
  if (const DurationMs after = parseRetryAfter(result.Headers); after != 0)
    context.RetryAfter = context.RetryAfter == 0 ? after : std::min(context.RetryAfter, after);
  context.UpstreamCuts += context.LastRefusal == Refusal::UpstreamCut ? 1 : 0;
  const bool overload =
      context.LastRefusal == Refusal::Overloaded || context.LastRefusal == Refusal::WarmingUp;
  context.OverloadRefusals += overload ? 1 : 0;
  const bool final = isUpstreamIndependent(context.LastRefusal) ||
                     context.UpstreamCuts >= MaxUpstreamCuts ||
                     context.OverloadRefusals >= MaxOverloadRefusals;
  if (!final && mayRetry(context, attemptResult, now)) {
    retry(context, nameOf(context.LastRefusal), now);
    return;
  }
  failRequest(context, context.LastRefusal);
}

bool IngressTask::mayRetry(RequestContext &context, AttemptResult result, TimeMs now) {
  // A 5xx response to an idempotent request may be retried like an unknown result.
  const AttemptResult effective =
      result == AttemptResult::Answered ? AttemptResult::Unknown : result;
  if (decideRetry(effective, context.Route.Idempotent, true, context.Attempts, context.Deadline,
                  now) != RetryDecision::Retry)
    return false;
  if (context.UpstreamsReached == 0)
    return true;
  // Only retries of requests that reached an upstream count against the budget and the route's
  // attempts.
  return context.UpstreamsReached < context.Route.Attempts &&
         now + MinRetryTime < context.Deadline && retryBudgetFor(context.Service).tryWithdraw();
}

void IngressTask::retry(RequestContext &context, std::string_view reason, TimeMs now) {
  Stats.recordRetry();
  RequestLine line = makeLogLine(context, "retried", now);
  line.Reason = reason;
  if (context.UpstreamsReached > 0)
    Log.write(line, now);
  startAttempt(context);
}

RequestLine IngressTask::makeLogLine(const RequestContext &context, std::string_view decision,
                                     TimeMs now) const {
  RequestLine line;
  line.Request = context.CallerRequestID;
  line.Decision = decision;
  line.Route = context.Route.Name.str();
  line.Host = context.Host.str();
  line.Version = View ? View->Version : 0;
  line.Attempts = context.Attempts;
  line.Elapsed = now - context.ArrivedAt;
  line.Left = context.Deadline > now ? context.Deadline - now : 0;
  return line;
}

void IngressTask::failRequest(RequestContext &context, Refusal reason) {
  if (context.FallbackResponse.has_value()) {
    HttpResult result = std::move(*context.FallbackResponse);
    respond(context, std::move(result));
    return;
  }
  refuse(context, context.MayHaveRun ? Outcome::Unknown : Outcome::NotRun, reason);
}

void IngressTask::respond(RequestContext &context, HttpResult result) {
  const TimeMs now = steadyClockMs();
  Stats.recordRequest(context.Route.Name, Outcome::Answered, Refusal::None,
                      static_cast<double>(steadyClockUs() - context.ArrivedAtUs));
  RequestLine line = makeLogLine(context, nameOf(Outcome::Answered), now);
  line.Status = result.Status;
  Log.write(line, now);
  HttpResponse response;
  response.Status = result.Status;
  response.Headers = endToEndFields(std::move(result.Headers));
  std::erase_if(response.Headers, [](const HeaderField &field) {
    return absl::EqualsIgnoreCase(field.Name, header::Load) ||
           absl::EqualsIgnoreCase(field.Name, header::Limit) ||
           absl::EqualsIgnoreCase(field.Name, header::Leaving) ||
           absl::EqualsIgnoreCase(field.Name, header::Clock);
  });
  response.Headers.push_back({header::Host, context.Host.str()});
  response.Body = std::move(result.Body);
  Server.reply(context.Request.ID, std::move(response));
  Contexts.erase(context.Request.ID);
}

DurationMs IngressTask::addRetryAfter(HttpResponse &response, DurationMs shortest) {
  if (response.Status != StatusUnavailable && response.Status != StatusTooManyRequests)
    return 0;
  const DurationMs after = chooseRetryAfter(shortest);
  response.Headers.push_back(
      {header::RetryAfter, absl::StrFormat("%.3f", static_cast<double>(after) / MsPerSecond)});
  return after;
}

DurationMs IngressTask::chooseRetryAfter(DurationMs shortest) {
  const DurationMs minimum = std::clamp(shortest, MinRetryAfter, MaxRetryAfter);
  // Jitter of up to 100 % keeps refused callers from retrying at the same time.
  return minimum + Random() % minimum;
}

void IngressTask::refuse(RequestContext &context, Outcome outcome, Refusal reason) {
  if (outcome == Outcome::NotRun && context.Credit.has_value())
    Quotas.giveBack(context.Workspace, *context.Credit);
  const TimeMs now = steadyClockMs();
  Stats.recordRequest(context.Route.Name, outcome, reason,
                      static_cast<double>(steadyClockUs() - context.ArrivedAtUs));
  HttpResponse response = makeRefusal(outcome, reason);
  RequestLine line = makeLogLine(context, decisionOf(outcome), now);
  line.Reason = nameOf(reason);
  line.Status = response.Status;
  line.RetryAfter = addRetryAfter(response, context.RetryAfter);
  Log.write(line, now);
  Server.reply(context.Request.ID, std::move(response));
  Contexts.erase(context.Request.ID);
}

void IngressTask::handleDisconnect(RequestID id) {
  const TimeMs now = steadyClockMs();
  const auto it = Contexts.find(id);
  if (it == Contexts.end())
    return;
  RequestContext &context = *it->second;
  if (context.AwaitsQuota)
    Quotas.cancel(id, context.Workspace);
  if (context.Call != 0) {
    Pool.cancel(context.Call);
    EndpointStates.recordDone(context.Host);
  }
  Stats.recordRequest(context.Route.Name, context.Call != 0 ? Outcome::Unknown : Outcome::NotRun,
                      Refusal::None, 0);
  Log.write(makeLogLine(context, "cancelled", now), now);
  Contexts.erase(it);
}

} // namespace jasmineloom
