/// @file gate_task.cpp Gate of the local upstream: admission, key claims, forwarding, evidence.
#include "traffic/gate_task.h"

#include "balance/peer_clock.h"
#include "secret.h"
#include "traffic/gate_context.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>
#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace jasmineloom {

namespace {

constexpr DurationMs QueueCheckPeriod = 20;

std::uint64_t fingerprintOf(const HttpRequest &request) {
  const std::string head = request.MethodName + ' ' + request.Path + ' ';
  const std::unique_ptr<XXH3_state_t, XXH_errorcode (*)(XXH3_state_t *)> state(XXH3_createState(),
                                                                               XXH3_freeState);
  XXH3_64bits_reset(state.get());
  XXH3_64bits_update(state.get(), head.data(), head.size());
  forEachPart(request.Body.get(), [&state](const void *bytes, std::size_t n) {
    XXH3_64bits_update(state.get(), bytes, n);
  });
  return XXH3_64bits_digest(state.get());
}

std::uint64_t numericHeaderOr(const HeaderFields &fields, const char *name,
                              std::uint64_t fallback) {
  const std::string *value = findHeader(fields, name);
  std::uint64_t number = 0;
  return value != nullptr && absl::SimpleAtoi(*value, &number) ? number : fallback;
}

/// @returns the request as admission control sees it, without ticket and fingerprint.
/// @param incarnation of this process.
GateRequest gateRequestOf(const HeaderFields &fields, std::uint64_t incarnation, TimeMs now) {
  GateRequest request;
  request.Service = ServiceName(headerValue(fields, header::Service));
  request.Version = VersionLabel(headerValue(fields, header::Version));
  request.Worth = static_cast<std::uint32_t>(numericHeaderOr(fields, header::Worth, 1));
  request.Deadline =
      statedDeadline(now + numericHeaderOr(fields, header::DeadlineMs, 0),
                     decodePeerTime(headerValue(fields, header::DeadlineAt)), incarnation);
  request.MayQueue = findHeader(fields, header::MayQueue) != nullptr;
  if (findHeader(fields, header::Objective) != nullptr)
    request.ObjectiveAt = now + numericHeaderOr(fields, header::Objective, 0);
  request.Route = RouteName(headerValue(fields, header::Route));
  return request;
}

/// A limit that the sender of a request knows of.
struct KnownLimit {
  double PerSecond = 0;
  std::string Process;
};

std::optional<KnownLimit> parseKnownLimit(const HeaderFields &fields) {
  const std::string text = headerValue(fields, header::Limit);
  const std::size_t comma = text.find(',');
  KnownLimit known;
  if (comma == std::string::npos || !absl::SimpleAtod(text.substr(0, comma), &known.PerSecond) ||
      !std::isfinite(known.PerSecond) || known.PerSecond < 0)
    return std::nullopt;
  known.Process = text.substr(comma + 1);
  return known;
}

} // namespace

GateTask::GateTask(event_base *base, const TrafficSettings &settings, HttpPool &pool,
                   HeldBytes &held, Metrics &metrics, ControlMailbox &control)
    : Settings(settings), Pool(pool), Stats(metrics), Control(control),
      Server(
          base,
          {settings.MaxBody, settings.MaxHeaderBytes * 2, settings.MaxConnections,
           ListenerReadTimeout},
          [this](HttpRequest request) { handleRequest(std::move(request)); },
          [this](RequestID id) { handleDisconnect(id); }, &held),
      News(settings.Host), QueueTimer(base, [this] { tick(); }),
      EvidenceTimer(base, [this] { sendEvidence(); }),
      CrashCheckTimer(base, [this] { checkForCrash(); }),
      ReplacementTimer(base, [this] { endReplacedCalls(false); }), Log("gate") {
  EvidenceTimer.start(EvidencePeriod);
  Server.setHeaderHandler([this](const RequestHeader &head) { return checkHeader(head); });
}

GateTask::~GateTask() = default;

bool GateTask::listen() { return Server.bind(Settings.GateIP, Settings.GatePort); }

void GateTask::setView(RoutingViewPtr view) {
  View = std::move(view);
  const TimeMs now = steadyClockMs();
  const ServiceView *service = View->serviceNamed(AdmissionControl.upstream().Service);
  AdmissionControl.warmUp().setPolicy(
      service == nullptr ? WarmUpPolicy{}
                         : WarmUpPolicy{service->WarmUpTime, service->WarmUpPerSecond},
      now);
  AdmissionControl.setEvacuated(View->Evacuated.contains(Settings.DataCentre), now);
  Stats.setEvacuated(AdmissionControl.evacuated());
  AdmissionControl.setTakenBack(service != nullptr &&
                                !mayServe(*service, AdmissionControl.upstream().Version));
  News.setGates(gatesOfService());
  tellCrashes();
  processReleased(AdmissionControl.tick(now));
}

void GateTask::beginDrain() {
  AdmissionControl.setDraining(true);
  refuseQueued();
}

void GateTask::stopListening() {
  beginDrain();
  Server.stopListening();
}

void GateTask::refuseQueued() {
  for (const GateTicket ticket : AdmissionControl.flush())
    refuse(*Contexts.at(ticket), Outcome::NotRun, Refusal::Draining);
}

bool GateTask::isTrusted(const HeaderFields &fields) const {
  return sameSecret(headerValue(fields, header::Secret), Settings.Secret);
}

std::optional<HttpResponse> GateTask::checkHeader(const RequestHeader &head) {
  const HeaderFields &fields = *head.Fields;
  const bool mayRefuse = findHeader(fields, header::LargeBody) != nullptr && isTrusted(fields) &&
                         !absl::StartsWith(head.Path, PeerCallPrefix);
  if (!mayRefuse)
    return std::nullopt;
  const TimeMs now = steadyClockMs();
  AdmissionResult result{Admission::Refused, Refusal::NoConfig, std::nullopt};
  if (View)
    result = AdmissionControl.checkHeader(gateRequestOf(fields, Settings.Incarnation, now), now);
  if (result.Result != Admission::Refused)
    return std::nullopt;
  Stats.recordGateRefusal(result.Reason);
  Stats.recordHeaderRefusal(head.DeclaredBody);
  askHealth(now);
  return makeRefusal(Outcome::NotRun, result.Reason, result.RetryAfter);
}

void GateTask::handleRequest(HttpRequest request) {
  if (!isTrusted(request.Headers)) {
    Server.reply(request.ID, {403, {{header::Reason, "secret"}}, makeBuffer("refused\n")});
    return;
  }
  if (absl::StartsWith(request.Path, PeerCallPrefix)) {
    std::visit([&](const auto &call) { handlePeerCall(call, request); },
               parsePeerCall(request.Path));
    return;
  }
  const TimeMs now = steadyClockMs();
  auto owned = std::make_unique<RequestContext>();
  RequestContext &context = *owned;
  context.Request = std::move(request);
  context.ArrivedAt = now;
  const HeaderFields &fields = context.Request.Headers;
  context.Attributes = gateRequestOf(fields, Settings.Incarnation, now);
  context.Route = context.Attributes.Route;
  if (findHeader(context.Request.Headers, header::Once) != nullptr)
    context.Key = headerValue(context.Request.Headers, header::Key);
  context.Attributes.Ticket = context.Request.ID;
  context.Attributes.Fingerprint = fingerprintOf(context.Request);
  // The body has been sent: without a slot it waits rather than being sent again.
  context.Attributes.MayQueue |= findHeader(fields, header::LargeBody) != nullptr;
  context.CallerRequestID = headerValue(context.Request.Headers, Settings.Http.RequestID);
  if (findHeader(context.Request.Headers, header::Suspect) != nullptr)
    AdmissionControl.crashes().markSuspect(context.Attributes.Fingerprint, now);
  if (const std::optional<KnownLimit> known = parseKnownLimit(context.Request.Headers);
      known.has_value() && !Settings.Http.Limit.empty() &&
      AdmissionControl.adoptLimit(known->PerSecond, known->Process, now))
    recordLimitChange();
  Contexts.emplace(context.Request.ID, std::move(owned));
  // Other nodes may route to this host before it has received its configuration.
  if (!View) {
    refuse(context, Outcome::NotRun, Refusal::NoConfig);
    return;
  }
  const AdmissionResult admitted = AdmissionControl.admit(context.Attributes, now);
  askHealth(now);
  if (admitted.Evicted.has_value())
    refuse(*Contexts.at(*admitted.Evicted), Outcome::NotRun, Refusal::Overloaded);
  if (admitted.Result == Admission::Refused)
    refuse(context, Outcome::NotRun, admitted.Reason, admitted.RetryAfter);
  if (admitted.Result == Admission::Run)
    startRequest(context);
  if (admitted.Result == Admission::Queued)
    QueueTimer.ensure(QueueCheckPeriod);
}

void GateTask::startRequest(RequestContext &context) {
  context.Running = true;
  context.Generation = AdmissionControl.generation();
  if (context.Key.empty())
    forward(context);
  else
    claimKey(context);
}

HeaderFields GateTask::stateHeaders() const {
  HeaderFields fields = {{header::Load, loadHeaderValue()}};
  const std::string process = processOf(AdmissionControl.upstream());
  if (!process.empty() && process == LeavingProcess)
    fields.push_back({header::Leaving, process});
  const TimeMs now = steadyClockMs();
  fields.push_back({header::Clock, encodePeerTime({Settings.Incarnation, now})});
  if (const double limit = AdmissionControl.limitPerSecond(now); limit > 0)
    fields.push_back(
        {header::Limit,
         absl::StrFormat("%.3f,%.2f,%s", limit, AdmissionControl.limitAvailable(now), process)});
  return fields;
}

std::string GateTask::loadHeaderValue() const {
  return absl::StrFormat("%d,%d,%.0f,%d", AdmissionControl.inFlight(), AdmissionControl.queued(),
                         AdmissionControl.presentServiceMs(steadyClockMs()),
                         AdmissionControl.failurePerMille());
}

void GateTask::respond(RequestContext &context, HttpResult result) {
  HttpResponse response;
  response.Status = result.Status;
  response.Headers = withoutInternalFields(std::move(result.Headers));
  response.Headers.push_back({header::Outcome, std::string(nameOf(Outcome::Answered))});
  for (HeaderField &field : stateHeaders())
    response.Headers.push_back(std::move(field));
  response.Body = std::move(result.Body);
  Server.reply(context.Request.ID, std::move(response));
  finishRequest(context);
}

void GateTask::finishRequest(RequestContext &context) {
  const bool wasRunning = context.Running;
  const std::uint64_t fingerprint = context.Attributes.Fingerprint;
  const UpstreamGeneration generation = context.Generation;
  Contexts.erase(context.Request.ID);
  if (wasRunning)
    processReleased(AdmissionControl.finish(steadyClockMs(), fingerprint, generation));
}

void GateTask::processReleased(const DequeueResult &released) {
  for (const ExcludedRequest &it : released.Excluded)
    refuse(*Contexts.at(it.Ticket), Outcome::NotRun, it.Reason);
  for (const GateTicket ticket : released.Expired)
    refuse(*Contexts.at(ticket), Outcome::NotRun, Refusal::Deadline);
  for (const GateTicket ticket : released.Run) {
    // The start of an earlier request can end this one, which has then released its slot already.
    const auto it = Contexts.find(ticket);
    if (it != Contexts.end())
      startRequest(*it->second);
  }
}

HttpResponse GateTask::makeRefusal(Outcome outcome, Refusal reason, DurationMs retryAfter) const {
  const int status = outcome == Outcome::NotRun ? 503 : reason == Refusal::KeyInUse ? 409 : 502;
  const std::string outcomeName(nameOf(outcome));
  const std::string reasonName(nameOf(reason));
  HttpResponse response{status,
                        {{header::Outcome, outcomeName}, {header::Reason, reasonName}},
                        makeBuffer(absl::StrCat(outcomeName, ": ", reasonName, "\n"))};
  for (HeaderField &field : stateHeaders())
    response.Headers.push_back(std::move(field));
  if (retryAfter != 0)
    response.Headers.push_back(
        {header::RetryAfter,
         absl::StrFormat("%.3f", static_cast<double>(retryAfter) / MsPerSecond)});
  return response;
}

void GateTask::refuse(RequestContext &context, Outcome outcome, Refusal reason,
                      DurationMs retryAfter) {
  const TimeMs now = steadyClockMs();
  Stats.recordGateRefusal(reason);
  if (!AdmissionControl.limit().mayStart(now))
    Stats.recordLimitRefusal();
  if (!AdmissionControl.warmUp().mayStart(now))
    Stats.recordWarmUpRefusal();
  HttpResponse response = makeRefusal(outcome, reason, retryAfter);
  if (context.ReachedUpstream)
    response.Headers.push_back({header::Reached, "1"});
  RequestLine line;
  line.Request = context.CallerRequestID;
  line.Decision = decisionOf(outcome);
  line.Reason = nameOf(reason);
  line.Route = context.Route.str();
  line.Left = context.Attributes.Deadline > now ? context.Attributes.Deadline - now : 0;
  line.RetryAfter = retryAfter;
  if (reason != Refusal::Busy)
    Log.write(line, now);
  Server.reply(context.Request.ID, std::move(response));
  finishRequest(context);
}

void GateTask::handleDisconnect(RequestID id) {
  const auto it = Contexts.find(id);
  if (it == Contexts.end())
    return;
  RequestContext &context = *it->second;
  const TimeMs now = steadyClockMs();
  RequestLine line;
  line.Request = context.CallerRequestID;
  line.Decision = "cancelled";
  line.Reason = context.Running ? "running" : "queued";
  line.Route = context.Route.str();
  line.Elapsed = now - context.ArrivedAt;
  Log.write(line, now);
  if (!context.Running) {
    AdmissionControl.cancelQueued(id);
    Contexts.erase(it);
    return;
  }
  if (context.Call == 0) {
    context.CallerDisconnected = true;
    return;
  }
  Pool.cancel(context.Call);
  finishRequest(context);
}

void GateTask::tick() {
  const TimeMs now = steadyClockMs();
  processReleased(AdmissionControl.tick(now));
  if (AdmissionControl.queued() > 0)
    askHealth(now);
  if (AdmissionControl.queued() > 0)
    QueueTimer.ensure(QueueCheckPeriod);
}

} // namespace jasmineloom
