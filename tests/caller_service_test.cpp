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
  const char *Process;
  const char *Service;
};
using Statement = std::variant<Reload, Heartbeat>;

void apply(CallerService &caller, const Reload &it) {
  caller.applySettings(ServiceName(it.Service));
}
void apply(CallerService &caller, const Heartbeat &it) {
  caller.applyHeartbeat(it.Process, ServiceName(it.Service));
}

struct CallerCase {
  const char *Name;
  std::vector<Statement> Statements;
  const char *Expected;
};

} // namespace

// Guards against requests that name a service which no longer runs on the host.
BOOST_AUTO_TEST_CASE(later_of_two_different_statements_names_the_service) {
  const std::vector<CallerCase> cases = {
      {"before the first heartbeat", {}, "a"},
      {"the settings agree", {Heartbeat{"i-1", "a"}}, "a"},
      {"settings first", {Heartbeat{"i-1", "a"}, Reload{"b"}}, "b"},
      {"settings, then heartbeat",
       {Heartbeat{"i-1", "a"}, Reload{"b"}, Heartbeat{"i-2", "b"}},
       "b"},
      {"heartbeat without a reload", {Heartbeat{"i-1", "a"}, Heartbeat{"i-2", "b"}}, "b"},
      {"heartbeat first, then a reload of the old file",
       {Heartbeat{"i-1", "a"}, Heartbeat{"i-2", "b"}, Reload{"a"}},
       "b"},
      {"the earlier process goes on to send heartbeats after the reload",
       {Heartbeat{"i-1", "a"}, Reload{"b"}, Heartbeat{"i-1", "a"}},
       "b"},
      {"changed twice",
       {Heartbeat{"i-1", "a"}, Heartbeat{"i-2", "b"}, Reload{"b"}, Reload{"a"},
        Heartbeat{"i-3", "a"}},
       "a"},
      {"the first heartbeat differs from the settings", {Heartbeat{"i-1", "b"}}, "b"},
      {"a process without an ID",
       {Heartbeat{"", "a"}, Reload{"b"}, Heartbeat{"", "a"}, Heartbeat{"", "c"}},
       "c"},
  };
  for (const CallerCase &it : cases) {
    CallerService caller(ServiceName("a"));
    for (const Statement &statement : it.Statements)
      std::visit([&caller](const auto &one) { apply(caller, one); }, statement);
    BOOST_TEST(caller.current().str() == it.Expected, it.Name);
  }
}

BOOST_AUTO_TEST_CASE(only_a_change_is_reported) {
  CallerService caller(ServiceName("a"));
  BOOST_TEST(!caller.applyHeartbeat("i-1", ServiceName("a")));
  BOOST_TEST(caller.applyHeartbeat("i-2", ServiceName("b")));
  BOOST_TEST(!caller.applyHeartbeat("i-2", ServiceName("b")));
  BOOST_TEST(!caller.applySettings(ServiceName("b")));
}
