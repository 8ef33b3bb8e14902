/// @file load_uneven_test.cpp What callers get from uneven hosts in the load model. The target is
/// that of load_model_test: within three points of an oracle.
#define BOOST_TEST_MODULE load_uneven
#include <boost/test/unit_test.hpp>

#include "load_model.h"

#include "uneven_hosts.h"

using namespace jasmineloom;

/// Below the capacity, and with a wave whose crest exceeds it; many ingresses choose at one moment
/// from old reports.
BOOST_AUTO_TEST_CASE(uneven_hosts_are_used_nearly_as_by_an_oracle) {
  for (const double load : {0.7, 1.0}) {
    ModelSettings settings = unevenHosts(load);
    const ModelResult product = playLoad(settings);
    settings.Placement = ModelPlacement::Oracle;
    const ModelResult oracle = playLoad(settings);
    BOOST_TEST(product.WorthInTime >= oracle.WorthInTime - 0.03, "load " << load);
    BOOST_TEST(product.RepeatedUnsafe == 0U, "load " << load);
    BOOST_TEST_MESSAGE("load " << load << ": " << product.WorthInTime << ", an oracle "
                               << oracle.WorthInTime);
  }
}
