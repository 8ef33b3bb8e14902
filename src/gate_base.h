/// @file gate_base.h Decides which requests reach the local upstream, and when.
#pragma once

#include "traffic_type.h"

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
  TimeMs Deadline = 0;           ///< Unix time by which the caller wants the answer.
  std::uint64_t Fingerprint = 0; ///< Of method, path and body; the same when sent again.
  bool operator==(const GateRequest &) const = default;
};

/// What the gate's upstream said of itself.
struct LocalUpstream {
  ServiceName Service;
  VersionLabel Version;
  std::uint32_t Slots = 0;
  bool operator==(const LocalUpstream &) const = default;
};

/// What becomes of a request.
enum class Admission : std::uint8_t { Run, Queued, Refused };

struct AdmissionResult {
  Admission Result = Admission::Refused;
  Refusal Reason = Refusal::None;
  std::optional<GateTicket> Evicted; ///< A queued request of less worth that made room; not run.
  bool operator==(const AdmissionResult &) const = default;
};

/// Queued requests that may run or have to be refused now.
struct GateRelease {
  std::vector<GateTicket> Run;
  std::vector<GateTicket> Expired; ///< Not run: their deadline has come.
  bool operator==(const GateRelease &) const = default;
};

/// Queued requests per slot.
constexpr std::uint32_t QueuePerSlot = 2;
/// Crashes after which a fingerprint is refused.
constexpr std::uint32_t CrashesToQuarantine = 2;
/// Time for which a fingerprint is refused after a crash.
constexpr DurationMs QuarantineTime = 60 * MsPerSecond;
/// Fingerprints remembered at most.
constexpr std::size_t MaxFingerprints = 4096;

/// Counts crashes of upstreams by the fingerprint of the requests that were running. After the
/// first crash a fingerprint is suspect: it runs alone, so that a second crash is surely its own.
class CrashLedger {
public:
  /// Notes a crash while a request of the fingerprint ran.
  void note(std::uint64_t fingerprint, TimeMs now);
  /// Makes a fingerprint suspect unless it is already, on another node's word.
  void suspectAtLeast(std::uint64_t fingerprint, TimeMs now);
  /// Notes that a request of the fingerprint ended well.
  void clear(std::uint64_t fingerprint);
  /// @returns whether requests of the fingerprint have to run alone.
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
  GateRelease finish(TimeMs now);

  /// Removes a request whose caller has gone.
  void cancelQueued(GateTicket ticket);

  /// @returns queued requests whose deadline has come, and those that may run.
  GateRelease tick(TimeMs now);

  std::uint32_t inFlight() const { return InFlight; }
  std::size_t queued() const { return Queue.size(); }
  bool draining() const { return Draining; }
  const LocalUpstream &upstream() const { return Upstream; }
  CrashLedger &crashes() { return Crashes; }

private:
  Refusal refusalFor(const GateRequest &request, TimeMs now) const;
  bool mayRun(const GateRequest &request, TimeMs now) const;
  void start(const GateRequest &request, TimeMs now);
  GateRelease release(TimeMs now);

  LocalUpstream Upstream;
  bool Draining = false;
  bool TakenBack = false;
  std::uint32_t InFlight = 0;
  bool Alone = false;             ///< A suspect request runs; nothing else may.
  std::vector<GateRequest> Queue; ///< In the order of arrival.
  CrashLedger Crashes;
};

} // namespace jasmineloom
