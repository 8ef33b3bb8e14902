/// @file gate_task.cpp The gate beside an upstream: admission, key claims, forwarding, evidence.
#include "traffic/gate_task.h"

#include "secret.h"
#include "traffic/answer_check.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>
#include <xxhash.h>

#include <algorithm>

namespace jasmineloom {

namespace {

constexpr DurationMs TickPeriod = 20;
constexpr DurationMs EvidencePeriod = 500;
constexpr DurationMs ClaimTimeout = 300;
/// Time for which a holder that did not answer is taken for lost.
constexpr DurationMs UnreachableTime = 5 * MsPerSecond;
constexpr std::uint32_t MaxClaimRounds = 3;
/// Time after its start in which an upstream's latency is no evidence, where it doesn't tell.
constexpr DurationMs WarmUp = 4 * MsPerSecond;
/// Time in which a connection to the upstream on the same machine must open.
constexpr DurationMs UpstreamConnectTimeout = 250;
constexpr const char *ClaimPath = "/.jasmineloom/claim/";
constexpr const char *ReleasePath = "/.jasmineloom/release/";
constexpr const char *CrashPath = "/.jasmineloom/crash/";
constexpr const char *KeysPath = "/.jasmineloom/keys";
constexpr std::size_t KeysPerCall = 10000;
constexpr DurationMs HandOverTimeout = 2 * MsPerSecond;
constexpr int StatusLeaving = 503;
constexpr int StatusNew = 200;
constexpr int StatusUsed = 409;
constexpr int StatusFull = 507;
constexpr int FirstServerError = 500;

std::uint64_t fingerprintOf(const HttpRequest &request) {
  std::string text = request.MethodName + ' ' + request.Path + ' ';
  text += textOf(request.Body.get());
  return XXH3_64bits(text.data(), text.size());
}

/// @returns the fields to forward, without those that nodes set between themselves.
HeaderFields withoutOwnFields(HeaderFields fields) {
  fields = endToEndFields(std::move(fields));
  std::erase_if(fields, [](const HeaderField &field) {
    return absl::StartsWithIgnoreCase(field.Name, header::Prefix);
  });
  return fields;
}

std::uint64_t numberOr(const HttpRequest &request, const char *name, std::uint64_t fallback) {
  const std::string *value = findHeader(request.Headers, name);
  std::uint64_t number = 0;
  return value != nullptr && absl::SimpleAtoi(*value, &number) ? number : fallback;
}

} // namespace

struct GateTask::Job {
  HttpRequest Request;
  std::string Identity; ///< Of the request, as the caller named it.
  GateRequest Asked;
  RouteName Route;
  std::string Key;
  std::uint64_t KeyHash = 0;
  std::string ScopedKey;       ///< The key within its service.
  std::vector<HostID> Claimed; ///< Holders that said New, this host included.
  std::size_t ClaimsOpen = 0;
  std::uint32_t ClaimRounds = 0;
  bool KeyUnproved = false;
  bool KeyUsed = false;
  bool KeyFull = false;
  bool KeyLost = false;
  bool Reached = false; ///< It has been handed to the upstream.
  bool Running = false;
  bool CallerGone = false;
  HttpCallID Call = 0;
  std::uint64_t StartedUs = 0;
};

GateTask::GateTask(event_base *base, const TrafficSettings &settings, HttpPool &pool,
                   Metrics &metrics, ControlMailbox &control)
    : Settings(settings), Pool(pool), Figures(metrics), Control(control),
      Server(
          base,
          {settings.MaxBody, settings.MaxHeaderBytes * 2, settings.MaxConnections,
           ListenerReadTimeout},
          [this](HttpRequest request) { take(std::move(request)); },
          [this](RequestID id) { gone(id); }),
      Ticker(base, [this] { tick(); }), EvidenceTimer(base, [this] { sendEvidence(); }),
      Log("gate") {
  EvidenceTimer.start(EvidencePeriod);
}

GateTask::~GateTask() = default;

bool GateTask::listen() { return Server.bind(Settings.GateIP, Settings.GatePort); }

void GateTask::setView(RoutingViewPtr view) {
  View = std::move(view);
  const ServiceView *service = View->serviceNamed(Admission.upstream().Service);
  Admission.setTakenBack(service != nullptr && !mayServe(*service, Admission.upstream().Version));
}

void GateTask::setUpstream(const LocalUpstream &upstream, const std::string &address, bool draining,
                           DurationMs coldFor) {
  const bool other = UpstreamAddress != address || !(Admission.upstream() == upstream);
  if (other) {
    const bool told = !upstream.ID.empty();
    WarmSince = steadyClockMs() + (told ? coldFor : WarmUp);
    // Connections to the process before this one may still look open.
    Pool.closeIdle(UpstreamAddress);
  }
  UpstreamAddress = address;
  Admission.setUpstream(upstream);
  Admission.setDraining(draining);
  if (draining)
    flushQueue();
  if (View)
    setView(View);
}

void GateTask::beginDrain() {
  Admission.setDraining(true);
  flushQueue();
}

void GateTask::flushQueue() {
  for (const GateTicket ticket : Admission.flush())
    refuse(*Jobs.at(ticket), Outcome::NotRun, Refusal::Draining);
}

bool GateTask::trusted(const HttpRequest &request) const {
  return sameSecret(headerValue(request.Headers, header::Secret), Settings.Secret);
}

void GateTask::take(HttpRequest request) {
  if (!trusted(request)) {
    Server.reply(request.ID, {403, {{header::Reason, "secret"}}, makeBuffer("refused\n")});
    return;
  }
  if (absl::StartsWith(request.Path, "/.jasmineloom/")) {
    if (absl::StartsWith(request.Path, CrashPath))
      takeCrash(request);
    else if (request.Path == KeysPath)
      takeKeys(request);
    else
      takeClaim(request);
    return;
  }
  const TimeMs now = steadyClockMs();
  auto made = std::make_unique<Job>();
  Job &job = *made;
  job.Request = std::move(request);
  job.Route = RouteName(headerValue(job.Request.Headers, header::Route));
  if (findHeader(job.Request.Headers, header::Once) != nullptr)
    job.Key = headerValue(job.Request.Headers, header::Key);
  job.Asked.Ticket = job.Request.ID;
  job.Asked.Service = ServiceName(headerValue(job.Request.Headers, header::Service));
  job.Asked.Version = VersionLabel(headerValue(job.Request.Headers, header::Version));
  job.Asked.Worth = static_cast<std::uint32_t>(numberOr(job.Request, header::Worth, 1));
  job.Asked.Deadline = now + numberOr(job.Request, header::DeadlineMs, 0);
  job.Asked.Fingerprint = fingerprintOf(job.Request);
  if (findHeader(job.Request.Headers, header::Objective) != nullptr)
    job.Asked.ObjectiveAt = now + numberOr(job.Request, header::Objective, 0);
  job.Asked.Route = job.Route;
  job.Asked.MayQueue = findHeader(job.Request.Headers, header::MayQueue) != nullptr;
  job.Identity = headerValue(job.Request.Headers, Settings.Http.RequestID);
  if (findHeader(job.Request.Headers, header::Suspect) != nullptr)
    Admission.crashes().suspectAtLeast(job.Asked.Fingerprint, now);
  Jobs.emplace(job.Request.ID, std::move(made));
  // Other nodes may know this host before it has its configuration.
  if (!View) {
    refuse(job, Outcome::NotRun, Refusal::NoConfig);
    return;
  }
  const AdmissionResult admitted = Admission.admit(job.Asked, now);
  if (admitted.Evicted.has_value())
    refuse(*Jobs.at(*admitted.Evicted), Outcome::NotRun, Refusal::Overloaded);
  if (admitted.Result == Admission::Refused)
    refuse(job, Outcome::NotRun, admitted.Reason, admitted.RetryAfter);
  if (admitted.Result == Admission::Run)
    begin(job);
  if (admitted.Result == Admission::Queued)
    Ticker.ensure(TickPeriod);
}

void GateTask::takeClaim(const HttpRequest &request) {
  const bool release = absl::StartsWith(request.Path, ReleasePath);
  const std::string text =
      request.Path.substr(std::char_traits<char>::length(release ? ReleasePath : ClaimPath));
  std::uint64_t key = 0;
  if (!absl::SimpleAtoi(text, &key)) {
    Server.reply(request.ID, {400, {}, nullptr});
    return;
  }
  if (release) {
    Keys.release(key);
    Server.reply(request.ID, {StatusNew, {}, nullptr});
    return;
  }
  // A key claimed here now would be at no other gate after this one has left.
  if (HandingOver) {
    Server.reply(request.ID, {StatusLeaving, {}, nullptr});
    return;
  }
  const KeyClaim claim = Keys.claim(key, wallClockMs());
  const int status = claim == KeyClaim::New    ? StatusNew
                     : claim == KeyClaim::Used ? StatusUsed
                                               : StatusFull;
  Server.reply(request.ID, {status, {}, nullptr});
}

void GateTask::takeKeys(const HttpRequest &request) {
  const std::string text = textOf(request.Body.get());
  for (const absl::string_view line : absl::StrSplit(text, '\n', absl::SkipEmpty())) {
    const std::pair<absl::string_view, absl::string_view> parts = absl::StrSplit(line, ' ');
    RememberedKey key;
    if (absl::SimpleAtoi(parts.first, &key.Key) && absl::SimpleAtoi(parts.second, &key.Expires))
      Keys.takeOver(key);
  }
  Server.reply(request.ID, {HandingOver ? StatusLeaving : StatusNew, {}, nullptr});
}

std::vector<std::string> GateTask::otherGates() const {
  std::vector<std::string> gates;
  if (!View)
    return gates;
  for (const HostRecord &record : View->Hosts) {
    const bool other = record.Service == Admission.upstream().Service &&
                       record.Host != Settings.Host && record.State != HostState::Gone;
    if (other)
      gates.push_back(record.GateAddress);
  }
  return gates;
}

void GateTask::handOver(std::function<void(bool)> done) {
  /// What is left of the hand-over.
  struct Progress {
    std::size_t Open = 0;
    bool Failed = false;
    std::function<void(bool)> Done;
  };
  HandingOver = true;
  const std::vector<RememberedKey> keys = Keys.all();
  const std::vector<std::string> gates = otherGates();
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
      HttpCall call = peerCall(KeysPath);
      call.Method = EVHTTP_REQ_POST;
      call.Timeout = HandOverTimeout;
      call.Body = makeBuffer(body);
      ++progress->Open;
      Pool.call(gate, std::move(call), [progress](const HttpResult &result) {
        progress->Failed |= !result.Complete || result.Status != StatusNew;
        if (--progress->Open == 0)
          progress->Done(!progress->Failed);
      });
    }
  }
}

void GateTask::takeCrash(const HttpRequest &request) {
  std::uint64_t fingerprint = 0;
  const std::string text = request.Path.substr(std::char_traits<char>::length(CrashPath));
  if (absl::SimpleAtoi(text, &fingerprint))
    Admission.crashes().note(fingerprint, steadyClockMs());
  Server.reply(request.ID, {StatusNew, {}, nullptr});
}

std::string GateTask::gateAddressOf(const HostID &host) const {
  for (const HostRecord &record : View->Hosts) {
    if (record.Host == host)
      return record.GateAddress;
  }
  return {};
}

HttpCall GateTask::peerCall(const std::string &path) const {
  HttpCall call;
  call.Path = path;
  call.Headers = {{header::Secret, Settings.Secret}};
  call.Timeout = ClaimTimeout;
  return call;
}

void GateTask::begin(Job &job) {
  job.Running = true;
  if (job.Key.empty())
    forward(job);
  else
    claimKey(job);
}

KeyPlan GateTask::planFor(const Job &job, TimeMs now) const {
  std::vector<KeyHolder> hosts;
  for (const HostRecord &record : View->Hosts) {
    if (record.Service != job.Asked.Service)
      continue;
    const auto it = UnreachableUntil.find(record.Host);
    const bool unreachable = it != UnreachableUntil.end() && now < it->second;
    const bool gone = record.State == HostState::Gone || unreachable;
    hosts.push_back({record.Host, record.Incarnation, gone ? now : 0, record.KeysHandedOver,
                     record.ReplacedIncarnation != 0});
  }
  return planKeyClaim(hosts, job.ScopedKey, now);
}

void GateTask::claimKey(Job &job) {
  job.ScopedKey = job.Asked.Service.str() + '/' + job.Key;
  job.KeyHash = XXH3_64bits(job.ScopedKey.data(), job.ScopedKey.size());
  // Own memory first: two copies of a request at this gate can't both pass.
  const KeyClaim own = Keys.claim(job.KeyHash, wallClockMs());
  job.KeyUsed = own == KeyClaim::Used;
  job.KeyFull = own == KeyClaim::Full;
  if (own == KeyClaim::New) {
    job.Claimed.push_back(Settings.Host);
    claimAtHolders(job);
    return;
  }
  claimsEnded(job);
}

void GateTask::claimAtHolders(Job &job) {
  const KeyPlan plan = planFor(job, wallClockMs());
  job.KeyUnproved = !plan.Provable;
  job.KeyLost = false;
  const RequestID id = job.Request.ID;
  std::vector<HostID> asked;
  for (const HostID &holder : plan.Holders) {
    if (std::find(job.Claimed.begin(), job.Claimed.end(), holder) == job.Claimed.end())
      asked.push_back(holder);
  }
  if (job.KeyUnproved || asked.empty()) {
    claimsEnded(job);
    return;
  }
  job.ClaimsOpen = asked.size();
  for (const HostID &holder : asked) {
    Pool.call(gateAddressOf(holder), peerCall(absl::StrCat(ClaimPath, job.KeyHash)),
              [this, id, holder](const HttpResult &result) { claimAnswered(id, holder, result); });
  }
}

void GateTask::claimAnswered(RequestID id, const HostID &holder, const HttpResult &result) {
  Job &job = *Jobs.at(id);
  const int status = result.Complete ? result.Status : 0;
  if (status == StatusNew)
    job.Claimed.push_back(holder);
  job.KeyUsed |= status == StatusUsed;
  job.KeyFull |= status == StatusFull;
  if (status != StatusNew && status != StatusUsed && status != StatusFull) {
    job.KeyLost = true;
    UnreachableUntil[holder] = wallClockMs() + UnreachableTime;
  }
  if (--job.ClaimsOpen == 0)
    claimsEnded(job);
}

void GateTask::claimsEnded(Job &job) {
  if (job.KeyUsed) {
    refuse(job, Outcome::Unknown, Refusal::KeyInUse);
    return;
  }
  if (job.KeyLost && !job.KeyFull && !job.CallerGone && ++job.ClaimRounds < MaxClaimRounds) {
    claimAtHolders(job);
    return;
  }
  if (job.KeyFull || job.KeyLost || job.KeyUnproved || job.CallerGone) {
    releaseKey(job);
    if (job.KeyFull)
      refuse(job, Outcome::NotRun, Refusal::KeyTableFull);
    else
      refuse(job, Outcome::Unknown, Refusal::KeyUnproved);
    return;
  }
  forward(job);
}

void GateTask::releaseKey(Job &job) {
  for (const HostID &holder : job.Claimed) {
    if (holder == Settings.Host) {
      Keys.release(job.KeyHash);
      continue;
    }
    Pool.call(gateAddressOf(holder), peerCall(absl::StrCat(ReleasePath, job.KeyHash)),
              [](const HttpResult &) {});
  }
  job.Claimed.clear();
}

void GateTask::forward(Job &job) {
  const TimeMs now = steadyClockMs();
  if (now >= job.Asked.Deadline) {
    releaseKey(job);
    refuse(job, Outcome::NotRun, Refusal::Deadline);
    return;
  }
  job.StartedUs = steadyClockUs();
  job.Reached = true;
  const RequestID id = job.Request.ID;
  job.Call = Pool.call(UpstreamAddress, upstreamCall(job, now),
                       [this, id](HttpResult result) { forwarded(id, std::move(result)); });
}

HttpCall GateTask::upstreamCall(Job &job, TimeMs now) const {
  HttpCall call;
  call.Method = job.Request.Method;
  call.Path = job.Request.Path;
  call.Timeout = job.Asked.Deadline - now;
  call.ConnectTimeout = UpstreamConnectTimeout;
  call.EchoedField = Settings.Http.RequestID;
  call.Headers = withoutOwnFields(job.Request.Headers);
  if (!Settings.Http.Deadline.empty())
    call.Headers.push_back({Settings.Http.Deadline, absl::StrCat(call.Timeout)});
  if (!Settings.Http.Upstream.empty() && !Admission.upstream().ID.empty())
    call.Headers.push_back({Settings.Http.Upstream, Admission.upstream().ID});
  call.Body = std::move(job.Request.Body);
  return call;
}

void GateTask::forwarded(RequestID id, HttpResult result) {
  Job &job = *Jobs.at(id);
  job.Call = 0;
  if (!result.Complete) {
    if (!result.BytesSent) {
      job.Reached = false;
      releaseKey(job);
      refuse(job, Outcome::NotRun, Refusal::Transport);
      return;
    }
    noteEvidence(job, result);
    Admission.noteResult(true);
    if (!result.TimedOut)
      noteCut(job);
    refuse(job, Outcome::Unknown, result.TimedOut ? Refusal::Deadline : Refusal::UpstreamCut);
    return;
  }
  switch (classifyAnswer(Settings.Http, result, job.Identity)) {
  case AnswerKind::NotRun:
    Admission.noteResult(true);
    releaseKey(job);
    refuse(job, Outcome::NotRun, Refusal::NotTaken);
    return;
  case AnswerKind::Misplaced:
    noteEvidence(job, result);
    Admission.noteResult(true);
    refuse(job, Outcome::Unknown, Refusal::BadAnswer);
    return;
  case AnswerKind::Own:
    noteEvidence(job, result);
    Admission.noteServed(job.Route, (steadyClockUs() - job.StartedUs) / 1000);
    Admission.noteResult(result.Status >= FirstServerError);
    Admission.crashes().clear(job.Asked.Fingerprint);
    answer(job, std::move(result));
    return;
  }
}

std::string GateTask::loadText() const {
  return absl::StrFormat("%d,%d,%.0f,%d", Admission.inFlight(), Admission.queued(),
                         Admission.serviceMs(), Admission.failing());
}

void GateTask::answer(Job &job, HttpResult result) {
  HttpResponse reply;
  reply.Status = result.Status;
  reply.Headers = withoutOwnFields(std::move(result.Headers));
  reply.Headers.push_back({header::Outcome, std::string(nameOf(Outcome::Answered))});
  reply.Headers.push_back({header::Load, loadText()});
  reply.Body = std::move(result.Body);
  Server.reply(job.Request.ID, std::move(reply));
  endRun(job);
}

void GateTask::noteCut(const Job &job) {
  Control.put(TrafficNote{"upstream-cut", Admission.upstream().Service.str(),
                          absl::StrCat("request ", job.Request.Path, " got no whole answer")});
  const bool first = CutRequests.empty();
  CutRequests.push_back(job.Asked.Fingerprint);
  if (!first)
    return;
  // A cut answer alone is no crash: the upstream's port tells.
  Pool.checkReachable(UpstreamAddress, [this](bool reachable) {
    if (!reachable)
      confirmCrash();
    CutRequests.clear();
  });
}

void GateTask::confirmCrash() {
  const TimeMs now = steadyClockMs();
  for (const std::uint64_t fingerprint : Admission.blamed(CutRequests, now)) {
    Admission.crashes().note(fingerprint, now);
    for (const std::string &gate : otherGates())
      Pool.call(gate, peerCall(absl::StrCat(CrashPath, fingerprint)), [](const HttpResult &) {});
  }
}

void GateTask::noteEvidence(const Job &job, const HttpResult &result) {
  if (!View)
    return;
  const ServiceView *service = View->serviceNamed(job.Asked.Service);
  if (service == nullptr || !service->Rollout.has_value() ||
      service->Progress.Phase != RolloutPhase::Running)
    return;
  const TimeMs now = steadyClockMs();
  VersionCounts &counts = Evidence[now / EvidenceBucketMs][{job.Route, job.Asked.Version}];
  ++counts.Requests;
  const bool failed = !result.Complete || result.Status >= FirstServerError;
  counts.Failures += failed ? 1 : 0;
  const bool warm = now >= WarmSince;
  if (!failed && warm)
    ++counts.Latency[latencyBucket(static_cast<double>(steadyClockUs() - job.StartedUs))];
}

void GateTask::endRun(Job &job) {
  const bool wasRunning = job.Running;
  const std::uint64_t fingerprint = job.Asked.Fingerprint;
  Jobs.erase(job.Request.ID);
  if (wasRunning)
    run(Admission.finish(steadyClockMs(), fingerprint));
}

void GateTask::run(const GateRelease &released) {
  for (const GateTicket ticket : released.Expired)
    refuse(*Jobs.at(ticket), Outcome::NotRun, Refusal::Deadline);
  for (const GateTicket ticket : released.Run) {
    // A request that ended while an earlier one was begun has given its slot back.
    const auto it = Jobs.find(ticket);
    if (it != Jobs.end())
      begin(*it->second);
  }
}

void GateTask::refuse(Job &job, Outcome outcome, Refusal reason, DurationMs retryAfter) {
  const TimeMs now = steadyClockMs();
  Figures.noteGate(reason);
  const int status = outcome == Outcome::NotRun ? 503 : reason == Refusal::KeyInUse ? 409 : 502;
  const std::string outcomeName(nameOf(outcome));
  const std::string reasonName(nameOf(reason));
  HttpResponse reply{
      status,
      {{header::Outcome, outcomeName}, {header::Reason, reasonName}, {header::Load, loadText()}},
      makeBuffer(absl::StrCat(outcomeName, ": ", reasonName, "\n"))};
  if (job.Reached)
    reply.Headers.push_back({header::Reached, "1"});
  if (retryAfter != 0)
    reply.Headers.push_back(
        {header::RetryAfter,
         absl::StrFormat("%.3f", static_cast<double>(retryAfter) / MsPerSecond)});
  RequestLine line;
  line.Request = job.Identity;
  line.Decision = decisionOf(outcome);
  line.Reason = reasonName;
  line.Route = job.Route.str();
  line.Left = job.Asked.Deadline > now ? job.Asked.Deadline - now : 0;
  line.RetryAfter = retryAfter;
  if (reason != Refusal::Busy)
    Log.write(line, now);
  Server.reply(job.Request.ID, std::move(reply));
  endRun(job);
}

void GateTask::gone(RequestID id) {
  const auto it = Jobs.find(id);
  if (it == Jobs.end())
    return;
  Job &job = *it->second;
  if (!job.Running) {
    Admission.cancelQueued(id);
    Jobs.erase(it);
    return;
  }
  if (job.Call == 0) {
    job.CallerGone = true;
    return;
  }
  Pool.cancel(job.Call);
  endRun(job);
}

void GateTask::sendEvidence() {
  EvidenceTimer.start(EvidencePeriod);
  if (!View || Evidence.empty())
    return;
  const std::uint64_t bucket = steadyClockMs() / EvidenceBucketMs;
  const ServiceView *service = View->serviceNamed(Admission.upstream().Service);
  if (service != nullptr && service->Rollout.has_value()) {
    EvidenceTick tick;
    for (const auto &[index, counts] : Evidence)
      tick.Reports.push_back({service->Rollout->ID, Settings.Host, Settings.Incarnation, index,
                              counts, static_cast<std::uint32_t>(bucket - index)});
    Control.put(std::move(tick));
  }
  std::erase_if(Evidence, [bucket](const auto &it) { return it.first + 1 < bucket; });
}

void GateTask::tick() {
  run(Admission.tick(steadyClockMs()));
  if (Admission.queued() > 0)
    Ticker.ensure(TickPeriod);
}

} // namespace jasmineloom
