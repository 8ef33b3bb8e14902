/// @file store.h The platform's metadata store, as PROTOCOL.md describes it.
#pragma once

#include "net.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <fstream>
#include <iterator>
#include <vector>

inline std::string base64Of(const std::string &bytes) {
  static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t n = 0; n < bytes.size(); n += 3) {
    unsigned group = 0;
    for (std::size_t k = 0; k < 3; ++k)
      group = group << 8 | (n + k < bytes.size() ? static_cast<unsigned char>(bytes[n + k]) : 0);
    for (std::size_t k = 0; k < 4; ++k)
      text += n + k > bytes.size() ? '=' : digits[group >> (18 - 6 * k) & 63];
  }
  return text;
}

inline std::string decoded(const std::string &text) {
  std::string bytes;
  for (std::size_t n = 0; n < text.size(); ++n) {
    if (text[n] == '%' && n + 2 < text.size()) {
      bytes += static_cast<char>(std::strtol(text.substr(n + 1, 2).c_str(), nullptr, 16));
      n += 2;
    } else {
      bytes += text[n];
    }
  }
  return bytes;
}

class Store {
public:
  using Json = nlohmann::json;

  explicit Store(long era) : Era(era) {}

  /// Writes as the operator does.
  void put(const std::string &key, const std::string &bytes) {
    const std::lock_guard guard(Lock);
    write(key, base64Of(bytes), 0);
    Changed.notify_all();
  }

  void serve(int fd) {
    Connection connection(fd);
    Message request;
    while (connection.read(request, wallMs() + 60000)) {
      int status = 200;
      const std::string body = answer(request, status).dump();
      std::string head = "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: application/json\r\n";
      if (Era > 0)
        head += "Store-Era: " + std::to_string(Era) + "\r\n";
      if (!sendAll(fd, head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body))
        return;
    }
  }

  void expireLeases() {
    while (true) {
      sleepMs(100);
      const std::lock_guard guard(Lock);
      for (auto it = Leases.begin(); it != Leases.end();) {
        if (wallMs() < it->second.Until) {
          ++it;
          continue;
        }
        endLease(it->first);
        it = Leases.erase(it);
      }
    }
  }

private:
  struct Item {
    std::string Value;
    long Revision = 0;
    long Created = 0;
    long Lease = 0;
  };
  struct Event {
    std::string Key;
    long Revision = 0;
    bool Removed = false;
    Item Written;
  };
  struct Lease {
    long Ttl = 0;
    std::int64_t Until = 0;
  };

  static Json itemOf(const std::string &key, const Item &item) {
    return {{"key", key}, {"value", item.Value}, {"revision", item.Revision},
            {"created", item.Created}, {"lease", item.Lease}};
  }
  void write(const std::string &key, const std::string &value, long lease) {
    ++Revision;
    Item &item = Items[key];
    item.Value = value;
    item.Lease = lease;
    item.Created = item.Created == 0 ? Revision : item.Created;
    item.Revision = Revision;
    Events.push_back({key, Revision, false, item});
  }
  void remove(const std::string &key) {
    if (Items.erase(key) != 0)
      Events.push_back({key, ++Revision, true, {}});
  }
  void endLease(long lease) {
    std::vector<std::string> keys;
    for (const auto &[key, item] : Items) {
      if (item.Lease == lease)
        keys.push_back(key);
    }
    for (const std::string &key : keys)
      remove(key);
    Changed.notify_all();
  }

  Json answer(const Message &request, int &status) {
    const std::string target = request.target();
    const std::string path = target.substr(0, target.find('?'));
    std::map<std::string, std::string> query;
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
      const std::size_t next = target.find('&', at + 1);
      const std::string pair = target.substr(at + 1, next == std::string::npos ? next : next - at - 1);
      query[pair.substr(0, pair.find('='))] = decoded(pair.substr(pair.find('=') + 1));
      at = next;
    }
    std::unique_lock guard(Lock);
    if (path == "/kv-key")
      return read(query["key"], status);
    if (path == "/kv-range")
      return range(query["prefix"], query["after"]);
    if (path == "/kv-watch")
      return watch(guard, query["prefix"], std::atol(query["after"].c_str()),
                   std::atol(query["wait_ms"].c_str()));
    if (path == "/kv-txn")
      return transact(Json::parse(request.Body), status);
    if (path == "/kv-lease") {
      const long ttl = Json::parse(request.Body).value("ttl_ms", 1000L);
      Leases[++LastLease] = {ttl, wallMs() + ttl};
      return {{"lease", LastLease}, {"ttl_ms", ttl}};
    }
    const long lease = std::atol(path.substr(path.rfind('/') + 1).c_str());
    const auto it = Leases.find(lease);
    if (it == Leases.end()) {
      status = 404;
      return Json::object();
    }
    it->second.Until = wallMs() + it->second.Ttl;
    if (path.rfind("/kv-lease-end/", 0) == 0) {
      endLease(lease);
      Leases.erase(it);
    }
    return Json::object();
  }

  Json read(const std::string &key, int &status) {
    const auto it = Items.find(key);
    if (it == Items.end()) {
      status = 404;
      return {{"store_revision", Revision}};
    }
    Json found = itemOf(key, it->second);
    found["store_revision"] = Revision;
    return found;
  }

  Json range(const std::string &prefix, const std::string &after) {
    Json items = Json::array();
    for (auto it = Items.upper_bound(std::max(prefix, after)); it != Items.end(); ++it) {
      if (it->first.rfind(prefix, 0) == 0)
        items.push_back(itemOf(it->first, it->second));
    }
    const auto exact = Items.find(prefix);
    if (after.empty() && exact != Items.end())
      items.push_back(itemOf(exact->first, exact->second));
    return {{"items", items}, {"has_more", false}, {"store_revision", Revision}};
  }

  Json watch(std::unique_lock<std::mutex> &guard, const std::string &prefix, long after, long wait) {
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(wait);
    while (true) {
      Json events = Json::array();
      for (const Event &event : Events) {
        if (event.Revision <= after || event.Key.rfind(prefix, 0) != 0)
          continue;
        if (event.Removed)
          events.push_back({{"key", event.Key}, {"revision", event.Revision}, {"removed", true}});
        else
          events.push_back(itemOf(event.Key, event.Written));
      }
      if (!events.empty() || std::chrono::steady_clock::now() >= until)
        return {{"events", events}, {"store_revision", Revision}};
      Changed.wait_until(guard, until);
    }
  }

  Json transact(const Json &body, int &status) {
    Json present = Json::array();
    bool holds = true;
    for (const Json &row : body.value("precondition", Json::array())) {
      const auto it = Items.find(row.at("key"));
      const long revision = it == Items.end() ? 0 : it->second.Revision;
      holds &= revision == row.at("revision").get<long>();
      if (it != Items.end())
        present.push_back(itemOf(it->first, it->second));
    }
    if (!holds) {
      status = 412;
      return {{"items", present}};
    }
    for (const Json &row : body.value("writes", Json::array())) {
      const long lease = row.value("lease", 0L);
      if (lease != 0 && !Leases.contains(lease)) {
        status = 404;
        return Json::object();
      }
    }
    for (const Json &row : body.value("writes", Json::array()))
      write(row.at("key"), row.at("value"), row.value("lease", 0L));
    for (const Json &key : body.value("deletes", Json::array()))
      remove(key);
    Changed.notify_all();
    return {{"revision", Revision}};
  }

  long Era;
  std::mutex Lock;
  std::condition_variable Changed;
  long Revision = 100;
  long LastLease = 0;
  std::map<std::string, Item> Items;
  std::vector<Event> Events;
  std::map<long, Lease> Leases;
};

inline std::string fileText(const std::string &path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

/// --address IP:PORT, --config FILE: becomes op/config at the start.
inline int runStore(const Flags &flags) {
  static Store store(flags.number("era", 1));
  store.put("op/config", fileText(flags.text("config")));
  std::thread([] { store.expireLeases(); }).detach();
  const int listener = listenOn(flags.text("address"));
  while (true) {
    const int fd = accept(listener, nullptr, nullptr);
    if (fd >= 0)
      std::thread([fd] { store.serve(fd); }).detach();
  }
}
