/// @file store_client.h Sends requests to the store through the traffic task's HTTP connections.
#pragma once

#include "store/store_era.h"
#include "task_messages.h"

#include <kj/async.h>

#include <functional>
#include <map>

namespace jasmineloom {

/// Sends the control task's requests to the store and counts them. The traffic task owns the
/// connections.
class StoreClient {
public:
  StoreClient(TrafficMailbox &traffic, StoreProtocol protocol)
      : Traffic(traffic), Protocol(protocol) {}

  kj::Promise<StoreResponse> send(const StoreRequest &request);
  /// Completes the promise of the request that the reply belongs to.
  void onReply(const StoreReply &reply);
  /// Starts a streaming watch of a key; counted in calls().
  void startWatch(const std::string &key);

  /// @param handler invoked when the store has come back from an older copy, before the response
  /// that tells so.
  void setEraHandler(std::function<void()> handler) { EraHandler = std::move(handler); }
  /// @returns the era of the store's latest answer; 0: not stated.
  std::uint64_t era() const { return Era.current(); }

  std::uint64_t calls() const { return Calls; }
  bool reachable() const { return Reachable; }
  const StoreProtocol &protocol() const { return Protocol; }

private:
  struct PendingRequest {
    StoreRequest Request;
    kj::Own<kj::PromiseFulfiller<StoreResponse>> Fulfiller;
  };

  TrafficMailbox &Traffic;
  StoreProtocol Protocol;
  std::map<std::uint64_t, PendingRequest> Pending;
  StoreEra Era;
  std::function<void()> EraHandler;
  std::uint64_t Calls = 0;
  bool Reachable = false;
};

/// Time without a byte of the response after which a call fails, in addition to the wait of a
/// long-poll watch. The store usually responds within 4 ms, 1/250 of the timeout.
constexpr DurationMs StoreTimeout = 1 * MsPerSecond;

} // namespace jasmineloom
