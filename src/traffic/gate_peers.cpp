/// @file gate_peers.cpp Calls between gates: claims and transfers of idempotency keys, crashes.
#include "traffic/gate_context.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <xxhash.h>

#include <algorithm>
#include <iterator>

namespace jasmineloom {

namespace {

constexpr DurationMs ClaimTimeout = 300;
/// Time for which a key holder that did not respond to a claim counts as lost.
constexpr DurationMs UnreachableHolderTime = 5 * MsPerSecond;
constexpr std::uint32_t MaxClaimRounds = 3;
constexpr std::size_t KeysPerCall = 10000;
constexpr int StatusUnavailable = 503;
constexpr int StatusOk = 200;
constexpr int StatusBadRequest = 400;
constexpr int StatusKeyUsed = 409;
constexpr int StatusKeyTableFull = 507;

} // namespace

HttpCall GateTask::makePeerCall(const std::string &path) const {
  HttpCall call;
  call.Path = path;
  call.Headers = {{header::Secret, Settings.Secret}};
  call.Timeout = ClaimTimeout;
  return call;
}

std::string GateTask::gateAddress(const HostID &host) const {
  for (const HostRecord &record : View->Hosts) {
    if (record.Host == host)
      return record.GateAddress;
  }
  return {};
}

std::vector<HostRecord> GateTask::gatesOfService() const {
  std::vector<HostRecord> gates;
  if (!View)
    return gates;
  const ServiceName &service = AdmissionControl.upstream().Service;
  std::copy_if(View->Hosts.begin(), View->Hosts.end(), std::back_inserter(gates),
               [&service](const HostRecord &record) {
                 return record.Service == service && record.State != HostState::Gone;
               });
  return gates;
}

std::vector<std::string> GateTask::peerGates() const {
  std::vector<std::string> gates;
  for (const HostRecord &record : gatesOfService()) {
    if (record.Host != Settings.Host)
      gates.push_back(record.GateAddress);
  }
  return gates;
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

void GateTask::handlePeerCall(const InvalidPeerCall &, const HttpRequest &request) {
  Server.reply(request.ID, {StatusBadRequest, {}, nullptr});
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

void GateTask::handlePeerCall(const ReleaseCall &call, const HttpRequest &request) {
  Keys.release(call.Key);
  Server.reply(request.ID, {StatusOk, {}, nullptr});
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

void GateTask::handlePeerCall(const QuotaAskCall &, const HttpRequest &request) {
  std::optional<std::string> answer;
  if (QuotaHandler)
    answer = QuotaHandler(textOf(request.Body.get()));
  if (answer.has_value())
    Server.reply(request.ID, {StatusOk, {}, makeBuffer(*answer)});
  else
    Server.reply(request.ID, {StatusBadRequest, {}, nullptr});
}

void GateTask::handlePeerCall(const CrashReportCall &call, const HttpRequest &request) {
  AdmissionControl.crashes().recordCrash(call.Fingerprint, steadyClockMs());
  Server.reply(request.ID, {StatusOk, {}, nullptr});
}

void GateTask::handlePeerCall(const CrashNewsCall &, const HttpRequest &request) {
  const TimeMs now = steadyClockMs();
  for (const KnownCrashes &told : decodeCrashes(textOf(request.Body.get())))
    AdmissionControl.crashes().learn(told, now);
  Server.reply(request.ID, {StatusOk, {}, nullptr});
}

void GateTask::tellCrashes() {
  const std::vector<KnownCrashes> known = AdmissionControl.crashes().known(steadyClockMs());
  for (const HostRecord &gate : News.takeOwed()) {
    if (known.empty())
      continue;
    HttpCall call = makePeerCall(CrashesPath);
    call.Method = EVHTTP_REQ_POST;
    call.Body = makeBuffer(encodeCrashes(known));
    Pool.call(gate.GateAddress, std::move(call),
              [this, host = gate.Host](const HttpResult &result) {
                if (!result.Complete)
                  News.recordFailure(host);
              });
  }
}

} // namespace jasmineloom
