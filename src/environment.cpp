/// @file environment.cpp The native environment: the project's own headers, management calls and
/// etcd.
#include "environment.h"

#include "event_util.h"
#include "routing/outcome_type.h"

#include <absl/strings/numbers.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>

namespace jasmineloom {

namespace {

std::string queryText(const evkeyvalq &query, const char *name) {
  const char *value = evhttp_find_header(&query, name);
  return value == nullptr ? "" : value;
}

/// @returns 0 if the parameter is missing or not a number.
std::uint64_t queryNumber(const evkeyvalq &query, const char *name) {
  std::uint64_t number = 0;
  return absl::SimpleAtoi(queryText(query, name), &number) ? number : 0;
}

ManagementCall readAnnouncement(const std::string &text) {
  evkeyvalq query{};
  evhttp_parse_query_str(text.c_str(), &query);
  Announcement announcement;
  announcement.ID = UpstreamID(queryText(query, "id"));
  announcement.ProcessStart = queryNumber(query, "born");
  announcement.Sequence = queryNumber(query, "sequence");
  announcement.Service = ServiceName(queryText(query, "service"));
  announcement.Version = VersionLabel(queryText(query, "version"));
  announcement.Address = queryText(query, "address");
  announcement.Draining = queryText(query, "draining") == "1";
  announcement.WarmUpLeft = std::min(queryNumber(query, "cold-ms"), MaxWarmUpLeft);
  const std::uint64_t slots = queryNumber(query, "slots");
  announcement.Slots = slots > MaxAnnouncedSlots ? 0 : static_cast<std::uint32_t>(slots);
  evhttp_clear_headers(&query);
  const bool valid = announcement.Slots > 0 && !announcement.Service.empty() &&
                     !announcement.Version.empty() && isSocketAddress(announcement.Address);
  if (!valid)
    return InvalidCall{400, "service, version, address and slots (at least 1) are needed"};
  return announcement;
}

ManagementCall readNativeManagement(const ManagementRequest &request) {
  const bool post = request.Method == "POST";
  if (request.Path == "/metrics")
    return MetricsQuery{};
  if (request.Path == "/healthz")
    return HealthQuery{};
  if (request.Path == "/readyz")
    return ReadinessQuery{};
  if (request.Path == "/drain" && post)
    return DrainCommand{};
  if (request.Path == "/announce" && post)
    return readAnnouncement(request.Query);
  return InvalidCall{404, "no such page"};
}

std::string announceResponse() { return "ok\n"; }

} // namespace

Environment nativeEnvironment() {
  Environment environment;
  environment.Http = {header::DeadlineMs,
                      "x-request-id",
                      "x-jasmine-caller",
                      "x-upstream-instance",
                      "",
                      "",
                      "",
                      "x-upstream-leaving",
                      "x-upstream-limit",
                      "authorization",
                      "Bearer",
                      "x-workspace",
                      "x-upstream-load",
                      "x-upstream-warm-up-ms"};
  environment.ReadManagement = readNativeManagement;
  environment.HeartbeatResponse = announceResponse;
  environment.Store = etcdGatewayProtocol();
  return environment;
}

} // namespace jasmineloom
