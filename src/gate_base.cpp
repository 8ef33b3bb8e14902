/// @file gate_base.cpp Decides which requests reach the local upstream, and when.
#include "gate_base.h"

#include <algorithm>

namespace jasmineloom {

void CrashLedger::note(std::uint64_t fingerprint, TimeMs now) {
  if (Entries.size() >= MaxFingerprints) {
    const auto oldest =
        std::min_element(Entries.begin(), Entries.end(), [](const auto &left, const auto &right) {
          return left.second.Last < right.second.Last;
        });
    Entries.erase(oldest);
  }
  Entry &entry = Entries[fingerprint];
  if (now >= entry.Last + QuarantineTime)
    entry.Crashes = 0;
  ++entry.Crashes;
  entry.Last = now;
}

void CrashLedger::suspectAtLeast(std::uint64_t fingerprint, TimeMs now) {
  if (!suspect(fingerprint, now))
    note(fingerprint, now);
}

void CrashLedger::clear(std::uint64_t fingerprint) { Entries.erase(fingerprint); }

bool CrashLedger::suspect(std::uint64_t fingerprint, TimeMs now) const {
  const auto it = Entries.find(fingerprint);
  return it != Entries.end() && now < it->second.Last + QuarantineTime;
}

bool CrashLedger::quarantined(std::uint64_t fingerprint, TimeMs now) const {
  const auto it = Entries.find(fingerprint);
  if (it == Entries.end())
    return false;
  return it->second.Crashes >= CrashesToQuarantine && now < it->second.Last + QuarantineTime;
}

void Gate::setUpstream(const LocalUpstream &upstream) {
  if (upstream == Upstream)
    return;
  Upstream = upstream;
  TakenBack = false;
}

Refusal Gate::refusalFor(const GateRequest &request, TimeMs now) const {
  if (Upstream.Slots == 0)
    return Refusal::NoUpstream;
  if (request.Service != Upstream.Service || request.Version != Upstream.Version)
    return Refusal::WrongUpstream;
  if (Draining)
    return Refusal::Draining;
  if (TakenBack)
    return Refusal::TakenBack;
  if (now >= request.Deadline)
    return Refusal::Deadline;
  if (Crashes.quarantined(request.Fingerprint, now))
    return Refusal::Quarantined;
  return Refusal::None;
}

bool Gate::mayRun(const GateRequest &request, TimeMs now) const {
  if (Alone || InFlight >= Upstream.Slots)
    return false;
  return InFlight == 0 || !Crashes.suspect(request.Fingerprint, now);
}

void Gate::start(const GateRequest &request, TimeMs now) {
  ++InFlight;
  Alone = Crashes.suspect(request.Fingerprint, now);
}

AdmissionResult Gate::admit(const GateRequest &request, TimeMs now) {
  const Refusal refusal = refusalFor(request, now);
  if (refusal != Refusal::None)
    return {Admission::Refused, refusal, std::nullopt};
  if (Queue.empty() && mayRun(request, now)) {
    start(request, now);
    return {Admission::Run, Refusal::None, std::nullopt};
  }
  AdmissionResult result{Admission::Queued, Refusal::None, std::nullopt};
  if (Queue.size() >= std::size_t{Upstream.Slots} * QueuePerSlot) {
    const auto least = std::min_element(
        Queue.rbegin(), Queue.rend(),
        [](const GateRequest &left, const GateRequest &right) { return left.Worth < right.Worth; });
    if (least->Worth >= request.Worth)
      return {Admission::Refused, Refusal::Overloaded, std::nullopt};
    result.Evicted = least->Ticket;
    Queue.erase(std::next(least).base());
  }
  Queue.push_back(request);
  return result;
}

GateRelease Gate::release(TimeMs now) {
  GateRelease released;
  for (auto it = Queue.begin(); it != Queue.end();) {
    if (now < it->Deadline) {
      ++it;
      continue;
    }
    released.Expired.push_back(it->Ticket);
    it = Queue.erase(it);
  }
  while (!Queue.empty()) {
    const auto best = std::max_element(
        Queue.begin(), Queue.end(),
        [](const GateRequest &left, const GateRequest &right) { return left.Worth < right.Worth; });
    if (!mayRun(*best, now))
      break;
    start(*best, now);
    released.Run.push_back(best->Ticket);
    Queue.erase(best);
  }
  return released;
}

GateRelease Gate::finish(TimeMs now) {
  if (InFlight > 0)
    --InFlight;
  Alone = false;
  return release(now);
}

void Gate::cancelQueued(GateTicket ticket) {
  std::erase_if(Queue, [ticket](const GateRequest &it) { return it.Ticket == ticket; });
}

GateRelease Gate::tick(TimeMs now) { return release(now); }

} // namespace jasmineloom
