/// @file gate_upstream.cpp The gate's calls to its upstream, and what their results tell of it.
#include "traffic/gate_context.h"
#include "traffic/response_check.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <cmath>

namespace jasmineloom {

namespace {

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
constexpr int FirstServerError = 500;
/// Time in which an upstream answers a question to its health path.
constexpr DurationMs HealthTimeout = 500;

} // namespace

HeaderFields withoutInternalFields(HeaderFields fields, const std::string &kept) {
  fields = endToEndFields(std::move(fields));
  std::erase_if(fields, [&kept](const HeaderField &field) {
    return absl::StartsWithIgnoreCase(field.Name, header::Prefix) &&
           !absl::EqualsIgnoreCase(field.Name, kept);
  });
  return fields;
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
  const TimeMs now = steadyClockMs();
  AdmissionControl.setUpstream(upstream, now);
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

void GateTask::recordWarmUp(DurationMs left) {
  const TimeMs now = steadyClockMs();
  AdmissionControl.warmUp().recordHeartbeat(left, now);
  recordWarmUpChange(now);
}

void GateTask::recordWarmUpChange(TimeMs now) {
  const WarmUp &warmUp = AdmissionControl.warmUp();
  Stats.setWarmUpLimit(warmUp.perSecond(now));
  const bool cold = warmUp.cold(now);
  if (std::exchange(LoggedCold, cold) == cold)
    return;
  Control.put(TrafficTimelineEvent{"warm-up", AdmissionControl.upstream().Service.str(),
                                   cold
                                       ? absl::StrCat("the upstream is cold; it gets ",
                                                      warmUp.perSecond(now), " requests per second")
                                       : "the upstream is warm"});
}

void GateTask::askHealth(TimeMs now) {
  WarmUp &warmUp = AdmissionControl.warmUp();
  // Nothing at all is sent to the upstreams of an evacuated data centre.
  if (Settings.Http.HealthPath.empty() || AdmissionControl.evacuated() || !warmUp.wantsHealth(now))
    return;
  warmUp.recordQuestion(now);
  Stats.recordHealthQuestion();
  HttpCall call;
  call.Path = Settings.Http.HealthPath;
  call.Timeout = HealthTimeout;
  call.ConnectTimeout = UpstreamConnectTimeout;
  const std::string &id = AdmissionControl.upstream().ID;
  if (!Settings.Http.Upstream.empty() && !id.empty())
    call.Headers.push_back({Settings.Http.Upstream, id});
  Pool.call(UpstreamAddress, std::move(call),
            [this, generation = AdmissionControl.generation(), now](const HttpResult &result) {
              handleHealth(result, generation, now);
            });
}

void GateTask::handleHealth(const HttpResult &result, UpstreamGeneration generation,
                            TimeMs askedAt) {
  if (generation != AdmissionControl.generation())
    return;
  const std::optional<DurationMs> left =
      warmUpLeftOf(Settings.Http, result, AdmissionControl.upstream().ID);
  if (!left.has_value())
    return;
  const TimeMs now = steadyClockMs();
  AdmissionControl.warmUp().recordHealth(*left, askedAt, now);
  recordWarmUpChange(now);
  processReleased(AdmissionControl.tick(now));
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
  if (kind != ResponseKind::Invalid)
    AdmissionControl.warmUp().recordResponse(steadyClockMs());
  if (AdmissionControl.applyLimit(limitStatementOf(Settings.Http, result, kind), steadyClockMs()))
    recordLimitChange();
  AdmissionControl.recordPace(paceOf(Settings.Http, result, kind), steadyClockMs());
  if (!statesLeaving(Settings.Http, result, kind))
    return;
  LeavingProcess = processOf(AdmissionControl.upstream());
  if (LeavingHandler)
    LeavingHandler();
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
  if (AdmissionControl.evacuated()) {
    releaseKey(context);
    refuse(context, Outcome::NotRun, Refusal::Evacuated);
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

void GateTask::handleUpstreamResult(RequestID id, HttpResult result) {
  RequestContext &context = *Contexts.at(id);
  context.Call = 0;
  if (!result.Complete) {
    if (!result.BytesSent) {
      if (isForPresentProcess(context))
        AdmissionControl.warmUp().suspect(steadyClockMs());
      context.ReachedUpstream = false;
      releaseKey(context);
      refuse(context, Outcome::NotRun, Refusal::Transport);
      return;
    }
    recordEvidence(context, result);
    recordResult(context, true);
    const bool cut = !result.TimedOut && !result.OddStatus && isForPresentProcess(context);
    if (cut)
      handleUpstreamCut(context);
    refuse(context, Outcome::Unknown,
           result.TimedOut    ? Refusal::Deadline
           : result.OddStatus ? Refusal::BadAnswer
           : cut              ? Refusal::UpstreamCut
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

void GateTask::recordResult(const RequestContext &context, bool failed) {
  if (isForPresentProcess(context))
    AdmissionControl.recordResult(failed);
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
  const bool warm = now >= WarmAt && !AdmissionControl.warmUp().cold(now);
  if (!failed && warm)
    ++counts.Latency[latencyBucket(static_cast<double>(steadyClockUs() - context.ForwardedAtUs))];
}

void GateTask::reportCrash() {
  if (AbsentHandler)
    AbsentHandler();
  const TimeMs now = steadyClockMs();
  AdmissionControl.warmUp().suspect(now);
  for (const std::uint64_t fingerprint : AdmissionControl.crashSuspects(CutFingerprints, now)) {
    AdmissionControl.crashes().recordCrash(fingerprint, now);
    for (const HostRecord &gate : gatesOfService()) {
      if (gate.Host == Settings.Host)
        continue;
      Pool.call(gate.GateAddress, makePeerCall(absl::StrCat(CrashPath, fingerprint)),
                [this, host = gate.Host](const HttpResult &result) {
                  if (!result.Complete)
                    News.recordFailure(host);
                });
    }
  }
}

void GateTask::sendEvidence() {
  EvidenceTimer.start(EvidencePeriod);
  recordWarmUpChange(steadyClockMs());
  if (!View)
    return;
  tellCrashes();
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

} // namespace jasmineloom
