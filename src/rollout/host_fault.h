/// @file host_fault.h Distinguishes failures of a new version from failures of some of its hosts.
#pragma once

#include "rollout/evidence_aggregator.h"

#include <vector>

namespace jasmineloom {

/// Compares two models of the new version's failures by their marginal likelihoods. In the first
/// one the version is at fault: all hosts fail at similar rates, which vary by a beta distribution.
/// In the second one some hosts are at fault: they fail at any rate, the others like the old
/// version. Hosts are not sorted or selected by their failures: the better ones of many hosts with
/// few requests each have next to no failures by chance.
/// Source: R. E. Kass, A. E. Raftery, J. Am. Stat. Assoc. 90 (1995), for the comparison;
/// J. G. Skellam, J. R. Stat. Soc. B 10 (1948), for the beta-binomial distribution.
/// @param oldRate upper bound of the old version's failure rate.
/// @returns whether the failures are more likely those of some hosts.
bool failuresConfinedToHosts(const std::vector<HostCounts> &hosts, double oldRate);

} // namespace jasmineloom
