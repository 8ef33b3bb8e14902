/// @file platform_test.cpp Decoding of the platform's configurations, rollout orders, heartbeats
/// and store replies. Malformed input must be rejected as a whole.
#define BOOST_TEST_MODULE platform
#include <boost/test/unit_test.hpp>

#include "platform_environment.h"
#include "platform_json.h"

#include "balance/placement.h"
#include "config/config_func.h"

#include <absl/strings/str_cat.h>
#include <rapidcheck.h>

#include <random>

using namespace jasmineloom;
using namespace jasmineloom::platform;

namespace {

const std::string ServicesJson = R"("services":{"a":{},"b":{}})";
const std::string RouteJson =
    R"("host":"X.example","prefix":"/p/","kind":"safe","timeout_ms":1500,"priority":2,)"
    R"("target_latency_ms":500,"attempts":2)";

absl::StatusOr<DocumentEntry> decode(const std::string &key, const std::string &value,
                                     bool removed = false) {
  return documentFormat().Decode({key, value, 7, removed});
}

std::string documentWith(const std::string &route, const std::string &version = "0000000c") {
  return "{\"version\":\"" + version + "\",\"routes\":{\"r\":{" + route + "}}," + ServicesJson +
         "}";
}

ManagementCall putHeartbeat(const std::string &body) {
  return readManagement({"PUT", "/instances/i-1", "", body});
}

const std::string HeartbeatJson =
    R"({"address":"10.0.0.1:80","born":5,"information":{"service":"a","version":"v1","zone":"z",)"
    R"("slots":9},"status":{"state":"ready","sequence":4,"cold_remaining_ms":20}})";

std::string replacedOnce(const std::string &text, const std::string &part,
                         const std::string &by = "") {
  std::string changed = text;
  changed.replace(changed.find(part), part.size(), by);
  return changed;
}

/// @returns the snapshot of a document; null if it is not accepted.
SnapshotPtr accepted(const std::string &document) {
  const auto entry = decode("op/config", document);
  if (!entry.ok())
    return nullptr;
  std::vector<ConfigObjectPtr> objects;
  for (const ConfigObject &object : std::get<ConfigDocument>(*entry).Objects)
    objects.push_back(std::make_shared<const ConfigObject>(object));
  const SnapshotPtr snapshot = makeSnapshot(1, objects);
  return validateSnapshot(*snapshot).ok() ? snapshot : nullptr;
}

SnapshotPtr acceptedSplit(const std::string &first, const std::string &second) {
  return accepted(documentWith(absl::StrCat(RouteJson, R"(,"split":[{"service":"a","weight":)",
                                            first, R"(},{"service":"b","weight":)", second, "}]")));
}

/// @returns the share of drawn requests that go to the service "a"; -1: the document is refused.
double drawnShare(const SnapshotPtr &snapshot) {
  constexpr int Draws = 20000;
  if (!snapshot)
    return -1;
  const RouteSpec *route = findRoute(*snapshot, RouteName("r"));
  std::mt19937_64 random(1);
  int first = 0;
  for (int n = 0; n < Draws; ++n)
    first += chooseService(*route, random()).str() == "a" ? 1 : 0;
  return static_cast<double>(first) / Draws;
}

/// @returns the route "r" of RouteJson with another value of a field; nullopt if it is refused.
std::optional<RouteSpec> routeWith(const std::string &field, const std::string &value) {
  nlohmann::json route = nlohmann::json::parse("{" + RouteJson + "}");
  route.erase(field);
  const std::string others = route.dump();
  const SnapshotPtr snapshot = accepted(documentWith(absl::StrCat(
      others.substr(1, others.size() - 2), R"(,"service":"a",")", field, "\":", value)));
  return snapshot ? std::optional(*findRoute(*snapshot, RouteName("r"))) : std::nullopt;
}

} // namespace

BOOST_AUTO_TEST_CASE(config_document_decodes_to_routes_and_services) {
  const auto entry = decode("op/config", documentWith(RouteJson + R"(,"service":"a")"));
  BOOST_REQUIRE(entry.ok());
  const auto &document = std::get<ConfigDocument>(*entry);
  BOOST_TEST(document.Version == 12U);
  std::vector<ConfigObjectPtr> objects;
  for (const ConfigObject &object : document.Objects)
    objects.push_back(std::make_shared<const ConfigObject>(object));
  const SnapshotPtr snapshot = makeSnapshot(document.Version, objects);
  BOOST_TEST(validateSnapshot(*snapshot).ok());
  const RouteSpec *route = findRoute(*snapshot, RouteName("r"));
  BOOST_REQUIRE(route != nullptr);
  BOOST_TEST(route->Host == "x.example");
  BOOST_TEST(route->Prefix == "/p/");
  BOOST_TEST(route->Idempotent);
  BOOST_TEST(route->Deadline == 1500U);
  BOOST_TEST(route->Objective == 500U);
  BOOST_TEST(route->Attempts == 2U);
  BOOST_TEST(route->Service.str() == "a");
  BOOST_TEST(findService(*snapshot, ServiceName("b"))->Version.empty());
}

BOOST_AUTO_TEST_CASE(lower_priority_number_gives_higher_worth) {
  std::uint32_t last = ~0U;
  for (const char *priority : {"0", "1", "2", "3"}) {
    const auto entry =
        decode("op/config", documentWith(replacedOnce(RouteJson, "\"priority\":2",
                                                      "\"priority\":" + std::string(priority)) +
                                         R"(,"service":"a")"));
    const auto &document = std::get<ConfigDocument>(*entry);
    const auto &route = std::get<RouteSpec>(document.Objects.back());
    BOOST_TEST(route.Worth < last);
    last = route.Worth;
  }
}

BOOST_AUTO_TEST_CASE(split_weights_are_preserved) {
  const auto entry =
      decode("op/config",
             documentWith(RouteJson +
                          R"(,"split":[{"service":"a","weight":90},{"service":"b","weight":10}])"));
  BOOST_REQUIRE(entry.ok());
  const auto &route = std::get<RouteSpec>(std::get<ConfigDocument>(*entry).Objects.back());
  BOOST_TEST(
      (route.Split == std::vector<SplitPart>{{ServiceName("a"), 90}, {ServiceName("b"), 10}}));
}

// Guards against weights that are cut to whole numbers of 32 bits, which changes their proportion
// or makes the whole version invalid.
BOOST_AUTO_TEST_CASE(split_keeps_the_proportion_of_weights_in_every_form_of_a_number) {
  struct WeightCase {
    const char *First;
    const char *Second;
    double Share;
  };
  const std::vector<WeightCase> cases = {
      {"90", "10", 0.9},
      {"3.0", "1", 0.75},
      {"1.5", "0.5", 0.75},
      {"0.75", "0.25", 0.75},
      {"3e0", "1E0", 0.75},
      {"1e-3", "1e-3", 0.5},
      {"9e9", "1e9", 0.9},
      {"18446744073709551615", "18446744073709551615", 0.5},
      {"1e300", "3e300", 0.25},
      {"1.7e308", "1.7e308", 0.5},
      {"3e-300", "1e-300", 0.75},
      {"5e-324", "0", 1},
      {"0.0", "7", 0},
      {"-0.0", "0.1", 0},
      {"1", "4294967296", 0},
  };
  for (const WeightCase &it : cases)
    BOOST_TEST(std::abs(drawnShare(acceptedSplit(it.First, it.Second)) - it.Share) < 0.02,
               it.First << " to " << it.Second);
}

BOOST_AUTO_TEST_CASE(proportions_are_kept_for_any_weights) {
  const bool ok = rc::check("drawn shares follow the weights", [] {
    const auto mantissa = [] { return *rc::gen::inRange(1, 1000); };
    const int first = mantissa();
    const int second = mantissa();
    const std::string exponent = absl::StrCat("e", *rc::gen::inRange(-200, 200));
    const double share = static_cast<double>(first) / (first + second);
    const double drawn =
        drawnShare(acceptedSplit(absl::StrCat(first, exponent), absl::StrCat(second, exponent)));
    RC_ASSERT(std::abs(drawn - share) < 0.02);
  });
  BOOST_TEST(ok);
}

BOOST_AUTO_TEST_CASE(weights_that_state_no_proportion_are_refused_with_route_and_field) {
  for (const char *weight : {"-1", "\"3\"", "null", "true", "[1]"}) {
    const auto entry = decode(
        "op/config", documentWith(absl::StrCat(RouteJson, R"(,"split":[{"service":"a","weight":)",
                                               weight, R"(},{"service":"b","weight":1}])")));
    BOOST_TEST_REQUIRE(!entry.ok(), weight);
    const std::string reason(entry.status().message());
    BOOST_TEST(reason.find("route \"r\"") != std::string::npos, reason);
    BOOST_TEST(reason.find("weight") != std::string::npos, reason);
  }
  BOOST_TEST(!decode("op/config", documentWith(RouteJson + R"(,"split":[{"service":"a"}])")).ok());
}

// Guards against a version that is refused as a whole, or changed in silence, because a proper
// figure is a fraction or beyond the range that the product uses.
BOOST_AUTO_TEST_CASE(figures_of_a_route_are_rounded_and_bounded) {
  struct FigureCase {
    const char *Field;
    const char *Value;
    std::uint64_t RouteSpec::*Whole;
    std::uint64_t Expected;
  };
  const std::vector<FigureCase> cases = {
      {"timeout_ms", "1500.0", &RouteSpec::Deadline, 1500},
      {"timeout_ms", "15e2", &RouteSpec::Deadline, 1500},
      {"timeout_ms", "1500.25", &RouteSpec::Deadline, 1501},
      {"timeout_ms", "0.5", &RouteSpec::Deadline, 1},
      {"timeout_ms", "3600000", &RouteSpec::Deadline, 600000},
      {"timeout_ms", "1e300", &RouteSpec::Deadline, 600000},
      {"target_latency_ms", "0.5", &RouteSpec::Objective, 1},
      {"target_latency_ms", "0", &RouteSpec::Objective, 0},
      {"target_latency_ms", "4294967297", &RouteSpec::Objective, 600000},
  };
  for (const FigureCase &it : cases) {
    const std::optional<RouteSpec> route = routeWith(it.Field, it.Value);
    BOOST_TEST_REQUIRE(route.has_value(), it.Field << " " << it.Value);
    BOOST_TEST(((*route).*it.Whole) == it.Expected, it.Field << " " << it.Value);
  }
  const auto attempts = [](const char *value) {
    const std::optional<RouteSpec> route = routeWith("attempts", value);
    return route.has_value() ? route->Attempts : 0;
  };
  BOOST_TEST(attempts("2.9") == 2U);
  BOOST_TEST(attempts("3.0") == 3U);
  BOOST_TEST(attempts("17") == 16U);
  BOOST_TEST(attempts("1e30") == 16U);
  BOOST_TEST(!routeWith("attempts", "0").has_value());
  BOOST_TEST(!routeWith("timeout_ms", "0").has_value());
  BOOST_TEST(routeWith("priority", "1.9")->Worth == routeWith("priority", "1")->Worth);
  BOOST_TEST(routeWith("priority", "1e30")->Worth == 1U);
}

BOOST_AUTO_TEST_CASE(proper_times_are_never_an_error) {
  const bool ok = rc::check("any positive number is accepted", [] {
    const std::string value =
        absl::StrCat(*rc::gen::inRange(1, 1000), ".", *rc::gen::inRange(0, 1000), "e",
                     *rc::gen::inRange(-300, 300));
    for (const char *field : {"timeout_ms", "target_latency_ms"})
      RC_ASSERT(routeWith(field, value).has_value());
  });
  BOOST_TEST(ok);
}

BOOST_AUTO_TEST_CASE(whole_numbers_of_heartbeats_may_have_any_form) {
  for (const char *slots : {"9", "9.0", "9e0", "0.9e1"}) {
    const auto call =
        putHeartbeat(replacedOnce(HeartbeatJson, "\"slots\":9", absl::StrCat("\"slots\":", slots)));
    BOOST_TEST_REQUIRE(std::holds_alternative<Announcement>(call), slots);
    BOOST_TEST(std::get<Announcement>(call).Slots == 9U);
  }
  const auto call = putHeartbeat(
      replacedOnce(HeartbeatJson, "\"sequence\":4", "\"sequence\":9223372036854775809"));
  BOOST_TEST_REQUIRE(std::holds_alternative<Announcement>(call));
  BOOST_TEST(std::get<Announcement>(call).Sequence == 9223372036854775809U);
  for (const char *slots : {"9.5", "-9", "1e300", "\"9\"", "null"})
    BOOST_TEST(std::holds_alternative<InvalidCall>(putHeartbeat(
                   replacedOnce(HeartbeatJson, "\"slots\":9", absl::StrCat("\"slots\":", slots)))),
               slots);
}

BOOST_AUTO_TEST_CASE(store_responses_without_a_readable_revision_are_not_used) {
  const StoreProtocol store = storeProtocol();
  const StoreWatch watch{"op/", 5, 1};
  BOOST_TEST(store.Decode(watch, 200, R"({"events":[],"store_revision":7.0})").Revision == 7);
  for (const char *body :
       {R"({"events":[]})", R"({"events":[],"store_revision":"7"})",
        R"({"events":[],"store_revision":1e300})", R"({"events":[],"store_revision":7.5})"})
    BOOST_TEST((store.Decode(watch, 200, body).Result == StoreResult::Unknown), body);
}

BOOST_AUTO_TEST_CASE(malformed_documents_are_rejected) {
  const std::string valid = documentWith(RouteJson + R"(,"service":"a")");
  const std::vector<std::string> cases = {
      "",
      "[]",
      valid.substr(0, valid.size() / 2),
      documentWith(RouteJson + R"(,"service":"a")", "c"),
      documentWith(RouteJson + R"(,"service":"a")", "0000000x"),
      documentWith(RouteJson),
      documentWith(replacedOnce(RouteJson, "\"host\":\"X.example\",") + R"(,"service":"a")"),
      documentWith(replacedOnce(RouteJson, "/p/", "/p") + R"(,"service":"a")"),
      documentWith(replacedOnce(RouteJson, "/p/", "p/") + R"(,"service":"a")"),
      documentWith(replacedOnce(RouteJson, "safe", "often") + R"(,"service":"a")"),
      documentWith(RouteJson + R"(,"split":[{"weight":1}])"),
      R"({"version":"0000000c","routes":[],)" + ServicesJson + "}",
      R"({"version":"0000000c","routes":{"r":7},)" + ServicesJson + "}",
  };
  for (const std::string &it : cases)
    BOOST_TEST(!decode("op/config", it).ok(), it);
}

BOOST_AUTO_TEST_CASE(rollout_order_number_is_the_entry_revision) {
  const auto entry =
      decode("op/rollout/a", R"({"service":"a","target_version":"v2","duration_s":12})");
  BOOST_REQUIRE(entry.ok());
  BOOST_TEST((std::get<RolloutOrder>(*entry) ==
              RolloutOrder{ServiceName("a"), VersionLabel("v2"), 12000, 7}));
  for (const char *bad : {"{}", R"({"service":"a"})", "x",
                          R"({"service":"a","target_version":"v2","duration_s":"soon"})",
                          R"({"service":"a","target_version":"v2","duration_s":-1})",
                          R"({"service":"a","target_version":"v2","duration_s":1e300})",
                          R"({"service":"a","target_version":"v2","duration_s":0})"})
    BOOST_TEST(!decode("op/rollout/a", bad).ok(), bad);
  // Orders are told apart and ordered by their revision.
  const std::string order = R"({"service":"a","target_version":"v2","duration_s":12})";
  BOOST_TEST(!documentFormat().Decode({"op/rollout/a", order, 0, false}).ok());
  BOOST_TEST(!documentFormat().Decode({"op/evacuate/z", "", 0, false}).ok());
  // Removed entries and unknown keys decode to nothing.
  BOOST_TEST(std::holds_alternative<std::monostate>(*decode("op/rollout/a", "", true)));
  BOOST_TEST(std::holds_alternative<std::monostate>(*decode("op/else", "{}")));
}

BOOST_AUTO_TEST_CASE(rollout_status_round_trips) {
  const DocumentFormat format = documentFormat();
  for (const RolloutPhase phase :
       {RolloutPhase::Running, RolloutPhase::Done, RolloutPhase::TakenBack}) {
    RolloutProgress progress;
    progress.Phase = phase;
    progress.To = VersionLabel("v2");
    progress.Order = 99;
    progress.Stage = 3;
    const auto read = format.DecodeStatus(format.EncodeStatus(progress));
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST((*read == progress));
  }
  BOOST_TEST(!format.DecodeStatus("not json").has_value());
}

BOOST_AUTO_TEST_CASE(heartbeats_are_decoded_and_malformed_ones_rejected) {
  const ManagementCall valid = putHeartbeat(HeartbeatJson);
  BOOST_REQUIRE(std::holds_alternative<Announcement>(valid));
  const auto &announcement = std::get<Announcement>(valid);
  BOOST_TEST(announcement.ID.str() == "i-1");
  BOOST_TEST(announcement.ProcessStart == 5U);
  BOOST_TEST(announcement.Sequence == 4U);
  BOOST_TEST(announcement.Slots == 9U);
  BOOST_TEST(announcement.WarmUpLeft == 20U);
  BOOST_TEST(!announcement.Draining);
  BOOST_TEST(std::get<Announcement>(putHeartbeat(replacedOnce(HeartbeatJson, "ready", "draining")))
                 .Draining);
  for (const std::string &bad : {std::string(), std::string("{"), std::string("7"),
                                 replacedOnce(HeartbeatJson, "ready", "resting"),
                                 replacedOnce(HeartbeatJson, "\"slots\":9", "\"slots\":\"nine\""),
                                 replacedOnce(HeartbeatJson, "\"slots\":9", "\"s\":9"),
                                 replacedOnce(HeartbeatJson, "\"service\":\"a\"", "\"service\":4"),
                                 replacedOnce(HeartbeatJson, "\"address\":\"10.0.0.1:80\",")})
    BOOST_TEST(std::holds_alternative<InvalidCall>(putHeartbeat(bad)), bad);
}

// Guards against a heartbeat of another writer that replaces what is known of an upstream.
BOOST_AUTO_TEST_CASE(heartbeat_without_one_of_its_fields_or_with_another_type_is_refused) {
  using nlohmann::json;
  const json whole = json::parse(HeartbeatJson);
  for (const char *field :
       {"/address", "/born", "/information", "/information/service", "/information/version",
        "/information/zone", "/information/slots", "/status", "/status/state", "/status/sequence",
        "/status/cold_remaining_ms"}) {
    const json::json_pointer pointer{std::string(field)};
    json missing = whole;
    missing.at(pointer.parent_pointer()).erase(pointer.back());
    BOOST_TEST(std::holds_alternative<InvalidCall>(putHeartbeat(missing.dump())), field);
    const bool isNumber = whole.at(pointer).is_number();
    for (const json &other : {json(nullptr), json(true), json(-1), json(1.5), json(json::array()),
                              isNumber ? json("5") : json(5)}) {
      json odd = whole;
      odd.at(pointer) = other;
      BOOST_TEST(std::holds_alternative<InvalidCall>(putHeartbeat(odd.dump())), odd.dump());
    }
  }
  BOOST_TEST(std::holds_alternative<InvalidCall>(
      readManagement({"PUT", "/instances/", "", HeartbeatJson})));
}

BOOST_AUTO_TEST_CASE(readiness_withdrawal_and_unknown_calls_are_distinguished) {
  BOOST_TEST(std::holds_alternative<ReadinessQuery>(readManagement({"GET", "/readiness", "", ""})));
  const ManagementCall withdrawal = readManagement({"DELETE", "/instances/i-2", "", ""});
  BOOST_REQUIRE(std::holds_alternative<Withdrawal>(withdrawal));
  BOOST_TEST(std::get<Withdrawal>(withdrawal).ID.str() == "i-2");
  BOOST_TEST(std::holds_alternative<InvalidCall>(readManagement({"GET", "/other", "", ""})));
}

struct ReplyCase {
  const char *Name;
  StoreRequest Request;
  int Status;
  std::string Body;
  StoreResult Expected;
};

// Guards against treating a reply with an unclear outcome (unexpected status, truncated or
// malformed body) as a definite result.
BOOST_AUTO_TEST_CASE(store_reply_results_follow_status_and_body) {
  const StoreCompareAndSwap swap{"k", "v", 3, {}};
  const std::vector<ReplyCase> cases = {
      {"written", swap, 200, R"({"revision":9})", StoreResult::Ok},
      {"condition failed", swap, 412, R"({"items":[]})", StoreResult::Conflict},
      {"rate limited", swap, 429, "", StoreResult::Unavailable},
      {"unavailable, nothing executed", swap, 503, "", StoreResult::Unavailable},
      {"unknown status", swap, 500, "", StoreResult::Unknown},
      {"truncated body", swap, 200, "{", StoreResult::Unknown},
      {"no such key", StoreRead{"k"}, 404, "{}", StoreResult::Ok},
      {"put under an expired lease", StorePut{"k", "v", 5}, 404, "{}", StoreResult::Conflict},
      {"renewal of an expired lease", StoreKeepAlive{5}, 404, "{}", StoreResult::Ok},
      {"revision compacted", StoreWatch{"p", 3, 10}, 410, "{}", StoreResult::Compacted},
      {"key of the wrong type", StoreRead{"k"}, 200, R"({"key":7,"value":"YQ=="})",
       StoreResult::Unknown},
  };
  for (const ReplyCase &it : cases) {
    const StoreResponse response = storeProtocol().Decode(it.Request, it.Status, it.Body);
    BOOST_TEST((response.Result == it.Expected), it.Name);
    BOOST_TEST(response.Entries.empty(), it.Name);
  }
}

BOOST_AUTO_TEST_CASE(an_odd_heartbeat_of_another_writer_is_refused_and_ends_no_process) {
  const auto isRefused = [](const std::string &body) {
    const ManagementCall call = readManagement({"PUT", "/instances/i-1", "", body});
    return std::holds_alternative<InvalidCall>(call);
  };
  const auto heartbeat = [](const std::string &address, const std::string &slots,
                            const std::string &extra) {
    return R"({"born":5,"address":")" + address +
           R"(","information":{"service":"s","version":"v1","zone":"z","slots":)" + slots + extra +
           R"(},"status":{"state":"ready","sequence":4,"cold_remaining_ms":0}})";
  };
  BOOST_TEST(!isRefused(heartbeat("10.0.0.9:8080", "9", "")));
  for (const char *slots : {"1e999", "1e30", "4294967297", "18446744073709551616", "-9", "0"})
    BOOST_TEST(isRefused(heartbeat("10.0.0.9:8080", slots, "")), slots);
  for (const char *address : {"10.0.0.9:99999", "10.0.0.9:0", "10.0.0.9:-1", "10.0.0.9", "host:80",
                              "10.0.0.9:80:80", "unix:/tmp/x", ":80"})
    BOOST_TEST(isRefused(heartbeat(address, "9", "")), address);
  // Copying and destroying such a value recurses.
  constexpr std::size_t Depth = 300000;
  BOOST_TEST(isRefused(heartbeat("10.0.0.9:8080", "9",
                                 R"(,"x":)" + std::string(Depth, '[') + std::string(Depth, ']'))));
  BOOST_TEST(isRefused(std::string(Depth, '[')));
}

BOOST_AUTO_TEST_CASE(odd_entries_of_the_operators_prefix_are_refused_alone) {
  const DocumentFormat format = documentFormat();
  constexpr std::size_t Depth = 300000;
  const std::string nested = std::string(Depth, '[') + std::string(Depth, ']');
  for (const std::string &text :
       {std::string(R"({"service":"s","target_version":"v2","duration_s":1e999})"),
        R"({"service":"s","target_version":"v2","duration_s":12,"x":)" + nested + "}"}) {
    StoreEntry entry;
    entry.Key = "op/rollout/s";
    entry.Value = text;
    BOOST_TEST(!format.Decode(entry).ok());
  }
  // A number beyond the range of its field becomes the largest value that a route may state.
  StoreEntry entry;
  entry.Key = "op/config";
  entry.Value =
      R"({"version":"00000001","services":{"s":{}},"routes":{"r":{"host":"h","prefix":"/",)"
      R"("kind":"safe","service":"s","timeout_ms":1e300,"attempts":1e12}}})";
  const absl::StatusOr<DocumentEntry> decoded = format.Decode(entry);
  BOOST_REQUIRE(decoded.ok());
  const auto &config = std::get<ConfigDocument>(*decoded);
  const auto &route = std::get<RouteSpec>(config.Objects.back());
  BOOST_TEST(route.Attempts == MaxRouteAttempts);
  BOOST_TEST(route.Deadline == MaxRouteDeadline);
}
