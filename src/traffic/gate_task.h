/// @file gate_task.h The gate beside an upstream: admission, key claims, forwarding, evidence.
#pragma once

#include "environment.h"
#include "http/http_server.h"
#include "task_messages.h"
#include "traffic/gate_base.h"
#include "traffic/key_memory.h"
#include "traffic/metrics.h"
#include "traffic/request_log.h"

#include <map>
#include <memory>

namespace jasmineloom {

/// What the traffic task's parts are set up with.
struct TrafficSettings {
  HostID Host;
  std::uint64_t Incarnation = 0;
  DataCentreName DataCentre;
  std::string GateIP; ///< IP of the gate's listener.
  std::uint16_t GatePort = 0;
  std::string IngressIP;
  std::uint16_t IngressPort = 0;
  std::vector<std::string> ManagementAddresses; ///< IP:port.
  std::string StoreAddress;                     ///< IP:port.
  ServiceName CallerService;                    ///< Service of the callers on this host.
  HttpDialect Http;
  DurationMs HeartbeatTimeout = 0; ///< Without a heartbeat for this long an upstream is left out.
  DurationMs StopTime = 0;         ///< Time in which the process has to end once it is told to.
  double RetrySlack = 0; ///< Retries to a service that all nodes may make beyond their share.
  std::string Secret;
  std::size_t MaxBody = 0;
  std::size_t MaxHeaderBytes = 0;
  std::size_t MaxConnections = 0;
  std::size_t MaxInFlight = 0;
  std::uint64_t Seed = 0;
};

/// The gate's sockets and requests. All its decisions are in Gate, KeyMemory and planKeyClaim.
class GateTask {
public:
  GateTask(event_base *base, const TrafficSettings &settings, HttpPool &pool, Metrics &metrics,
           ControlMailbox &control);
  ~GateTask();
  GateTask(const GateTask &) = delete;
  GateTask &operator=(const GateTask &) = delete;

  /// @returns false if the port can't be bound.
  bool listen();
  void setView(RoutingViewPtr view);
  /// Takes what the upstream announced.
  /// @param address IP:port of the upstream.
  void setUpstream(const LocalUpstream &upstream, const std::string &address, bool draining,
                   DurationMs coldFor);
  void beginDrain();
  /// Sends all remembered keys to the other gates of the service and claims none any more.
  /// @param done called once, with whether all of them have all keys.
  void handOver(std::function<void(bool)> done);
  /// @returns requests that the gate has not answered.
  std::size_t pending() const { return Server.pending(); }
  const Gate &gate() const { return Admission; }

private:
  struct Job;

  void take(HttpRequest request);
  void takeClaim(const HttpRequest &request);
  void takeKeys(const HttpRequest &request);
  std::vector<std::string> otherGates() const;
  void takeCrash(const HttpRequest &request);
  void gone(RequestID id);
  void begin(Job &job);
  void claimKey(Job &job);
  void claimAtHolders(Job &job);
  KeyPlan planFor(const Job &job, TimeMs now) const;
  void claimAnswered(RequestID id, const HostID &holder, const HttpResult &result);
  void claimsEnded(Job &job);
  void releaseKey(Job &job);
  HttpCall upstreamCall(Job &job, TimeMs now) const;
  void forward(Job &job);
  void flushQueue();
  void noteCut(const Job &job);
  void confirmCrash();
  void answer(Job &job, HttpResult result);
  std::string loadText() const;
  void forwarded(RequestID id, HttpResult result);
  void noteEvidence(const Job &job, const HttpResult &result);
  void endRun(Job &job);
  void run(const GateRelease &released);
  void refuse(Job &job, Outcome outcome, Refusal reason, DurationMs retryAfter = 0);
  void sendEvidence();
  void tick();
  bool trusted(const HttpRequest &request) const;
  std::string gateAddressOf(const HostID &host) const;
  HttpCall peerCall(const std::string &path) const;

  const TrafficSettings &Settings;
  HttpPool &Pool;
  Metrics &Figures;
  ControlMailbox &Control;
  HttpServer Server;
  Gate Admission;
  KeyMemory Keys;
  bool HandingOver = false;
  RoutingViewPtr View;
  std::string UpstreamAddress;
  std::map<RequestID, std::unique_ptr<Job>> Jobs;
  std::map<std::uint64_t, EvidenceCounts> Evidence; ///< By bucket.
  TimeMs WarmSince = 0;                      ///< When the upstream's latency becomes evidence.
  std::vector<std::uint64_t> CutRequests;    ///< Fingerprints cut off; a crash is not yet sure.
  std::map<HostID, TimeMs> UnreachableUntil; ///< Holders of keys that did not answer.
  Timer Ticker;
  Timer EvidenceTimer;
  RequestLog Log;
};

} // namespace jasmineloom
