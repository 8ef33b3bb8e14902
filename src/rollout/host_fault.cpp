/// @file host_fault.cpp Distinguishes failures of a new version from failures of some of its hosts.
#include "rollout/host_fault.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace jasmineloom {

namespace {

/// Failure rates of a faulty version, averaged over its hosts.
constexpr std::array<double, 11> VersionRates = {0.02, 0.05, 0.1, 0.2, 0.3, 0.4,
                                                 0.5,  0.6,  0.7, 0.8, 0.9};
/// Coefficients of variation of the hosts' rates around that average: hosts of different speed
/// differ under the same load.
constexpr std::array<double, 3> RateVariations = {0.01, 0.2, 0.4};
/// Lower bound of the beta distribution's concentration. Below it, versions that fail often would
/// also be expected to fail on some hosts only.
constexpr double MinConcentration = 8;
/// With fewer failures the two kinds of fault can't be told apart.
constexpr std::uint64_t MinFailures = 4;
/// Logarithm of the factor by which a fault of the version must be more likely than one of some
/// hosts.
constexpr double MinLogBayesFactor = 1;
/// Shares of faulty hosts.
constexpr std::array<double, 5> FaultyShares = {0.05, 0.1, 0.2, 0.35, 0.5};
/// Bounds of the healthy hosts' failure rate, so that its logarithm is finite.
constexpr double MinRate = 1e-4;
constexpr double MaxRate = 0.95;

/// Parameters of a beta distribution.
struct BetaShape {
  double Alpha = 1;
  double Beta = 1;
};

/// Distributions of a faulty host's failure rate: any rate, a moderate one, and a low one, as a
/// fault may cover a part of the time only.
constexpr std::array<BetaShape, 3> FaultyRates = {BetaShape{1, 1}, BetaShape{2, 3},
                                                  BetaShape{1, 4}};

/// @returns the beta distribution with a mean and a coefficient of variation.
BetaShape betaShape(double mean, double variation) {
  const double concentration =
      std::max(MinConcentration, (1 - mean) / (mean * variation * variation) - 1);
  return {mean * concentration, (1 - mean) * concentration};
}

double logBeta(double alpha, double beta) {
  return std::lgamma(alpha) + std::lgamma(beta) - std::lgamma(alpha + beta);
}

/// Logarithm of the probability of a host's failures, without the binomial coefficient, which is
/// the same in both models.
double logBetaBinomial(const HostCounts &host, const BetaShape &shape) {
  const auto failures = static_cast<double>(host.Failures);
  const auto successes = static_cast<double>(host.Requests - host.Failures);
  return logBeta(shape.Alpha + failures, shape.Beta + successes) - logBeta(shape.Alpha, shape.Beta);
}

double logBinomial(const HostCounts &host, double rate) {
  const auto failures = static_cast<double>(host.Failures);
  const auto successes = static_cast<double>(host.Requests - host.Failures);
  return failures * std::log(rate) + successes * std::log(1 - rate);
}

/// @returns the logarithm of the mean of the numbers whose logarithms are given.
double logMean(const std::vector<double> &logs) {
  const double largest = *std::max_element(logs.begin(), logs.end());
  double sum = 0;
  for (const double it : logs)
    sum += std::exp(it - largest);
  return largest + std::log(sum / static_cast<double>(logs.size()));
}

double versionFaultLikelihood(const std::vector<HostCounts> &hosts) {
  std::vector<double> logs;
  for (const double rate : VersionRates) {
    for (const double variation : RateVariations) {
      const BetaShape shape = betaShape(rate, variation);
      double sum = 0;
      for (const HostCounts &host : hosts)
        sum += logBetaBinomial(host, shape);
      logs.push_back(sum);
    }
  }
  return logMean(logs);
}

double hostFaultLikelihood(const std::vector<HostCounts> &hosts, double healthyRate) {
  std::vector<double> logs;
  for (const double share : FaultyShares) {
    for (const BetaShape &faulty : FaultyRates) {
      double sum = 0;
      for (const HostCounts &host : hosts) {
        const double healthy = std::log(1 - share) + logBinomial(host, healthyRate);
        const double failing = std::log(share) + logBetaBinomial(host, faulty);
        const double larger = std::max(healthy, failing);
        sum += larger + std::log1p(std::exp(std::min(healthy, failing) - larger));
      }
      logs.push_back(sum);
    }
  }
  return logMean(logs);
}

} // namespace

bool failuresConfinedToHosts(const std::vector<HostCounts> &hosts, double oldRate) {
  std::uint64_t failures = 0;
  for (const HostCounts &host : hosts)
    failures += host.Failures;
  if (hosts.size() < 2 || failures < MinFailures)
    return false;
  return hostFaultLikelihood(hosts, std::clamp(oldRate, MinRate, MaxRate)) + MinLogBayesFactor >
         versionFaultLikelihood(hosts);
}

} // namespace jasmineloom
