/// @file gate_base.h Decides which requests reach the local upstream, and when.
#pragma once

#include "traffic/traffic_type.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace jasmineloom {

/// Names a request within a gate.
using GateTicket = std::uint64_t;

/// What a gate needs to know of a request.
struct GateRequest {
  GateTicket Ticket = 0;
  ServiceName Service;
  VersionLabel Version;
  std::uint32_t Worth = 1;
  TimeMs Deadline = 0;           ///< Steady time by which the caller wants the answer.
  std::uint64_t Fingerprint = 0; ///< Of method, path and body; the same when sent again.
  bool MayQueue = true;          ///< False: refused at once where no slot is free.
  TimeMs ObjectiveAt = 0;        ///< When the caller expects the answer; 0: it states nothing.
  RouteName Route{};             ///< Requests of one route take about the same time.
  bool operator==(const GateRequest &) const = default;
};

/// Place of a waiting request. Those that can still be answered within their objective go first: in
/// overload the others are late already, and would make all behind them late too. Then goes what is
/// worth more, then what is expected sooner. Calls that upstreams make for work that already holds
/// a slot elsewhere are expected soon; to refuse one would throw that work away.
struct QueueRank {
  bool OnTime = true;
  std::uint32_t Worth = 1;
  TimeMs ObjectiveAt = 0;
  bool operator==(const QueueRank &) const = default;
};
bool ranksBefore(const QueueRank &left, const QueueRank &right);

/// What the gate's upstream said of itself.
struct LocalUpstream {
  ServiceName Service;
  VersionLabel Version;
  std::uint32_t Slots = 0;
  std::string ID{}; ///< Identity of its process; empty if it told none.
  bool operator==(const LocalUpstream &) const = default;
};

/// What becomes of a request.
enum class Admission : std::uint8_t { Run, Queued, Refused };

struct AdmissionResult {
  Admission Result = Admission::Refused;
  Refusal Reason = Refusal::None;
  std::optional<GateTicket> Evicted; ///< A queued request of less worth that made room; not run.
  DurationMs RetryAfter = 0;         ///< Of a refusal: when a slot is expected to be free.
  bool operator==(const AdmissionResult &) const = default;
};

/// Queued requests that may run or have to be refused now.
struct DequeueResult {
  std::vector<GateTicket> Run;
  std::vector<GateTicket> Expired; ///< Not run: their deadline has come.
  bool operator==(const DequeueResult &) const = default;
};

/// Queued requests per slot.
constexpr std::uint32_t QueuePerSlot = 2;
/// Queued requests per slot that will be late: enough to use slots that nobody else needs.
constexpr double LatePerSlot = 0.5;
/// Crashes after which a fingerprint is refused.
constexpr std::uint32_t CrashesToQuarantine = 2;
/// Time for which a fingerprint is refused after a crash.
constexpr DurationMs QuarantineTime = 60 * MsPerSecond;
/// Fingerprints remembered at most.
constexpr std::size_t MaxFingerprints = 4096;

/// Share of a new sample in the mean time of a request.
constexpr double ServiceSmoothing = 0.1;
/// Share of a new sample in the share of failures: a dozen requests show a change.
constexpr double FailureSmoothing = 0.12;
/// Part of the mean service time that a request must have left when its turn comes: with less it
/// would most likely be broken off.
constexpr double MinServiceShare = 0.5;

/// Counts crashes of upstreams by the fingerprint of the requests that were running. After the
/// first crash a fingerprint is suspect: no two suspects run at once, and a crash beside a suspect
/// is the suspect's, so that a second crash is surely its own.
class CrashTracker {
public:
  /// Notes a crash while a request of the fingerprint ran.
  void note(std::uint64_t fingerprint, TimeMs now);
  /// Makes a fingerprint suspect unless it is already, on another node's word.
  void markSuspect(std::uint64_t fingerprint, TimeMs now);
  /// Notes that a request of the fingerprint ended well.
  void clear(std::uint64_t fingerprint);
  /// @returns whether requests of the fingerprint were running at a crash.
  bool suspect(std::uint64_t fingerprint, TimeMs now) const;
  /// @returns whether requests of the fingerprint are refused now.
  bool quarantined(std::uint64_t fingerprint, TimeMs now) const;

private:
  struct Entry {
    std::uint32_t Crashes = 0;
    TimeMs Last = 0;
  };
  std::unordered_map<std::uint64_t, Entry> Entries;
};

/// Admission in front of one upstream. Never more requests in flight than slots.
class Gate {
public:
  /// Takes what the upstream announced.
  void setUpstream(const LocalUpstream &upstream);
  /// Stops new work for good or until resumed.
  void setDraining(bool draining) { Draining = draining; }
  /// Refuses all new work because the upstream's version was taken back.
  void setTakenBack(bool takenBack) { TakenBack = takenBack; }

  /// Decides on a request. A refused request is not run.
  AdmissionResult admit(const GateRequest &request, TimeMs now);

  /// Notes the end of one running request.
  /// @returns queued requests that may run now, or that have expired.
  /// @param fingerprint of the request that ended.
  DequeueResult finish(TimeMs now, std::uint64_t fingerprint = 0);

  /// Removes a request whose caller has gone.
  void cancelQueued(GateTicket ticket);

  /// Takes all requests out of the queue; none of them has run.
  std::vector<GateTicket> flush();

  /// Takes the time that the upstream needed for a request of a route.
  void recordServiceTime(const RouteName &route, DurationMs time);
  /// @returns the mean time of a route's requests at the upstream, ms; of all if none was served.
  double meanServiceMs(const RouteName &route) const;
  /// @returns the mean time of a request at the upstream, ms; 0: none has been served.
  double meanServiceMs() const { return MeanServiceMs; }
  /// Notes whether the upstream answered a request without a failure of its own.
  void recordResult(bool failed);
  /// @returns recent requests that the upstream failed or turned away, per mille.
  std::uint32_t failurePerMille() const;
  /// @returns the time for which a new request would wait for a slot, ms.
  double expectedWait(const GateRequest &request, TimeMs now) const;

  /// @returns those of the fingerprints in flight at a crash that are to be blamed for it.
  std::vector<std::uint64_t> crashSuspects(const std::vector<std::uint64_t> &inFlight,
                                           TimeMs now) const;

  /// @returns queued requests whose deadline has come, and those that may run.
  DequeueResult tick(TimeMs now);

  std::uint32_t inFlight() const { return InFlight; }
  std::size_t queued() const { return Queue.size(); }
  bool draining() const { return Draining; }
  const LocalUpstream &upstream() const { return Upstream; }
  CrashTracker &crashes() { return Crashes; }

private:
  Refusal refusalFor(const GateRequest &request, TimeMs now) const;
  bool mayRun(const GateRequest &request, TimeMs now) const;
  void start(const GateRequest &request, TimeMs now);
  bool tooLate(const GateRequest &request, double wait, TimeMs now) const;
  bool onTime(const GateRequest &request, double wait, TimeMs now) const;
  QueueRank rankOf(const GateRequest &request, TimeMs now) const;
  bool takesLate(const GateRequest &request, double wait, TimeMs now) const;
  /// @returns the rank of each queued request, in the queue's order.
  std::vector<QueueRank> ranks(TimeMs now) const;
  DequeueResult release(TimeMs now);

  LocalUpstream Upstream;
  bool Draining = false;
  bool TakenBack = false;
  std::uint32_t InFlight = 0;
  double MeanServiceMs = 0;
  std::map<RouteName, double> RouteServiceMs;
  double FailureShare = 0;
  std::uint64_t SuspectRunning = 0; ///< Fingerprint of the suspect that runs.
  std::vector<GateRequest> Queue;   ///< In the order of arrival.
  CrashTracker Crashes;
};

} // namespace jasmineloom
