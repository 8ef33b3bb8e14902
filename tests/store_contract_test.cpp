/// @file store_contract_test.cpp Store contract test for the in-memory fake, the platform's store
/// and, if JASMINE_TEST_STORE holds its address, an etcd v3 JSON gateway.
#define BOOST_TEST_MODULE store_contract
#include <boost/test/unit_test.hpp>

#include "event_util.h"
#include "http/http_pool.h"

#include "fake_store.h"
#include "kv_standin.h"
#include "platform_environment.h"

#include <cstdlib>
#include <functional>

using namespace jasmineloom;
using namespace jasmineloom::testing;

namespace {

using Perform = std::function<StoreResponse(const StoreRequest &)>;

/// Sends requests to an etcd gateway and blocks until each response.
class GatewayClient {
public:
  explicit GatewayClient(std::string address)
      : Address(std::move(address)), Base(makePreciseBase()), Pool(Base.get(), 8 << 20) {}

  StoreResponse perform(const StoreRequest &request) {
    const StoreHttpRequest encoded = etcdGatewayProtocol().Encode(request);
    HttpCall call;
    call.Method = EVHTTP_REQ_POST;
    call.Path = encoded.Path;
    call.Body = makeBuffer(encoded.Body);
    call.Timeout = 5 * MsPerSecond;
    StoreResponse response{StoreResult::Unknown, {}, 0};
    Pool.call(Address, std::move(call), [&](const HttpResult &result) {
      if (result.Complete)
        response = etcdGatewayProtocol().Decode(request, result.Status, textOf(result.Body.get()));
      event_base_loopbreak(Base.get());
    });
    event_base_dispatch(Base.get());
    return response;
  }

private:
  std::string Address;
  EventBasePtr Base;
  HttpPool Pool;
};

void checkContract(const Perform &perform, const std::string &prefix) {
  const std::string key = prefix + "key";
  StoreResponse response = perform(StoreRead{key});
  BOOST_TEST((response.Result == StoreResult::Ok));
  BOOST_TEST(response.Entries.empty());

  // Expected revision 0 creates a key only if it doesn't exist.
  BOOST_TEST((perform(StoreCompareAndSwap{key, "one", 0, {}}).Result == StoreResult::Ok));
  BOOST_TEST((perform(StoreCompareAndSwap{key, "two", 0, {}}).Result == StoreResult::Conflict));
  response = perform(StoreRead{key});
  BOOST_REQUIRE(response.Entries.size() == 1U);
  BOOST_TEST(response.Entries[0].Value == "one");
  const std::int64_t revision = response.Entries[0].Revision;
  BOOST_TEST(revision > 0);

  // A compare-and-swap and its deletions are applied in one transaction.
  const std::string deleted = prefix + "deleted";
  perform(StorePut{deleted, "x", 0});
  BOOST_TEST((perform(StoreCompareAndSwap{key, "three", revision + 100, {deleted}}).Result ==
              StoreResult::Conflict));
  BOOST_TEST(perform(StoreRead{deleted}).Entries.size() == 1U);
  BOOST_TEST(
      (perform(StoreCompareAndSwap{key, "three", revision, {deleted}}).Result == StoreResult::Ok));
  BOOST_TEST(perform(StoreRead{deleted}).Entries.empty());
  BOOST_TEST(
      (perform(StoreCompareAndSwap{key, "four", revision, {}}).Result == StoreResult::Conflict));
  BOOST_TEST(perform(StoreRead{key}).Entries[0].Revision > revision);

  // Values are kept byte for byte.
  std::string bytes;
  for (int it = 0; it < 256; ++it)
    bytes += static_cast<char>(it);
  perform(StorePut{prefix + "bytes", bytes, 0});
  BOOST_TEST((perform(StoreRead{prefix + "bytes"}).Entries[0].Value == bytes));

  // A list holds the keys of its prefix, in order.
  for (const char *name : {"list/b", "list/a", "lisu"})
    perform(StorePut{prefix + name, name, 0});
  response = perform(StoreList{prefix + "list/"});
  BOOST_REQUIRE(response.Entries.size() == 2U);
  BOOST_TEST(response.Entries[0].Key == prefix + "list/a");

  const StoreResponse lease = perform(StoreGrantLease{30});
  BOOST_TEST(lease.Lease > 0);
  BOOST_TEST(perform(StoreKeepAlive{lease.Lease}).Lease == lease.Lease);
  BOOST_TEST(perform(StoreKeepAlive{lease.Lease + 1000}).Lease == 0);
}

} // namespace

BOOST_AUTO_TEST_CASE(fake_store_fulfils_the_contract) {
  FakeStore store;
  checkContract([&](const StoreRequest &request) { return store.perform(request); }, "/contract/");
}

BOOST_AUTO_TEST_CASE(etcd_gateway_fulfils_the_contract) {
  const char *address = std::getenv("JASMINE_TEST_STORE");
  if (address == nullptr) {
    BOOST_TEST_MESSAGE("JASMINE_TEST_STORE is not set: gateway contract not run");
    return;
  }
  GatewayClient client(address);
  checkContract([&](const StoreRequest &request) { return client.perform(request); },
                "/contract/" + std::to_string(wallClockMs()) + "/");
}

BOOST_AUTO_TEST_CASE(malformed_response_is_not_ok) {
  for (const char *body : {"", "{", "nonsense", "{\"kvs\":7}", "[]"})
    BOOST_TEST((etcdGatewayProtocol().Decode(StoreRead{"k"}, 200, body).Result != StoreResult::Ok),
               body);
}

BOOST_AUTO_TEST_CASE(platform_store_fulfils_the_contract) {
  KvStandin standin;
  const StoreProtocol protocol = platform::storeProtocol();
  const auto perform = [&](const StoreRequest &request) {
    const KvReply reply = standin.handle(protocol.Encode(request));
    return protocol.Decode(request, reply.Status, reply.Body);
  };
  checkContract(perform, "jasmineloom/contract/");
}

BOOST_AUTO_TEST_CASE(platform_store_watches_pages_and_leases) {
  KvStandin standin;
  const StoreProtocol protocol = platform::storeProtocol();
  const auto perform = [&](const StoreRequest &request) {
    const KvReply reply = standin.handle(protocol.Encode(request));
    return protocol.Decode(request, reply.Status, reply.Body);
  };
  // A watch from the revision of the list reports later writes and removals.
  perform(StorePut{"p/a b&c", "bytes \x01", 0});
  const StoreResponse listed = perform(StoreList{"p/"});
  BOOST_REQUIRE(listed.Entries.size() == 1U);
  BOOST_TEST(listed.Entries.front().Key == "p/a b&c");
  BOOST_TEST(listed.Entries.front().Value == "bytes \x01");
  const std::int64_t lease = perform(StoreGrantLease{3}).Lease;
  perform(StorePut{"p/leased", "x", lease});
  standin.endLease(lease);
  BOOST_TEST(perform(StoreKeepAlive{lease}).Lease == 0);
  BOOST_TEST((perform(StorePut{"p/leased", "x", lease}).Result == StoreResult::Conflict));
  const StoreResponse events = perform(StoreWatch{"p/", listed.Revision, 1000});
  BOOST_REQUIRE(events.Entries.size() == 2U);
  BOOST_TEST(!events.Entries.front().Removed);
  BOOST_TEST(events.Entries.back().Removed);
  // A watch from a compacted revision fails; the client has to list again.
  standin.compact();
  BOOST_TEST((perform(StoreWatch{"p/", 1, 1000}).Result == StoreResult::Compacted));
  // A list of more than PageSize keys is split into pages.
  standin.PageSize = 2;
  for (const char *key : {"q/1", "q/2", "q/3"})
    perform(StorePut{key, "v", 0});
  const StoreResponse first = perform(StoreList{"q/"});
  BOOST_TEST(first.HasMore);
  BOOST_REQUIRE(first.Entries.size() == 2U);
  const StoreResponse second = perform(StoreList{"q/", first.Entries.back().Key, false});
  BOOST_TEST(!second.HasMore);
  BOOST_REQUIRE(second.Entries.size() == 1U);
  BOOST_TEST(second.Entries.front().Key == "q/3");
}
