/// @file environment.cpp The project's own interface.
#include "environment.h"

#include "traffic/traffic_type.h"

#include <absl/strings/numbers.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

namespace jasmineloom {

namespace {

std::string valueOf(const evkeyvalq &query, const char *name) {
  const char *value = evhttp_find_header(&query, name);
  return value == nullptr ? "" : value;
}

/// Reads a number that may be left out.
std::uint64_t numberOf(const evkeyvalq &query, const char *name) {
  std::uint64_t number = 0;
  return absl::SimpleAtoi(valueOf(query, name), &number) ? number : 0;
}

ManagementCall readAnnouncement(const std::string &text) {
  evkeyvalq query{};
  evhttp_parse_query_str(text.c_str(), &query);
  Announcement announcement;
  announcement.ID = UpstreamID(valueOf(query, "id"));
  announcement.ProcessStart = numberOf(query, "born");
  announcement.Sequence = numberOf(query, "sequence");
  announcement.Service = ServiceName(valueOf(query, "service"));
  announcement.Version = VersionLabel(valueOf(query, "version"));
  announcement.Address = valueOf(query, "address");
  announcement.Draining = valueOf(query, "draining") == "1";
  announcement.WarmUpLeft = numberOf(query, "cold-ms");
  announcement.Slots = static_cast<std::uint32_t>(numberOf(query, "slots"));
  evhttp_clear_headers(&query);
  const bool valid = announcement.Slots > 0 && !announcement.Service.empty() &&
                     !announcement.Version.empty() && !announcement.Address.empty();
  if (!valid)
    return BadCall{400, "service, version, address and slots (at least 1) are needed"};
  return announcement;
}

ManagementCall readNative(const ManagementRequest &request) {
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
  return BadCall{404, "no such page"};
}

std::string announceAnswer() { return "ok\n"; }

} // namespace

Environment nativeEnvironment() {
  Environment environment;
  environment.Http = {header::DeadlineMs, "x-request-id", "x-jasmine-caller", "", "", "", ""};
  environment.ReadManagement = readNative;
  environment.AnnounceAnswer = announceAnswer;
  environment.Store = etcdGatewayProtocol();
  return environment;
}

} // namespace jasmineloom
