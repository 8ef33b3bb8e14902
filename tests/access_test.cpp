/// @file access_test.cpp Keys of workspaces: who may send a request, and what a node refuses while
/// it can't know.
#define BOOST_TEST_MODULE access
#include <boost/test/unit_test.hpp>

#include "routing/routing_view.h"
#include "test_config.h"
#include "workspace/access_rule.h"
#include "workspace/key_digest.h"

using namespace jasmineloom;
using namespace jasmineloom::testing;

namespace {

constexpr TimeMs Now = 1000000;
constexpr AccessTerms Terms{"Token", 5000, 2500};

WorkspaceSpec workspace(const std::string &name, const std::vector<std::string> &keys,
                        std::uint32_t worth = 0) {
  WorkspaceSpec spec;
  spec.Name = WorkspaceName(name);
  spec.Worth = worth;
  for (const std::string &key : keys)
    spec.Keys.push_back(digestOfKey(key));
  return spec;
}

RouteSpec keyedRoute() {
  RouteSpec spec = route("orders", "/orders/", "a");
  spec.NeedsKey = true;
  spec.Worth = 7;
  return spec;
}

WorkspaceTable tableOf(const std::vector<WorkspaceSpec> &specs) {
  std::vector<const WorkspaceSpec *> pointers;
  for (const WorkspaceSpec &spec : specs)
    pointers.push_back(&spec);
  return WorkspaceTable(pointers);
}

/// @returns "workspace worth" or the name of the refusal.
std::string textOf(const AccessDecision &decision) {
  if (const auto *granted = std::get_if<AccessGranted>(&decision); granted != nullptr)
    return granted->Workspace.str() + " " + std::to_string(granted->Worth);
  return std::string(nameOf(std::get<AccessRefused>(decision).Reason));
}

} // namespace

BOOST_AUTO_TEST_CASE(a_request_is_sent_for_the_workspace_that_holds_its_key) {
  const WorkspaceTable table = tableOf(
      {workspace("big", {"k1", "k2"}, 9), workspace("small", {"k3"}), workspace("none", {})});
  struct Case {
    const char *Credentials;
    const char *Expected;
  };
  for (const Case &it : {Case{"Token k1", "big 9"},
                         {"token  k2", "big 9"},
                         {"TOKEN k3", "small 7"},
                         {"Token k4", "unknown-key"},
                         {"Token k", "unknown-key"},
                         {"Token k1 ", "unknown-key"},
                         {"Token k1,Token k3", "unknown-key"},
                         {"", "no-key"},
                         {"Token", "no-key"},
                         {"Token  ", "no-key"},
                         {"k1", "no-key"},
                         {"Tokenk1", "no-key"},
                         {"Bearer k1", "no-key"}})
    BOOST_TEST(textOf(decideAccess(keyedRoute(), it.Credentials, table, Terms, Now - 1, Now)) ==
                   it.Expected,
               it.Credentials);
}

BOOST_AUTO_TEST_CASE(a_public_route_needs_neither_key_nor_proof) {
  RouteSpec spec = keyedRoute();
  spec.NeedsKey = false;
  for (const char *credentials : {"", "Token k1", "Token k4"})
    BOOST_TEST(textOf(decideAccess(spec, credentials, tableOf({workspace("big", {"k1"}, 9)}), Terms,
                                   0, Now)) == " 7");
}

BOOST_AUTO_TEST_CASE(only_a_node_that_is_sure_refuses_a_key_for_good) {
  const WorkspaceTable table = tableOf({workspace("big", {"k1"}, 9)});
  struct Case {
    TimeMs ProvedAt;
    const char *Known;
    const char *Unknown;
  };
  // The margin of the revocation time is 100 ms.
  for (const Case &it : {Case{Now, "big 9", "unknown-key"},
                         {Now - 2499, "big 9", "unknown-key"},
                         {Now - 2500, "big 9", "config-unproved"},
                         {Now - 4899, "big 9", "config-unproved"},
                         {Now - 4900, "config-unproved", "config-unproved"},
                         {1, "config-unproved", "config-unproved"},
                         {0, "config-unproved", "config-unproved"},
                         {Now + 1, "config-unproved", "config-unproved"}}) {
    BOOST_TEST(textOf(decideAccess(keyedRoute(), "Token k1", table, Terms, it.ProvedAt, Now)) ==
                   it.Known,
               it.ProvedAt);
    BOOST_TEST(textOf(decideAccess(keyedRoute(), "Token k9", table, Terms, it.ProvedAt, Now)) ==
                   it.Unknown,
               it.ProvedAt);
  }
}

BOOST_AUTO_TEST_CASE(without_a_revocation_time_keys_are_served_as_the_held_configuration_has_them) {
  AccessTerms terms = Terms;
  terms.RevocationTime = 0;
  const WorkspaceTable table = tableOf({workspace("big", {"k1"}, 9)});
  BOOST_TEST(textOf(decideAccess(keyedRoute(), "Token k1", table, terms, 0, Now)) == "big 9");
  BOOST_TEST(textOf(decideAccess(keyedRoute(), "Token k9", table, terms, 0, Now)) ==
             "config-unproved");
}

BOOST_AUTO_TEST_CASE(a_key_moves_and_goes_with_the_version_of_the_view) {
  const std::vector<ConfigObject> before = {service("a"), keyedRoute(),
                                            workspace("one", {"k1", "k2"}), workspace("two", {})};
  const std::vector<ConfigObject> after = {service("a"), keyedRoute(), workspace("two", {"k1"})};
  const auto decide = [](const std::vector<ConfigObject> &objects, const char *key) {
    const RoutingViewPtr view =
        buildRoutingView(*snapshotOf(1, objects), {}, {}, DataCentreName("dc"));
    return textOf(
        decideAccess(*view->routeFor("/orders/1"), key, *view->Workspaces, Terms, Now, Now));
  };
  BOOST_TEST(decide(before, "Token k1") == "one 7");
  BOOST_TEST(decide(after, "Token k1") == "two 7");
  BOOST_TEST(decide(before, "Token k2") == "one 7");
  BOOST_TEST(decide(after, "Token k2") == "unknown-key");
}
