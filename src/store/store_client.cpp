/// @file store_client.cpp Sends requests to the store through the traffic task's HTTP connections.
#include "store/store_client.h"

namespace jasmineloom {

kj::Promise<StoreResponse> StoreClient::send(const StoreRequest &request) {
  const std::uint64_t number = ++Calls;
  auto pair = kj::newPromiseAndFulfiller<StoreResponse>();
  Pending.emplace(number, PendingRequest{request, kj::mv(pair.fulfiller)});
  const auto *watch = std::get_if<StoreWatch>(&request);
  const DurationMs timeout = StoreTimeout + (watch == nullptr ? 0 : watch->Wait);
  Traffic.put(StoreCall{number, Protocol.Encode(request), timeout});
  return kj::mv(pair.promise);
}

void StoreClient::onReply(const StoreReply &reply) {
  const auto it = Pending.find(reply.Number);
  if (it == Pending.end())
    return;
  PendingRequest pending = kj::mv(it->second);
  Pending.erase(it);
  StoreResponse response;
  if (reply.Complete)
    response = Protocol.Decode(pending.Request, reply.Status, reply.Body);
  else
    response.Result = reply.Sent ? StoreResult::Unknown : StoreResult::Unavailable;
  response.Era = reply.Era;
  const EraChange change = reply.Complete ? Era.observe(reply.Era) : EraChange::None;
  if (change == EraChange::Older)
    response = withoutOlderEra(response);
  Reachable =
      response.Result != StoreResult::Unknown && response.Result != StoreResult::Unavailable;
  if (change == EraChange::Newer && EraHandler)
    EraHandler();
  pending.Fulfiller->fulfill(kj::mv(response));
}

void StoreClient::startWatch(const std::string &key) {
  ++Calls;
  Traffic.put(StoreWatchStart{encodeWatchRequest(key)});
}

} // namespace jasmineloom
