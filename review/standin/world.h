/// @file world.h Stand-ins of the review for the platform's store, servers and clients, and the node
/// processes themselves. What they speak follows the users' pages.
#pragma once

#include "http.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <iostream>
#include <list>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <vector>

namespace review {

using nlohmann::json;

/// Writes what is sent, answered and run, with the seconds since the start.
class Record {
public:
  explicit Record(const std::string &path) : File(path) {}
  void write(const std::string &text) {
    const std::lock_guard<std::mutex> guard(Mutex);
    char time[32];
    std::snprintf(time, sizeof(time), "%8.3f  ", secondsSince(Start));
    File << time << text << std::endl;
  }
  const Clock::time_point Start = Clock::now();

private:
  std::mutex Mutex;
  std::ofstream File;
};

inline std::string base64(const std::string &text) {
  static const char Digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t it = 0; it < text.size(); it += 3) {
    std::uint32_t bits = 0;
    for (std::size_t n = 0; n < 3; ++n)
      bits = bits << 8 | (it + n < text.size() ? static_cast<unsigned char>(text[it + n]) : 0);
    for (std::size_t n = 0; n < 4; ++n)
      out += it + n > text.size() ? '=' : Digits[bits >> (18 - 6 * n) & 63];
  }
  return out;
}

/// The platform's metadata store.
class Store {
public:
  explicit Store(std::uint16_t port) {
    listenOn(port, [this](std::unique_ptr<Stream> stream) { serve(*stream); });
  }

  /// What the operator writes.
  void put(const std::string &key, const json &value) {
    const std::lock_guard<std::mutex> guard(Mutex);
    apply(key, base64(value.dump()), 0);
    Changed.notify_all();
  }

private:
  void serve(Stream &stream) {
    for (;;) {
      const auto request = stream.read(Clock::now() + std::chrono::hours(1));
      if (!request.has_value())
        return;
      const auto [status, body] = handle(request->word(0), request->word(1), request->Body);
      if (!stream.send(responseText(status, body, "Content-Type: application/json\r\n")))
        return;
    }
  }

  static std::map<std::string, std::string> queryOf(const std::string &path) {
    std::map<std::string, std::string> values;
    std::istringstream in(path.find('?') == std::string::npos ? ""
                                                              : path.substr(path.find('?') + 1));
    for (std::string part; std::getline(in, part, '&');) {
      std::string text;
      const std::string raw = part.substr(part.find('=') + 1);
      for (std::size_t it = 0; it < raw.size(); ++it) {
        if (raw[it] == '%') {
          text += static_cast<char>(std::stoi(raw.substr(it + 1, 2), nullptr, 16));
          it += 2;
        } else {
          text += raw[it];
        }
      }
      values[part.substr(0, part.find('='))] = text;
    }
    return values;
  }

  std::pair<int, std::string> handle(const std::string &method, const std::string &target,
                                     const std::string &text) {
    std::unique_lock<std::mutex> lock(Mutex);
    endLeases();
    const std::string path = target.substr(0, target.find('?'));
    auto query = queryOf(target);
    if (path == "/kv-key") {
      const auto it = Items.find(query["key"]);
      if (it == Items.end())
        return {404, "{}"};
      json item = it->second;
      item["store_revision"] = Revision;
      return {200, item.dump()};
    }
    if (path == "/kv-range") {
      json items = json::array();
      for (const auto &[key, item] : Items) {
        if (key.rfind(query["prefix"], 0) == 0 && key > query["after"])
          items.push_back(item);
      }
      return {200,
              json({{"items", items}, {"has_more", false}, {"store_revision", Revision}}).dump()};
    }
    if (path == "/kv-watch")
      return watch(lock, query);
    if (path == "/kv-txn")
      return transact(json::parse(text));
    if (path == "/kv-lease") {
      const std::int64_t ttl = json::parse(text)["ttl_ms"];
      const std::int64_t lease = ++LastLease;
      Leases[lease] = {ttl, Clock::now() + std::chrono::milliseconds(ttl)};
      return {200, json({{"lease", lease}, {"ttl_ms", ttl}}).dump()};
    }
    if (path.rfind("/kv-keep/", 0) == 0) {
      const auto it = Leases.find(std::stoll(path.substr(9)));
      if (it == Leases.end())
        return {404, "{}"};
      it->second.Ends = Clock::now() + std::chrono::milliseconds(it->second.TtlMs);
      return {200, json({{"lease", it->first}, {"ttl_ms", it->second.TtlMs}}).dump()};
    }
    if (method == "DELETE" && path.rfind("/kv-lease-end/", 0) == 0) {
      const auto it = Leases.find(std::stoll(path.substr(14)));
      if (it != Leases.end())
        it->second.Ends = Clock::now();
      endLeases();
      return {200, "{}"};
    }
    return {404, "{}"};
  }

  std::pair<int, std::string> watch(std::unique_lock<std::mutex> &lock,
                                    std::map<std::string, std::string> &query) {
    const std::int64_t after = std::stoll(query["after"]);
    const auto until = Clock::now() + std::chrono::milliseconds(std::stoll(query["wait_ms"]));
    json events = json::array();
    for (;;) {
      for (const json &event : History) {
        const std::string key = event["key"];
        if (event["revision"] > after && key.rfind(query["prefix"], 0) == 0)
          events.push_back(event);
      }
      if (!events.empty() || Changed.wait_until(lock, until) == std::cv_status::timeout)
        return {200, json({{"events", events}, {"store_revision", Revision}}).dump()};
    }
  }

  std::pair<int, std::string> transact(const json &body) {
    json current = json::array();
    bool holds = true;
    for (const json &row : body["precondition"]) {
      const auto it = Items.find(row["key"].get<std::string>());
      holds &= row["revision"] == (it == Items.end() ? json(0) : it->second["revision"]);
      if (it != Items.end())
        current.push_back(it->second);
    }
    if (!holds)
      return {412, json({{"items", current}}).dump()};
    for (const json &write : body["writes"]) {
      const std::string key = write["key"];
      if (key.rfind("op/", 0) == 0 || key.rfind("servers/", 0) == 0)
        return {403, "{}"};
      if (write["lease"] != 0 && !Leases.contains(write["lease"].get<std::int64_t>()))
        return {404, "{}"};
    }
    for (const json &write : body["writes"])
      apply(write["key"], write["value"], write["lease"]);
    for (const json &key : body["deletes"])
      remove(key);
    Changed.notify_all();
    return {200, json({{"revision", Revision}}).dump()};
  }

  void apply(const std::string &key, const std::string &value, std::int64_t lease) {
    ++Revision;
    const bool known = Items.contains(key);
    const json created = known ? Items[key]["created"] : json(Revision);
    Items[key] = {{"key", key},
                  {"value", value},
                  {"revision", Revision},
                  {"created", created},
                  {"lease", lease}};
    History.push_back(Items[key]);
  }

  void remove(const std::string &key) {
    if (Items.erase(key) != 0)
      History.push_back({{"key", key}, {"revision", ++Revision}, {"removed", true}});
  }

  void endLeases() {
    std::vector<std::string> ended;
    for (const auto &[key, item] : Items) {
      const std::int64_t lease = item["lease"];
      if (lease != 0 && Clock::now() >= Leases[lease].Ends)
        ended.push_back(key);
    }
    for (const std::string &key : ended)
      remove(key);
    std::erase_if(Leases, [](const auto &it) { return Clock::now() >= it.second.Ends; });
  }

  struct Lease {
    std::int64_t TtlMs = 0;
    Clock::time_point Ends;
  };
  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, json> Items;
  std::vector<json> History;
  std::map<std::int64_t, Lease> Leases;
  std::int64_t Revision = 1;
  std::int64_t LastLease = 0;
};

/// A request that a server began to run.
struct Run {
  double At = 0;
  std::string Server;
  std::string Service;
  std::string Method;
  std::string Path;
  std::string RequestID;
  std::string CallerService;
};

/// What all servers ran.
class Runs {
public:
  explicit Runs(Record &record) : Log(record) {}
  void add(Run run) {
    run.At = secondsSince(Log.Start);
    Log.write("server " + run.Server + " (" + run.Service + ") runs " + run.Method + " " + run.Path +
              " id " + run.RequestID + ", Caller-Service " + run.CallerService);
    const std::lock_guard<std::mutex> guard(Mutex);
    All.push_back(std::move(run));
  }
  std::vector<Run> all() {
    const std::lock_guard<std::mutex> guard(Mutex);
    return All;
  }

private:
  Record &Log;
  std::mutex Mutex;
  std::vector<Run> All;
};

/// One incarnation of an application server.
struct Server {
  std::string ID;
  std::string Service;
  std::uint16_t Port = 0;    ///< The machine's application address.
  std::uint16_t Control = 0; ///< Of the node on its machine.
  std::string Zone;
  std::string Version = "v1";
  int Slots = 12;
  long WorkMs = 200;
  std::int64_t Born = std::chrono::duration_cast<std::chrono::milliseconds>(
                          std::chrono::system_clock::now().time_since_epoch())
                          .count();
  std::atomic<int> Sequence = 0;
  std::atomic<bool> Beating = false;
  std::atomic<bool> Dark = false; ///< Answers nothing any more and sends nothing.
  std::atomic<int> Running = 0;

  std::string heartbeat(const std::string &state) {
    return json({{"address", addressOf(Port)},
                 {"born", Born},
                 {"information",
                  {{"service", Service}, {"version", Version}, {"zone", Zone}, {"slots", Slots}}},
                 {"status",
                  {{"state", state}, {"sequence", ++Sequence}, {"cold_remaining_ms", 0}}}})
        .dump();
  }
};

/// Sends a heartbeat.
/// @returns the status of the answer; 0: none.
inline int beat(Server &server, const std::string &body, Record &record) {
  const auto answer = call(server.Control, "PUT", "/instances/" + server.ID,
                           "Host: control\r\nContent-Type: application/json\r\n", body, 1000);
  const int status = answer.has_value() ? std::stoi(answer->word(1)) : 0;
  record.write("heartbeat of " + server.ID + " " + body + " -> " + std::to_string(status));
  return status;
}

/// The servers that use one address, one after the other. New connections lead to the present one;
/// each earlier one keeps its connections.
class ServerAddress {
public:
  ServerAddress(std::uint16_t port, Runs &runs, Record &record) : Ran(runs), Log(record) {
    Listener = listenOn(port, [this](std::unique_ptr<Stream> stream) {
      std::shared_ptr<Server> server;
      {
        const std::lock_guard<std::mutex> guard(Mutex);
        server = Present;
      }
      if (server)
        serve(*server, *stream);
    });
  }

  void assign(std::shared_ptr<Server> server) {
    const std::lock_guard<std::mutex> guard(Mutex);
    Present = std::move(server);
  }

private:
  void serve(Server &server, Stream &stream) {
    for (int n = 0;; ++n) {
      const auto request = stream.read(Clock::now() + std::chrono::seconds(server.Dark ? 3600 : 10));
      while (server.Dark)
        sleepMs(1000);
      if (!request.has_value())
        return;
      const std::string id = request->header("request-id");
      const std::string common = "Request-Id: " + id + "\r\nKeep-Alive: timeout=10\r\n";
      const std::string expected = request->header("expected-instance");
      if (!expected.empty() && expected != server.ID) {
        Log.write("server " + server.ID + " answers 421 to " + id);
        stream.send(responseText(421, "", common + "Not-Executed: 1\r\n"));
        continue;
      }
      if (server.Running >= server.Slots) {
        stream.send(responseText(503, "", common + "Not-Executed: 1\r\n"));
        continue;
      }
      ++server.Running;
      Ran.add({0, server.ID, server.Service, request->word(0), request->word(1), id,
               request->header("caller-service")});
      for (long slept = 0; slept < server.WorkMs; slept += 10)
        sleepMs(10);
      while (server.Dark)
        sleepMs(1000);
      const std::string load = std::to_string(server.Running) + ",0," + std::to_string(server.Slots);
      --server.Running;
      if (!stream.send(responseText(200, "run by " + server.ID + "\n",
                                    common + "Server-Signature: " + server.ID + "." + id +
                                        "\r\nServer-Load: " + load + "\r\n")))
        return;
    }
  }

  Runs &Ran;
  Record &Log;
  int Listener = -1;
  std::mutex Mutex;
  std::shared_ptr<Server> Present;
};

/// Lets a server send `ready` every 1.5 s until it stops beating or falls silent.
inline void startBeating(std::shared_ptr<Server> server, Record &record) {
  server->Beating = true;
  beat(*server, server->heartbeat("ready"), record);
  std::thread([server, &record] {
    for (;;) {
      sleepMs(1500);
      if (!server->Beating || server->Dark)
        return;
      beat(*server, server->heartbeat("ready"), record);
    }
  }).detach();
}

/// A machine: the settings of its node, and the process.
struct Machine {
  std::string Name;
  std::string Zone;
  std::string Service;
  std::uint16_t Application = freePort();
  std::uint16_t Outbound = freePort();
  std::uint16_t Ready = freePort();
  std::uint16_t Control = freePort();
  std::uint16_t Gate = freePort();
  std::uint16_t Rpc = freePort();
  pid_t Process = 0;
};

/// Starts, signals and ends node processes with settings made of deploy/jasmined.conf.
class Nodes {
public:
  Nodes(std::string folder, std::uint16_t storePort, Record &record)
      : Folder(std::move(folder)), StorePort(storePort), Log(record) {}
  ~Nodes() { endAll(); }

  /// Ends all processes that were started.
  void endAll() {
    for (const pid_t process : Started) {
      kill(process, SIGKILL);
      waitpid(process, nullptr, 0);
    }
    Started.clear();
  }

  std::string settingsFile(const Machine &machine) const {
    return Folder + "/" + machine.Name + ".conf";
  }

  void writeSettings(const Machine &machine) const {
    std::ifstream in("deploy/jasmined.conf");
    std::stringstream text;
    text << in.rdbuf();
    std::string settings = text.str();
    const std::map<std::string, std::string> values = {
        {"node", machine.Name},
        {"zone", machine.Zone},
        {"ip_address", "127.0.0.1"},
        {"listen_addresses.outbound", addressOf(machine.Outbound)},
        {"listen_addresses.ready", addressOf(machine.Ready)},
        {"listen_addresses.control", addressOf(machine.Control)},
        {"internal_ports.0", std::to_string(machine.Gate)},
        {"internal_ports.1", std::to_string(machine.Rpc)},
        {"platform.address", addressOf(StorePort)},
        {"seeds", ""},
        {"service", machine.Service},
        {"bounds.config_propagation_ms", "2000"},
        {"heartbeat_interval_ms", "1500"},
        {"bounds.grace_s", "6"},
        {"bounds.retry_slack", "62"}};
    for (const auto &[name, value] : values) {
      const std::string placeholder = "{{" + name + "}}";
      for (std::size_t at = 0; (at = settings.find(placeholder, at)) != std::string::npos;)
        settings.replace(at, placeholder.size(), value);
    }
    std::ofstream(settingsFile(machine)) << settings;
  }

  void start(Machine &machine) {
    writeSettings(machine);
    const std::string file = settingsFile(machine);
    const std::string log = Folder + "/" + machine.Name + ".log";
    const pid_t process = fork();
    if (process == 0) {
      // The node ends with this process, also where that one is killed.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(fd, 1);
      dup2(fd, 2);
      execl("target/jasmined", "target/jasmined", "--settings-file", file.c_str(), nullptr);
      _exit(127);
    }
    machine.Process = process;
    Started.insert(process);
    Log.write("node " + machine.Name + " started, service " + machine.Service);
  }

  void signalTo(Machine &machine, int number) {
    kill(machine.Process, number);
    Log.write("node " + machine.Name + " gets signal " + std::to_string(number));
    if (number != SIGKILL)
      return;
    waitpid(machine.Process, nullptr, 0);
    Started.erase(machine.Process);
  }

  /// @returns false if the node isn't ready within ten seconds.
  bool waitReady(const Machine &machine) const {
    for (int n = 0; n < 100; ++n) {
      const auto answer = call(machine.Ready, "GET", "/readiness", "Host: ready\r\n", "", 500);
      if (answer.has_value() && answer->word(1) == "200") {
        Log.write("node " + machine.Name + " is ready");
        return true;
      }
      sleepMs(100);
    }
    Log.write("node " + machine.Name + " is not ready");
    return false;
  }

private:
  std::string Folder;
  std::uint16_t StorePort;
  Record &Log;
  std::set<pid_t> Started;
};

/// A client's request by one new connection, at a machine.
inline int request(const Machine &machine, const std::string &method, const std::string &path,
                   const std::string &id, long deadlineMs, Record &record) {
  record.write("client at " + machine.Name + " sends " + method + " " + path + " id " + id);
  const auto answer = call(machine.Outbound, method, path,
                           "Host: registry.example\r\nRequest-Id: " + id +
                               "\r\nDeadline-Remaining: " + std::to_string(deadlineMs) + "\r\n",
                           "", deadlineMs);
  const int status = answer.has_value() ? std::stoi(answer->word(1)) : 0;
  record.write("client gets " + std::to_string(status) + " for " + id +
               (status == 200 ? ", " + answer->Body.substr(0, answer->Body.size() - 1) : ""));
  return status;
}

inline json route(const std::string &prefix, const std::string &kind, const std::string &service,
                  int timeoutMs, int targetMs, int priority) {
  return {{"host", "registry.example"}, {"prefix", prefix},         {"kind", kind},
          {"service", service},         {"timeout_ms", timeoutMs},  {"target_latency_ms", targetMs},
          {"priority", priority},       {"attempts", 2}};
}

/// The routes and services of the site's table that the cases use.
inline json configuration() {
  return {{"version", "0000000c"},
          {"routes",
           {{"record-lookup", route("/lookup/", "safe", "registry-desk", 1500, 500, 2)},
            {"agreement-register", route("/agreements/", "unsafe", "agreements", 2000, 600, 1)},
            {"royalty-settle", route("/royalties/", "unsafe", "royalties", 1000, 300, 0)}}},
          {"services",
           {{"registry-desk", json::object()},
            {"agreements", json::object()},
            {"royalties", json::object()}}},
          {"limits",
           {{"header_bytes", 8192},
            {"body_bytes", 65536},
            {"header_timeout_ms", 5000},
            {"idle_timeout_ms", 20000}}}};
}

/// The machines of a deployment that a case doesn't touch, each with its node and server. With them a
/// case has six machines, so that one server is a sixth of all.
class Bystanders {
public:
  Bystanders(Nodes &nodes, Runs &runs, Record &record, std::size_t count) {
    const std::vector<Machine> all = {{"sidecar-zagreb-a-11", "zagreb-a", "registry-desk"},
                                      {"sidecar-split-b-11", "split-b", "royalties"},
                                      {"sidecar-rijeka-c-11", "rijeka-c", "registry-desk"},
                                      {"sidecar-rijeka-c-12", "rijeka-c", "royalties"}};
    for (std::size_t n = 0; n < count; ++n) {
      Machines.push_back(all[n]);
      Machine &machine = Machines.back();
      nodes.start(machine);
      auto server = std::make_shared<Server>();
      server->ID = "i-" + machine.Name;
      server->Service = machine.Service;
      server->Port = machine.Application;
      server->Control = machine.Control;
      server->Zone = machine.Zone;
      Servers.push_back(server);
      Addresses.push_back(std::make_unique<ServerAddress>(machine.Application, runs, record));
      Addresses.back()->assign(server);
    }
  }

  /// @returns false if a node isn't ready in time.
  bool begin(Nodes &nodes, Record &record) {
    for (const Machine &it : Machines) {
      if (!nodes.waitReady(it))
        return false;
    }
    for (const auto &it : Servers)
      startBeating(it, record);
    return true;
  }

private:
  std::list<Machine> Machines;
  std::vector<std::shared_ptr<Server>> Servers;
  std::vector<std::unique_ptr<ServerAddress>> Addresses;
};

constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int CouldNotRun = 2;

/// Ends the nodes and this process, whose other threads still wait for messages.
[[noreturn]] inline void finish(Nodes &nodes, int result) {
  nodes.endAll();
  _exit(result);
}

} // namespace review
