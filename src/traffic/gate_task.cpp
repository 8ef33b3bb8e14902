/// @file gate_task.cpp Gate of the local upstream: admission, key claims, forwarding, evidence.
#include "traffic/gate_task.h"

#include "secret.h"
#include "traffic/response_check.h"

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
constexpr DurationMs EvidencePeriod = 500;
constexpr DurationMs ClaimTimeout = 300;
/// Time for which a key holder that did not respond to a claim counts as lost.
constexpr DurationMs UnreachableHolderTime = 5 * MsPerSecond;
constexpr std::uint32_t MaxClaimRounds = 3;
/// Warm-up time of an upstream that announces none. Its latencies are no evidence until then.
constexpr DurationMs DefaultWarmUpTime = 4 * MsPerSecond;
/// Connect timeout for the upstream, which runs on the same host.
constexpr DurationMs UpstreamConnectTimeout = 250;
/// Checks of an upstream that has cut off a request, and the pause between them; well below the
/// time in which a process starts again.
constexpr std::uint32_t MaxCrashChecks = 2;
constexpr DurationMs CrashCheckDelay = 100;
/// Time in which responses are read that an upstream had sent before another one replaced it.
constexpr DurationMs ReplacementGraceTime = 100;
/// Relative change of a limit from which it is written to the time line again.
constexpr double LoggedLimitChange = 0.2;
constexpr std::size_t KeysPerCall = 10000;
constexpr int StatusUnavailable = 503;
constexpr int StatusOk = 200;
constexpr int StatusBadRequest = 400;
constexpr int StatusKeyUsed = 409;
constexpr int StatusKeyTableFull = 507;
constexpr int FirstServerError = 500;

std::uint64_t fingerprintOf(const HttpRequest &request) {
  std::string text = request.MethodName + ' ' + request.Path + ' ';
  text += textOf(request.Body.get());
  return XXH3_64bits(text.data(), text.size());
}

/// @param kept name of a field that is forwarded although it has the prefix of internal ones.
/// @returns the fields to forward: neither hop-by-hop nor internal to the nodes.
HeaderFields withoutInternalFields(HeaderFields fields, const std::string &kept = {}) {
  fields = endToEndFields(std::move(fields));
  std::erase_if(fields, [&kept](const HeaderField &field) {
    return absl::StartsWithIgnoreCase(field.Name, header::Prefix) &&
           !absl::EqualsIgnoreCase(field.Name, kept);
  });
  return fields;
}

std::uint64_t numericHeaderOr(const HttpRequest &request, const char *name,
                              std::uint64_t fallback) {
  const std::string *value = findHeader(request.Headers, name);
  std::uint64_t number = 0;
  return value != nullptr && absl::SimpleAtoi(*value, &number) ? number : fallback;
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

struct GateTask::RequestContext {
  HttpRequest Request;
  std::string CallerRequestID; ///< Empty if the caller set none.
  TimeMs ArrivedAt = 0;
  GateRequest Attributes;
  RouteName Route;
  std::string Key;
  std::uint64_t KeyHash = 0;
  std::string ScopedKey;         ///< The key, prefixed with the service name.
  std::vector<HostID> GrantedBy; ///< Holders that granted the claim; may include this host.
  std::size_t PendingClaims = 0;
  std::uint32_t ClaimRounds = 0;
  bool KeyUnproved = false;
  bool KeyUsed = false;
  bool TableFull = false;
  bool HolderUnreachable = false;
  bool ReachedUpstream = false; ///< Sent to the upstream.
  bool Running = false;
  bool CallerDisconnected = false;
  HttpCallID Call = 0;
  std::uint64_t ForwardedAtUs = 0;
  UpstreamGeneration Generation = 0; ///< Of the upstream when the request was started.
  std::string UpstreamAddress;       ///< IP:port that the request was sent to.
};

GateTask::GateTask(event_base *base, const TrafficSettings &settings, HttpPool &pool,
                   HeldBytes &held, Metrics &metrics, ControlMailbox &control)
    : Settings(settings), Pool(pool), Stats(metrics), Control(control),
      Server(
          base,
          {settings.MaxBody, settings.MaxHeaderBytes * 2, settings.MaxConnections,
           ListenerReadTimeout},
          [this](HttpRequest request) { handleRequest(std::move(request)); },
          [this](RequestID id) { handleDisconnect(id); }, &held),
      QueueTimer(base, [this] { tick(); }), EvidenceTimer(base, [this] { sendEvidence(); }),
      CrashCheckTimer(base, [this] { checkForCrash(); }),
      ReplacementTimer(base, [this] { endReplacedCalls(false); }), Log("gate") {
  EvidenceTimer.start(EvidencePeriod);
}

GateTask::~GateTask() = default;

bool GateTask::listen() { return Server.bind(Settings.GateIP, Settings.GatePort); }

void GateTask::setView(RoutingViewPtr view) {
  View = std::move(view);
  const ServiceView *service = View->serviceNamed(AdmissionControl.upstream().Service);
  AdmissionControl.setTakenBack(service != nullptr &&
                                !mayServe(*service, AdmissionControl.upstream().Version));
  processReleased(AdmissionControl.tick(steadyClockMs()));
}

void GateTask::setUpstream(const LocalUpstream &upstream, const std::string &address, bool draining,
                           DurationMs warmUpLeft) {
  const bool replaced = UpstreamAddress != address || !(AdmissionControl.upstream() == upstream);
  if (replaced) {
    const bool hasID = !upstream.ID.empty();
    WarmAt = steadyClockMs() + (hasID ? warmUpLeft : DefaultWarmUpTime);
    // Open connections lead to the previous upstream process, even if they still look open.
    Pool.retireConnections(UpstreamAddress);
  }
  UpstreamAddress = address;
  const double limit = AdmissionControl.limit().perSecond();
  const UpstreamGeneration generation = AdmissionControl.generation();
  AdmissionControl.setUpstream(upstream);
  if (AdmissionControl.limit().perSecond() != limit)
    recordLimitChange();
  AdmissionControl.setDraining(draining);
  if (draining)
    refuseQueued();
  if (View)
    setView(View);
  if (AdmissionControl.generation() != generation) {
    endReplacedCalls(true);
    ReplacementTimer.start(ReplacementGraceTime);
  }
}

bool GateTask::isForPresentProcess(const RequestContext &context) const {
  return context.Generation == AdmissionControl.generation();
}

void GateTask::endReplacedCalls(bool onlyUnsent) {
  std::vector<HttpCallID> calls;
  for (const auto &[id, context] : Contexts) {
    const bool replaced = context->Call != 0 && !isForPresentProcess(*context) &&
                          context->UpstreamAddress == UpstreamAddress;
    if (replaced && !(onlyUnsent && Pool.hasSent(context->Call)))
      calls.push_back(context->Call);
  }
  for (const HttpCallID call : calls)
    Pool.abandon(call);
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

bool GateTask::isTrusted(const HttpRequest &request) const {
  return sameSecret(headerValue(request.Headers, header::Secret), Settings.Secret);
}

void GateTask::handleRequest(HttpRequest request) {
  if (!isTrusted(request)) {
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
  context.Route = RouteName(headerValue(context.Request.Headers, header::Route));
  if (findHeader(context.Request.Headers, header::Once) != nullptr)
    context.Key = headerValue(context.Request.Headers, header::Key);
  context.Attributes.Ticket = context.Request.ID;
  context.Attributes.Service = ServiceName(headerValue(context.Request.Headers, header::Service));
  context.Attributes.Version = VersionLabel(headerValue(context.Request.Headers, header::Version));
  context.Attributes.Worth =
      static_cast<std::uint32_t>(numericHeaderOr(context.Request, header::Worth, 1));
  context.Attributes.Deadline = now + numericHeaderOr(context.Request, header::DeadlineMs, 0);
  context.Attributes.Fingerprint = fingerprintOf(context.Request);
  if (findHeader(context.Request.Headers, header::Objective) != nullptr)
    context.Attributes.ObjectiveAt = now + numericHeaderOr(context.Request, header::Objective, 0);
  context.Attributes.Route = context.Route;
  context.Attributes.MayQueue = findHeader(context.Request.Headers, header::MayQueue) != nullptr;
  context.CallerRequestID = headerValue(context.Request.Headers, Settings.Http.RequestID);
  if (findHeader(context.Request.Headers, header::Suspect) != nullptr)
    AdmissionControl.crashes().markSuspect(context.Attributes.Fingerprint, now);
  if (const std::optional<KnownLimit> known = parseKnownLimit(context.Request.Headers);
      known.has_value() && AdmissionControl.adoptLimit(known->PerSecond, known->Process, now))
    recordLimitChange();
  Contexts.emplace(context.Request.ID, std::move(owned));
  // Other nodes may route to this host before it has received its configuration.
  if (!View) {
    refuse(context, Outcome::NotRun, Refusal::NoConfig);
    return;
  }
  const AdmissionResult admitted = AdmissionControl.admit(context.Attributes, now);
  if (admitted.Evicted.has_value())
    refuse(*Contexts.at(*admitted.Evicted), Outcome::NotRun, Refusal::Overloaded);
  if (admitted.Result == Admission::Refused)
    refuse(context, Outcome::NotRun, admitted.Reason, admitted.RetryAfter);
  if (admitted.Result == Admission::Run)
    startRequest(context);
  if (admitted.Result == Admission::Queued)
    QueueTimer.ensure(QueueCheckPeriod);
}

void GateTask::handlePeerCall(const InvalidPeerCall &, const HttpRequest &request) {
  Server.reply(request.ID, {StatusBadRequest, {}, nullptr});
}

void GateTask::handlePeerCall(const ReleaseCall &call, const HttpRequest &request) {
  Keys.release(call.Key);
  Server.reply(request.ID, {StatusOk, {}, nullptr});
}

void GateTask::handlePeerCall(const ClaimCall &call, const HttpRequest &request) {
  // A key claimed now would not be part of the transfer, and would be lost when this host leaves.
  if (TransferringKeys) {
    Server.reply(request.ID, {StatusUnavailable, {}, nullptr});
    return;
  }
  const KeyClaim claim = Keys.claim(call.Key, wallClockMs());
  const int status = claim == KeyClaim::New    ? StatusOk
                     : claim == KeyClaim::Used ? StatusKeyUsed
                                               : StatusKeyTableFull;
  Server.reply(request.ID, {status, {}, nullptr});
}

void GateTask::handlePeerCall(const KeyTransferCall &, const HttpRequest &request) {
  const std::string text = textOf(request.Body.get());
  for (const absl::string_view line : absl::StrSplit(text, '\n', absl::SkipEmpty())) {
    const std::pair<absl::string_view, absl::string_view> parts = absl::StrSplit(line, ' ');
    ClaimedKey key;
    if (absl::SimpleAtoi(parts.first, &key.Key) && absl::SimpleAtoi(parts.second, &key.Expires))
      Keys.addTransferred(key);
  }
  Server.reply(request.ID, {TransferringKeys ? StatusUnavailable : StatusOk, {}, nullptr});
}

std::vector<std::string> GateTask::peerGates() const {
  std::vector<std::string> gates;
  if (!View)
    return gates;
  for (const HostRecord &record : View->Hosts) {
    const bool isPeer = record.Service == AdmissionControl.upstream().Service &&
                        record.Host != Settings.Host && record.State != HostState::Gone;
    if (isPeer)
      gates.push_back(record.GateAddress);
  }
  return gates;
}

void GateTask::transferKeys(DurationMs timeout, std::function<void(bool)> done) {
  /// State shared by the calls of the transfer.
  struct Progress {
    std::size_t Open = 0;
    bool Failed = false;
    std::function<void(bool)> Done;
  };
  TransferringKeys = true;
  const std::vector<ClaimedKey> keys = Keys.claimedKeys();
  const std::vector<std::string> gates = peerGates();
  if (keys.empty() || gates.empty()) {
    done(keys.empty());
    return;
  }
  auto progress = std::make_shared<Progress>();
  progress->Done = std::move(done);
  for (std::size_t first = 0; first < keys.size(); first += KeysPerCall) {
    std::string body;
    for (std::size_t it = first; it < std::min(keys.size(), first + KeysPerCall); ++it)
      absl::StrAppend(&body, keys[it].Key, " ", keys[it].Expires, "\n");
    for (const std::string &gate : gates) {
      HttpCall call = makePeerCall(KeysPath);
      call.Method = EVHTTP_REQ_POST;
      call.Timeout = timeout;
      call.Body = makeBuffer(body);
      ++progress->Open;
      Pool.call(gate, std::move(call), [progress](const HttpResult &result) {
        progress->Failed |= !result.Complete || result.Status != StatusOk;
        if (--progress->Open == 0)
          progress->Done(!progress->Failed);
      });
    }
  }
}

void GateTask::handlePeerCall(const CrashReportCall &call, const HttpRequest &request) {
  AdmissionControl.crashes().recordCrash(call.Fingerprint, steadyClockMs());
  Server.reply(request.ID, {StatusOk, {}, nullptr});
}

std::string GateTask::gateAddress(const HostID &host) const {
  for (const HostRecord &record : View->Hosts) {
    if (record.Host == host)
      return record.GateAddress;
  }
  return {};
}

HttpCall GateTask::makePeerCall(const std::string &path) const {
  HttpCall call;
  call.Path = path;
  call.Headers = {{header::Secret, Settings.Secret}};
  call.Timeout = ClaimTimeout;
  return call;
}

void GateTask::startRequest(RequestContext &context) {
  context.Running = true;
  context.Generation = AdmissionControl.generation();
  if (context.Key.empty())
    forward(context);
  else
    claimKey(context);
}

KeyClaimPlan GateTask::keyPlanFor(const RequestContext &context, TimeMs now) const {
  std::vector<KeyHolder> hosts;
  for (const HostRecord &record : View->Hosts) {
    if (record.Service != context.Attributes.Service)
      continue;
    const auto it = UnreachableUntil.find(record.Host);
    const bool unreachable = it != UnreachableUntil.end() && now < it->second;
    const bool gone = record.State == HostState::Gone || unreachable;
    hosts.push_back({record.Host, record.Incarnation, gone ? now : 0, record.KeysHandedOver,
                     record.ReplacedIncarnation != 0});
  }
  return planKeyClaim(hosts, context.ScopedKey, now);
}

void GateTask::claimKey(RequestContext &context) {
  context.ScopedKey = context.Attributes.Service.str() + '/' + context.Key;
  context.KeyHash = XXH3_64bits(context.ScopedKey.data(), context.ScopedKey.size());
  // Claim locally first, so that two copies of a request at this gate can't both proceed.
  const KeyClaim localClaim = Keys.claim(context.KeyHash, wallClockMs());
  context.KeyUsed = localClaim == KeyClaim::Used;
  context.TableFull = localClaim == KeyClaim::Full;
  if (localClaim == KeyClaim::New) {
    context.GrantedBy.push_back(Settings.Host);
    claimAtHolders(context);
    return;
  }
  finishClaims(context);
}

void GateTask::claimAtHolders(RequestContext &context) {
  const KeyClaimPlan plan = keyPlanFor(context, wallClockMs());
  context.KeyUnproved = !plan.Provable;
  context.HolderUnreachable = false;
  const RequestID id = context.Request.ID;
  std::vector<HostID> missing;
  for (const HostID &holder : plan.Holders) {
    if (std::find(context.GrantedBy.begin(), context.GrantedBy.end(), holder) ==
        context.GrantedBy.end())
      missing.push_back(holder);
  }
  if (context.KeyUnproved || missing.empty()) {
    finishClaims(context);
    return;
  }
  context.PendingClaims = missing.size();
  for (const HostID &holder : missing) {
    Pool.call(
        gateAddress(holder), makePeerCall(absl::StrCat(ClaimPath, context.KeyHash)),
        [this, id, holder](const HttpResult &result) { handleClaimResponse(id, holder, result); });
  }
}

void GateTask::handleClaimResponse(RequestID id, const HostID &holder, const HttpResult &result) {
  RequestContext &context = *Contexts.at(id);
  const int status = result.Complete ? result.Status : 0;
  if (status == StatusOk)
    context.GrantedBy.push_back(holder);
  context.KeyUsed |= status == StatusKeyUsed;
  context.TableFull |= status == StatusKeyTableFull;
  if (status != StatusOk && status != StatusKeyUsed && status != StatusKeyTableFull) {
    context.HolderUnreachable = true;
    UnreachableUntil[holder] = wallClockMs() + UnreachableHolderTime;
  }
  if (--context.PendingClaims == 0)
    finishClaims(context);
}

void GateTask::finishClaims(RequestContext &context) {
  if (context.KeyUsed) {
    refuse(context, Outcome::Unknown, Refusal::KeyInUse);
    return;
  }
  if (context.HolderUnreachable && !context.TableFull && !context.CallerDisconnected &&
      ++context.ClaimRounds < MaxClaimRounds) {
    claimAtHolders(context);
    return;
  }
  if (context.TableFull || context.HolderUnreachable || context.KeyUnproved ||
      context.CallerDisconnected) {
    releaseKey(context);
    if (context.TableFull)
      refuse(context, Outcome::NotRun, Refusal::KeyTableFull);
    else
      refuse(context, Outcome::Unknown, Refusal::KeyUnproved);
    return;
  }
  forward(context);
}

void GateTask::releaseKey(RequestContext &context) {
  for (const HostID &holder : context.GrantedBy) {
    if (holder == Settings.Host) {
      Keys.release(context.KeyHash);
      continue;
    }
    Pool.call(gateAddress(holder), makePeerCall(absl::StrCat(ReleasePath, context.KeyHash)),
              [](const HttpResult &) {});
  }
  context.GrantedBy.clear();
}

void GateTask::forward(RequestContext &context) {
  const TimeMs now = steadyClockMs();
  if (now >= context.Attributes.Deadline) {
    releaseKey(context);
    refuse(context, Outcome::NotRun, Refusal::Deadline);
    return;
  }
  // The upstream may have been replaced while other hosts granted the key.
  if (!isForPresentProcess(context)) {
    releaseKey(context);
    refuse(context, Outcome::NotRun, Refusal::WrongUpstream);
    return;
  }
  context.ForwardedAtUs = steadyClockUs();
  context.ReachedUpstream = true;
  context.UpstreamAddress = UpstreamAddress;
  const RequestID id = context.Request.ID;
  // The call takes the request's body.
  Server.setKept(id, 0);
  context.Call =
      Pool.call(UpstreamAddress, makeUpstreamCall(context, now),
                [this, id](HttpResult result) { handleUpstreamResult(id, std::move(result)); });
}

HttpCall GateTask::makeUpstreamCall(RequestContext &context, TimeMs now) const {
  HttpCall call;
  call.Method = context.Request.Method;
  call.Path = context.Request.Path;
  call.Timeout = context.Attributes.Deadline - now;
  call.ConnectTimeout = UpstreamConnectTimeout;
  call.EchoedField = Settings.Http.RequestID;
  call.Headers = withoutInternalFields(context.Request.Headers, Settings.Http.CallerService);
  if (!Settings.Http.Deadline.empty())
    call.Headers.push_back({Settings.Http.Deadline, absl::StrCat(call.Timeout)});
  if (!Settings.Http.Upstream.empty() && !AdmissionControl.upstream().ID.empty())
    call.Headers.push_back({Settings.Http.Upstream, AdmissionControl.upstream().ID});
  call.Body = std::move(context.Request.Body);
  return call;
}

void GateTask::handleUpstreamResult(RequestID id, HttpResult result) {
  RequestContext &context = *Contexts.at(id);
  context.Call = 0;
  if (!result.Complete) {
    if (!result.BytesSent) {
      context.ReachedUpstream = false;
      releaseKey(context);
      refuse(context, Outcome::NotRun, Refusal::Transport);
      return;
    }
    recordEvidence(context, result);
    recordResult(context, true);
    const bool cut = !result.TimedOut && isForPresentProcess(context);
    if (cut)
      handleUpstreamCut(context);
    refuse(context, Outcome::Unknown,
           result.TimedOut ? Refusal::Deadline
           : cut           ? Refusal::UpstreamCut
                           : Refusal::Transport);
    return;
  }
  const ResponseKind kind = classifyResponse(Settings.Http, result, context.CallerRequestID);
  applyUpstreamState(context, result, kind);
  switch (kind) {
  case ResponseKind::NotRun:
    recordResult(context, true);
    releaseKey(context);
    refuse(context, Outcome::NotRun, Refusal::NotTaken);
    return;
  case ResponseKind::Invalid:
    recordEvidence(context, result);
    recordResult(context, true);
    refuse(context, Outcome::Unknown, Refusal::BadAnswer);
    return;
  case ResponseKind::Valid:
    recordEvidence(context, result);
    if (isForPresentProcess(context))
      AdmissionControl.recordServiceTime(context.Route,
                                         (steadyClockUs() - context.ForwardedAtUs) / 1000);
    recordResult(context, result.Status >= FirstServerError);
    AdmissionControl.crashes().clear(context.Attributes.Fingerprint);
    respond(context, std::move(result));
    return;
  }
}

void GateTask::applyUpstreamState(const RequestContext &context, const HttpResult &result,
                                  ResponseKind kind) {
  // A late response of an earlier process says nothing about the present one.
  if (!isForPresentProcess(context))
    return;
  // Its limit and its leaving are not those of the upstream.
  if (isFromOtherProcess(Settings.Http, result, kind)) {
    if (AbsentHandler)
      AbsentHandler();
    return;
  }
  if (AdmissionControl.applyLimit(limitStatementOf(Settings.Http, result, kind), steadyClockMs()))
    recordLimitChange();
  if (!statesLeaving(Settings.Http, result, kind))
    return;
  LeavingProcess = processOf(AdmissionControl.upstream());
  if (LeavingHandler)
    LeavingHandler();
}

void GateTask::recordResult(const RequestContext &context, bool failed) {
  if (isForPresentProcess(context))
    AdmissionControl.recordResult(failed);
}

void GateTask::recordLimitChange() {
  const double limit = AdmissionControl.limit().perSecond();
  Stats.setUpstreamLimit(limit);
  if (limit != 0 && std::abs(limit - LoggedLimit) <= LoggedLimitChange * LoggedLimit)
    return;
  LoggedLimit = limit;
  Control.put(TrafficTimelineEvent{
      "limit", AdmissionControl.upstream().Service.str(),
      limit == 0 ? "no limit any more"
                 : absl::StrCat("the upstream takes ", limit, " requests per second")});
}

HeaderFields GateTask::stateHeaders() const {
  HeaderFields fields = {{header::Load, loadHeaderValue()}};
  const std::string process = processOf(AdmissionControl.upstream());
  if (!process.empty() && process == LeavingProcess)
    fields.push_back({header::Leaving, process});
  const RequestLimit &limit = AdmissionControl.limit();
  if (limit.active())
    fields.push_back({header::Limit, absl::StrFormat("%.3f,%.2f,%s", limit.perSecond(),
                                                     limit.available(steadyClockMs()), process)});
  return fields;
}

std::string GateTask::loadHeaderValue() const {
  return absl::StrFormat("%d,%d,%.0f,%d", AdmissionControl.inFlight(), AdmissionControl.queued(),
                         AdmissionControl.meanServiceMs(), AdmissionControl.failurePerMille());
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

void GateTask::handleUpstreamCut(const RequestContext &context) {
  Control.put(
      TrafficTimelineEvent{"upstream-cut", AdmissionControl.upstream().Service.str(),
                           absl::StrCat("no complete response to request ", context.Request.Path)});
  const bool isFirst = CutFingerprints.empty();
  CutFingerprints.push_back(context.Attributes.Fingerprint);
  if (!isFirst)
    return;
  checkForCrash();
}

void GateTask::checkForCrash() {
  // An incomplete response alone is no proof of a crash: the upstream has crashed if its port does
  // not accept connections.
  Pool.checkReachable(UpstreamAddress, [this](bool reachable) {
    if (!reachable)
      reportCrash();
    // A process that ends closes its connections before its listener, so its port may accept a
    // connection shortly after.
    if (reachable && ++CrashChecks < MaxCrashChecks) {
      CrashCheckTimer.start(CrashCheckDelay);
      return;
    }
    CrashChecks = 0;
    CutFingerprints.clear();
  });
}

void GateTask::reportCrash() {
  if (AbsentHandler)
    AbsentHandler();
  const TimeMs now = steadyClockMs();
  for (const std::uint64_t fingerprint : AdmissionControl.crashSuspects(CutFingerprints, now)) {
    AdmissionControl.crashes().recordCrash(fingerprint, now);
    for (const std::string &gate : peerGates())
      Pool.call(gate, makePeerCall(absl::StrCat(CrashPath, fingerprint)),
                [](const HttpResult &) {});
  }
}

void GateTask::recordEvidence(const RequestContext &context, const HttpResult &result) {
  if (!View)
    return;
  const ServiceView *service = View->serviceNamed(context.Attributes.Service);
  if (service == nullptr || !service->Rollout.has_value() ||
      service->Progress.Phase != RolloutPhase::Running)
    return;
  const TimeMs now = steadyClockMs();
  VersionCounts &counts =
      Evidence[now / EvidenceBucketMs][{context.Route, context.Attributes.Version}];
  ++counts.Requests;
  const bool failed = !result.Complete || result.Status >= FirstServerError;
  counts.Failures += failed ? 1 : 0;
  const bool warm = now >= WarmAt;
  if (!failed && warm)
    ++counts.Latency[latencyBucket(static_cast<double>(steadyClockUs() - context.ForwardedAtUs))];
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

void GateTask::refuse(RequestContext &context, Outcome outcome, Refusal reason,
                      DurationMs retryAfter) {
  const TimeMs now = steadyClockMs();
  Stats.recordGateRefusal(reason);
  if (!AdmissionControl.limit().mayStart(now))
    Stats.recordLimitRefusal();
  const int status = outcome == Outcome::NotRun ? 503 : reason == Refusal::KeyInUse ? 409 : 502;
  const std::string outcomeName(nameOf(outcome));
  const std::string reasonName(nameOf(reason));
  HttpResponse response{status,
                        {{header::Outcome, outcomeName}, {header::Reason, reasonName}},
                        makeBuffer(absl::StrCat(outcomeName, ": ", reasonName, "\n"))};
  for (HeaderField &field : stateHeaders())
    response.Headers.push_back(std::move(field));
  if (context.ReachedUpstream)
    response.Headers.push_back({header::Reached, "1"});
  if (retryAfter != 0)
    response.Headers.push_back(
        {header::RetryAfter,
         absl::StrFormat("%.3f", static_cast<double>(retryAfter) / MsPerSecond)});
  RequestLine line;
  line.Request = context.CallerRequestID;
  line.Decision = decisionOf(outcome);
  line.Reason = reasonName;
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

void GateTask::sendEvidence() {
  EvidenceTimer.start(EvidencePeriod);
  if (!View)
    return;
  const std::uint64_t bucket = steadyClockMs() / EvidenceBucketMs;
  const ServiceView *service = View->serviceNamed(AdmissionControl.upstream().Service);
  if (service != nullptr && service->Rollout.has_value()) {
    // A controller counts the gates that report, so one without requests reports as well.
    Evidence.try_emplace(bucket);
    EvidenceUpdate update;
    for (const auto &[index, counts] : Evidence)
      update.Reports.push_back({service->Rollout->ID, Settings.Host, Settings.Incarnation, index,
                                counts, static_cast<std::uint32_t>(bucket - index)});
    Control.put(std::move(update));
  }
  std::erase_if(Evidence, [bucket](const auto &it) { return it.first + 1 < bucket; });
}

void GateTask::tick() {
  processReleased(AdmissionControl.tick(steadyClockMs()));
  if (AdmissionControl.queued() > 0)
    QueueTimer.ensure(QueueCheckPeriod);
}

} // namespace jasmineloom
