/// @file rollout_scale_test.cpp Verdicts on versions that run on many hosts, each with few
/// requests.
#define BOOST_TEST_MODULE rollout_scale
#include <boost/test/unit_test.hpp>

#include "rollout/host_fault.h"

#include <array>
#include <cmath>
#include <random>

using namespace jasmineloom;

namespace {

constexpr double OldRate = 0.01;
constexpr std::uint32_t Seeds = 100;
/// Failures of all hosts together from which the two kinds of fault can be told apart.
constexpr double MinFailures = 20;
/// Share of the plays in which the kind of fault may be mistaken.
constexpr double MaxMistakes = 0.1;

constexpr std::array<std::size_t, 5> HostNumbers = {3, 5, 19, 70, 138};
constexpr std::array<double, 3> RequestsPerHost = {3, 8, 30};

/// Draws the requests of each host, of which the first ones fail at a rate of their own.
std::vector<HostCounts> drawHosts(std::size_t hosts, double requests, std::size_t faulty,
                                  double faultyRate, double otherRate, std::mt19937 &random) {
  std::poisson_distribution<std::uint64_t> arrivals(requests);
  std::vector<HostCounts> drawn;
  for (std::size_t it = 0; it < hosts; ++it) {
    HostCounts counts{HostID("h" + std::to_string(it)),
                      std::max<std::uint64_t>(1, arrivals(random)), 0};
    std::binomial_distribution<std::uint64_t> failures(counts.Requests,
                                                       it < faulty ? faultyRate : otherRate);
    counts.Failures = failures(random);
    drawn.push_back(counts);
  }
  return drawn;
}

/// @returns the number of plays in which the failures are taken for those of some hosts.
std::uint32_t takenForHostFaults(std::size_t hosts, double requests, std::size_t faulty,
                                 double faultyRate, double otherRate) {
  std::uint32_t n = 0;
  for (std::uint32_t seed = 1; seed <= Seeds; ++seed) {
    std::mt19937 random(seed);
    if (failuresConfinedToHosts(drawHosts(hosts, requests, faulty, faultyRate, otherRate, random),
                                OldRate))
      ++n;
  }
  return n;
}

} // namespace

BOOST_AUTO_TEST_CASE(even_failures_are_not_taken_for_faults_of_some_hosts) {
  for (const std::size_t hosts : HostNumbers) {
    for (const double requests : RequestsPerHost) {
      for (const double rate : {0.05, 0.1, 0.2, 0.5}) {
        if (static_cast<double>(hosts) * requests * rate < MinFailures)
          continue;
        BOOST_TEST_CONTEXT(hosts << " hosts, " << requests << " requests each, " << rate) {
          const std::uint32_t n = takenForHostFaults(hosts, requests, 0, 0, rate);
          BOOST_TEST(n <= MaxMistakes * Seeds);
        }
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(faults_of_some_hosts_are_not_taken_for_one_of_the_version) {
  struct HostFault {
    double Share; ///< Of the hosts.
    double Rate;
  };
  for (const std::size_t hosts : HostNumbers) {
    for (const double requests : RequestsPerHost) {
      for (const HostFault &fault :
           {HostFault{0.15, 0.4}, HostFault{0.3, 0.4}, HostFault{0.3, 1}, HostFault{0.5, 1}}) {
        const auto faulty =
            static_cast<std::size_t>(std::lround(static_cast<double>(hosts) * fault.Share));
        if (static_cast<double>(faulty) * requests * fault.Rate < MinFailures)
          continue;
        BOOST_TEST_CONTEXT(hosts << " hosts, " << faulty << " faulty, " << requests
                                 << " requests each, " << fault.Rate) {
          const std::uint32_t n =
              takenForHostFaults(hosts, requests, faulty, fault.Rate, OldRate / 2);
          BOOST_TEST(n >= (1 - MaxMistakes) * Seeds);
        }
      }
    }
  }
}
