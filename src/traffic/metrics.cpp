/// @file metrics.cpp Counters and latency quantiles of the traffic task, as Prometheus text.
#include "traffic/metrics.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>

#include <sys/resource.h>

namespace jasmineloom {

namespace acc = boost::accumulators;

namespace {

std::string toString(std::string_view text) { return std::string(text); }

void addGauge(std::string &out, const char *name, std::uint64_t value) {
  absl::StrAppend(&out, "# TYPE jasmineloom_", name, " gauge\njasmineloom_", name, " ", value,
                  "\n");
}

/// @returns the text as the value of a label.
std::string labelText(const std::string &text) {
  return absl::StrReplaceAll(text, {{"\\", "\\\\"}, {"\"", "\\\""}, {"\n", "\\n"}});
}

std::uint64_t microseconds(const timeval &tv) {
  return static_cast<std::uint64_t>(tv.tv_sec) * 1000000 + static_cast<std::uint64_t>(tv.tv_usec);
}

} // namespace

void Metrics::recordRequest(const RouteName &route, Outcome outcome, Refusal reason,
                            double latencyUs) {
  ++Outcomes[{route.str(), outcome, reason}];
  if (outcome != Outcome::Answered)
    return;
  auto it = Latencies.find(route.str());
  if (it == Latencies.end())
    it = Latencies
             .emplace(route.str(),
                      Latency(acc::tag::extended_p_square::probabilities = PublishedQuantiles))
             .first;
  it->second(latencyUs);
}

void Metrics::recordGateRefusal(Refusal refusal) { ++GateRefusals[refusal]; }

void Metrics::recordNewVersion(const ServiceName &service, bool byShare) {
  ++NewVersion[{service.str(), byShare}];
}

std::string Metrics::text() const {
  std::string out = "# TYPE jasmineloom_requests_total counter\n";
  for (const auto &[key, n] : Outcomes)
    absl::StrAppend(&out, "jasmineloom_requests_total{route=\"", key.Route, "\",outcome=\"",
                    toString(nameOf(key.Result)), "\",reason=\"", toString(nameOf(key.Reason)),
                    "\"} ", n, "\n");
  absl::StrAppend(&out, "# TYPE jasmineloom_request_latency_us summary\n");
  for (const auto &[route, latency] : Latencies) {
    for (std::size_t it = 0; it < PublishedQuantiles.size(); ++it)
      absl::StrAppend(&out, "jasmineloom_request_latency_us{route=\"", route, "\",quantile=\"",
                      PublishedQuantiles[it], "\"} ", acc::extended_p_square(latency)[it], "\n");
    absl::StrAppend(&out, "jasmineloom_request_latency_us_sum{route=\"", route, "\"} ",
                    acc::sum(latency), "\njasmineloom_request_latency_us_count{route=\"", route,
                    "\"} ", acc::count(latency), "\n");
  }
  absl::StrAppend(&out, "# TYPE jasmineloom_gate_refusals_total counter\n");
  for (const auto &[reason, n] : GateRefusals)
    absl::StrAppend(&out, "jasmineloom_gate_refusals_total{reason=\"", toString(nameOf(reason)),
                    "\"} ", n, "\n");
  absl::StrAppend(&out, "# TYPE jasmineloom_new_version_requests_total counter\n");
  for (const auto &[key, n] : NewVersion)
    absl::StrAppend(&out, "jasmineloom_new_version_requests_total{service=\"", key.first,
                    "\",reason=\"", key.second ? "share" : "no-old-upstream", "\"} ", n, "\n");
  absl::StrAppend(&out, "# TYPE jasmineloom_caller_requests_total counter\n");
  for (const auto &[service, n] : Callers)
    absl::StrAppend(&out, "jasmineloom_caller_requests_total{service=\"", service, "\"} ", n, "\n");
  absl::StrAppend(&out, "# TYPE jasmineloom_heartbeats_total counter\n");
  for (const auto &[result, n] : Heartbeats)
    absl::StrAppend(&out, "jasmineloom_heartbeats_total{result=\"", toString(nameOf(result)),
                    "\"} ", n, "\n");
  absl::StrAppend(&out, "# TYPE jasmineloom_retries_total counter\njasmineloom_retries_total ",
                  Retries, "\n");
  absl::StrAppend(&out, "# TYPE jasmineloom_limit_refusals_total counter\n",
                  "jasmineloom_limit_refusals_total ", LimitRefusals,
                  "\n# TYPE jasmineloom_upstream_limit_per_second gauge\n",
                  "jasmineloom_upstream_limit_per_second ", UpstreamLimit, "\n");
  absl::StrAppend(&out, "# TYPE jasmineloom_warm_up_refusals_total counter\n",
                  "jasmineloom_warm_up_refusals_total ", WarmUpRefusals,
                  "\n# TYPE jasmineloom_health_questions_total counter\n",
                  "jasmineloom_health_questions_total ", HealthQuestions,
                  "\n# TYPE jasmineloom_warm_up_limit_per_second gauge\n",
                  "jasmineloom_warm_up_limit_per_second ", WarmUpLimit, "\n");
  addGauge(out, "evacuated", Evacuated ? 1 : 0);
  absl::StrAppend(&out, "# TYPE jasmineloom_header_refusals_total counter\n",
                  "jasmineloom_header_refusals_total ", HeaderRefusals,
                  "\n# TYPE jasmineloom_unread_body_bytes_total counter\n",
                  "jasmineloom_unread_body_bytes_total ", UnreadBytes, "\n");
  addGauge(out, "refused_documents", Control.RefusedDocuments);
  absl::StrAppend(&out, "# TYPE jasmineloom_refused_document gauge\n");
  for (const auto &[entry, reason] : Control.RefusedNow)
    absl::StrAppend(&out, "jasmineloom_refused_document{entry=\"", labelText(entry), "\",reason=\"",
                    labelText(reason), "\"} 1\n");
  addGauge(out, "held_version", Control.HeldVersion);
  addGauge(out, "known_version", Control.KnownVersion);
  addGauge(out, "control_bytes_in", Control.BytesIn);
  addGauge(out, "control_bytes_out", Control.BytesOut);
  addGauge(out, "store_calls", Control.StoreCalls);
  addGauge(out, "children", Control.Children);
  addGauge(out, "root", Control.Root ? 1 : 0);
  addGauge(out, "store_reachable", Control.StoreReachable ? 1 : 0);
  addGauge(out, "config_proof_age_ms", Control.ProofAge);
  addGauge(out, "store_document_age_ms", Control.DocumentAge);
  addGauge(out, "store_silence_ms", Control.StoreSilence);
  addGauge(out, "store_stand_in", Control.StandsIn ? 1 : 0);
  addGauge(out, "config_deltas_sent", Control.Transfers.Deltas);
  addGauge(out, "config_snapshots_sent", Control.Transfers.Snapshots);
  addGauge(out, "config_bytes_sent", Control.Transfers.Bytes);
  addGauge(out, "link_failures", Control.LinkFailures);
  addGauge(out, "evidence_reports_sent", Control.EvidenceReports.Sent);
  addGauge(out, "evidence_reports_received", Control.EvidenceReports.Received);
  addGauge(out, "evidence_failovers", Control.EvidenceReports.Failovers);
  addGauge(out, "evidence_reports_lost", Control.EvidenceReports.Lost);
  addGauge(out, "control_longest_stall_ms", Control.LongestStall);
  addGauge(out, "held_bytes", Held.Total);
  addGauge(out, "held_bytes_peak", Held.Peak);
  absl::StrAppend(&out, "# TYPE jasmineloom_held_cuts_total counter\n",
                  "jasmineloom_held_cuts_total ", Held.Cuts, "\n");
  addGauge(out, "traffic_longest_stall_ms", LongestStall);
  addGauge(out, "quota_calls", Quotas.Calls);
  addGauge(out, "quota_calls_failed", Quotas.FailedCalls);
  addGauge(out, "quota_calls_answered", Quotas.Answered);
  addGauge(out, "quota_credits_granted", Quotas.Granted);
  addGauge(out, "quota_shards_kept", Quotas.KeptShards);
  absl::StrAppend(&out, "# TYPE jasmineloom_quota_refusals_total counter\n");
  for (const auto &[key, n] : QuotaRefusals)
    absl::StrAppend(&out, "jasmineloom_quota_refusals_total{workspace=\"", key.first,
                    "\",reason=\"", toString(nameOf(key.second)), "\"} ", n, "\n");
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  addGauge(out, "process_cpu_us", microseconds(usage.ru_utime) + microseconds(usage.ru_stime));
  addGauge(out, "process_peak_rss_kb", static_cast<std::uint64_t>(usage.ru_maxrss));
  return out;
}

} // namespace jasmineloom
