/// @file gate_base.cpp Admission control in front of the local upstream.
#include "admission/gate_base.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace jasmineloom {

namespace {

/// Rank value of requests without an objective: they go after those with one.
constexpr TimeMs NoObjective = ~TimeMs{0};

double movingAverage(double mean, double sample) {
  return mean == 0 ? sample : mean + ServiceTimeSmoothing * (sample - mean);
}

} // namespace

bool ranksBefore(const QueueRank &left, const QueueRank &right) {
  if (left.MeetsObjective != right.MeetsObjective)
    return left.MeetsObjective;
  if (left.Worth != right.Worth)
    return left.Worth > right.Worth;
  return left.ObjectiveAt < right.ObjectiveAt;
}

std::string processOf(const LocalUpstream &upstream) {
  if (upstream.ID.empty() || upstream.ProcessStart == 0)
    return upstream.ID;
  return absl::StrCat(upstream.ID, "@", upstream.ProcessStart);
}

CrashTracker::Entry &CrashTracker::entryFor(std::uint64_t fingerprint, TimeMs now) {
  if (Entries.size() >= MaxFingerprints) {
    const auto oldest =
        std::min_element(Entries.begin(), Entries.end(), [](const auto &left, const auto &right) {
          return left.second.Last < right.second.Last;
        });
    Entries.erase(oldest);
  }
  Entry &entry = Entries[fingerprint];
  if (now >= entry.Last + QuarantineTime)
    entry = {};
  return entry;
}

void CrashTracker::recordCrash(std::uint64_t fingerprint, TimeMs now) {
  Entry &entry = entryFor(fingerprint, now);
  ++entry.Crashes;
  entry.Last = now;
}

std::vector<KnownCrashes> CrashTracker::known(TimeMs now) const {
  std::vector<KnownCrashes> known;
  for (const auto &[fingerprint, entry] : Entries) {
    if (now < entry.Last + QuarantineTime)
      known.push_back({fingerprint, entry.Crashes, now - std::min(now, entry.Last)});
  }
  return known;
}

void CrashTracker::learn(const KnownCrashes &told, TimeMs now) {
  if (told.Crashes == 0 || told.Age >= QuarantineTime || told.Age > now)
    return;
  Entry &entry = entryFor(told.Fingerprint, now);
  entry.Crashes = std::max(entry.Crashes, told.Crashes);
  entry.Last = std::max(entry.Last, now - told.Age);
}

void CrashTracker::markSuspect(std::uint64_t fingerprint, TimeMs now) {
  if (!suspect(fingerprint, now))
    recordCrash(fingerprint, now);
}

void CrashTracker::clear(std::uint64_t fingerprint) { Entries.erase(fingerprint); }

bool CrashTracker::suspect(std::uint64_t fingerprint, TimeMs now) const {
  const auto it = Entries.find(fingerprint);
  return it != Entries.end() && now < it->second.Last + QuarantineTime;
}

bool CrashTracker::quarantined(std::uint64_t fingerprint, TimeMs now) const {
  const auto it = Entries.find(fingerprint);
  if (it == Entries.end())
    return false;
  return it->second.Crashes >= CrashesToQuarantine && now < it->second.Last + QuarantineTime;
}

void Gate::setUpstream(const LocalUpstream &upstream, TimeMs now) {
  if (upstream == Upstream)
    return;
  const bool replaced = processOf(upstream) != processOf(Upstream) ||
                        upstream.Service != Upstream.Service ||
                        upstream.Version != Upstream.Version;
  if (replaced) {
    ++Generation;
    InFlight = 0;
    SuspectRunning = 0;
    Limit.lift();
    LimitStated = false;
    MeanServiceMs = 0;
    RouteServiceMs.clear();
    Pace = 0;
    MeanPace = 0;
    PaceAt = 0;
    FailureShare = 0;
    Warming.suspect(now);
  }
  Upstream = upstream;
  TakenBack = false;
}

bool Gate::setEvacuated(bool evacuated, TimeMs now) {
  if (evacuated == Evacuated)
    return false;
  Evacuated = evacuated;
  // Upstreams that nothing was sent to may be cold afterwards.
  if (!Evacuated)
    Warming.suspect(now);
  return true;
}

bool Gate::applyLimit(const LimitStatement &statement, TimeMs now) {
  if (std::holds_alternative<NoLimitStatement>(statement))
    return false;
  LimitStated = true;
  const double before = Limit.perSecond();
  if (const auto *named = std::get_if<LimitNamed>(&statement); named != nullptr)
    Limit.set(named->PerSecond, now);
  else
    Limit.lift();
  return Limit.perSecond() != before;
}

bool Gate::adoptLimit(double perSecond, const std::string &process, TimeMs now) {
  if (LimitStated || Limit.active() || process.empty() || process != processOf(Upstream))
    return false;
  Limit.set(perSecond, now);
  return true;
}

Refusal Gate::exclusionOf(const GateRequest &request, TimeMs now) const {
  if (Upstream.Slots == 0)
    return Refusal::NoUpstream;
  if (request.Service != Upstream.Service || request.Version != Upstream.Version)
    return Refusal::WrongUpstream;
  if (Evacuated)
    return Refusal::Evacuated;
  if (TakenBack)
    return Refusal::TakenBack;
  if (Crashes.quarantined(request.Fingerprint, now))
    return Refusal::Quarantined;
  return Refusal::None;
}

Refusal Gate::refusalFor(const GateRequest &request, TimeMs now) const {
  const Refusal exclusion = exclusionOf(request, now);
  if (exclusion != Refusal::None)
    return exclusion;
  if (Draining)
    return Refusal::Draining;
  return now >= request.Deadline ? Refusal::Deadline : Refusal::None;
}

bool Gate::keepsLimits(TimeMs now) const { return Limit.mayStart(now) && Warming.mayStart(now); }

double Gate::limitWait(double requests, TimeMs now) const {
  return std::max(Limit.waitFor(requests, now), Warming.waitFor(requests, now));
}

double Gate::limitPerSecond(TimeMs now) const {
  const double warming = Warming.perSecond(now);
  const double named = Limit.perSecond();
  return warming == 0 || named == 0 ? std::max(warming, named) : std::min(warming, named);
}

double Gate::limitAvailable(TimeMs now) const {
  if (!Warming.active(now))
    return Limit.available(now);
  return Limit.active() ? std::min(Limit.available(now), Warming.available(now))
                        : Warming.available(now);
}

Refusal Gate::overloadReason(TimeMs now) const {
  return Warming.mayStart(now) ? Refusal::Overloaded : Refusal::WarmingUp;
}

bool Gate::mayRun(const GateRequest &request, TimeMs now) const {
  if (InFlight >= Upstream.Slots || !keepsLimits(now))
    return false;
  return SuspectRunning == 0 || !Crashes.suspect(request.Fingerprint, now);
}

void Gate::start(const GateRequest &request, TimeMs now) {
  ++InFlight;
  Limit.recordStart(now);
  Warming.recordStart(now);
  if (Crashes.suspect(request.Fingerprint, now))
    SuspectRunning = request.Fingerprint;
}

bool Gate::missesDeadline(const GateRequest &request, double wait, TimeMs now) const {
  if (now >= request.Deadline)
    return true;
  const auto left = static_cast<double>(request.Deadline - now);
  return wait + MinServiceTimeShare * meanServiceMs(request.Route) > left;
}

bool Gate::meetsObjective(const GateRequest &request, double wait, TimeMs now) const {
  if (request.ObjectiveAt == 0)
    return true;
  const auto left = static_cast<double>(request.ObjectiveAt) - static_cast<double>(now);
  return wait + meanServiceMs(request.Route) <= left;
}

QueueRank Gate::rankOf(const GateRequest &request, TimeMs now) const {
  const TimeMs objective = request.ObjectiveAt == 0 ? NoObjective : request.ObjectiveAt;
  return {meetsObjective(request, 0, now), request.Worth, objective};
}

double Gate::slotWait(const QueueRank &rank, TimeMs now) const {
  if (InFlight < Upstream.Slots || Upstream.Slots == 0)
    return 0;
  double ahead = MeanServiceMs;
  for (const GateRequest &it : Queue) {
    if (!ranksBefore(rank, rankOf(it, now)))
      ahead += meanServiceMs(it.Route);
  }
  return ahead / Upstream.Slots;
}

double Gate::expectedWait(const GateRequest &request, TimeMs now) const {
  const QueueRank rank = rankOf(request, now);
  if (limitPerSecond(now) == 0)
    return slotWait(rank, now);
  const auto ahead = std::count_if(Queue.begin(), Queue.end(), [&](const GateRequest &it) {
    return !ranksBefore(rank, rankOf(it, now));
  });
  return std::max(slotWait(rank, now), limitWait(static_cast<double>(ahead + 1), now));
}

bool Gate::acceptsLate(const GateRequest &request, double wait, TimeMs now) const {
  if (meetsObjective(request, wait, now))
    return true;
  const auto late = std::count_if(Queue.begin(), Queue.end(), [this, now](const GateRequest &it) {
    return !meetsObjective(it, 0, now);
  });
  return static_cast<double>(late) < LateQueuePerSlot * Upstream.Slots;
}

void Gate::recordServiceTime(const RouteName &route, DurationMs time) {
  const auto sample = static_cast<double>(time);
  MeanServiceMs = movingAverage(MeanServiceMs, sample);
  double &mean = RouteServiceMs[route];
  mean = movingAverage(mean, sample);
}

void Gate::recordPace(std::uint32_t percent, TimeMs now) {
  if (percent == 0)
    return;
  Pace = percent;
  PaceAt = now;
  MeanPace = MeanPace == 0 ? Pace : MeanPace + PaceSmoothing * (Pace - MeanPace);
}

double Gate::presentServiceMs(TimeMs now) const {
  if (MeanPace == 0 || now >= PaceAt + PaceLifetime)
    return MeanServiceMs;
  return MeanServiceMs * Pace / MeanPace;
}

double Gate::meanServiceMs(const RouteName &route) const {
  const auto it = RouteServiceMs.find(route);
  return it == RouteServiceMs.end() ? MeanServiceMs : it->second;
}

void Gate::recordResult(bool failed) {
  FailureShare += FailureSmoothing * ((failed ? 1.0 : 0.0) - FailureShare);
}

std::uint32_t Gate::failurePerMille() const {
  constexpr double PerMille = 1000;
  return static_cast<std::uint32_t>(FailureShare * PerMille);
}

std::vector<GateTicket> Gate::flush() {
  std::vector<GateTicket> tickets;
  for (const GateRequest &it : Queue)
    tickets.push_back(it.Ticket);
  Queue.clear();
  return tickets;
}

std::vector<std::uint64_t> Gate::crashSuspects(const std::vector<std::uint64_t> &inFlight,
                                               TimeMs now) const {
  std::vector<std::uint64_t> suspects;
  for (const std::uint64_t it : inFlight) {
    if (Crashes.suspect(it, now))
      suspects.push_back(it);
  }
  return suspects.empty() ? inFlight : suspects;
}

std::vector<QueueRank> Gate::ranks(TimeMs now) const {
  std::vector<QueueRank> ranks;
  ranks.reserve(Queue.size());
  for (const GateRequest &it : Queue)
    ranks.push_back(rankOf(it, now));
  return ranks;
}

Refusal Gate::waitRefusal(const GateRequest &request, double wait, TimeMs now) const {
  if (!request.MayQueue)
    return Refusal::Busy;
  const bool late = missesDeadline(request, wait, now) || !acceptsLate(request, wait, now);
  return late ? overloadReason(now) : Refusal::None;
}

bool Gate::isQueueFull() const { return Queue.size() >= queueCapacity(); }

AdmissionResult Gate::checkHeader(const GateRequest &request, TimeMs now) const {
  const Refusal refusal = refusalFor(request, now);
  if (refusal != Refusal::None)
    return {Admission::Refused, refusal, std::nullopt};
  if (Queue.empty() && mayRun(request, now))
    return {Admission::Run, Refusal::None, std::nullopt};
  const double wait = expectedWait(request, now);
  const auto retryAfter = static_cast<DurationMs>(wait + MeanServiceMs / Upstream.Slots);
  Refusal reason = waitRefusal(request, wait, now);
  if (reason == Refusal::None && isQueueFull()) {
    const std::vector<QueueRank> waiting = ranks(now);
    const QueueRank rank = rankOf(request, now);
    const bool outranks = std::any_of(waiting.begin(), waiting.end(), [&rank](const QueueRank &it) {
      return ranksBefore(rank, it);
    });
    reason = outranks ? Refusal::None : overloadReason(now);
  }
  if (reason != Refusal::None)
    return {Admission::Refused, reason, std::nullopt, retryAfter};
  return {Admission::Run, Refusal::None, std::nullopt};
}

AdmissionResult Gate::admit(const GateRequest &request, TimeMs now) {
  const Refusal refusal = refusalFor(request, now);
  if (refusal != Refusal::None)
    return {Admission::Refused, refusal, std::nullopt};
  Warming.recordArrival(now);
  if (Queue.empty() && mayRun(request, now)) {
    start(request, now);
    return {Admission::Run, Refusal::None, std::nullopt};
  }
  const double wait = expectedWait(request, now);
  const auto retryAfter = static_cast<DurationMs>(wait + MeanServiceMs / Upstream.Slots);
  if (const Refusal reason = waitRefusal(request, wait, now); reason != Refusal::None)
    return {Admission::Refused, reason, std::nullopt, retryAfter};
  AdmissionResult result{Admission::Queued, Refusal::None, std::nullopt, retryAfter};
  if (isQueueFull()) {
    // Evict the lowest rank; among equal ranks the latest arrival.
    const std::vector<QueueRank> waiting = ranks(now);
    const auto least = std::min_element(
        waiting.rbegin(), waiting.rend(),
        [](const QueueRank &left, const QueueRank &right) { return ranksBefore(right, left); });
    if (!ranksBefore(rankOf(request, now), *least))
      return {Admission::Refused, overloadReason(now), std::nullopt, retryAfter};
    const auto evicted = Queue.begin() + (std::next(least).base() - waiting.begin());
    result.Evicted = evicted->Ticket;
    Queue.erase(evicted);
  }
  Queue.push_back(request);
  return result;
}

DequeueResult Gate::dequeue(TimeMs now) {
  DequeueResult released;
  for (auto it = Queue.begin(); it != Queue.end();) {
    // The upstream, its version's state or the known crashes may have changed since the request was
    // queued.
    const Refusal exclusion = exclusionOf(*it, now);
    // A request that can no longer finish in time is refused now rather than at its deadline.
    const bool expired = missesDeadline(*it, 0, now);
    if (exclusion == Refusal::None && !expired) {
      ++it;
      continue;
    }
    if (exclusion != Refusal::None)
      released.Excluded.push_back({it->Ticket, exclusion});
    else
      released.Expired.push_back(it->Ticket);
    it = Queue.erase(it);
  }
  std::vector<QueueRank> waiting = ranks(now);
  while (!Queue.empty()) {
    const auto first = std::min_element(waiting.begin(), waiting.end(), ranksBefore);
    const auto best = Queue.begin() + (first - waiting.begin());
    if (!mayRun(*best, now))
      break;
    start(*best, now);
    released.Run.push_back(best->Ticket);
    Queue.erase(best);
    waiting.erase(first);
  }
  return released;
}

DequeueResult Gate::finish(TimeMs now, std::uint64_t fingerprint, UpstreamGeneration generation) {
  if (generation != Generation)
    return dequeue(now);
  if (InFlight > 0)
    --InFlight;
  if (InFlight == 0 || fingerprint == SuspectRunning)
    SuspectRunning = 0;
  return dequeue(now);
}

void Gate::cancelQueued(GateTicket ticket) {
  std::erase_if(Queue, [ticket](const GateRequest &it) { return it.Ticket == ticket; });
}

DequeueResult Gate::tick(TimeMs now) { return dequeue(now); }

} // namespace jasmineloom
