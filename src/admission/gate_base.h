/// @file gate_base.h Admission control in front of the local upstream.
#pragma once

#include "admission/request_limit.h"
#include "admission/warm_up.h"
#include "routing/outcome_type.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace jasmineloom {

/// Identifies a request within a gate.
using GateTicket = std::uint64_t;

/// A request as admission control sees it.
struct GateRequest {
  GateTicket Ticket = 0;
  ServiceName Service;
  VersionLabel Version;
  std::uint32_t Worth = 1;       ///< Priority of the route; higher goes first.
  TimeMs Deadline = 0;           ///< Steady-clock time after which the caller no longer waits.
  std::uint64_t Fingerprint = 0; ///< Hash of method, path and body; equal for retries.
  bool MayQueue = true;          ///< False: refuse at once if no slot is free.
  TimeMs ObjectiveAt = 0;        ///< Steady-clock time of the latency objective; 0: none.
  RouteName Route{};             ///< Key of the service time estimate.
  bool operator==(const GateRequest &) const = default;
};

/// Priority of a queued request. Requests that can still meet their latency objective come first:
/// under overload the others are late already and would delay all requests behind them as well.
/// Next come higher worth and the earlier objective. A nested call, made by an upstream for a
/// request that holds a slot elsewhere, has an early objective; refusing it would waste the work
/// already done for that request.
struct QueueRank {
  bool MeetsObjective = true;
  std::uint32_t Worth = 1;
  TimeMs ObjectiveAt = 0;
  bool operator==(const QueueRank &) const = default;
};
bool ranksBefore(const QueueRank &left, const QueueRank &right);

/// The upstream behind the gate, as announced.
struct LocalUpstream {
  ServiceName Service;
  VersionLabel Version;
  std::uint32_t Slots = 0;
  std::string ID{};        ///< Identity of its process; empty if not announced.
  TimeMs ProcessStart = 0; ///< Unix time; 0: not announced. Its ID may be used again.
  bool operator==(const LocalUpstream &) const = default;
};

/// @returns a name that tells the upstream's process from earlier ones; empty if it has no ID.
std::string processOf(const LocalUpstream &upstream);

/// Counts the processes that a gate has had as its upstream. A slot belongs to the process that the
/// request was started for.
using UpstreamGeneration = std::uint64_t;

/// Decision on a request.
enum class Admission : std::uint8_t { Run, Queued, Refused };

struct AdmissionResult {
  Admission Result = Admission::Refused;
  Refusal Reason = Refusal::None;
  std::optional<GateTicket> Evicted; ///< Lower-ranked request evicted from the queue; not run.
  DurationMs RetryAfter = 0;         ///< Expected time until a slot is free.
  bool operator==(const AdmissionResult &) const = default;
};

/// A queued request that the upstream may no longer run.
struct ExcludedRequest {
  GateTicket Ticket = 0;
  Refusal Reason = Refusal::None;
  bool operator==(const ExcludedRequest &) const = default;
};

/// Requests that left the queue.
struct DequeueResult {
  std::vector<GateTicket> Run;
  std::vector<GateTicket> Expired;       ///< Can no longer finish by their deadline; not run.
  std::vector<ExcludedRequest> Excluded; ///< Must not run here any more; not run.
  bool operator==(const DequeueResult &) const = default;
};

/// Queued requests per slot.
constexpr std::uint32_t QueuePerSlot = 2;
/// Queued requests per slot that will miss their objective: enough to use slots that would
/// otherwise be idle.
constexpr double LateQueuePerSlot = 0.5;
/// Crashes after which requests with the fingerprint are refused.
constexpr std::uint32_t CrashesToQuarantine = 2;
/// Time after the last crash for which a fingerprint stays suspect or quarantined.
constexpr DurationMs QuarantineTime = 60 * MsPerSecond;
constexpr std::size_t MaxFingerprints = 4096;
/// Age at which the pace that an upstream states says nothing of its present one.
constexpr DurationMs PaceLifetime = 500;
/// Weight of a new sample in the moving average of paces.
constexpr double PaceSmoothing = 0.02;

/// Weight of a new sample in the moving average of service times.
constexpr double ServiceTimeSmoothing = 0.1;
/// Weight of a new sample in the moving average of failures: about a dozen requests show a change.
constexpr double FailureSmoothing = 0.12;
/// Fraction of the mean service time that must remain until the deadline when a request starts;
/// with less it would most likely be cut off before it ends.
constexpr double MinServiceTimeShare = 0.5;

/// Crashes of upstreams that a gate knows of, in the form in which it tells another gate.
struct KnownCrashes {
  std::uint64_t Fingerprint = 0;
  std::uint32_t Crashes = 0;
  DurationMs Age = 0; ///< Time since the last crash.
  auto operator<=>(const KnownCrashes &) const = default;
};

/// Counts upstream crashes by the fingerprints of the requests in flight. One crash makes a
/// fingerprint suspect. A gate runs one suspect at a time and attributes a crash to the suspect
/// alone, so that the second crash, which quarantines it, can't be due to another request.
class CrashTracker {
public:
  /// Records a crash that occurred while a request with the fingerprint was in flight.
  void recordCrash(std::uint64_t fingerprint, TimeMs now);
  /// Makes a fingerprint suspect, as reported by another node. No effect if it is suspect already.
  void markSuspect(std::uint64_t fingerprint, TimeMs now);
  /// @returns the crashes that still count.
  std::vector<KnownCrashes> known(TimeMs now) const;
  /// Applies what another gate knows. Both may know the same crash, so the counts don't add up.
  void learn(const KnownCrashes &told, TimeMs now);
  /// Removes a fingerprint after one of its requests succeeded.
  void clear(std::uint64_t fingerprint);
  bool suspect(std::uint64_t fingerprint, TimeMs now) const;
  bool quarantined(std::uint64_t fingerprint, TimeMs now) const;

private:
  struct Entry {
    std::uint32_t Crashes = 0;
    TimeMs Last = 0;
  };
  /// @returns the entry of a fingerprint, a new one if the present one does not count any more.
  Entry &entryFor(std::uint64_t fingerprint, TimeMs now);

  std::unordered_map<std::uint64_t, Entry> Entries;
};

/// Admission control for one upstream. Never runs more requests at once than it has slots.
class Gate {
public:
  /// Applies the upstream's announcement. Another process starts with all slots free, whatever runs
  /// at the earlier one, and without its service times, failures and limit. Queued requests that it
  /// may not run leave the queue with the next tick().
  void setUpstream(const LocalUpstream &upstream, TimeMs now = 0);
  /// @returns the number of requests that may wait at once.
  std::size_t queueCapacity() const { return std::size_t{Upstream.Slots} * QueuePerSlot; }
  /// While draining, new requests are refused and queued ones still run.
  void setDraining(bool draining) { Draining = draining; }
  /// Refuses new requests while the upstream's version is rolled back.
  void setTakenBack(bool takenBack) { TakenBack = takenBack; }

  /// Applies what a response states of the upstream's limit.
  /// @returns whether a limit was named for the first time, changed or lifted.
  bool applyLimit(const LimitStatement &statement, TimeMs now);
  /// Adopts the limit that another node knows of, if the upstream's process has stated nothing
  /// since this gate started.
  /// @param process process that named the limit; see processOf().
  /// @returns whether it was adopted.
  bool adoptLimit(double perSecond, const std::string &process, TimeMs now);
  const RequestLimit &limit() const { return Limit; }

  /// Refuses new and queued requests while the data centre is evacuated.
  /// @returns whether that changed.
  bool setEvacuated(bool evacuated, TimeMs now);
  bool evacuated() const { return Evacuated; }
  /// Warm-up limit of the upstream.
  WarmUp &warmUp() { return Warming; }
  const WarmUp &warmUp() const { return Warming; }

  /// @returns the lowest limit in force, requests per second; 0: none.
  double limitPerSecond(TimeMs now) const;
  /// @returns the number of requests that may start within the limits in force.
  double limitAvailable(TimeMs now) const;

  /// Decides by its header on a request whose body has not been read. Whatever admit() would refuse
  /// now is refused; what passes may have to queue when its body is there.
  /// @returns the refusal, with Result Refused; Run if the body may be read.
  AdmissionResult checkHeader(const GateRequest &request, TimeMs now) const;
  /// Decides whether a request runs now, waits in the queue or is refused.
  AdmissionResult admit(const GateRequest &request, TimeMs now);

  /// Frees the slot of a request that ended.
  /// @param fingerprint fingerprint of that request.
  /// @param generation generation() when that request was started.
  DequeueResult finish(TimeMs now, std::uint64_t fingerprint, UpstreamGeneration generation);
  /// Frees the slot of a request that was started for the present process.
  DequeueResult finish(TimeMs now, std::uint64_t fingerprint = 0) {
    return finish(now, fingerprint, Generation);
  }

  /// Removes a queued request whose caller disconnected.
  void cancelQueued(GateTicket ticket);

  /// Empties the queue and returns its requests; none of them has run.
  std::vector<GateTicket> flush();

  /// Adds a sample to the service times of a route.
  /// @param time time at the upstream, ms.
  void recordServiceTime(const RouteName &route, DurationMs time);
  /// @returns the mean service time of a route in ms; that of all routes if it has no sample.
  double meanServiceMs(const RouteName &route) const;
  /// @returns the mean service time of all routes in ms; 0: no sample.
  double meanServiceMs() const { return MeanServiceMs; }
  /// Records the time that work takes at present, as the upstream states it.
  /// @param percent of the usual time; 0 is ignored.
  void recordPace(std::uint32_t percent, TimeMs now);
  /// @returns the service time to expect now, ms: the mean, corrected by a recent pace.
  double presentServiceMs(TimeMs now) const;
  /// Adds a sample to the failure rate of the upstream.
  void recordResult(bool failed);
  /// @returns the share of recent requests that the upstream failed or rejected, per mille.
  std::uint32_t failurePerMille() const;
  /// @returns the expected wait of a new request for a slot, ms.
  double expectedWait(const GateRequest &request, TimeMs now) const;

  /// @returns the fingerprints to attribute a crash to: the suspects among those in flight, or all
  /// of them if none is suspect.
  std::vector<std::uint64_t> crashSuspects(const std::vector<std::uint64_t> &inFlight,
                                           TimeMs now) const;

  /// Runs or expires queued requests as time passes; called periodically.
  DequeueResult tick(TimeMs now);

  std::uint32_t inFlight() const { return InFlight; }
  std::size_t queued() const { return Queue.size(); }
  bool draining() const { return Draining; }
  const LocalUpstream &upstream() const { return Upstream; }
  UpstreamGeneration generation() const { return Generation; }
  CrashTracker &crashes() { return Crashes; }

private:
  /// @returns why the upstream may not run a request, whether it is new or waits in the queue.
  Refusal exclusionOf(const GateRequest &request, TimeMs now) const;
  Refusal refusalFor(const GateRequest &request, TimeMs now) const;
  bool mayRun(const GateRequest &request, TimeMs now) const;
  bool keepsLimits(TimeMs now) const;
  /// @returns the time until the limits in force let \p requests more start, ms.
  double limitWait(double requests, TimeMs now) const;
  Refusal overloadReason(TimeMs now) const;
  void start(const GateRequest &request, TimeMs now);
  bool missesDeadline(const GateRequest &request, double wait, TimeMs now) const;
  bool meetsObjective(const GateRequest &request, double wait, TimeMs now) const;
  QueueRank rankOf(const GateRequest &request, TimeMs now) const;
  bool acceptsLate(const GateRequest &request, double wait, TimeMs now) const;
  double slotWait(const QueueRank &rank, TimeMs now) const;
  /// @returns why a request that can't run now may not wait either; None if it may.
  Refusal waitRefusal(const GateRequest &request, double wait, TimeMs now) const;
  bool isQueueFull() const;
  /// @returns the rank of each queued request, in the order of the queue.
  std::vector<QueueRank> ranks(TimeMs now) const;
  DequeueResult dequeue(TimeMs now);

  LocalUpstream Upstream;
  UpstreamGeneration Generation = 0;
  bool Draining = false;
  bool TakenBack = false;
  bool Evacuated = false;
  std::uint32_t InFlight = 0;
  RequestLimit Limit;
  bool LimitStated = false; ///< The upstream's process has stated its limit, or that it has none.
  WarmUp Warming;
  double MeanServiceMs = 0;
  std::map<RouteName, double> RouteServiceMs;
  double Pace = 0;     ///< Percent; 0: the upstream states none.
  double MeanPace = 0; ///< Of the requests that the mean service time counts.
  TimeMs PaceAt = 0;
  double FailureShare = 0;
  std::uint64_t SuspectRunning = 0; ///< Fingerprint of the suspect in flight; 0: none.
  std::vector<GateRequest> Queue;   ///< In order of arrival.
  CrashTracker Crashes;
};

} // namespace jasmineloom
