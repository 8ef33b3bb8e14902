/// @file fake_store.h In-memory store for tests, with fault injection for each request.
#pragma once

#include "store/store_type.h"

#include <functional>
#include <map>
#include <vector>

namespace jasmineloom::testing {

/// Fault injected into one request.
enum class StoreFault : std::uint8_t {
  None,
  Refused,          ///< Not sent: the result is Unavailable, which means no effect.
  LostRequest,      ///< Lost before the store: no effect, but the result is Unknown.
  LostResponse,     ///< Takes effect; the response is lost.
  LateEffect,       ///< The response is lost; the request takes effect after the next one.
  ConcurrentChange, ///< Another operator's change is accepted immediately before.
};
constexpr StoreFault AllStoreFaults[] = {StoreFault::Refused, StoreFault::LostRequest,
                                         StoreFault::LostResponse, StoreFault::LateEffect,
                                         StoreFault::ConcurrentChange};

inline const char *faultName(StoreFault fault) {
  constexpr const char *Names[] = {"none",          "refused",     "lost-request",
                                   "lost-response", "late-effect", "concurrent-change"};
  return Names[static_cast<std::size_t>(fault)];
}

class FakeStore {
public:
  StoreResponse perform(const StoreRequest &request) {
    return std::visit([this](const auto &it) { return execute(it); }, request);
  }

  /// Performs a request with a fault; late requests of earlier calls take effect afterwards.
  StoreResponse perform(const StoreRequest &request, StoreFault fault) {
    std::vector<StoreRequest> late = std::move(LateRequests);
    LateRequests.clear();
    StoreResponse response{StoreResult::Unknown, {}, 0};
    switch (fault) {
    case StoreFault::None:
      response = perform(request);
      break;
    case StoreFault::Refused:
      response.Result = StoreResult::Unavailable;
      break;
    case StoreFault::LostRequest:
      break;
    case StoreFault::LostResponse:
      perform(request);
      break;
    case StoreFault::LateEffect:
      LateRequests.push_back(request);
      break;
    case StoreFault::ConcurrentChange:
      if (CommitConcurrentChange)
        CommitConcurrentChange();
      response = perform(request);
      break;
    }
    for (const StoreRequest &it : late)
      perform(it);
    return response;
  }

  void applyLateRequests() {
    for (const StoreRequest &it : std::exchange(LateRequests, {}))
      perform(it);
  }

  const StoreEntry *find(const std::string &key) const {
    const auto it = Entries.find(key);
    return it == Entries.end() ? nullptr : &it->second;
  }

  std::function<void()> CommitConcurrentChange;
  std::map<std::string, StoreEntry> Entries;

private:
  StoreResponse execute(const StoreRead &request) {
    StoreResponse response{StoreResult::Ok, {}, 0};
    if (const StoreEntry *entry = find(request.Key); entry != nullptr)
      response.Entries.push_back(*entry);
    return response;
  }
  StoreResponse execute(const StoreList &request) {
    StoreResponse response{StoreResult::Ok, {}, 0};
    for (const auto &[key, entry] : Entries) {
      if (key.rfind(request.Prefix, 0) == 0)
        response.Entries.push_back(entry);
    }
    return response;
  }
  StoreResponse execute(const StorePut &request) {
    Entries[request.Key] = {request.Key, request.Value, ++Revision};
    return {StoreResult::Ok, {}, 0};
  }
  StoreResponse execute(const StoreCompareAndSwap &request) {
    const StoreEntry *entry = find(request.Key);
    if ((entry == nullptr ? 0 : entry->Revision) != request.ExpectedRevision)
      return {StoreResult::Conflict, {}, 0};
    Entries[request.Key] = {request.Key, request.Value, ++Revision};
    for (const std::string &key : request.Deletions)
      Entries.erase(key);
    return {StoreResult::Ok, {}, 0};
  }
  StoreResponse execute(const StoreWatch &request) {
    StoreResponse response{StoreResult::Ok, {}, 0};
    for (const auto &[key, entry] : Entries) {
      if (key.rfind(request.Prefix, 0) == 0 && entry.Revision > request.AfterRevision)
        response.Entries.push_back(entry);
    }
    response.Revision = Revision;
    return response;
  }
  StoreResponse execute(const StoreGrantLease &) { return {StoreResult::Ok, {}, ++LastLease}; }
  StoreResponse execute(const StoreKeepAlive &request) {
    return {StoreResult::Ok, {}, request.Lease <= LastLease ? request.Lease : 0};
  }

  std::vector<StoreRequest> LateRequests;
  std::int64_t Revision = 0;
  std::int64_t LastLease = 0;
};

} // namespace jasmineloom::testing
