/// @file caller_service_test.cpp Which service requests of this host's callers name.
#define BOOST_TEST_MODULE caller_service
#include <boost/test/unit_test.hpp>

#include "traffic/caller_service.h"

#include <variant>
#include <vector>

using namespace jasmineloom;

namespace {

struct Reload {
  const char *Service;
};
struct Heartbeat {
  const char *Service;
};
using Statement = std::variant<Reload, Heartbeat>;

bool apply(CallerService &caller, const Reload &it) {
  return caller.applySettings(ServiceName(it.Service));
}
bool apply(CallerService &caller, const Heartbeat &it) {
  return caller.applyHeartbeat(ServiceName(it.Service));
}

struct CallerCase {
  const char *Name;
  const char *Configured;
  std::vector<Statement> Statements;
  const char *Expected;
  std::size_t Changes;
};

} // namespace

// Guards against requests that name a service which an earlier upstream of the host had.
BOOST_AUTO_TEST_CASE(settings_name_the_service_whatever_heartbeats_say) {
  const std::vector<CallerCase> cases = {
      {"before the first heartbeat", "a", {}, "a", 0},
      {"the heartbeat agrees", "a", {Heartbeat{"a"}}, "a", 0},
      {"the first heartbeat differs", "a", {Heartbeat{"b"}}, "a", 0},
      {"the heartbeat of the next upstream comes before the reload",
       "a",
       {Heartbeat{"a"}, Heartbeat{"b"}},
       "a",
       0},
      {"reload, then heartbeat", "a", {Heartbeat{"a"}, Reload{"b"}, Heartbeat{"b"}}, "b", 1},
      {"heartbeat, then reload", "a", {Heartbeat{"b"}, Reload{"b"}}, "b", 1},
      {"a late heartbeat after the reload",
       "a",
       {Reload{"b"}, Heartbeat{"b"}, Heartbeat{"a"}},
       "b",
       1},
      {"a reload without a change", "a", {Heartbeat{"b"}, Reload{"a"}}, "a", 0},
      {"changed twice", "a", {Reload{"b"}, Heartbeat{"b"}, Reload{"a"}, Heartbeat{"a"}}, "a", 2},
      {"the settings name none", "", {Heartbeat{"a"}, Heartbeat{"b"}}, "b", 2},
      {"the settings no longer name one", "a", {Heartbeat{"b"}, Reload{""}}, "b", 1},
      {"the settings name one again", "", {Heartbeat{"b"}, Reload{"a"}}, "a", 2},
  };
  for (const CallerCase &it : cases) {
    CallerService caller{ServiceName(it.Configured)};
    std::size_t changes = 0;
    for (const Statement &statement : it.Statements)
      changes += std::visit([&caller](const auto &one) { return apply(caller, one); }, statement);
    BOOST_TEST(caller.current().str() == it.Expected, it.Name);
    BOOST_TEST(changes == it.Changes, it.Name);
  }
}
