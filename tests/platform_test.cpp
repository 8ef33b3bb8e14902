/// @file platform_test.cpp What the platform says, decoded: documents, orders, heartbeats, store
/// replies. Whatever can't be read changes nothing.
#define BOOST_TEST_MODULE platform
#include <boost/test/unit_test.hpp>

#include "platform_environment.h"

#include "config/config_func.h"

using namespace jasmineloom;
using namespace jasmineloom::platform;

namespace {

const std::string Services = R"("services":{"a":{},"b":{}})";
const std::string Route =
    R"("host":"X.example","prefix":"/p/","kind":"safe","timeout_ms":1500,"priority":2,)"
    R"("target_latency_ms":500,"attempts":2)";

absl::StatusOr<DocumentEntry> decode(const std::string &key, const std::string &value,
                                     bool removed = false) {
  return documentFormat().Decode({key, value, 7, removed});
}

std::string documentWith(const std::string &route, const std::string &version = "0000000c") {
  return "{\"version\":\"" + version + "\",\"routes\":{\"r\":{" + route + "}}," + Services + "}";
}

ManagementCall put(const std::string &body) {
  return readManagement({"PUT", "/instances/i-1", "", body});
}

const std::string Beat =
    R"({"address":"10.0.0.1:80","born":5,"information":{"service":"a","version":"v1","zone":"z",)"
    R"("slots":9},"status":{"state":"ready","sequence":4,"cold_remaining_ms":20}})";

std::string without(const std::string &text, const std::string &part, const std::string &by = "") {
  std::string changed = text;
  changed.replace(changed.find(part), part.size(), by);
  return changed;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_document_becomes_routes_and_services) {
  const auto entry = decode("op/config", documentWith(Route + R"(,"service":"a")"));
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

BOOST_AUTO_TEST_CASE(a_smaller_rank_is_worth_more) {
  std::uint32_t last = ~0U;
  for (const char *rank : {"0", "1", "2", "3"}) {
    const auto entry =
        decode("op/config",
               documentWith(without(Route, "\"priority\":2", "\"priority\":" + std::string(rank)) +
                            R"(,"service":"a")"));
    const auto &document = std::get<ConfigDocument>(*entry);
    const auto &route = std::get<RouteSpec>(document.Objects.back());
    BOOST_TEST(route.Worth < last);
    last = route.Worth;
  }
}

BOOST_AUTO_TEST_CASE(a_split_keeps_its_weights) {
  const auto entry =
      decode("op/config",
             documentWith(Route +
                          R"(,"split":[{"service":"a","weight":90},{"service":"b","weight":10}])"));
  BOOST_REQUIRE(entry.ok());
  const auto &route = std::get<RouteSpec>(std::get<ConfigDocument>(*entry).Objects.back());
  BOOST_TEST(
      (route.Split == std::vector<SplitPart>{{ServiceName("a"), 90}, {ServiceName("b"), 10}}));
}

BOOST_AUTO_TEST_CASE(documents_that_can_not_be_read_are_refused_whole) {
  const std::string whole = documentWith(Route + R"(,"service":"a")");
  const std::vector<std::string> cases = {
      "",
      "[]",
      whole.substr(0, whole.size() / 2),
      documentWith(Route + R"(,"service":"a")", "c"),
      documentWith(Route + R"(,"service":"a")", "0000000x"),
      documentWith(Route),
      documentWith(without(Route, "\"host\":\"X.example\",") + R"(,"service":"a")"),
      documentWith(without(Route, "/p/", "/p") + R"(,"service":"a")"),
      documentWith(without(Route, "/p/", "p/") + R"(,"service":"a")"),
      documentWith(without(Route, "safe", "often") + R"(,"service":"a")"),
      documentWith(Route + R"(,"split":[{"weight":1}])"),
      R"({"version":"0000000c","routes":[],)" + Services + "}",
      R"({"version":"0000000c","routes":{"r":7},)" + Services + "}",
  };
  for (const std::string &it : cases)
    BOOST_TEST(!decode("op/config", it).ok(), it);
}

BOOST_AUTO_TEST_CASE(an_order_carries_the_number_of_its_entry) {
  const auto entry =
      decode("op/rollout/a", R"({"service":"a","target_version":"v2","duration_s":12})");
  BOOST_REQUIRE(entry.ok());
  BOOST_TEST((std::get<RolloutOrder>(*entry) ==
              RolloutOrder{ServiceName("a"), VersionLabel("v2"), 12000, 7}));
  for (const char *bad : {"{}", R"({"service":"a"})", "x",
                          R"({"service":"a","target_version":"v2","duration_s":"soon"})"})
    BOOST_TEST(!decode("op/rollout/a", bad).ok(), bad);
  // Removed entries and keys of others say nothing.
  BOOST_TEST(std::holds_alternative<std::monostate>(*decode("op/rollout/a", "", true)));
  BOOST_TEST(std::holds_alternative<std::monostate>(*decode("op/else", "{}")));
}

BOOST_AUTO_TEST_CASE(a_status_is_read_back_as_it_was_written) {
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

BOOST_AUTO_TEST_CASE(a_heartbeat_is_read_whole_or_not_at_all) {
  const ManagementCall whole = put(Beat);
  BOOST_REQUIRE(std::holds_alternative<Announcement>(whole));
  const auto &announcement = std::get<Announcement>(whole);
  BOOST_TEST(announcement.ID.str() == "i-1");
  BOOST_TEST(announcement.ProcessStart == 5U);
  BOOST_TEST(announcement.Sequence == 4U);
  BOOST_TEST(announcement.Slots == 9U);
  BOOST_TEST(announcement.WarmUpLeft == 20U);
  BOOST_TEST(!announcement.Draining);
  BOOST_TEST(std::get<Announcement>(put(without(Beat, "ready", "draining"))).Draining);
  for (const std::string &bad :
       {std::string(), std::string("{"), std::string("7"), without(Beat, "ready", "resting"),
        without(Beat, "\"slots\":9", "\"slots\":\"nine\""), without(Beat, "\"slots\":9", "\"s\":9"),
        without(Beat, "\"service\":\"a\"", "\"service\":4"),
        without(Beat, "\"address\":\"10.0.0.1:80\",")})
    BOOST_TEST(std::holds_alternative<BadCall>(put(bad)), bad);
}

BOOST_AUTO_TEST_CASE(other_calls_are_told_apart) {
  BOOST_TEST(std::holds_alternative<ReadinessQuery>(readManagement({"GET", "/readiness", "", ""})));
  const ManagementCall leave = readManagement({"DELETE", "/instances/i-2", "", ""});
  BOOST_REQUIRE(std::holds_alternative<Withdrawal>(leave));
  BOOST_TEST(std::get<Withdrawal>(leave).ID.str() == "i-2");
  BOOST_TEST(std::holds_alternative<BadCall>(readManagement({"GET", "/other", "", ""})));
}

struct ReplyCase {
  const char *Name;
  StoreRequest Request;
  int Status;
  std::string Body;
  StoreResult Expected;
};

BOOST_AUTO_TEST_CASE(a_store_reply_is_never_more_certain_than_it_says) {
  const StoreCompareAndSwap swap{"k", "v", 3, {}};
  const std::vector<ReplyCase> cases = {
      {"written", swap, 200, R"({"revision":9})", StoreResult::Ok},
      {"condition failed", swap, 412, R"({"items":[]})", StoreResult::Conflict},
      {"too many calls", swap, 429, "", StoreResult::Unavailable},
      {"nothing was done", swap, 503, "", StoreResult::Unavailable},
      {"unknown status", swap, 500, "", StoreResult::Unknown},
      {"half a body", swap, 200, "{", StoreResult::Unknown},
      {"no such key", StoreRead{"k"}, 404, "{}", StoreResult::Ok},
      {"lease ended", StorePut{"k", "v", 5}, 404, "{}", StoreResult::Conflict},
      {"renewal of an ended lease", StoreKeepAlive{5}, 404, "{}", StoreResult::Ok},
      {"history gone", StoreWatch{"p", 3, 10}, 410, "{}", StoreResult::Compacted},
      {"item of another type", StoreRead{"k"}, 200, R"({"key":7,"value":"YQ=="})",
       StoreResult::Unknown},
  };
  for (const ReplyCase &it : cases) {
    const StoreResponse answer = storeProtocol().Decode(it.Request, it.Status, it.Body);
    BOOST_TEST((answer.Result == it.Expected), it.Name);
    BOOST_TEST(answer.Entries.empty(), it.Name);
  }
}
