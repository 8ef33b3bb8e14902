/// @file jasminectl.cpp The operators' command-line client.
#include "config/declarations.h"
#include "event_util.h"
#include "log.h"
#include "mesh/peer_connection.h"
#include "settings.h"
#include "timeline.h"
#include "wire_func.h"
#include "workspace/key_digest.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>
#include <capnp/compat/json.h>
#include <unistd.h>

#include <functional>
#include <iostream>
#include <optional>
#include <random>
#include <utility>

namespace {

using namespace jasmineloom;

enum ExitCode : int {
  ExitOk = 0,
  ExitFailed = 1,
  ExitUsage = 2,
  ExitRefused = 3,
  ExitConflict = 4,
  ExitStoreUnavailable = 5,
  ExitTimeout = 6,
  ExitUnknown = 7,
  ExitUnreachable = 8,
};

const std::vector<SettingRow> SettingTable = {
    {"node", SettingType::Address, 1, 0, "127.0.0.1:8082", "",
     "RPC addresses of nodes, comma-separated; tried in this order"},
    {"secret", SettingType::Text, 8, 256, "", "", "Secret of the cluster"},
    {"output", SettingType::Choice, 0, 0, "table", "", "Output format", "table,json,svg"},
    {"operation-id", SettingType::Text, 0, 128, "", "",
     "Idempotency key of the change; repeat it to retry safely after a lost response"},
    {"author", SettingType::Text, 0, 128, "operator", "", "Author recorded with the change"},
    {"base-version", SettingType::Number, 0, 1L << 60, "0", "version",
     "Version that the change is based on; conflict if another is accepted; 0: any"},
    {"dry-run", SettingType::Choice, 0, 0, "no", "", "Shows the changes without applying them",
     "no,yes"},
    {"wait", SettingType::Choice, 0, 0, "no", "",
     "Waits until the version is in force on all nodes or the rollout has ended", "no,yes"},
    {"timeout", SettingType::Number, 1, 86400, "30", "s", "Maximum wait"},
    {"id", SettingType::Text, 0, 128, "", "", "Id of a rollout"},
    {"to", SettingType::Text, 0, 128, "", "", "Target version of a rollout"},
    {"within", SettingType::Number, 1, 864000, "600", "s", "Time from now to a rollout's deadline"},
    {"workspace", SettingType::Text, 0, 128, "", "", "Workspace of the caller to explain"},
    {"data-centre", SettingType::Text, 0, 64, "", "",
     "Data centre of the caller to explain; empty: that of the asked node"},
    {"bytes", SettingType::Number, 0, 1L << 40, "0", "bytes",
     "Body size of the request to explain"},
    {"filter", SettingType::Text, 0, 128, "", "",
     "Shows only time line events of this version, rollout, route, host or kind"},
    {"reason", SettingType::Text, 0, 256, "operator", "", "Reason for aborting a rollout"},
};

constexpr const char *About =
    "Command-line client for operators of jasmineloom\n"
    "  jasminectl apply DIR          applies the declarations in a directory as one version\n"
    "  jasminectl diff DIR           shows what apply would change\n"
    "  jasminectl validate DIR       checks declarations without contacting a node\n"
    "  jasminectl key-digest         reads an API key from standard input and prints its digest, "
    "as\n"
    "                                declarations of workspaces list it; contacts no node\n"
    "  jasminectl get                prints the configuration held by a node\n"
    "  jasminectl history            lists the accepted changes\n"
    "  jasminectl rollout start SERVICE --to VERSION --within S [--id ID]\n"
    "  jasminectl rollout status|watch [ID] | rollout abort ID\n"
    "  jasminectl status             lists the nodes, their versions and roles\n"
    "  jasminectl in-force VERSION   waits until a version is in force on all nodes\n"
    "  jasminectl timeline           merges the nodes' time lines\n"
    "  jasminectl explain HOST PATH  shows where a request would go now, and why; sends nothing\n"
    "  jasminectl drain | log-level LEVEL   for the node given by --node\n"
    "Exit codes: 0 done, 1 failed, 2 usage, 3 refused, 4 conflict, 5 store unavailable,\n"
    "6 timeout, 7 outcome unknown (retry with the same --operation-id), 8 no node reachable";

constexpr DurationMs PollPeriod = 100;
/// Silence of a node after which a poll is repeated over a new connection.
constexpr DurationMs PollTimeout = 2 * MsPerSecond;

int exitCodeOf(wire::Status status) {
  switch (status) {
  case wire::Status::OK:
    return ExitOk;
  case wire::Status::REFUSED:
    return ExitRefused;
  case wire::Status::CONFLICT:
    return ExitConflict;
  case wire::Status::STORE_UNAVAILABLE:
    return ExitStoreUnavailable;
  case wire::Status::TIMEOUT:
    return ExitTimeout;
  case wire::Status::UNKNOWN:
    return ExitUnknown;
  }
  return ExitUnknown;
}

const char *phaseName(wire::RolloutPhase phase) {
  switch (phase) {
  case wire::RolloutPhase::RUNNING:
    return "running";
  case wire::RolloutPhase::DONE:
    return "done";
  case wire::RolloutPhase::TAKEN_BACK:
    return "taken-back";
  }
  return "unknown";
}

template <typename ReaderT> void printJson(const ReaderT &reader) {
  capnp::JsonCodec codec;
  codec.setPrettyPrint(true);
  addDeclarationHandlers(codec);
  std::cout << codec.encode(reader).cStr() << "\n";
}

/// @returns the services that a route sends requests to, with their weights if there are several.
std::string targetText(wire::Route::Reader route) {
  if (route.getSplit().size() == 0)
    return route.getService().cStr();
  std::vector<std::string> parts;
  for (const auto it : route.getSplit()) {
    const SplitPart part = readSplitPart(it);
    parts.push_back(absl::StrCat(part.Service.str(), " ", part.Weight));
  }
  return absl::StrJoin(parts, ", ");
}

/// Executes one subcommand against the first node that can be reached.
class Command {
public:
  Command(Settings values, std::vector<std::string> arguments)
      : Values(std::move(values)), Arguments(std::move(arguments)), Io(kj::setupAsyncIo()),
        Peers(Io, Values.text("secret"), HostID(OperatorClientName), Bytes) {}

  int run() {
    const std::string subcommand = argument(0);
    if (subcommand == "validate")
      return validate();
    if (subcommand == "key-digest")
      return keyDigest();
    if (!connect()) {
      std::cerr << "jasminectl: no node reachable at " << Values.text("node") << ": " << Error
                << "\n";
      return ExitUnreachable;
    }
    if (subcommand == "apply")
      return apply(Values.text("dry-run") == "yes");
    if (subcommand == "diff")
      return apply(true);
    if (subcommand == "get")
      return get();
    if (subcommand == "history")
      return history();
    if (subcommand == "rollout")
      return rollout();
    if (subcommand == "status")
      return status();
    if (subcommand == "in-force")
      return inForce();
    if (subcommand == "timeline")
      return timeline();
    if (subcommand == "explain")
      return explain();
    if (subcommand == "drain")
      return printOutcome(Node->Operator.drainRequest().send().wait(Io.waitScope).getOutcome());
    if (subcommand == "log-level") {
      auto request = Node->Operator.setLogLevelRequest();
      request.setLevel(argument(1));
      return printOutcome(request.send().wait(Io.waitScope).getOutcome());
    }
    std::cerr << About << "\n";
    return ExitUsage;
  }

private:
  std::string argument(std::size_t n) const { return n < Arguments.size() ? Arguments[n] : ""; }
  bool json() const { return Values.text("output") == "json"; }
  bool waitRequested() const { return Values.text("wait") == "yes"; }

  bool connect() {
    for (const std::string &address : Values.list("node")) {
      const auto failed =
          kj::runCatchingExceptions([&] { Node = Peers.get(address).wait(Io.waitScope); });
      if (failed == nullptr)
        return true;
      KJ_IF_MAYBE (exception, failed)
        Error = exception->getDescription().cStr();
    }
    return false;
  }

  static int printOutcome(wire::Outcome::Reader outcome) {
    std::cout << outcome.getMessage().cStr() << "\n";
    return exitCodeOf(outcome.getStatus());
  }

  std::string operationId() const {
    if (!Values.text("operation-id").empty())
      return Values.text("operation-id");
    std::random_device device;
    return absl::StrFormat("%08x%08x", device(), device());
  }

  void waitPollPeriod() {
    Io.provider->getTimer().afterDelay(PollPeriod * kj::MILLISECONDS).wait(Io.waitScope);
  }

  /// Sends a request that reads from the node. If the node fails or is silent for PollTimeout, the
  /// next request goes over a new connection, to any of the nodes.
  /// @returns the response, or nullopt if there was none.
  template <typename RequestT> auto poll(RequestT &&request) {
    auto sent =
        Io.provider->getTimer().timeoutAfter(PollTimeout * kj::MILLISECONDS, request.send());
    std::optional<decltype(sent.wait(Io.waitScope))> response;
    const auto failed = kj::runCatchingExceptions([&] { response = sent.wait(Io.waitScope); });
    KJ_IF_MAYBE (exception, failed) {
      std::cerr << "jasminectl: the node does not answer: " << exception->getDescription().cStr()
                << "\n";
      const std::shared_ptr<PeerConnection> silent = std::exchange(Node, nullptr);
      for (const std::string &address : Values.list("node"))
        Peers.drop(address);
      if (!connect())
        Node = silent;
    }
    return response;
  }

  int validate() {
    const auto objects = readDeclarationDirectory(argument(1));
    const absl::Status status = objects.ok() ? validateDeclarations(*objects) : objects.status();
    if (!status.ok()) {
      std::cerr << "jasminectl: " << status.message() << "\n";
      return ExitRefused;
    }
    std::cout << objects->size() << " objects are valid\n";
    return ExitOk;
  }

  /// Reads the key from standard input, as arguments can be seen by other users of the host.
  static int keyDigest() {
    std::string key;
    std::getline(std::cin, key);
    if (!key.empty() && key.back() == '\r')
      key.pop_back();
    if (key.empty() || key.find_first_of(" \t") != std::string::npos) {
      std::cerr << "jasminectl: key-digest requires a key without spaces in the first line\n";
      return ExitUsage;
    }
    std::cout << "[" << absl::StrJoin(digestOfKey(key), ", ") << "]\n";
    return ExitOk;
  }

  int apply(bool dryRun) {
    const auto objects = readDeclarationDirectory(argument(1));
    const absl::Status valid = objects.ok() ? validateDeclarations(*objects) : objects.status();
    if (!valid.ok()) {
      std::cerr << "jasminectl: " << valid.message() << "\n";
      return ExitRefused;
    }
    auto request = Node->Operator.applyRequest();
    writeDeclaredObjects(request.initDeclarations(), *objects);
    const std::string id = operationId();
    request.setOperationId(id);
    request.setAuthor(Values.text("author"));
    request.setBaseVersion(static_cast<std::uint64_t>(Values.number("base-version")));
    request.setDryRun(dryRun);
    const auto response = request.send().wait(Io.waitScope);
    if (json()) {
      printJson(response.getOutcome());
    } else {
      for (auto line : response.getChanges())
        std::cout << "  " << line.cStr() << "\n";
      std::cout << response.getOutcome().getMessage().cStr() << "\n";
    }
    const int code = exitCodeOf(response.getOutcome().getStatus());
    if (code == ExitUnknown)
      std::cerr << "jasminectl: outcome unknown; retry with --operation-id " << id << "\n";
    if (code != ExitOk || !waitRequested() || dryRun)
      return code;
    return waitInForce(response.getOutcome().getVersion());
  }

  int waitInForce(std::uint64_t version) {
    const TimeMs end = wallClockMs() + static_cast<TimeMs>(Values.number("timeout")) * MsPerSecond;
    const TimeMs begin = wallClockMs();
    for (;;) {
      auto request = Node->Operator.inForceRequest();
      request.setVersion(version);
      const auto response = poll(request);
      if (response.has_value() && response->getEverywhere()) {
        std::cout << "version " << version << " is in force on all " << response->getNodes()
                  << " nodes (" << wallClockMs() - begin << " ms after it was accepted)\n";
        return ExitOk;
      }
      if (wallClockMs() >= end) {
        std::cerr << "version " << version << " is not in force everywhere";
        if (response.has_value()) {
          std::cerr << ": " << response->getNodes() << " of " << response->getExpected()
                    << " nodes reported; lagging:";
          for (auto host : response->getLaggards())
            std::cerr << " " << host.cStr();
        }
        std::cerr << "\n";
        return ExitTimeout;
      }
      if (response.has_value() && isatty(STDERR_FILENO) != 0)
        std::cerr << "\r" << response->getNodes() << "/" << response->getExpected() << " nodes ";
      waitPollPeriod();
    }
  }

  int inForce() {
    std::uint64_t version = 0;
    if (!absl::SimpleAtoi(argument(1), &version)) {
      std::cerr << "jasminectl: in-force requires a version number\n";
      return ExitUsage;
    }
    return waitInForce(version);
  }

  int get() {
    const auto response = Node->Operator.getRequest().send().wait(Io.waitScope);
    if (json()) {
      printJson(response.getDeclarations());
      return ExitOk;
    }
    std::cout << "version " << response.getVersion() << "\n";
    for (auto it : response.getDeclarations().getServices())
      std::cout << "service  " << absl::StreamFormat("%-20s", it.getName().cStr()) << " "
                << it.getInitialVersion().cStr() << "\n";
    for (auto it : response.getDeclarations().getRoutes())
      std::cout << "route    " << absl::StreamFormat("%-20s", it.getName().cStr()) << " "
                << absl::StreamFormat("%-24s", it.getPrefix().cStr()) << " -> " << targetText(it)
                << (it.getIdempotent() ? "" : " (at most once)") << "\n";
    return ExitOk;
  }

  int history() {
    const auto response = Node->Operator.historyRequest().send().wait(Io.waitScope);
    if (response.getOutcome().getStatus() != wire::Status::OK)
      return printOutcome(response.getOutcome());
    for (auto it : response.getOperations())
      std::cout << absl::StreamFormat("%-6d %-16s %-18s %s\n", it.getVersion(),
                                      it.getAuthor().cStr(), it.getId().cStr(),
                                      it.getSummary().cStr());
    return ExitOk;
  }

  int rollout() {
    const std::string action = argument(1);
    if (action == "start")
      return startRollout();
    if (action == "abort") {
      auto request = Node->Operator.abortRolloutRequest();
      request.setId(argument(2));
      request.setReason(Values.text("reason"));
      return printOutcome(request.send().wait(Io.waitScope).getOutcome());
    }
    if (action == "watch")
      return watchRollout(argument(2));
    if (action == "status") {
      const auto response = Node->Operator.rolloutsRequest().send().wait(Io.waitScope);
      for (auto it : response.getRollouts())
        printRollout(it);
      return ExitOk;
    }
    std::cerr << About << "\n";
    return ExitUsage;
  }

  static void printRollout(wire::RolloutStatus::Reader it) {
    const auto spec = it.getRollout();
    std::cout << absl::StreamFormat(
        "%-18s %-12s %s -> %s  %-10s stage %d  share %.1f%%  %s\n", spec.getId().cStr(),
        spec.getService().cStr(), spec.getFromVersion().cStr(), spec.getToVersion().cStr(),
        phaseName(it.getProgress().getPhase()), it.getProgress().getStage(),
        it.getSharePerMille() / 10.0, it.getProgress().getReason().cStr());
  }

  int startRollout() {
    auto request = Node->Operator.startRolloutRequest();
    const TimeMs now = wallClockMs();
    const std::string operation = operationId();
    const std::string id = Values.text("id").empty() ? operation : Values.text("id");
    auto spec = request.initRollout();
    spec.setId(id);
    spec.setService(argument(2));
    spec.setToVersion(Values.text("to"));
    spec.setStartMs(now);
    spec.setDeadlineMs(now + static_cast<TimeMs>(Values.number("within")) * MsPerSecond);
    request.setOperationId(operation);
    request.setAuthor(Values.text("author"));
    const auto response = request.send().wait(Io.waitScope);
    std::cout << "rollout " << id << ": " << response.getOutcome().getMessage().cStr() << "\n";
    const int code = exitCodeOf(response.getOutcome().getStatus());
    return code == ExitOk && waitRequested() ? watchRollout(id) : code;
  }

  int watchRollout(const std::string &id) {
    const TimeMs end = wallClockMs() + static_cast<TimeMs>(Values.number("timeout")) * MsPerSecond;
    std::uint32_t lastStage = ~0U;
    for (;;) {
      const auto response = poll(Node->Operator.rolloutsRequest());
      for (auto it : response.has_value() ? response->getRollouts()
                                          : capnp::List<wire::RolloutStatus>::Reader()) {
        if (wireText(it.getRollout().getId()) != id)
          continue;
        const auto progress = it.getProgress();
        if (progress.getPhase() != wire::RolloutPhase::RUNNING) {
          std::cout << "rollout " << id << " is " << phaseName(progress.getPhase()) << ": "
                    << progress.getReason().cStr() << "\n";
          return progress.getPhase() == wire::RolloutPhase::DONE ? ExitOk : ExitRefused;
        }
        if (progress.getStage() != lastStage) {
          lastStage = progress.getStage();
          printRollout(it);
        }
      }
      if (wallClockMs() >= end)
        return ExitTimeout;
      waitPollPeriod();
    }
  }

  int status() {
    const auto response = Node->Operator.statusRequest().send().wait(Io.waitScope);
    if (json()) {
      for (auto node : response.getNodes())
        printJson(node);
      return ExitOk;
    }
    std::cout << "HOST           DATA CENTRE  SERVICE      VERSION  STATE     HELD  KNOWN  ROLE   "
                 "CHILDREN  PARENT         STORE  BYTES/S\n";
    for (auto host : response.getHosts()) {
      const HostRecord record = readRecord(host);
      std::string details = "does not answer";
      for (auto node : response.getNodes()) {
        if (wireText(node.getHost()) != record.Host.str())
          continue;
        const double seconds = std::max<double>(1, static_cast<double>(node.getUptimeMs()) / 1000);
        const double bytes =
            static_cast<double>(node.getControlBytesIn() + node.getControlBytesOut()) / seconds;
        details =
            absl::StrFormat("%-5d %-6d %-6s %-9d %-14s %-6s %.0f", node.getHeldVersion(),
                            node.getKnownVersion(), node.getRole().cStr(), node.getChildren(),
                            node.getParent().cStr(), node.getStoreReachable() ? "up" : "-", bytes);
      }
      constexpr const char *StateNames[] = {"starting", "ready", "draining", "gone"};
      std::cout << absl::StreamFormat("%-14s %-12s %-12s %-8s %-9s %s\n", record.Host.str(),
                                      record.DataCentre.str(), record.Service.str(),
                                      record.Version.str(),
                                      StateNames[static_cast<std::size_t>(record.State)], details);
    }
    return ExitOk;
  }

  /// Connects to a node of the caller's data centre, if one is given.
  /// @returns false if no node there can be reached.
  bool connectTo(const std::string &dataCentre) {
    if (dataCentre.empty())
      return true;
    const auto status = Node->Operator.statusRequest().send().wait(Io.waitScope);
    for (auto host : status.getHosts()) {
      if (wireText(host.getDataCentre()) != dataCentre)
        continue;
      const auto failed = kj::runCatchingExceptions(
          [&] { Node = Peers.get(wireText(host.getRpcAddress())).wait(Io.waitScope); });
      if (failed == nullptr)
        return true;
    }
    return false;
  }

  int explain() {
    if (argument(2).empty()) {
      std::cerr << "jasminectl: explain requires a host (- for none) and a path\n";
      return ExitUsage;
    }
    const std::string dataCentre = Values.text("data-centre");
    if (!connectTo(dataCentre)) {
      std::cerr << "jasminectl: no node reachable in data centre " << dataCentre << "\n";
      return ExitUnreachable;
    }
    auto request = Node->Operator.explainRequest();
    request.setHost(argument(1) == "-" ? "" : argument(1));
    request.setPath(argument(2));
    request.setWorkspace(Values.text("workspace"));
    request.setBytes(static_cast<std::uint64_t>(Values.number("bytes")));
    const auto response = request.send().wait(Io.waitScope);
    if (json())
      printJson(response.getExplanation());
    else
      printExplanation(response.getExplanation());
    return ExitOk;
  }

  static void printExplanation(wire::Explanation::Reader explanation) {
    std::cout << "at " << explanation.getHost().cStr() << ", version " << explanation.getVersion()
              << ", route "
              << (explanation.getRoute().size() == 0 ? "none" : explanation.getRoute().cStr())
              << "\n";
    for (auto note : explanation.getNotes())
      std::cout << "  " << note.cStr() << "\n";
    for (auto service : explanation.getServices())
      printExplainedService(service);
  }

  static void printExplainedService(wire::ExplainedService::Reader service) {
    std::cout << absl::StreamFormat("service %s: %.1f%% of the route's requests, version %s",
                                    service.getService().cStr(), service.getSharePerMille() / 10.0,
                                    service.getVersion().cStr());
    if (service.getNewVersion().size() != 0)
      std::cout << absl::StreamFormat(", new version %s with %.1f%%",
                                      service.getNewVersion().cStr(),
                                      service.getNewSharePerMille() / 10.0);
    std::cout
        << "\n  CHANCE  HOST           DATA CENTRE  VERSION  LOAD     SERVICE  FAILED  REPORT  "
           "EXCLUDED\n";
    for (auto host : service.getHosts()) {
      std::string excluded;
      for (auto reason : host.getExcluded())
        absl::StrAppend(&excluded, excluded.empty() ? "" : "; ", reason.cStr());
      const std::string age =
          host.getReportAgeMs() < 0 ? "none" : absl::StrCat(host.getReportAgeMs(), " ms");
      std::cout << absl::StreamFormat("  %5.1f%%  %-14s %-12s %-8s %-8s %-8s %5.1f%%  %-7s %s\n",
                                      host.getChancePerMille() / 10.0, host.getHost().cStr(),
                                      host.getDataCentre().cStr(), host.getVersion().cStr(),
                                      absl::StrCat(host.getOccupancy(), "/", host.getSlots()),
                                      absl::StrCat(host.getServiceMs(), " ms"),
                                      host.getFailurePerMille() / 10.0, age, excluded);
    }
  }

  int timeline() {
    std::vector<TimelineEvent> events;
    const auto status = Node->Operator.statusRequest().send().wait(Io.waitScope);
    for (auto host : status.getHosts()) {
      const auto failed = kj::runCatchingExceptions([&] {
        const auto peer = Peers.get(wireText(host.getRpcAddress())).wait(Io.waitScope);
        const std::uint64_t before = wallClockUs();
        const auto response = peer->Operator.timelineRequest().send().wait(Io.waitScope);
        // Corrects the offset between the clocks, assuming that the node read its clock halfway
        // through the call.
        const std::uint64_t midpoint = before + (wallClockUs() - before) / 2;
        for (auto it : response.getEvents()) {
          TimelineEvent event = readEvent(it);
          event.TimeUs += midpoint - response.getNowUs();
          events.push_back(std::move(event));
        }
      });
      KJ_IF_MAYBE (exception, failed)
        std::cerr << host.getHost().cStr()
                  << " does not answer: " << exception->getDescription().cStr() << "\n";
    }
    events = filterEvents(events, Values.text("filter"));
    std::cout << (Values.text("output") == "svg" ? timelineSvg(std::move(events))
                                                 : timelineText(std::move(events)));
    return ExitOk;
  }

  Settings Values;
  std::vector<std::string> Arguments;
  kj::AsyncIoContext Io;
  ControlBytes Bytes;
  PeerCache Peers;
  std::shared_ptr<PeerConnection> Node;
  std::string Error;
};

} // namespace

int main(int argc, char **argv) {
  const auto started = settingsAtStart("jasminectl", About, SettingTable, argc, argv);
  if (const int *code = std::get_if<int>(&started); code != nullptr)
    return *code;
  const auto &parsed = std::get<ParsedSettings>(started);
  startLogging("text", "error");
  int code = ExitFailed;
  const auto failed =
      kj::runCatchingExceptions([&] { code = Command(parsed.Values, parsed.Arguments).run(); });
  KJ_IF_MAYBE (exception, failed) {
    std::cerr << "jasminectl: " << exception->getDescription().cStr() << "\n";
    return ExitFailed;
  }
  return code;
}
