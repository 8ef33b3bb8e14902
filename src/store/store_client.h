/// @file store_client.h Sends requests to the store through the traffic task's HTTP connections.
#pragma once

#include "store/store_type.h"
#include "task_messages.h"

#include <kj/async.h>

#include <map>

namespace jasmineloom {

/// The control task's side of the store. Counts every call.
class StoreClient {
public:
  StoreClient(TrafficMailbox &traffic, StoreProtocol protocol)
      : Traffic(traffic), Protocol(protocol) {}

  kj::Promise<StoreResponse> send(const StoreRequest &request);
  /// Takes the reply to a call.
  void onReply(const StoreReply &reply);
  /// Opens the watch of a key; counts as a call.
  void startWatch(const std::string &key);

  std::uint64_t calls() const { return Calls; }
  bool reachable() const { return Reachable; }
  const StoreProtocol &protocol() const { return Protocol; }

private:
  struct Waiting {
    StoreRequest Request;
    kj::Own<kj::PromiseFulfiller<StoreResponse>> Fulfiller;
  };

  TrafficMailbox &Traffic;
  StoreProtocol Protocol;
  std::map<std::uint64_t, Waiting> Open;
  std::uint64_t Calls = 0;
  bool Reachable = false;
};

/// Time in which the store must answer, beyond the wait of a watch. 250 times its usual 4 ms.
constexpr DurationMs StoreTimeout = 1 * MsPerSecond;

} // namespace jasmineloom
