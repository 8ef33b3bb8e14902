/// @file ingress_task.h Routes the requests of local callers to gates and reports each outcome.
#pragma once

#include "balance/large_body.h"
#include "balance/peer_clock.h"
#include "http/http_server.h"
#include "traffic/caller_service.h"
#include "traffic/gate_task.h"
#include "traffic/metrics.h"
#include "traffic/quota_task.h"
#include "traffic/request_log.h"
#include "traffic/retry_rule.h"
#include "workspace/access_rule.h"

#include <map>
#include <memory>
#include <random>

namespace jasmineloom {

/// Owns the sockets and requests of the ingress. placement.h and retry_rule.h make its decisions.
class IngressTask {
public:
  /// @param caller service that runs on this host.
  /// @param held account of the bytes that the ingress's connections hold.
  IngressTask(event_base *base, const TrafficSettings &settings, const CallerService &caller,
              HttpPool &pool, QuotaTask &quotas, HeldBytes &held, Metrics &metrics);
  ~IngressTask();
  IngressTask(const IngressTask &) = delete;
  IngressTask &operator=(const IngressTask &) = delete;

  /// @returns false if the port can't be bound.
  bool listen();
  void setView(RoutingViewPtr view, TimeMs now);
  /// Explains where a request of a local caller would go. Nothing is sent.
  Explanation explain(const ExplainQuery &query, TimeMs now) const;
  /// @param at latest time, on the boot clock, at which the configuration in force was the newest.
  void setConfigProof(TimeMs at) { ConfigProvedAt = at; }
  /// Applies a changed RetrySlack or number of hosts to all retry budgets.
  void updateRetryBudgets();
  /// Refuses requests that may not end before the process does.
  void beginDrain(TimeMs now) { DrainSince = now; }
  /// Refuses new requests from now on and closes connections after their last response.
  void beginShutdown();
  /// Accepts no more connections, refuses the requests that were sent already, and answers those in
  /// flight that their outcome is unknown.
  void stopListening();
  /// @returns whether all responses were sent.
  bool hasSentAll() const { return Server.hasSentAll(); }
  /// @returns arrival time of the last request on the steady clock; 0: none.
  TimeMs lastRequestAt() const { return LastRequestAt; }
  /// @returns the number of unanswered requests.
  std::size_t pending() const { return Server.pending(); }

private:
  struct RequestContext;

  void handleRequest(HttpRequest request);
  /// Refuses a request with a large body that can't be sent on, before its body is read.
  std::optional<HttpResponse> checkHeader(const RequestHeader &head);
  /// @returns the time limit of a request, ms.
  DurationMs timeoutOf(const RouteSpec &route, const HeaderFields &fields) const;
  /// @returns why a request can't be sent on, whatever its body is; None if it can.
  Refusal entryRefusal(const RouteSpec *route, const HeaderFields &fields, TimeMs now) const;
  const Endpoint *chooseGate(RequestContext &context, const ServiceView &service, TimeMs now);
  void handleDisconnect(RequestID id);
  /// Removes what only the node may set from the header fields of a caller's request.
  /// @returns the value of the key's header.
  std::string takeCredentials(HttpRequest &request) const;
  /// @returns whether a request with these credentials may be sent by the route, as of now.
  AccessDecision accessOf(const RouteSpec &route, const std::string &credentials) const;
  bool mayAccept(DurationMs timeout, TimeMs now) const;
  void endPending();
  static PlacementRequest placementOf(const RequestContext &context, TimeMs now);
  /// Sends a request to which the access check, its quota and the drain agree.
  void admit(RequestContext &context);
  void handleQuota(RequestID id, const QuotaDecision &decision);
  void startAttempt(RequestContext &context);
  void countNewVersion(const RequestContext &context, const ServiceView &service,
                       const Endpoint &endpoint, TimeMs now);
  void handleAttemptResult(RequestID id, HttpResult result);
  void recordAttempt(RequestContext &context, const HttpResult &result, TimeMs now);
  bool mayRetry(RequestContext &context, AttemptResult result, TimeMs now);
  void retry(RequestContext &context, std::string_view reason, TimeMs now);
  void failRequest(RequestContext &context, Refusal reason);
  void respond(RequestContext &context, HttpResult result);
  void refuse(RequestContext &context, Outcome outcome, Refusal reason);
  HttpCall makeGateCall(const RequestContext &context, const Endpoint &endpoint, TimeMs now) const;
  /// @param shortest shortest time stated by a gate, ms; 0: none.
  DurationMs chooseRetryAfter(DurationMs shortest);
  /// Adds the time to come back to a response that allows for it.
  /// @returns that time, ms; 0: none.
  DurationMs addRetryAfter(HttpResponse &response, DurationMs shortest);
  RequestLine makeLogLine(const RequestContext &context, std::string_view decision,
                          TimeMs now) const;
  RetryBudget &retryBudgetFor(const ServiceName &service);

  const TrafficSettings &Settings;
  const CallerService &Caller;
  HttpPool &Pool;
  QuotaTask &Quotas;
  Metrics &Stats;
  HttpServer Server;
  RoutingViewPtr View;
  EndpointStats EndpointStates;
  PeerClocks GateClocks;
  std::map<ServiceName, RetryBudget> Budgets;
  double MaxRetryTokens = 0; ///< Limit of each service's retry budget.
  std::mt19937_64 Random;
  RequestLog Log;
  TimeMs LastRequestAt = 0;
  TimeMs ConfigProvedAt = 0; ///< On the boot clock; 0: never.
  /// A configuration with workspaces was in force: the headers of keys and workspaces are the
  /// mesh's.
  bool KeysInUse = false;
  std::optional<TimeMs> DrainSince;
  bool Closing = false; ///< New requests are refused because the process is shutting down.
  std::map<RequestID, std::unique_ptr<RequestContext>> Contexts;
};

} // namespace jasmineloom
