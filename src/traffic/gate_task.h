/// @file gate_task.h Gate of the local upstream: admission, key claims, forwarding, evidence.
#pragma once

#include "admission/gate_base.h"
#include "environment.h"
#include "http/http_server.h"
#include "task_messages.h"
#include "traffic/crash_news.h"
#include "traffic/key_table.h"
#include "traffic/metrics.h"
#include "traffic/peer_call.h"
#include "traffic/request_log.h"
#include "traffic/response_check.h"

#include <map>
#include <memory>

namespace jasmineloom {

/// Settings of the traffic task, its ingress and its gate.
struct TrafficSettings {
  HostID Host;
  std::uint64_t Incarnation = 0;
  DataCentreName DataCentre;
  std::string GateIP;
  std::uint16_t GatePort = 0;
  std::string IngressIP;
  std::uint16_t IngressPort = 0;
  std::vector<std::string> ManagementAddresses; ///< IP:port.
  std::string StoreAddress;                     ///< IP:port.
  ServiceName LocalService;                     ///< Service on this host, as configured.
  /// Departures of the upstream are recorded by the control task and restored after a start.
  bool RecordsDepartures = false;
  HttpHeaderNames Http;
  DurationMs HeartbeatInterval = 0; ///< Of the upstream.
  DurationMs StopTime = 0; ///< Time limit for a drain, from its start to the end of the process.
  /// Retries that all nodes together may send to a service beyond the budgeted share of requests.
  double RetrySlack = 0;
  /// A key is refused this long after it was taken away, in touch or not; 0: off.
  DurationMs RevocationTime = 0;
  DurationMs InForceTime = 0; ///< Maximum time until a configuration change is in force everywhere.
  std::string Secret;
  std::size_t MaxBody = 0;
  std::size_t MaxHeaderBytes = 0;
  std::size_t MaxConnections = 0;
  std::size_t MaxInFlight = 0;
  /// Bytes of messages that the process may hold.
  std::size_t MaxHeld = 48 << 20;
  std::uint64_t Seed = 0;
};

/// Owns the gate's sockets and requests. Gate, KeyTable and planKeyClaim() make its decisions.
class GateTask {
public:
  /// @param held account of the bytes that the gate's connections hold.
  GateTask(event_base *base, const TrafficSettings &settings, HttpPool &pool, HeldBytes &held,
           Metrics &metrics, ControlMailbox &control);
  ~GateTask();
  GateTask(const GateTask &) = delete;
  GateTask &operator=(const GateTask &) = delete;

  /// @returns false if the port can't be bound.
  bool listen();
  void setView(RoutingViewPtr view);
  /// @param handler invoked when a response states that the upstream leaves.
  void setLeavingHandler(std::function<void()> handler) { LeavingHandler = std::move(handler); }
  /// @param handler invoked when the upstream is not the process at its address any more: another
  /// one refuses a request for it, or its port refuses connections.
  void setAbsentHandler(std::function<void()> handler) { AbsentHandler = std::move(handler); }
  /// @param handler answers an encoded QuotaAsk; nullopt: it is malformed.
  void setQuotaHandler(std::function<std::optional<std::string>(const std::string &)> handler) {
    QuotaHandler = std::move(handler);
  }
  /// Applies the announcement of the local upstream.
  /// @param address IP:port of the upstream.
  /// @param warmUpLeft remaining warm-up time of the upstream.
  void setUpstream(const LocalUpstream &upstream, const std::string &address, bool draining,
                   DurationMs warmUpLeft);
  /// Applies the remaining warm-up time that a heartbeat of the local upstream states.
  void recordWarmUp(DurationMs left);
  void beginDrain();
  /// Accepts no more connections and refuses the requests that were sent already.
  void stopListening();
  /// @returns whether all responses were sent.
  bool hasSentAll() const { return Server.hasSentAll(); }
  /// Stops granting key claims and copies all keys to the other gates of the service.
  /// @param timeout time after which a gate that does not answer counts as failed.
  /// @param done invoked once, with whether all keys are stored at all other gates.
  void transferKeys(DurationMs timeout, std::function<void(bool)> done);
  /// @returns the number of unanswered requests.
  std::size_t pending() const { return Server.pending(); }
  const Gate &gate() const { return AdmissionControl; }

private:
  struct RequestContext;

  void handleRequest(HttpRequest request);
  void handlePeerCall(const InvalidPeerCall &call, const HttpRequest &request);
  void handlePeerCall(const ClaimCall &call, const HttpRequest &request);
  void handlePeerCall(const ReleaseCall &call, const HttpRequest &request);
  void handlePeerCall(const KeyTransferCall &call, const HttpRequest &request);
  void handlePeerCall(const CrashReportCall &call, const HttpRequest &request);
  void handlePeerCall(const QuotaAskCall &call, const HttpRequest &request);
  void handlePeerCall(const CrashNewsCall &call, const HttpRequest &request);
  /// @returns the records of the gates of the service, this one included.
  std::vector<HostRecord> gatesOfService() const;
  std::vector<std::string> peerGates() const;
  void handleDisconnect(RequestID id);
  void startRequest(RequestContext &context);
  void claimKey(RequestContext &context);
  void claimAtHolders(RequestContext &context);
  KeyClaimPlan keyPlanFor(const RequestContext &context, TimeMs now) const;
  void handleClaimResponse(RequestID id, const HostID &holder, const HttpResult &result);
  void finishClaims(RequestContext &context);
  void releaseKey(RequestContext &context);
  HttpCall makeUpstreamCall(RequestContext &context, TimeMs now) const;
  void forward(RequestContext &context);
  void refuseQueued();
  /// Ends the calls to a process of the upstream that another one has replaced at its address.
  /// @param onlyUnsent leaves those of which a byte was sent.
  void endReplacedCalls(bool onlyUnsent);
  /// @returns whether the request was started for the upstream's present process.
  bool isForPresentProcess(const RequestContext &context) const;
  void handleUpstreamCut(const RequestContext &context);
  void checkForCrash();
  /// Asks the upstream how long it stays cold, if that is to be known.
  void askHealth(TimeMs now);
  void handleHealth(const HttpResult &result, UpstreamGeneration generation, TimeMs askedAt);
  /// Writes to the time line when the upstream becomes cold or warm.
  void recordWarmUpChange(TimeMs now);
  void reportCrash();
  /// Tells the crashes to the gates that this one owes them.
  void tellCrashes();
  void respond(RequestContext &context, HttpResult result);
  std::string loadHeaderValue() const;
  void handleUpstreamResult(RequestID id, HttpResult result);
  /// Applies what a response states of the upstream itself.
  void applyUpstreamState(const RequestContext &context, const HttpResult &result,
                          ResponseKind kind);
  /// Adds the result of a request to the failure rate of the upstream's process that it was for.
  void recordResult(const RequestContext &context, bool failed);
  void recordLimitChange();
  HeaderFields stateHeaders() const;
  void recordEvidence(const RequestContext &context, const HttpResult &result);
  void finishRequest(RequestContext &context);
  void processReleased(const DequeueResult &released);
  void refuse(RequestContext &context, Outcome outcome, Refusal reason, DurationMs retryAfter = 0);
  void sendEvidence();
  void tick();
  bool isTrusted(const HeaderFields &fields) const;
  /// Refuses a request with a large body that is certain not to be admitted, before its body is
  /// read.
  std::optional<HttpResponse> checkHeader(const RequestHeader &head);
  HttpResponse makeRefusal(Outcome outcome, Refusal reason, DurationMs retryAfter) const;
  std::string gateAddress(const HostID &host) const;
  HttpCall makePeerCall(const std::string &path) const;

  const TrafficSettings &Settings;
  HttpPool &Pool;
  Metrics &Stats;
  ControlMailbox &Control;
  HttpServer Server;
  Gate AdmissionControl;
  KeyTable Keys;
  bool TransferringKeys = false;
  RoutingViewPtr View;
  std::string UpstreamAddress;
  std::map<RequestID, std::unique_ptr<RequestContext>> Contexts;
  std::map<std::uint64_t, EvidenceCounts> Evidence; ///< By time bucket.
  TimeMs WarmAt = 0;                                ///< Latencies are evidence from this time on.
  std::vector<std::uint64_t> CutFingerprints; ///< Of upstream cuts, until the crash check ends.
  CrashNews News;
  std::map<HostID, TimeMs> UnreachableUntil; ///< Key holders that did not respond.
  Timer QueueTimer;
  Timer EvidenceTimer;
  Timer CrashCheckTimer;
  Timer ReplacementTimer;
  std::uint32_t CrashChecks = 0; ///< Since the first of CutFingerprints was recorded.
  std::function<void()> LeavingHandler;
  std::function<void()> AbsentHandler;
  std::function<std::optional<std::string>(const std::string &)> QuotaHandler;
  std::string LeavingProcess; ///< Process whose responses stated that it leaves.
  bool LoggedCold = false;    ///< In the last event of the time line.
  double LoggedLimit = 0;     ///< Limit in the last event of the time line; 0: none.
  RequestLog Log;
};

} // namespace jasmineloom
