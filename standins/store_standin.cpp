/// @file store_standin.cpp Simulated key-value store for tests and benchmarks: an in-memory subset
/// of the etcd v3 JSON gateway with fault injection.
#include "event_util.h"
#include "settings.h"

#include "etcd.capnp.h"

#include <capnp/compat/json.h>
#include <capnp/message.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <csignal>
#include <functional>
#include <iostream>
#include <list>
#include <map>

namespace {

using namespace jasmineloom;

const std::vector<SettingRow> SettingTable = {
    {"address", SettingType::Text, 1, 64, "127.0.0.1", "", "IP address to listen on"},
    {"port", SettingType::Number, 1, 65535, "2379", "port", "Port to listen on"},
};

/// Names the era of the store in its answers.
constexpr const char *EraHeader = "x-standin-era";
/// Seconds for which copies are kept.
constexpr std::size_t MaxCopies = 30;

struct Entry {
  std::string Value;
  std::int64_t ModRevision = 0;
  std::int64_t CreateRevision = 0;
  std::int64_t Lease = 0;
};

struct Lease {
  std::int64_t TtlSeconds = 0;
  TimeMs ExpiresAt = 0;
};

struct Watcher {
  evhttp_request *Request;
  std::string Key;
};

/// Faults injected through /standin/fault.
struct Faults {
  bool Down = false;         ///< Connections are closed without a response.
  DurationMs ReplyDelay = 0; ///< Delay before each response is sent.
  /// Number of further writes that are applied although the connection is closed without a
  /// response.
  int WriteRepliesToDrop = 0;
};

std::string toString(capnp::Data::Reader data) {
  return {reinterpret_cast<const char *>(data.begin()), data.size()};
}
capnp::Data::Reader toData(const std::string &value) {
  return {reinterpret_cast<const kj::byte *>(value.data()), value.size()};
}

template <typename T> const capnp::JsonCodec &codecFor() {
  static capnp::JsonCodec codec;
  static bool initialised = false;
  if (!initialised) {
    codec.handleByAnnotation<T>();
    initialised = true;
  }
  return codec;
}

template <typename T> void decode(const std::string &json, typename T::Builder to) {
  codecFor<T>().decode(kj::arrayPtr(json.data(), json.size()), to);
}
template <typename T> std::string encode(typename T::Reader from) {
  return codecFor<T>().encode(from).cStr();
}

class StoreStandin {
public:
  explicit StoreStandin(event_base *base)
      : Base(base), ExpiryTimer(base, [this] { removeExpired(); }) {
    keepCopy();
    ExpiryTimer.start(MsPerSecond);
  }

  void serve(evhttp_request *request) {
    const std::string path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request));
    const std::string body = textOf(evhttp_request_get_input_buffer(request));
    if (path.rfind("/standin/", 0) == 0) {
      handleControl(request, path);
      return;
    }
    ++CallCounts[path];
    if (ActiveFaults.Down) {
      evhttp_connection_free(evhttp_request_get_connection(request));
      return;
    }
    std::string response;
    const auto failed =
        kj::runCatchingExceptions([&] { response = dispatch(request, path, body); });
    if (failed != nullptr) {
      evhttp_send_error(request, 400, "bad request");
      return;
    }
    if (path == "/v3/watch")
      return;
    const bool isWrite = path == "/v3/kv/put" || path == "/v3/kv/txn";
    if (isWrite && ActiveFaults.WriteRepliesToDrop > 0) {
      --ActiveFaults.WriteRepliesToDrop;
      evhttp_connection_free(evhttp_request_get_connection(request));
      return;
    }
    sendReply(request, response);
  }

private:
  /// A response that waits for the injected delay.
  struct DelayedReply {
    evhttp_request *Request; ///< Null once sent, or once the client has closed the connection.
    std::string Body;
    std::unique_ptr<Timer> SendTimer;
  };

  void sendReply(evhttp_request *request, const std::string &response) {
    if (ActiveFaults.ReplyDelay == 0) {
      sendJson(request, response);
      return;
    }
    DelayedReplies.push_back({request, response, nullptr});
    auto it = std::prev(DelayedReplies.end());
    evhttp_connection_set_closecb(
        evhttp_request_get_connection(request),
        [](evhttp_connection *, void *arg) { static_cast<DelayedReply *>(arg)->Request = nullptr; },
        &*it);
    it->SendTimer = std::make_unique<Timer>(Base, [this, it] {
      if (it->Request != nullptr) {
        evhttp_connection_set_closecb(evhttp_request_get_connection(it->Request), nullptr, nullptr);
        sendJson(it->Request, it->Body);
      }
      it->Request = nullptr;
    });
    it->SendTimer->start(ActiveFaults.ReplyDelay);
  }

  void sendJson(evhttp_request *request, const std::string &response) const {
    const EvBufferPtr buf = makeBuffer(response);
    evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type",
                      "application/json");
    evhttp_add_header(evhttp_request_get_output_headers(request), EraHeader,
                      std::to_string(Era).c_str());
    evhttp_send_reply(request, 200, "OK", buf.get());
  }

  /// What the store held at a moment.
  struct StoreCopy {
    std::map<std::string, Entry> Entries;
    std::int64_t Revision = 0;
  };

  /// Keeps a copy of each of the last seconds.
  void keepCopy() {
    Copies.push_front({Entries, Revision});
    if (Copies.size() > MaxCopies)
      Copies.pop_back();
  }

  /// Comes back from a copy some seconds old: what was written since is gone, and all leases;
  /// revisions and leases are given out again.
  void restoreCopy(std::size_t seconds) {
    const auto copy = std::next(Copies.begin(),
                                static_cast<std::ptrdiff_t>(std::min(seconds, Copies.size() - 1)));
    Entries = copy->Entries;
    Revision = copy->Revision;
    Leases.clear();
    LastLeaseID = 0;
    ++Era;
    Copies.erase(Copies.begin(), copy);
    closeWatchConnections();
  }

  /// Serves /standin/fault, /standin/restore and /standin/calls.
  void handleControl(evhttp_request *request, const std::string &path) {
    evkeyvalq query{};
    const char *rawQuery = evhttp_uri_get_query(evhttp_request_get_evhttp_uri(request));
    evhttp_parse_query_str(rawQuery == nullptr ? "" : rawQuery, &query);
    const auto number = [&query](const char *name, long fallback) {
      const char *value = evhttp_find_header(&query, name);
      return value == nullptr ? fallback : std::stol(value);
    };
    std::string response = "ok\n";
    if (path == "/standin/fault") {
      ActiveFaults.Down = number("down", ActiveFaults.Down ? 1 : 0) != 0;
      ActiveFaults.ReplyDelay =
          static_cast<DurationMs>(number("delay", static_cast<long>(ActiveFaults.ReplyDelay)));
      ActiveFaults.WriteRepliesToDrop =
          static_cast<int>(number("lose", ActiveFaults.WriteRepliesToDrop));
      if (ActiveFaults.Down)
        closeWatchConnections();
    }
    if (path == "/standin/restore")
      restoreCopy(static_cast<std::size_t>(number("seconds", 2)));
    if (path == "/standin/calls") {
      response = "";
      for (const auto &[name, n] : CallCounts)
        response += name + " " + std::to_string(n) + "\n";
    }
    evhttp_clear_headers(&query);
    sendJson(request, response);
  }

  /// Removes the watches whose clients have closed the connection.
  void removeClosedWatchers() {
    for (auto it = Watchers.begin(); it != Watchers.end();) {
      if (evhttp_request_get_connection(it->Request) != nullptr) {
        ++it;
        continue;
      }
      evhttp_send_reply_end(it->Request);
      it = Watchers.erase(it);
    }
  }

  void closeWatchConnections() {
    removeClosedWatchers();
    std::vector<evhttp_connection *> connections;
    for (const Watcher &watcher : Watchers)
      connections.push_back(evhttp_request_get_connection(watcher.Request));
    for (evhttp_connection *connection : connections)
      evhttp_connection_free(connection);
  }

  std::string dispatch(evhttp_request *request, const std::string &path, const std::string &body) {
    if (path == "/v3/kv/range")
      return range(body);
    if (path == "/v3/kv/put")
      return put(body);
    if (path == "/v3/kv/txn")
      return txn(body);
    if (path == "/v3/lease/grant")
      return grant(body);
    if (path == "/v3/lease/keepalive")
      return keepAlive(body);
    if (path == "/v3/watch") {
      watch(request, body);
      return {};
    }
    KJ_FAIL_REQUIRE("unsupported path");
  }

  std::string range(const std::string &body) {
    capnp::MallocMessageBuilder in;
    auto request = in.initRoot<etcd::RangeRequest>();
    decode<etcd::RangeRequest>(body, request);
    const std::string first = toString(request.getKey());
    const std::string end = toString(request.getRangeEnd());
    std::vector<std::string> keys;
    for (auto it = Entries.lower_bound(first); it != Entries.end(); ++it) {
      if (end.empty() ? it->first != first : it->first >= end)
        break;
      keys.push_back(it->first);
    }
    capnp::MallocMessageBuilder out;
    auto response = out.initRoot<etcd::RangeResponse>();
    response.initHeader().setRevision(Revision);
    response.setCount(static_cast<std::int64_t>(keys.size()));
    auto kvs = response.initKvs(static_cast<unsigned>(keys.size()));
    unsigned n = 0;
    for (const std::string &key : keys) {
      const Entry &entry = Entries.at(key);
      kvs[n].setKey(toData(key));
      kvs[n].setValue(toData(entry.Value));
      kvs[n].setModRevision(entry.ModRevision);
      kvs[n++].setCreateRevision(entry.CreateRevision);
    }
    return encode<etcd::RangeResponse>(response.asReader());
  }

  void writeEntry(const std::string &key, const std::string &value, std::int64_t lease) {
    Entry &entry = Entries[key];
    if (entry.CreateRevision == 0)
      entry.CreateRevision = Revision;
    entry.ModRevision = Revision;
    entry.Value = value;
    entry.Lease = lease;
    notify(key);
  }

  std::string put(const std::string &body) {
    capnp::MallocMessageBuilder in;
    auto request = in.initRoot<etcd::PutRequest>();
    decode<etcd::PutRequest>(body, request);
    ++Revision;
    writeEntry(toString(request.getKey()), toString(request.getValue()), request.getLease());
    return "{\"header\":{\"revision\":\"" + std::to_string(Revision) + "\"}}";
  }

  std::string txn(const std::string &body) {
    capnp::MallocMessageBuilder in;
    auto request = in.initRoot<etcd::TxnRequest>();
    decode<etcd::TxnRequest>(body, request);
    bool succeeded = true;
    for (auto compare : request.getCompare()) {
      const auto it = Entries.find(toString(compare.getKey()));
      const std::int64_t revision = it == Entries.end() ? 0 : it->second.ModRevision;
      succeeded &= revision == compare.getModRevision();
    }
    if (succeeded) {
      ++Revision;
      for (auto op : request.getSuccess()) {
        if (op.hasRequestPut())
          writeEntry(toString(op.getRequestPut().getKey()), toString(op.getRequestPut().getValue()),
                     0);
        if (op.hasRequestDelete())
          Entries.erase(toString(op.getRequestDelete().getKey()));
      }
    }
    return std::string("{\"succeeded\":") + (succeeded ? "true" : "false") + "}";
  }

  std::string grant(const std::string &body) {
    capnp::MallocMessageBuilder in;
    auto request = in.initRoot<etcd::LeaseGrantRequest>();
    decode<etcd::LeaseGrantRequest>(body, request);
    const std::int64_t id = ++LastLeaseID;
    Leases[id] = {request.getTtl(), wallClockMs() + static_cast<TimeMs>(request.getTtl()) * 1000};
    return "{\"ID\":\"" + std::to_string(id) + "\",\"TTL\":\"" + std::to_string(request.getTtl()) +
           "\"}";
  }

  std::string keepAlive(const std::string &body) {
    capnp::MallocMessageBuilder in;
    auto request = in.initRoot<etcd::LeaseKeepAliveRequest>();
    decode<etcd::LeaseKeepAliveRequest>(body, request);
    const auto it = Leases.find(request.getId());
    std::int64_t ttl = 0;
    if (it != Leases.end()) {
      ttl = it->second.TtlSeconds;
      it->second.ExpiresAt = wallClockMs() + static_cast<TimeMs>(ttl) * 1000;
    }
    return "{\"result\":{\"ID\":\"" + std::to_string(request.getId()) + "\",\"TTL\":\"" +
           std::to_string(ttl) + "\"}}";
  }

  void watch(evhttp_request *request, const std::string &body) {
    capnp::MallocMessageBuilder in;
    auto parsed = in.initRoot<etcd::WatchRequest>();
    decode<etcd::WatchRequest>(body, parsed);
    Watchers.push_back({request, toString(parsed.getCreateRequest().getKey())});
    evhttp_connection_set_closecb(
        evhttp_request_get_connection(request),
        [](evhttp_connection *connection, void *arg) {
          auto *store = static_cast<StoreStandin *>(arg);
          store->Watchers.remove_if([connection](const Watcher &it) {
            return evhttp_request_get_connection(it.Request) == connection;
          });
        },
        this);
    evhttp_send_reply_start(request, 200, "OK");
    sendChunk(request, "{\"result\":{\"created\":true}}\n");
  }

  static void sendChunk(evhttp_request *request, const std::string &line) {
    const EvBufferPtr buf = makeBuffer(line);
    evhttp_send_reply_chunk(request, buf.get());
  }

  void notify(const std::string &key) {
    removeClosedWatchers();
    for (const Watcher &watcher : Watchers) {
      if (watcher.Key == key)
        sendChunk(watcher.Request, "{\"result\":{\"events\":[{\"type\":\"PUT\"}]}}\n");
    }
  }

  /// Deletes expired leases with their entries, and responses that have been sent or abandoned.
  void removeExpired() {
    const TimeMs now = wallClockMs();
    for (auto it = Leases.begin(); it != Leases.end();) {
      if (now < it->second.ExpiresAt) {
        ++it;
        continue;
      }
      std::erase_if(Entries,
                    [id = it->first](const auto &entry) { return entry.second.Lease == id; });
      it = Leases.erase(it);
    }
    std::erase_if(DelayedReplies,
                  [](const DelayedReply &delayed) { return delayed.Request == nullptr; });
    keepCopy();
    ExpiryTimer.start(MsPerSecond);
  }

  event_base *Base;
  Timer ExpiryTimer;
  std::map<std::string, Entry> Entries;
  std::map<std::int64_t, Lease> Leases;
  std::list<Watcher> Watchers;
  std::list<DelayedReply> DelayedReplies;
  std::map<std::string, long> CallCounts;
  std::int64_t Revision = 0;
  std::int64_t LastLeaseID = 0;
  std::uint64_t Era = 1;       ///< Rises with each restoreCopy().
  std::list<StoreCopy> Copies; ///< One for each second, the latest first; never empty.
  Faults ActiveFaults;
};

} // namespace

int main(int argc, char **argv) {
  const auto startup =
      settingsAtStart("store_standin", "Simulated key-value store", SettingTable, argc, argv);
  if (const int *code = std::get_if<int>(&startup); code != nullptr)
    return *code;
  const auto &parsed = std::get<ParsedSettings>(startup);
  std::signal(SIGPIPE, SIG_IGN);
  const EventBasePtr base = makePreciseBase();
  StoreStandin store(base.get());
  evhttp *http = evhttp_new(base.get());
  evhttp_set_gencb(
      http,
      [](evhttp_request *request, void *arg) { static_cast<StoreStandin *>(arg)->serve(request); },
      &store);
  if (evhttp_bind_socket(http, parsed.Values.text("address").c_str(),
                         static_cast<std::uint16_t>(parsed.Values.number("port"))) != 0) {
    std::cerr << "store_standin: cannot listen on " << parsed.Values.text("address") << ":"
              << parsed.Values.number("port") << "\n";
    return 1;
  }
  event_base_dispatch(base.get());
  return 0;
}
