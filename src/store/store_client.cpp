/// @file store_client.cpp Sends requests to the store through the traffic task's connections.
#include "store/store_client.h"

namespace jasmineloom {

kj::Promise<StoreResponse> StoreClient::send(const StoreRequest &request) {
  const std::uint64_t number = ++Calls;
  auto pair = kj::newPromiseAndFulfiller<StoreResponse>();
  Open.emplace(number, Waiting{request, kj::mv(pair.fulfiller)});
  const auto *watch = std::get_if<StoreWatch>(&request);
  const DurationMs timeout = StoreTimeout + (watch == nullptr ? 0 : watch->Wait);
  Traffic.put(StoreCall{number, Protocol.Encode(request), timeout});
  return kj::mv(pair.promise);
}

void StoreClient::onReply(const StoreReply &reply) {
  const auto it = Open.find(reply.Number);
  if (it == Open.end())
    return;
  Waiting waiting = kj::mv(it->second);
  Open.erase(it);
  StoreResponse answer;
  if (reply.Answered)
    answer = Protocol.Decode(waiting.Request, reply.Status, reply.Body);
  else
    answer.Result = reply.Sent ? StoreResult::Unknown : StoreResult::Unavailable;
  Reachable = answer.Result != StoreResult::Unknown && answer.Result != StoreResult::Unavailable;
  waiting.Fulfiller->fulfill(kj::mv(answer));
}

void StoreClient::startWatch(const std::string &key) {
  ++Calls;
  Traffic.put(StoreWatchStart{encodeWatchRequest(key)});
}

} // namespace jasmineloom
