/// @file warm_up.h Limit of the requests to an upstream that warms up.
#pragma once

#include "admission/request_limit.h"

namespace jasmineloom {

/// What a configuration states of the warm-up of a service's upstreams.
struct WarmUpPolicy {
  DurationMs Time = 0;  ///< Time after its start in which an upstream warms up; 0: not stated.
  double PerSecond = 0; ///< Requests per second that it takes meanwhile; 0: no limit.
  bool operator==(const WarmUpPolicy &) const = default;
};

/// Warm-up time of an upstream if none is stated.
constexpr DurationMs DefaultWarmUpTime = 4 * MsPerSecond;
/// Time without a response after which an upstream may have been away and come back cold.
constexpr DurationMs MaxSilence = 1 * MsPerSecond;
/// Pause between two questions to the health path of an upstream.
constexpr DurationMs HealthQuestionPause = 250;

/// Keeps the requests to one upstream within its warm-up limit. The upstream's gate sees all of its
/// requests, whichever node sends them.
///
/// An upstream is warm, cold until a known time, or unproved: it may have become cold, as this node
/// or the upstream has just started, it was unreachable, gave no response for MaxSilence, or its
/// data centre was evacuated. An unproved one is limited like a cold one until its health response
/// tells, or until a warm-up time has passed since its first response.
class WarmUp {
public:
  /// @param policy of the upstream's service; without a limit, nothing here has an effect.
  void setPolicy(const WarmUpPolicy &policy, TimeMs now);
  /// The upstream may have become cold.
  void suspect(TimeMs now);
  /// A heartbeat states the remaining warm-up time. A warm one proves nothing: it may be older than
  /// the event after which the upstream is unproved.
  /// @param left remaining warm-up time, ms; 0: the upstream is warm.
  void recordHeartbeat(DurationMs left, TimeMs now);
  /// A health response states the remaining warm-up time.
  /// @param askedAt when the question was sent; what happened after that is not in the response.
  void recordHealth(DurationMs left, TimeMs askedAt, TimeMs now);
  /// The upstream has given a response of its own to any request.
  void recordResponse(TimeMs now);
  /// A request is about to be admitted.
  void recordArrival(TimeMs now);

  /// @returns whether the upstream is known to be cold, and has a limit.
  bool cold(TimeMs now) const { return Policy.PerSecond > 0 && now < ColdUntil; }
  /// @returns whether the limit is in force.
  bool active(TimeMs now) const;
  bool mayStart(TimeMs now) const { return !active(now) || Bucket.mayStart(now); }
  void recordStart(TimeMs now);
  /// @returns the time until \p requests more may have started, ms.
  double waitFor(double requests, TimeMs now) const;
  /// @returns the limit in force, requests per second; 0: none.
  double perSecond(TimeMs now) const { return active(now) ? Policy.PerSecond : 0; }
  /// @returns the number of requests that may start now, while the limit is in force.
  double available(TimeMs now) const { return Bucket.available(now); }

  /// @returns whether the upstream's health path is to be asked: the limit holds back requests, and
  /// it is not known whether the upstream is cold.
  bool wantsHealth(TimeMs now) const;
  void recordQuestion(TimeMs now) { AskedAt = now; }

private:
  DurationMs warmUpTime() const { return Policy.Time == 0 ? DefaultWarmUpTime : Policy.Time; }
  /// Empties the bucket, unless the limit has been in force already.
  void limitFrom(TimeMs now);

  WarmUpPolicy Policy;
  RequestLimit Bucket;
  bool Unproved = true;
  TimeMs SuspectedAt = 0;     ///< When it was last suspected.
  TimeMs FirstResponseAt = 0; ///< Since then; 0: none.
  TimeMs LastResponseAt = 0;
  TimeMs ColdUntil = 0;
  TimeMs AskedAt = 0; ///< Last question to the health path; 0: none.
};

} // namespace jasmineloom
