/// @file store_client.cpp Sends requests to the store through the traffic task's connections.
#include "store_client.h"

namespace jasmineloom {

namespace {
constexpr int StatusOk = 200;
} // namespace

kj::Promise<StoreAnswer> StoreClient::send(const StoreRequest &request) {
  const std::uint64_t number = ++Calls;
  auto pair = kj::newPromiseAndFulfiller<StoreAnswer>();
  Open.emplace(number, Waiting{request, kj::mv(pair.fulfiller)});
  GatewayCall call = encodeStoreRequest(request);
  Traffic.put(StoreCall{number, std::move(call.Path), std::move(call.Body), StoreTimeout});
  return kj::mv(pair.promise);
}

void StoreClient::take(const StoreReply &reply) {
  const auto it = Open.find(reply.Number);
  if (it == Open.end())
    return;
  Waiting waiting = kj::mv(it->second);
  Open.erase(it);
  StoreAnswer answer;
  if (reply.Answered && reply.Status == StatusOk)
    answer = decodeStoreReply(waiting.Request, reply.Body);
  else
    answer.Result = reply.Sent || reply.Answered ? StoreResult::Unknown : StoreResult::Unavailable;
  Reachable = answer.Result == StoreResult::Ok || answer.Result == StoreResult::Conflict;
  waiting.Fulfiller->fulfill(kj::mv(answer));
}

void StoreClient::watch(const std::string &key) {
  ++Calls;
  Traffic.put(StoreWatchStart{encodeWatch(key)});
}

} // namespace jasmineloom
