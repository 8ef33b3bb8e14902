/// @file jasmined.cpp The node process; one runs beside each upstream.
#include "control/control_task.h"
#include "environment.h"
#include "event_util.h"
#include "log.h"
#include "settings.h"
#include "traffic/traffic_task.h"

#include "platform_environment.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <chrono>
#include <cmath>
#include <condition_variable>
#include <csignal>
#include <deque>
#include <iostream>
#include <mutex>
#include <set>
#include <thread>

namespace {

using namespace jasmineloom;

const std::vector<SettingRow> SettingTable = {
    {"host", SettingType::Text, 1, 128, "", "", "Name of this host; must be unique in the mesh"},
    {"data-centre", SettingType::Text, 1, 128, "", "", "Name of the data centre of this host"},
    {"address", SettingType::Text, 1, 64, "127.0.0.1", "", "IP that this host listens on"},
    {"advertise", SettingType::Text, 0, 64, "", "",
     "IP under which other nodes reach this host; empty: same as address"},
    {"ingress-port", SettingType::Number, 1, 65535, "8080", "port",
     "Port of the ingress, for callers' requests"},
    {"gate-port", SettingType::Number, 1, 65535, "8081", "port",
     "Port of the gate in front of the upstream"},
    {"rpc-port", SettingType::Number, 1, 65535, "8082", "port",
     "Port for RPC from nodes and operators"},
    {"management-port", SettingType::Number, 1, 65535, "8083", "port",
     "Port for metrics, health, heartbeats and drain; expose on loopback or a trusted network "
     "only"},
    {"store", SettingType::Address, 1, 0, "127.0.0.1:2379", "",
     "IP:port of the key-value store (etcd v3 JSON gateway)"},
    {"surroundings", SettingType::Choice, 0, 0, "native", "",
     "Protocols used with callers, upstreams and the store", "native,platform"},
    {"ingress-listen", SettingType::Address, 0, 0, "", "",
     "IP:port for callers' requests; overrides address and ingress-port"},
    {"management-listen", SettingType::Address, 0, 0, "", "",
     "IP:port list for management calls, comma-separated; overrides address and management-port"},
    {"local-service", SettingType::Text, 0, 128, "", "",
     "Service that runs on this host; sent to upstreams as the caller's service"},
    {FiguresSetting, SettingType::Choice, 0, 0, "checked", "",
     "What happens if a figure is out of range: `checked`, it is an error; `bounded`, the nearest "
     "is used, with a warning",
     "checked,bounded"},
    {"in-force-time", SettingType::Figure, 500, 600000, "19000", "ms",
     "Maximum time until a configuration change is in force on all nodes"},
    {"heartbeat-interval", SettingType::Figure, 50, 60000, "1250", "ms",
     "Interval at which the upstream sends heartbeats"},
    {"stop-time", SettingType::Figure, 0.1, 600, "6", "seconds",
     "Maximum time from a stop or drain request until the process exits"},
    {"retry-slack", SettingType::Figure, 0, 100000, "60", "requests",
     "Retries per service that all nodes together may make beyond their retry budgets"},
    {"capacity", SettingType::Figure, 0.001, 1e6, "", "cores",
     "CPU of this host; empty: not known. Hosts with more take on more duties"},
    {"revocation-time", SettingType::Figure, 0, 600000, "0", "ms",
     "Time after which a key that a configuration took away is refused everywhere, whether a node "
     "is "
     "in touch or not; 0: as soon as a node holds the configuration"},
    {"roots", SettingType::Number, 1, 64, "3", "hosts",
     "Number of hosts per data centre that watch the store"},
    {"seeds", SettingType::Address, 0, 0, "", "", "RPC addresses of some hosts, comma-separated"},
    {"secret", SettingType::Text, 8, 256, "", "", "Secret shared by all hosts and operators"},
    {"log-level", SettingType::Choice, 0, 0, "info", "", "Lowest level that is logged",
     "trace,debug,info,warn,error"},
    {"log-format", SettingType::Choice, 0, 0, "text", "", "Log format", "text,json"},
    {"max-body", SettingType::Number, 1024, 64 << 20, "1048576", "bytes",
     "Maximum body size of a request or response"},
    {"max-held", SettingType::Number, 1 << 20, 4L << 30, "50331648", "bytes",
     "Maximum of all messages that the process holds; above it, the connections that hold most are "
     "cut"},
    {"max-headers", SettingType::Number, 512, 1 << 20, "16384", "bytes",
     "Maximum header size of a request"},
    {"max-connections", SettingType::Number, 1, 100000, "4096", "connections",
     "Maximum number of connections per port"},
    {"max-in-flight", SettingType::Number, 1, 100000, "2048", "requests",
     "Maximum number of callers' requests in flight on this host"},
};

std::uint64_t seedFrom(const std::string &host, std::uint64_t incarnation) {
  return std::hash<std::string>()(host) ^ incarnation;
}

/// @returns a time limit in whole milliseconds, rounded down, but not to 0.
/// @param unit of the setting, milliseconds.
DurationMs timeLimit(const Settings &values, const std::string &name, DurationMs unit = 1) {
  const double time = values.figure(name).value_or(0) * static_cast<double>(unit);
  return static_cast<DurationMs>(time > 0 && time < 1 ? 1 : time);
}

/// Settings that take effect at SIGHUP; all others need a restart.
const std::set<std::string> ReloadableSettings = {"log-level", "local-service",
                                                  "heartbeat-interval", "stop-time", "retry-slack"};

ApplySettings reloadableSettings(const Settings &values) {
  ApplySettings settings;
  settings.LocalService = ServiceName(values.text("local-service"));
  settings.HeartbeatInterval = timeLimit(values, "heartbeat-interval");
  settings.StopTime = timeLimit(values, "stop-time", MsPerSecond);
  settings.RetrySlack = values.figure("retry-slack").value_or(0);
  return settings;
}

TrafficSettings trafficSettings(const Settings &values, std::uint64_t incarnation) {
  TrafficSettings traffic;
  traffic.Host = HostID(values.text("host"));
  traffic.Incarnation = incarnation;
  traffic.DataCentre = DataCentreName(values.text("data-centre"));
  traffic.GateIP = values.text("address");
  traffic.IngressIP = traffic.GateIP;
  traffic.IngressPort = static_cast<std::uint16_t>(values.number("ingress-port"));
  const absl::StatusOr<HostPort> ingress = splitAddress(values.text("ingress-listen"));
  if (ingress.ok()) {
    traffic.IngressIP = ingress->Host;
    traffic.IngressPort = ingress->Port;
  }
  traffic.GatePort = static_cast<std::uint16_t>(values.number("gate-port"));
  traffic.ManagementAddresses = values.list("management-listen");
  if (traffic.ManagementAddresses.empty())
    traffic.ManagementAddresses = {
        absl::StrCat(traffic.GateIP, ":", values.number("management-port"))};
  const ApplySettings reloadable = reloadableSettings(values);
  traffic.LocalService = reloadable.LocalService;
  traffic.HeartbeatInterval = reloadable.HeartbeatInterval;
  traffic.StopTime = reloadable.StopTime;
  traffic.RetrySlack = reloadable.RetrySlack;
  traffic.RevocationTime = timeLimit(values, "revocation-time");
  traffic.InForceTime = timeLimit(values, "in-force-time");
  traffic.StoreAddress = values.text("store");
  traffic.Secret = values.text("secret");
  traffic.MaxBody = static_cast<std::size_t>(values.number("max-body"));
  traffic.MaxHeld = static_cast<std::size_t>(values.number("max-held"));
  traffic.MaxHeaderBytes = static_cast<std::size_t>(values.number("max-headers"));
  traffic.MaxConnections = static_cast<std::size_t>(values.number("max-connections"));
  traffic.MaxInFlight = static_cast<std::size_t>(values.number("max-in-flight"));
  traffic.Seed = seedFrom(values.text("host"), incarnation);
  return traffic;
}

/// @returns the CPU of the host, thousandths of a core; 0: not known.
std::uint32_t capacityOf(const Settings &values) {
  return static_cast<std::uint32_t>(std::lround(values.figure("capacity").value_or(0) * 1000));
}

ControlSettings controlSettings(const Settings &values, std::uint64_t incarnation) {
  const std::string &ip = values.text("address");
  ControlSettings control;
  control.RpcAddress = absl::StrCat(ip, ":", values.number("rpc-port"));
  const std::string &advertised = values.text("advertise");
  const std::string &reachableIp = advertised.empty() ? ip : advertised;
  control.Identity = {HostID(values.text("host")),
                      incarnation,
                      DataCentreName(values.text("data-centre")),
                      absl::StrCat(reachableIp, ":", values.number("rpc-port")),
                      absl::StrCat(reachableIp, ":", values.number("gate-port")),
                      capacityOf(values)};
  control.Seeds = values.list("seeds");
  control.Times = MeshTimings::forPropagationBound(timeLimit(values, "in-force-time"));
  control.Tree.Roots = static_cast<std::size_t>(values.number("roots"));
  control.RevocationTime = timeLimit(values, "revocation-time");
  control.InForceTime = timeLimit(values, "in-force-time");
  control.Secret = values.text("secret");
  control.RandomSeed = seedFrom(values.text("host"), incarnation) + 1;
  return control;
}

void logWarnings(const ParsedSettings &parsed) {
  for (const std::string &warning : parsed.Warnings)
    LOG4CXX_WARN(loggerOf("main"), warning);
}

/// Reloads the settings and applies those in ReloadableSettings. Others that have changed take
/// effect after a restart and are logged. If any setting is invalid, none is applied.
/// @param applied settings in effect; updated.
void reloadSettings(Settings &applied, TrafficMailbox &traffic, int argc, char **argv) {
  const log4cxx::LoggerPtr logger = loggerOf("main");
  const absl::StatusOr<ParsedSettings> parsed =
      parseSettings("jasmined", "Node of the jasmineloom mesh", SettingTable, argc, argv, &applied);
  if (!parsed.ok()) {
    LOG4CXX_ERROR(logger, "settings reload failed, nothing changed: "
                              << std::string(parsed.status().message()));
    return;
  }
  logWarnings(*parsed);
  const std::string level = parsed->Values.text("log-level");
  if (absl::Status status = setLogLevel(level); !status.ok())
    LOG4CXX_ERROR(logger, "settings reload: " << std::string(status.message()));
  traffic.put(reloadableSettings(parsed->Values));
  std::vector<std::string> inEffect;
  std::vector<std::string> needRestart;
  for (const SettingRow &row : SettingTable) {
    const std::string &value = parsed->Values.text(row.Name);
    if (value == applied.text(row.Name))
      continue;
    if (!ReloadableSettings.contains(row.Name)) {
      needRestart.emplace_back(row.Name);
      continue;
    }
    inEffect.push_back(absl::StrCat(row.Name, " = ", value));
    applied.set(row.Name, value);
  }
  LOG4CXX_INFO(logger, "settings reloaded; in effect: "
                           << (inEffect.empty() ? "no change" : absl::StrJoin(inEffect, ", "))
                           << (needRestart.empty() ? "" : "; effective after a restart: ")
                           << absl::StrJoin(needRestart, ", "));
}

/// Period at which the settings file is checked for changes, which may come without a signal: they
/// take effect within two of it.
constexpr std::chrono::milliseconds SettingsCheckPeriod{500};
/// Time between two checks after another task has asked for a look at a file that has changed.
constexpr std::chrono::milliseconds SettingsSettleTime{40};

/// Reloads the settings at SIGHUP, when their file has changed, and when another task asks for it.
class SettingsTask {
public:
  SettingsTask(const ParsedSettings &start, TrafficMailbox &traffic, int argc, char **argv)
      : Path(start.FilePath), Applied(start.Values), Watch(start.FileText), Traffic(traffic),
        ArgumentCount(argc), Arguments(argv) {
    Events.setWake([this] {
      const std::lock_guard lock(Mutex);
      Woken = true;
      Condition.notify_one();
    });
  }

  SettingsMailbox &mailbox() { return Events; }

  /// Runs until a SettingsEnd message.
  void run() {
    while (!Ended) {
      for (const SettingsEvent &event : awaitEvents())
        std::visit([this](const auto &it) { handle(it); }, event);
      check(false);
    }
  }

private:
  std::deque<SettingsEvent> awaitEvents() {
    std::unique_lock lock(Mutex);
    const auto isWoken = [this] { return Woken; };
    if (Path.empty())
      Condition.wait(lock, isWoken);
    else
      Condition.wait_for(lock, SettingsCheckPeriod, isWoken);
    Woken = false;
    lock.unlock();
    return Events.takeAll();
  }

  void check(bool signalled) {
    if ((signalled || !Path.empty()) && Watch.check(settingsFileText(Path), signalled))
      reloadSettings(Applied, Traffic, ArgumentCount, Arguments);
  }

  void handle(const SettingsSignalled & /*event*/) { check(true); }
  void handle(const SettingsEnd & /*event*/) { Ended = true; }
  void handle(const SettingsLook &event) {
    check(false);
    if (Watch.isPending()) {
      std::this_thread::sleep_for(SettingsSettleTime);
      check(false);
    }
    Traffic.put(SettingsLooked{event.Number});
  }

  std::string Path;
  Settings Applied;
  SettingsFileWatch Watch;
  TrafficMailbox &Traffic;
  int ArgumentCount;
  char **Arguments;
  SettingsMailbox Events;
  std::mutex Mutex;
  std::condition_variable Condition;
  bool Woken = false;
  bool Ended = false;
};

/// Passes signals on until one ends the process.
/// @param signals SIGHUP and the signals that end the process; blocked.
void followSignals(const sigset_t &signals, SettingsMailbox &settings) {
  while (true) {
    const int signal = sigwaitinfo(&signals, nullptr);
    if (signal == SIGTERM || signal == SIGINT)
      return;
    if (signal == SIGHUP)
      settings.put(SettingsSignalled{});
  }
}

} // namespace

int main(int argc, char **argv) {
  const auto started =
      settingsAtStart("jasmined", "Node of the jasmineloom mesh", SettingTable, argc, argv);
  if (const int *code = std::get_if<int>(&started); code != nullptr)
    return *code;
  const auto &parsed = std::get<ParsedSettings>(started);
  const Settings &values = parsed.Values;
  startLogging(values.text("log-format"), values.text("log-level"));
  logWarnings(parsed);
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);

  const std::uint64_t incarnation = wallClockMs();
  TrafficMailbox toTraffic;
  ControlMailbox toControl;
  const Environment environment = values.text("surroundings") == "platform"
                                      ? platform::platformEnvironment()
                                      : nativeEnvironment();
  TrafficSettings trafficSetup = trafficSettings(values, incarnation);
  trafficSetup.Http = environment.Http;
  trafficSetup.RecordsDepartures = true;
  TrafficTask traffic(std::move(trafficSetup), environment, toTraffic, toControl);
  if (!traffic.listen()) {
    std::cerr << "jasmined: " << traffic.error() << "\n";
    return 1;
  }
  SettingsTask settings(parsed, toTraffic, argc, argv);
  traffic.setSettingsTask(settings.mailbox());
  std::thread trafficThread([&traffic] { traffic.run(); });
  std::thread settingsThread([&settings] { settings.run(); });
  std::thread signalThread([&] {
    followSignals(signals, settings.mailbox());
    settings.mailbox().put(SettingsEnd{});
    toControl.put(DrainRequested{"signal"});
  });
  ControlSettings controlSetup = controlSettings(values, incarnation);
  controlSetup.Env = environment;
  ControlTask control(std::move(controlSetup), toTraffic, toControl);
  const int status = control.run();
  toTraffic.put(StopTask{});
  trafficThread.join();
  // Exits without running destructors: the RPC library's connections must not be destroyed while a
  // call to a peer is being written. No unsaved state is left at this point.
  endLogging();
  std::cout.flush();
  std::_Exit(status);
}
