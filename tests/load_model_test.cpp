/// @file load_model_test.cpp What callers get from the product's load balancing, admission control
/// and retries, in the load model.
#define BOOST_TEST_MODULE load_model
#include <boost/test/unit_test.hpp>

#include "load_experiment.h"

using namespace jasmineloom;

namespace {

/// A service of 138 hosts of two speeds beside others: 295 hosts in five data centres, of which
/// each ingress sends ten calls a second.
ModelSettings registry(double load) {
  ModelSettings settings;
  settings.DataCentres = 5;
  settings.Seconds = 12;
  settings.WarmUpSeconds = 4;
  settings.Services = {{"lookups", 138, 11, {0.7, 0.7, 1.6}},
                       {"agreements", 157, 11, {0.5, 1.0, 1.0, 1.5}}};
  ModelRoute lookup{"lookup", "lookups", 1736 * load, 330, 0.47, 1000, 6000};
  lookup.Calls = "check";
  lookup.CallTimes = 2;
  lookup.CallShare = 0.7;
  const ModelRoute check{"check", "agreements", 0, 82, 0.47, 300, 1000};
  settings.Routes = {lookup, check};
  return settings;
}

/// Forty hosts whose capacity is 400 requests a second.
ModelSettings singleService(double load) {
  ModelSettings settings;
  settings.DataCentres = 2;
  settings.FullSlowdown = 0;
  settings.Seconds = 10;
  settings.WarmUpSeconds = 3;
  settings.Services = {{"s", 40, 2, {1}}};
  settings.Routes = {{"r", "s", 400 * load, 200, 0.3, 500, 2000}};
  return settings;
}

ModelResult playAs(ModelSettings settings, ModelPlacement placement) {
  settings.Placement = placement;
  return playLoad(settings);
}

ModelCounts sumOf(const ModelResult &result, std::size_t from, std::size_t to) {
  ModelCounts sum;
  for (std::size_t n = from; n < to; ++n) {
    sum.Sent += result.Seconds[n].Sent;
    sum.InTime += result.Seconds[n].InTime;
    sum.Refused += result.Seconds[n].Refused;
    sum.Failed += result.Seconds[n].Failed;
  }
  return sum;
}

} // namespace

BOOST_AUTO_TEST_CASE(large_service_is_served_nearly_as_by_an_oracle) {
  for (const double load : {0.6, 0.95}) {
    const ModelResult product = playAs(registry(load), ModelPlacement::Product);
    const ModelResult oracle = playAs(registry(load), ModelPlacement::Oracle);
    BOOST_TEST(product.WorthInTime >= oracle.WorthInTime - 0.03, "load " << load);
    BOOST_TEST(product.Total.Failed == 0U, "load " << load);
    BOOST_TEST(product.RepeatedUnsafe == 0U, "load " << load);
  }
}

BOOST_AUTO_TEST_CASE(work_stays_in_its_data_centre_while_it_is_served_in_time_there) {
  const ModelResult result = playAs(registry(0.6), ModelPlacement::Product);
  BOOST_TEST(static_cast<double>(result.Remote) < 0.01 * static_cast<double>(result.Attempts));
}

BOOST_AUTO_TEST_CASE(overload_is_refused_at_once_and_the_rest_served) {
  ModelSettings settings = singleService(1.5);
  const ModelResult product = playAs(settings, ModelPlacement::Product);
  const ModelResult oracle = playAs(settings, ModelPlacement::Oracle);
  BOOST_TEST(product.WorthInTime >= 0.95 * oracle.WorthInTime);
  BOOST_TEST(product.SlotUse > 0.9);
  const auto objective = static_cast<double>(settings.Routes.front().Objective);
  BOOST_TEST(product.Routes.front().RefusalP50Ms < 0.1 * objective);
}

BOOST_AUTO_TEST_CASE(load_returns_to_the_steady_state_within_two_seconds_of_a_burst) {
  ModelSettings settings = singleService(0.6);
  settings.Troubles = {{ModelTroubleKind::Burst, 3, 3, "", 1, 3}};
  const ModelResult result = playAs(settings, ModelPlacement::Product);
  BOOST_TEST(sumOf(result, 8, 10).inTimeShare() > sumOf(result, 1, 3).inTimeShare() - 0.02);
}

BOOST_AUTO_TEST_CASE(lost_hosts_cost_no_request) {
  ModelSettings settings = singleService(0.5);
  settings.Troubles = {{ModelTroubleKind::Gone, 4, 0, "s", 0.33, 1}};
  const ModelResult result = playAs(settings, ModelPlacement::Product);
  // A second after the loss all nodes know of it.
  BOOST_TEST(sumOf(result, 6, 10).inTimeShare() > 0.95);
  BOOST_TEST(result.RepeatedUnsafe == 0U);
}

BOOST_AUTO_TEST_CASE(requests_that_an_upstream_sheds_are_served_elsewhere) {
  ModelSettings settings = singleService(0.5);
  settings.Troubles = {{ModelTroubleKind::Shed, 4, 3, "s", 0.3, 0.6}};
  const ModelResult result = playAs(settings, ModelPlacement::Product);
  BOOST_TEST(sumOf(result, 4, 7).inTimeShare() > 0.9);
}

BOOST_AUTO_TEST_CASE(equal_seeds_give_equal_results) {
  const ModelSettings settings = singleService(0.9);
  BOOST_TEST((playLoad(settings) == playLoad(settings)));
  ModelSettings other = settings;
  other.Seed = 2;
  BOOST_TEST(!(playLoad(settings) == playLoad(other)));
}

struct ExperimentCase {
  const char *Text;
  const char *Error; ///< Part of the message; empty: valid.
};

BOOST_AUTO_TEST_CASE(experiments_are_checked) {
  const std::string service = "[[service]]\nname = \"s\"\n";
  const std::string route = "[[route]]\nname = \"r\"\nservice = \"s\"\n";
  const std::vector<ExperimentCase> cases = {
      {"", ""},
      {"seconds = 5", ""},
      {"seconds = 0", "seconds must be a number"},
      {"seconds = \"5\"", "seconds must be a number"},
      {"second = 5", "unknown key second"},
      {"seconds = ", "line 1"},
      {"trouble = 5", "trouble must be a list of tables"},
  };
  for (const ExperimentCase &it : cases) {
    const absl::StatusOr<ModelSettings> parsed =
        parseExperiment(std::string(it.Text) + "\n" + service + route);
    const std::string error(parsed.status().message());
    BOOST_TEST(parsed.ok() == std::string(it.Error).empty(), it.Text << ": " << error);
    BOOST_TEST(error.find(it.Error) != std::string::npos, it.Text << ": " << error);
  }
  for (const char *text :
       {"[[trouble]]\nkind = \"flood\"\n", "[[trouble]]\nkind=\"slow\"\nservice=\"x\"\n",
        "[[route]]\nname = \"q\"\nservice = \"x\"\n",
        "[[route]]\nname = \"q\"\nservice = \"s\"\ncalls = \"x\"\n"})
    BOOST_TEST(!parseExperiment(service + route + text).ok(), text);
}
