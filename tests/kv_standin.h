/// @file kv_standin.h Implements the platform's key-value API in process, without sockets.
#pragma once

#include "store/store_type.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <nlohmann/json.hpp>

#include <map>
#include <set>
#include <string>

namespace jasmineloom::testing {

struct KvReply {
  int Status = 200;
  std::string Body;
};

/// Key-value store with leases, revisions and a compactable history.
class KvStandin {
public:
  KvReply handle(const StoreHttpRequest &call) {
    const std::string path = call.Path.substr(0, call.Path.find('?'));
    const std::map<std::string, std::string> query = queryOf(call.Path);
    if (path == "/kv-key")
      return read(query.at("key"));
    if (path == "/kv-range")
      return range(query);
    if (path == "/kv-watch")
      return watch(query);
    const nlohmann::json body = nlohmann::json::parse(call.Body, nullptr, false);
    if (path == "/kv-txn")
      return transact(body);
    if (path == "/kv-lease") {
      Leases.insert(++LastLease);
      return {200, nlohmann::json({{"lease", LastLease}, {"ttl_ms", body["ttl_ms"]}}).dump()};
    }
    if (path.rfind("/kv-keep/", 0) == 0) {
      std::int64_t lease = 0;
      const bool known = absl::SimpleAtoi(path.substr(9), &lease) && Leases.contains(lease);
      return {known ? 200 : 404, "{\"ttl_ms\":3000}"};
    }
    return {400, "{}"};
  }

  void endLease(std::int64_t lease) {
    Leases.erase(lease);
    for (auto it = Items.begin(); it != Items.end();) {
      if (it->second["lease"] != lease) {
        ++it;
        continue;
      }
      remove(it->first);
      it = Items.begin();
    }
  }
  void compact() { HistoryFrom = Revision; }
  /// Keeps a copy of the present state.
  void keepCopy() { Copy = {Items, History, Revision}; }
  /// Comes back from the copy: later changes and all leases are gone, and revisions are given out
  /// again.
  void restoreCopy() {
    Items = Copy.Items;
    History = Copy.History;
    Revision = Copy.Revision;
    Leases.clear();
    LastLease = 0;
    ++Era;
  }
  std::uint64_t Era = 1;
  std::size_t PageSize = 500;

private:
  static std::map<std::string, std::string> queryOf(const std::string &path) {
    std::map<std::string, std::string> values;
    evkeyvalq query{};
    const std::size_t queryStart = path.find('?');
    if (queryStart == std::string::npos)
      return values;
    evhttp_parse_query_str(path.substr(queryStart + 1).c_str(), &query);
    for (const evkeyval *it = query.tqh_first; it != nullptr; it = it->next.tqe_next)
      values[it->key] = it->value;
    evhttp_clear_headers(&query);
    return values;
  }

  KvReply read(const std::string &key) {
    const auto it = Items.find(key);
    if (it == Items.end())
      return {404, "{}"};
    nlohmann::json item = it->second;
    item["store_revision"] = Revision;
    return {200, item.dump()};
  }

  KvReply range(const std::map<std::string, std::string> &query) {
    nlohmann::json items = nlohmann::json::array();
    const std::string prefix = query.at("prefix");
    auto it =
        query.contains("after") ? Items.upper_bound(query.at("after")) : Items.lower_bound(prefix);
    for (; it != Items.end() && it->first.rfind(prefix, 0) == 0; ++it) {
      if (items.size() == PageSize)
        return {200, pageOf(items, true)};
      items.push_back(it->second);
    }
    return {200, pageOf(items, false)};
  }

  std::string pageOf(const nlohmann::json &items, bool more) const {
    return nlohmann::json({{"items", items}, {"has_more", more}, {"store_revision", Revision}})
        .dump();
  }

  KvReply watch(const std::map<std::string, std::string> &query) {
    std::int64_t after = 0;
    if (!absl::SimpleAtoi(query.at("after"), &after) || after < HistoryFrom || after > Revision)
      return {410, "{}"};
    nlohmann::json events = nlohmann::json::array();
    for (const auto &[revision, event] : History) {
      const std::string key = event["key"];
      if (revision > after && key.rfind(query.at("prefix"), 0) == 0)
        events.push_back(event);
    }
    return {200, nlohmann::json({{"events", events}, {"store_revision", Revision}}).dump()};
  }

  KvReply transact(const nlohmann::json &body) {
    for (const nlohmann::json &condition : body["precondition"]) {
      const auto it = Items.find(condition["key"].get<std::string>());
      const nlohmann::json revision =
          it == Items.end() ? nlohmann::json(0) : it->second["revision"];
      if (revision != condition["revision"])
        return {412, "{\"items\":[]}"};
    }
    for (const nlohmann::json &write : body["writes"]) {
      const std::int64_t lease = write["lease"];
      if (lease != 0 && !Leases.contains(lease))
        return {404, "{}"};
    }
    ++Revision;
    for (const nlohmann::json &write : body["writes"]) {
      nlohmann::json item = write;
      item["revision"] = Revision;
      item["created"] = Revision;
      Items[write["key"]] = item;
      History.emplace(Revision, item);
    }
    for (const nlohmann::json &key : body["deletes"])
      remove(key);
    return {200, nlohmann::json({{"revision", Revision}}).dump()};
  }

  /// @param key by value, because the caller may pass a reference to the key of the erased entry.
  void remove(std::string key) {
    Items.erase(key);
    History.emplace(Revision,
                    nlohmann::json({{"key", key}, {"revision", Revision}, {"removed", true}}));
  }

  struct StoreCopy {
    std::map<std::string, nlohmann::json> Items;
    std::multimap<std::int64_t, nlohmann::json> History;
    std::int64_t Revision = 1;
  };

  StoreCopy Copy;
  std::map<std::string, nlohmann::json> Items;
  std::multimap<std::int64_t, nlohmann::json> History;
  std::set<std::int64_t> Leases;
  std::int64_t Revision = 1;
  std::int64_t HistoryFrom = 0;
  std::int64_t LastLease = 0;
};

} // namespace jasmineloom::testing
