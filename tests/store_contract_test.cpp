/// @file store_contract_test.cpp The store's contract, against the in-memory fake and, where
/// JASMINE_TEST_STORE names one, against a gateway that speaks the published protocol.
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

/// Sends requests to a gateway and waits for each answer.
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
    StoreResponse answer{StoreResult::Unknown, {}, 0};
    Pool.call(Address, std::move(call), [&](const HttpResult &result) {
      if (result.Complete)
        answer = etcdGatewayProtocol().Decode(request, result.Status, textOf(result.Body.get()));
      event_base_loopbreak(Base.get());
    });
    event_base_dispatch(Base.get());
    return answer;
  }

private:
  std::string Address;
  EventBasePtr Base;
  HttpPool Pool;
};

void checkContract(const Perform &perform, const std::string &prefix) {
  const std::string key = prefix + "key";
  StoreResponse answer = perform(StoreRead{key});
  BOOST_TEST((answer.Result == StoreResult::Ok));
  BOOST_TEST(answer.Entries.empty());

  // A key that doesn't exist is created once.
  BOOST_TEST((perform(StoreCompareAndSwap{key, "one", 0, {}}).Result == StoreResult::Ok));
  BOOST_TEST((perform(StoreCompareAndSwap{key, "two", 0, {}}).Result == StoreResult::Conflict));
  answer = perform(StoreRead{key});
  BOOST_REQUIRE(answer.Entries.size() == 1U);
  BOOST_TEST(answer.Entries[0].Value == "one");
  const std::int64_t revision = answer.Entries[0].Revision;
  BOOST_TEST(revision > 0);

  // A swap against the current revision takes effect together with its deletions.
  const std::string doomed = prefix + "doomed";
  perform(StorePut{doomed, "x", 0});
  BOOST_TEST((perform(StoreCompareAndSwap{key, "three", revision + 100, {doomed}}).Result ==
              StoreResult::Conflict));
  BOOST_TEST(perform(StoreRead{doomed}).Entries.size() == 1U);
  BOOST_TEST(
      (perform(StoreCompareAndSwap{key, "three", revision, {doomed}}).Result == StoreResult::Ok));
  BOOST_TEST(perform(StoreRead{doomed}).Entries.empty());
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
  answer = perform(StoreList{prefix + "list/"});
  BOOST_REQUIRE(answer.Entries.size() == 2U);
  BOOST_TEST(answer.Entries[0].Key == prefix + "list/a");

  const StoreResponse lease = perform(StoreGrantLease{30});
  BOOST_TEST(lease.Lease > 0);
  BOOST_TEST(perform(StoreKeepAlive{lease.Lease}).Lease == lease.Lease);
  BOOST_TEST(perform(StoreKeepAlive{lease.Lease + 1000}).Lease == 0);
}

} // namespace

BOOST_AUTO_TEST_CASE(the_fake_keeps_the_contract) {
  FakeStore store;
  checkContract([&](const StoreRequest &request) { return store.perform(request); }, "/contract/");
}

BOOST_AUTO_TEST_CASE(the_gateway_keeps_the_contract) {
  const char *address = std::getenv("JASMINE_TEST_STORE");
  if (address == nullptr) {
    BOOST_TEST_MESSAGE("JASMINE_TEST_STORE is not set: not run against a gateway");
    return;
  }
  GatewayClient client(address);
  checkContract([&](const StoreRequest &request) { return client.perform(request); },
                "/contract/" + std::to_string(wallClockMs()) + "/");
}

BOOST_AUTO_TEST_CASE(what_is_no_reply_is_unknown) {
  for (const char *body : {"", "{", "nonsense", "{\"kvs\":7}", "[]"})
    BOOST_TEST((etcdGatewayProtocol().Decode(StoreRead{"k"}, 200, body).Result != StoreResult::Ok),
               body);
}

BOOST_AUTO_TEST_CASE(the_platforms_store_keeps_the_contract) {
  KvStandin standin;
  const StoreProtocol protocol = platform::storeProtocol();
  const auto perform = [&](const StoreRequest &request) {
    const KvReply reply = standin.handle(protocol.Encode(request));
    return protocol.Decode(request, reply.Status, reply.Body);
  };
  checkContract(perform, "jasmineloom/contract/");
}

BOOST_AUTO_TEST_CASE(watches_pages_and_leases_of_the_platforms_store) {
  KvStandin standin;
  const StoreProtocol protocol = platform::storeProtocol();
  const auto perform = [&](const StoreRequest &request) {
    const KvReply reply = standin.handle(protocol.Encode(request));
    return protocol.Decode(request, reply.Status, reply.Body);
  };
  // A watch goes on from the revision of the list, and tells writes and removals.
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
  // A history that is gone has to be listed anew.
  standin.compact();
  BOOST_TEST((perform(StoreWatch{"p/", 1, 1000}).Result == StoreResult::Compacted));
  // Pages.
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
