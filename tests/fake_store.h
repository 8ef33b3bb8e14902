/// @file fake_store.h The store contract in memory, with a fault for each request.
#pragma once

#include "store/store_type.h"

#include <functional>
#include <map>
#include <vector>

namespace jasmineloom::testing {

/// What happens to one request.
enum class StoreFault : std::uint8_t {
  None,
  Refused,     ///< Not sent: no effect, and known to have none.
  LostRequest, ///< No effect, but the caller can't know.
  LostAnswer,  ///< Takes effect; the answer is lost.
  LateEffect,  ///< The answer is lost; takes effect after the next request.
  RivalBefore, ///< Another operator's change is accepted just before.
};
constexpr StoreFault AllStoreFaults[] = {StoreFault::Refused, StoreFault::LostRequest,
                                         StoreFault::LostAnswer, StoreFault::LateEffect,
                                         StoreFault::RivalBefore};

inline const char *nameOf(StoreFault fault) {
  constexpr const char *Names[] = {"none",        "refused",     "lost-request",
                                   "lost-answer", "late-effect", "rival-before"};
  return Names[static_cast<std::size_t>(fault)];
}

/// A store in memory. Counts requests by kind.
class FakeStore {
public:
  StoreResponse perform(const StoreRequest &request) {
    return std::visit([this](const auto &it) { return act(it); }, request);
  }

  /// Performs a request under a fault.
  StoreResponse perform(const StoreRequest &request, StoreFault fault) {
    std::vector<StoreRequest> late = std::move(Late);
    Late.clear();
    StoreResponse answer{StoreResult::Unknown, {}, 0};
    switch (fault) {
    case StoreFault::None:
      answer = perform(request);
      break;
    case StoreFault::Refused:
      answer.Result = StoreResult::Unavailable;
      break;
    case StoreFault::LostRequest:
      break;
    case StoreFault::LostAnswer:
      perform(request);
      break;
    case StoreFault::LateEffect:
      Late.push_back(request);
      break;
    case StoreFault::RivalBefore:
      if (Rival)
        Rival();
      answer = perform(request);
      break;
    }
    for (const StoreRequest &it : late)
      perform(it);
    return answer;
  }

  /// Lets all late requests take effect.
  void settle() {
    for (const StoreRequest &it : std::exchange(Late, {}))
      perform(it);
  }

  const StoreEntry *find(const std::string &key) const {
    const auto it = Entries.find(key);
    return it == Entries.end() ? nullptr : &it->second;
  }

  std::function<void()> Rival;
  std::map<std::string, StoreEntry> Entries;

private:
  StoreResponse act(const StoreRead &request) {
    StoreResponse answer{StoreResult::Ok, {}, 0};
    if (const StoreEntry *entry = find(request.Key); entry != nullptr)
      answer.Entries.push_back(*entry);
    return answer;
  }
  StoreResponse act(const StoreList &request) {
    StoreResponse answer{StoreResult::Ok, {}, 0};
    for (const auto &[key, entry] : Entries) {
      if (key.rfind(request.Prefix, 0) == 0)
        answer.Entries.push_back(entry);
    }
    return answer;
  }
  StoreResponse act(const StorePut &request) {
    Entries[request.Key] = {request.Key, request.Value, ++Revision};
    return {StoreResult::Ok, {}, 0};
  }
  StoreResponse act(const StoreCompareAndSwap &request) {
    const StoreEntry *entry = find(request.Key);
    if ((entry == nullptr ? 0 : entry->Revision) != request.ExpectedRevision)
      return {StoreResult::Conflict, {}, 0};
    Entries[request.Key] = {request.Key, request.Value, ++Revision};
    for (const std::string &key : request.Deletions)
      Entries.erase(key);
    return {StoreResult::Ok, {}, 0};
  }
  StoreResponse act(const StoreWatch &request) {
    StoreResponse answer{StoreResult::Ok, {}, 0};
    for (const auto &[key, entry] : Entries) {
      if (key.rfind(request.Prefix, 0) == 0 && entry.Revision > request.AfterRevision)
        answer.Entries.push_back(entry);
    }
    answer.Revision = Revision;
    return answer;
  }
  StoreResponse act(const StoreGrantLease &) { return {StoreResult::Ok, {}, ++LastLease}; }
  StoreResponse act(const StoreKeepAlive &request) {
    return {StoreResult::Ok, {}, request.Lease <= LastLease ? request.Lease : 0};
  }

  std::vector<StoreRequest> Late;
  std::int64_t Revision = 0;
  std::int64_t LastLease = 0;
};

} // namespace jasmineloom::testing
