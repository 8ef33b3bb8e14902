/// @file traffic_task.h Event loop of all HTTP: ingress, gate, management port, store calls.
#pragma once

#include "environment.h"
#include "stall_watch.h"
#include "traffic/announcement.h"
#include "traffic/caller_service.h"
#include "traffic/gate_task.h"
#include "traffic/ingress_task.h"
#include "traffic/quota_task.h"

#include <event2/http.h>

#include <atomic>
#include <map>
#include <memory>
#include <vector>

namespace jasmineloom {

/// Response of the management port.
struct ManagementResponse {
  int Status = 200;
  std::string Text;
  std::uint64_t Departure = 0; ///< Sent once this departure is recorded; 0: at once.
};

/// Owns the libevent loop and all HTTP sockets of the process. Runs in a thread of its own.
class TrafficTask {
public:
  TrafficTask(TrafficSettings settings, const Environment &environment, TrafficMailbox &inbox,
              ControlMailbox &control);
  ~TrafficTask();
  TrafficTask(const TrafficTask &) = delete;
  TrafficTask &operator=(const TrafficTask &) = delete;

  /// @param settings of the task that follows the settings file. It is asked to look at the file
  /// before a heartbeat that contradicts the settings is judged.
  void setSettingsTask(SettingsMailbox &settings) { SettingsTask = &settings; }
  /// @returns false if a port can't be bound; error() has the address.
  bool listen();
  const std::string &error() const { return Error; }
  /// Runs the event loop until a StopTask message. Requests that were sent before that message are
  /// answered.
  void run();

private:
  /// A response to the upstream that waits until its departure is recorded.
  struct HeldResponse {
    evhttp_request *Request = nullptr;
    ManagementResponse Response;
    TimeMs Due = 0;
  };
  /// A heartbeat that waits for a look at the settings file.
  struct HeldHeartbeat {
    evhttp_request *Request = nullptr;
    ManagementCall Call;
    std::uint64_t Look = 0;
    TimeMs Due = 0;
  };
  struct DepartureRecord {
    std::uint64_t Number = 0;
    bool Recorded = false;
  };
  struct HttpDeleter {
    void operator()(evhttp *http) const { evhttp_free(http); }
  };

  void handleCommands();
  void handle(PublishView &message);
  void handle(StoreCall &message);
  void handle(StoreWatchStart &message);
  void handle(BeginDrain &message);
  void handle(ControlFigures &message);
  void handle(StopTask &message);
  void handle(ApplySettings &message);
  void handle(DepartureRecorded &message);
  void handle(DeparturesRestored &message);
  void handle(ConfigProved &message);
  void handle(ExplainRequest &message);
  void handle(SettingsLooked &message);
  /// @returns whether a heartbeat names another service than the settings, which may have changed.
  bool contradictsSettings(const ManagementCall &call) const;
  /// Answers a call.
  void answerManagement(evhttp_request *request, const ManagementCall &call);
  /// Answers the heartbeats that wait for a look at the settings.
  /// @param look number of the last look that has ended.
  void releaseHeartbeats(std::uint64_t look, TimeMs now);
  void handleManagement(evhttp_request *request);
  ManagementResponse handleManagement(const ReadinessQuery &query);
  ManagementResponse handleManagement(const HealthQuery &query);
  ManagementResponse handleManagement(const MetricsQuery &query);
  ManagementResponse handleManagement(const DrainCommand &command);
  ManagementResponse handleManagement(const Announcement &announcement);
  ManagementResponse handleManagement(const Withdrawal &withdrawal);
  ManagementResponse handleManagement(const InvalidCall &call);
  /// Builds the response to a heartbeat or withdrawal.
  /// @param departure departure of the upstream that it acknowledges.
  ManagementResponse acknowledge(const std::optional<UpstreamDeparture> &departure);
  /// The upstream's responses state that it leaves.
  void handleLeaving();
  void applyAnnouncement();
  /// Announces the upstream once the departures of before a restart are known as far as it needs.
  void awaitDepartures();
  void recordCallerChange(const std::string &source);
  /// Writes to the time line that a process other than the current upstream sends heartbeats, and
  /// whether it is believed. Repeated only if a third process was heard in between.
  void recordProcessChange(const std::optional<Announcement> &before,
                           const Announcement &heartbeat);
  /// Has a departure recorded.
  /// @returns its number; 0 if it is recorded already, or needs no record.
  std::uint64_t recordDeparture(const UpstreamDeparture &departure);
  /// Sends the responses that wait for a departure, or all whose time is up.
  void releaseResponses(std::uint64_t departure, TimeMs now);
  bool isUpstreamGone() const;
  void advanceDrain();
  void advanceStop();
  void startHeartbeatTimer();
  void checkHeartbeat();
  void sendManagement(evhttp_request *request, const ManagementResponse &response);
  static void onManagement(evhttp_request *request, void *arg);
  static void onWatchChunk(evhttp_request *request, void *arg);
  static void onWatchInput(evbuffer *buf, const evbuffer_cb_info *info, void *arg);
  static void onWatchEnd(evhttp_request *request, void *arg);

  TrafficSettings Settings;
  const Environment &Env;
  TrafficMailbox &Inbox;
  ControlMailbox &Control;
  UpstreamTracker AnnouncedUpstream;
  CallerService Caller;
  /// Process other than the current upstream that was heard last.
  std::optional<std::pair<UpstreamID, TimeMs>> LastForeignProcess;
  EventBasePtr Base;
  int WakeFd = -1; ///< Readable when the inbox has messages.
  EventPtr WakeEvent;
  Metrics Stats;
  HeldBytes Held; ///< Of all HTTP connections except those of the management port.
  HttpPool Pool;
  HttpPool StorePool;
  std::unique_ptr<GateTask> LocalGate;
  QuotaTask Quotas;
  std::unique_ptr<IngressTask> Ingress;
  std::unique_ptr<evhttp, HttpDeleter> ManagementServer;
  evhttp_connection *WatchConnection = nullptr;
  std::unique_ptr<HeldBytes::Share> WatchHeld; ///< Received bytes of the watch.
  bool WatchOpen = false;
  bool Ready = false;
  bool Draining = false;
  bool GateClosed = false;          ///< While draining: the gate refuses new requests.
  bool UpstreamUnreachable = false; ///< Its port refused connections when the drain began.
  TimeMs DrainSince = 0;
  StallWatch Stalls;
  TimeMs HeartbeatCheckDue = 0;
  Timer DrainTimer;
  TimeMs StopSince = 0;
  Timer StopTimer;
  Timer HeartbeatTimer;
  std::vector<HeldResponse> HeldResponses;
  /// By ID and UpstreamDeparture::StartedBefore.
  std::map<std::pair<UpstreamID, TimeMs>, DepartureRecord> Departures;
  std::uint64_t LastDeparture = 0; ///< Number of the last departure.
  Timer ResponseTimer;
  SettingsMailbox *SettingsTask = nullptr; ///< Null: the settings don't change.
  std::uint64_t LastLook = 0;
  std::vector<HeldHeartbeat> HeldHeartbeats;
  Timer HeartbeatHoldTimer;
  TimeMs StartedAt = 0;       ///< Unix time.
  bool PeersAnswered = false; ///< Other nodes have told the departures that they know.
  bool StoreAsked = false;
  bool StoreAnswered = false; ///< The store has told them, or could not be asked.
  std::string Error;
};

} // namespace jasmineloom
