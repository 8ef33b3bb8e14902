/// @file ingress_task.h Takes callers' requests, routes them, and answers each with its outcome.
#pragma once

#include "gate_task.h"
#include "http_server.h"
#include "ingress_base.h"
#include "metrics.h"

#include <map>
#include <memory>
#include <random>

namespace jasmineloom {

/// The ingress' sockets and requests. Its decisions are in ingress_base.
class IngressTask {
public:
  IngressTask(event_base *base, const TrafficSettings &settings, HttpPool &pool, Metrics &metrics);
  ~IngressTask();
  IngressTask(const IngressTask &) = delete;
  IngressTask &operator=(const IngressTask &) = delete;

  /// @returns false if the port can't be bound.
  bool listen();
  void setView(RoutingViewPtr view) { View = std::move(view); }
  void stopAccepting();
  /// @returns requests that have not been answered.
  std::size_t pending() const { return Server.pending(); }

private:
  struct Job;

  void take(HttpRequest request);
  void gone(RequestID id);
  void attempt(Job &job);
  void attempted(RequestID id, HttpResult result);
  void answer(Job &job, HttpResult result);
  void refuse(Job &job, Outcome outcome, Refusal reason);
  HttpCall callFor(const Job &job, const Endpoint &endpoint, TimeMs now) const;
  const Endpoint *choose(const Job &job, const ServiceView &service, TimeMs now);

  const TrafficSettings &Settings;
  HttpPool &Pool;
  Metrics &Figures;
  HttpServer Server;
  RoutingViewPtr View;
  EndpointLedger Ledger;
  RetryBudget Budget;
  std::mt19937_64 Random;
  std::map<RequestID, std::unique_ptr<Job>> Jobs;
};

} // namespace jasmineloom
