/// @file large_order_trace_test.cpp Ordered rollouts of services with 19 to 138 hosts of each
/// version, on seeded traces.
#define BOOST_TEST_MODULE large_order_trace
#include <boost/test/unit_test.hpp>

#include "order_trace.h"

using namespace jasmineloom;
using namespace jasmineloom::testing;

BOOST_AUTO_TEST_CASE(a_bad_version_on_many_hosts_gets_a_small_share_of_the_requests) {
  constexpr OrderScenario Scenarios[] = {
      {"good", OrderFault::None, 0.008},
      {"good, some of its hosts fail for a while", OrderFault::HostFault, 0.008},
      {"half fails", OrderFault::Errors, 0.008},
      {"half is slow by 8x", OrderFault::Slow, 0.008},
      {"half fails after 3 s", OrderFault::LateErrors, 0.008},
      {"half fails from a fifth of the load", OrderFault::UnderLoad, 0.008},
      {"a fifth fails from two fifths of the load", OrderFault::UnderLoadPartly, 0.008},
  };
  constexpr DurationMs Propagation = 300;
  for (const OrderScenario &scenario : Scenarios) {
    for (const OrderTraceSize &size : {OrderTraceSize{240, 14000, 19, 3, Propagation},
                                       OrderTraceSize{880, 14000, 70, 11, Propagation},
                                       OrderTraceSize{1730, 16000, 138, 21, Propagation}}) {
      for (std::uint32_t seed = 1; seed <= 6; ++seed) {
        BOOST_TEST_CONTEXT(scenario.Name << ", " << size.Hosts << " hosts, seed " << seed) {
          const OrderResult result = OrderTrace(scenario, size, seed).run();
          const bool good =
              scenario.Fault == OrderFault::None || scenario.Fault == OrderFault::HostFault;
          BOOST_TEST((result.Phase == (good ? RolloutPhase::Done : RolloutPhase::TakenBack)),
                     result.Reason);
          if (good)
            BOOST_TEST(result.EndedAfter <= size.Duration);
          else
            BOOST_TEST(static_cast<double>(result.NewRequests) <=
                       ExposureShare * static_cast<double>(result.Requests) + ExposureSlack);
        }
      }
    }
  }
}
