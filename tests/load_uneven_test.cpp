/// @file load_uneven_test.cpp What callers get from uneven hosts below their capacity, in the load
/// model. The target is that of load_model_test: within three points of an oracle.
#define BOOST_TEST_MODULE load_uneven
#include <boost/test/unit_test.hpp>

#include "load_model.h"

#include "uneven_hosts.h"

using namespace jasmineloom;

BOOST_AUTO_TEST_CASE(uneven_hosts_below_their_capacity_are_used_nearly_as_by_an_oracle) {
  ModelSettings settings = unevenHosts(0.7);
  const ModelResult product = playLoad(settings);
  settings.Placement = ModelPlacement::Oracle;
  const ModelResult oracle = playLoad(settings);
  BOOST_TEST(product.WorthInTime >= oracle.WorthInTime - 0.03);
  BOOST_TEST(product.RepeatedUnsafe == 0U);
}
