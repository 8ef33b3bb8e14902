/// @file warm_up.cpp Limit of the requests to an upstream that warms up.
#include "admission/warm_up.h"

#include <algorithm>

namespace jasmineloom {

void WarmUp::setPolicy(const WarmUpPolicy &policy, TimeMs now) {
  if (policy == Policy)
    return;
  Policy = policy;
  Bucket.lift();
  if (Policy.PerSecond > 0)
    Bucket.set(Policy.PerSecond, now);
}

void WarmUp::limitFrom(TimeMs now) {
  if (active(now) || Policy.PerSecond <= 0)
    return;
  // A bucket that is set anew starts empty but for one request.
  Bucket.lift();
  Bucket.set(Policy.PerSecond, now);
}

void WarmUp::suspect(TimeMs now) {
  limitFrom(now);
  Unproved = true;
  SuspectedAt = now;
  FirstResponseAt = 0;
}

void WarmUp::recordHeartbeat(DurationMs left, TimeMs now) {
  if (left == 0)
    return;
  limitFrom(now);
  ColdUntil = std::max(ColdUntil, now + left);
}

void WarmUp::recordHealth(DurationMs left, TimeMs askedAt, TimeMs now) {
  if (askedAt < SuspectedAt)
    return;
  if (left > 0)
    limitFrom(now);
  Unproved = false;
  ColdUntil = left == 0 ? 0 : now + left;
  LastResponseAt = now;
}

void WarmUp::recordResponse(TimeMs now) {
  recordArrival(now);
  LastResponseAt = now;
  if (Unproved && FirstResponseAt == 0)
    FirstResponseAt = now;
}

void WarmUp::recordArrival(TimeMs now) {
  const bool silent = LastResponseAt != 0 && now >= LastResponseAt + MaxSilence;
  // One suspicion for each silence: the requests that are on their way give no response yet.
  if (silent && SuspectedAt <= LastResponseAt)
    suspect(now);
}

bool WarmUp::active(TimeMs now) const {
  if (Policy.PerSecond <= 0)
    return false;
  const bool proved = !Unproved || (FirstResponseAt != 0 && now >= FirstResponseAt + warmUpTime());
  return !proved || now < ColdUntil;
}

void WarmUp::recordStart(TimeMs now) {
  if (active(now))
    Bucket.recordStart(now);
}

double WarmUp::waitFor(double requests, TimeMs now) const {
  return active(now) ? Bucket.waitFor(requests, now) : 0;
}

bool WarmUp::wantsHealth(TimeMs now) const {
  const bool due = AskedAt == 0 || now >= AskedAt + HealthQuestionPause;
  return Unproved && due && active(now) && !Bucket.mayStart(now);
}

} // namespace jasmineloom
