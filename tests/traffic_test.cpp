/// @file traffic_test.cpp Decisions on requests: admission, idempotency keys, endpoint choice,
/// retries, routing.
#define BOOST_TEST_MODULE traffic
#include <boost/test/unit_test.hpp>

#include "admission/gate_base.h"
#include "balance/placement.h"
#include "traffic/crash_news.h"
#include "traffic/drain_rule.h"
#include "traffic/key_table.h"
#include "traffic/peer_call.h"
#include "traffic/request_log.h"
#include "traffic/retry_rule.h"

#include "test_config.h"

#include <algorithm>
#include <map>
#include <random>

using namespace jasmineloom;
using namespace jasmineloom::testing;

namespace {

constexpr TimeMs Now = 10000000;

GateRequest request(GateTicket ticket, std::uint32_t worth = 1, std::uint64_t fingerprint = 0) {
  return {ticket,
          ServiceName("lookups"),
          VersionLabel("v1"),
          worth,
          Now + 1000,
          fingerprint == 0 ? ticket : fingerprint};
}

Gate openGate(std::uint32_t slots) {
  Gate gate;
  gate.setUpstream({ServiceName("lookups"), VersionLabel("v1"), slots});
  return gate;
}

struct RefusalCase {
  const char *Name;
  void (*Prepare)(Gate &);
  GateRequest Request;
  Refusal Expected;
};

/// Model of a service's hosts with their key tables; counts the runs of each key's requests.
class KeyModel {
public:
  explicit KeyModel(int hosts) {
    for (int n = 0; n < hosts; ++n)
      add("host" + std::to_string(n), Now - 2 * KeyRetention);
  }

  void add(const std::string &name, TimeMs since) {
    Tables[name] = {};
    const bool restarted = Holders.contains(name) && Holders[name].GoneAt == 0;
    Holders[name] = {HostID(name), since, 0, false, restarted};
  }
  void kill(const std::string &name, TimeMs now) {
    Holders[name].GoneAt = now;
    Tables[name] = {};
  }

  /// Shuts a host down after it sent its keys to all others.
  void leave(const std::string &name) {
    for (const ClaimedKey &key : Tables[name].claimedKeys()) {
      for (const std::string &other : alive())
        Tables[other].addTransferred(key);
    }
    Holders[name].HandedOver = true;
    Holders[name].GoneAt = Now;
    Tables[name] = {};
  }

  /// Sends a request with a key to a host; does nothing if the host is down.
  /// @param unreachable host that does not respond to the claim and therefore counts as lost.
  void send(const std::string &name, const std::string &key, TimeMs now,
            const std::string &unreachable = "") {
    if (Holders.at(name).GoneAt != 0)
      return;
    std::vector<KeyHolder> holders;
    for (const auto &[host, holder] : Holders) {
      holders.push_back(holder);
      if (host == unreachable && host != name)
        holders.back().GoneAt = now;
    }
    const KeyClaimPlan plan = planKeyClaim(holders, key, now);
    if (!plan.Provable)
      return;
    const std::uint64_t hash = std::hash<std::string>()(key);
    bool isNew = Tables[name].claim(hash, now) == KeyClaim::New;
    for (const HostID &holder : plan.Holders) {
      if (holder.str() != name)
        isNew &= Tables[holder.str()].claim(hash, now) == KeyClaim::New;
    }
    Runs[key] += isNew ? 1 : 0;
    Refused += isNew ? 0 : 1;
  }

  std::vector<std::string> alive() const {
    std::vector<std::string> names;
    for (const auto &[name, holder] : Holders) {
      if (holder.GoneAt == 0)
        names.push_back(name);
    }
    return names;
  }

  std::map<std::string, int> Runs;
  std::map<std::string, KeyHolder> Holders;
  int Refused = 0;

private:
  std::map<std::string, KeyTable> Tables;
};

ServiceView serviceView(int endpoints, std::optional<RolloutSpec> spec = std::nullopt) {
  ServiceView view;
  view.Name = ServiceName("lookups");
  view.Version = VersionLabel("v1");
  view.Rollout = std::move(spec);
  for (int n = 0; n < endpoints; ++n) {
    const bool isNew = view.Rollout.has_value() && n % 2 == 1;
    view.add({HostID("h" + std::to_string(n)), "127.0.0.1:1", VersionLabel(isNew ? "v2" : "v1"), 12,
              n % 3 == 0, 0});
  }
  return view;
}

} // namespace

BOOST_AUTO_TEST_CASE(refused_requests_do_not_run) {
  GateRequest late = request(1);
  late.Deadline = Now;
  GateRequest otherVersion = request(1);
  otherVersion.Version = VersionLabel("v2");
  GateRequest otherService = request(1);
  otherService.Service = ServiceName("payouts");
  const std::vector<RefusalCase> cases = {
      {"draining", [](Gate &gate) { gate.setDraining(true); }, request(1), Refusal::Draining},
      {"taken back", [](Gate &gate) { gate.setTakenBack(true); }, request(1), Refusal::TakenBack},
      {"past its deadline", [](Gate &) {}, late, Refusal::Deadline},
      {"other version", [](Gate &) {}, otherVersion, Refusal::WrongUpstream},
      {"other service", [](Gate &) {}, otherService, Refusal::WrongUpstream},
      {"no upstream", [](Gate &gate) { gate.setUpstream({}); }, request(1), Refusal::NoUpstream},
      {"crashed twice",
       [](Gate &gate) {
         gate.crashes().recordCrash(9, Now);
         gate.crashes().recordCrash(9, Now);
       },
       request(1, 1, 9), Refusal::Quarantined},
  };
  for (const RefusalCase &it : cases) {
    Gate gate = openGate(2);
    it.Prepare(gate);
    const AdmissionResult result = gate.admit(it.Request, Now);
    BOOST_TEST((result.Result == Admission::Refused), it.Name);
    BOOST_TEST((result.Reason == it.Expected), it.Name);
    BOOST_TEST(gate.inFlight() == 0U, it.Name);
  }
}

// Guards against queued requests that the upstream runs although it may not run them any more.
BOOST_AUTO_TEST_CASE(
    queued_request_that_the_upstream_may_no_longer_run_leaves_the_queue_as_not_run) {
  struct ExclusionCase {
    const char *Name;
    void (*Change)(Gate &);
    Refusal Expected;
  };
  const std::vector<ExclusionCase> cases = {
      {"another service at the address",
       [](Gate &gate) {
         gate.setUpstream({ServiceName("payouts"), VersionLabel("v1"), 1, "i-2", 20});
       },
       Refusal::WrongUpstream},
      {"another version, same ID with a later start",
       [](Gate &gate) {
         gate.setUpstream({ServiceName("lookups"), VersionLabel("v2"), 1, "i-1", 20});
       },
       Refusal::WrongUpstream},
      {"another service, draining at first",
       [](Gate &gate) {
         gate.setUpstream({ServiceName("payouts"), VersionLabel("v1"), 1, "i-2", 20});
         gate.setDraining(true);
       },
       Refusal::WrongUpstream},
      {"no upstream", [](Gate &gate) { gate.setUpstream({}); }, Refusal::NoUpstream},
      {"version rolled back", [](Gate &gate) { gate.setTakenBack(true); }, Refusal::TakenBack},
      {"quarantined",
       [](Gate &gate) {
         gate.crashes().recordCrash(9, Now);
         gate.crashes().recordCrash(9, Now);
       },
       Refusal::Quarantined},
  };
  for (const ExclusionCase &it : cases) {
    Gate gate;
    gate.setUpstream({ServiceName("lookups"), VersionLabel("v1"), 1, "i-1", 10});
    BOOST_TEST((gate.admit(request(1), Now).Result == Admission::Run), it.Name);
    BOOST_TEST((gate.admit(request(2, 1, 9), Now).Result == Admission::Queued), it.Name);
    it.Change(gate);
    const DequeueResult released = gate.finish(Now);
    BOOST_TEST(released.Run.empty(), it.Name);
    BOOST_TEST((released.Excluded == std::vector<ExcludedRequest>{{2, it.Expected}}), it.Name);
    BOOST_TEST(gate.queued() == 0U, it.Name);
  }
}

// Guards against slots of a new process that stay taken by requests of the earlier one.
BOOST_AUTO_TEST_CASE(new_process_of_the_upstream_has_all_its_slots) {
  Gate gate;
  gate.setUpstream({ServiceName("lookups"), VersionLabel("v1"), 2, "i-1", 10});
  const UpstreamGeneration first = gate.generation();
  BOOST_TEST((gate.admit(request(1), Now).Result == Admission::Run));
  BOOST_TEST((gate.admit(request(2), Now).Result == Admission::Run));
  BOOST_TEST((gate.admit(request(3), Now).Result == Admission::Queued));
  // The same service starts again at the address while both requests are without a response.
  gate.setUpstream({ServiceName("lookups"), VersionLabel("v1"), 2, "i-1", 20});
  BOOST_TEST((gate.tick(Now).Run == std::vector<GateTicket>{3}));
  BOOST_TEST((gate.admit(request(4), Now).Result == Admission::Run));
  // A request of the earlier process that ends frees no slot of the present one.
  gate.finish(Now, 1, first);
  BOOST_TEST(gate.inFlight() == 2U);
  BOOST_TEST((gate.admit(request(5), Now).Result == Admission::Queued));
}

BOOST_AUTO_TEST_CASE(slots_are_never_exceeded_and_each_request_runs_or_is_refused) {
  for (std::uint32_t seed = 1; seed <= 300; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      std::mt19937 random(seed);
      Gate gate = openGate(1 + random() % 12);
      std::map<GateTicket, std::string> state;
      std::vector<GateTicket> running;
      TimeMs now = Now;
      const auto recordDequeued = [&](const DequeueResult &dequeued) {
        for (const GateTicket it : dequeued.Run) {
          BOOST_TEST(state[it] == "queued");
          state[it] = "running";
          running.push_back(it);
        }
        for (const GateTicket it : dequeued.Expired) {
          BOOST_TEST(state[it] == "queued");
          state[it] = "refused";
        }
        for (const ExcludedRequest &it : dequeued.Excluded) {
          BOOST_TEST(state[it.Ticket] == "queued");
          state[it.Ticket] = "refused";
        }
      };
      for (GateTicket ticket = 1; ticket <= 400; ++ticket) {
        now += random() % 20;
        GateRequest next = request(ticket, 1 + random() % 5, 1 + random() % 30);
        next.Deadline = now + 1 + random() % 500;
        if (random() % 25 == 0)
          gate.crashes().recordCrash(next.Fingerprint, now);
        const AdmissionResult result = gate.admit(next, now);
        if (result.Evicted.has_value())
          state[*result.Evicted] = "refused";
        state[ticket] = result.Result == Admission::Run      ? "running"
                        : result.Result == Admission::Queued ? "queued"
                                                             : "refused";
        if (result.Result == Admission::Run)
          running.push_back(ticket);
        BOOST_TEST(running.size() <= gate.upstream().Slots);
        BOOST_TEST(gate.inFlight() == running.size());
        while (!running.empty() && random() % 3 != 0) {
          running.erase(running.begin() + static_cast<long>(random() % running.size()));
          recordDequeued(gate.finish(now));
        }
        recordDequeued(gate.tick(now));
        BOOST_TEST(running.size() <= gate.upstream().Slots);
      }
      while (!running.empty()) {
        running.pop_back();
        recordDequeued(gate.finish(now));
      }
      for (const auto &[ticket, finalState] : state)
        BOOST_TEST(finalState != "queued");
    }
  }
}

BOOST_AUTO_TEST_CASE(overload_sheds_the_lowest_worth) {
  Gate gate = openGate(1);
  gate.admit(request(1, 1), Now);
  gate.admit(request(2, 1), Now);
  gate.admit(request(3, 1), Now);
  const AdmissionResult preferred = gate.admit(request(4, 8), Now);
  BOOST_TEST((preferred.Result == Admission::Queued));
  BOOST_TEST((preferred.Evicted == std::optional<GateTicket>(3)));
  BOOST_TEST((gate.admit(request(5, 1), Now).Reason == Refusal::Overloaded));
  BOOST_TEST((gate.finish(Now).Run == std::vector<GateTicket>{4}));
}

BOOST_AUTO_TEST_CASE(equal_worth_is_ordered_by_objective) {
  // A nested call of a request that holds a slot elsewhere (objective 120 ms) competes with a new
  // request (objective 500 ms).
  Gate gate = openGate(1);
  gate.admit(request(1), Now);
  GateRequest newRequest = request(2, 5);
  newRequest.ObjectiveAt = Now + 500;
  GateRequest nestedCall = request(3, 5);
  nestedCall.ObjectiveAt = Now + 120;
  gate.admit(newRequest, Now);
  gate.admit(nestedCall, Now);
  BOOST_TEST((gate.finish(Now).Run == std::vector<GateTicket>{3}));
  // When the queue is full the new request is evicted for another nested call, never the reverse.
  nestedCall.Ticket = 4;
  gate.admit(nestedCall, Now);
  nestedCall.Ticket = 5;
  BOOST_TEST((gate.admit(nestedCall, Now).Evicted == std::optional<GateTicket>(2)));
  newRequest.Ticket = 6;
  BOOST_TEST((gate.admit(newRequest, Now).Reason == Refusal::Overloaded));
}

BOOST_AUTO_TEST_CASE(overload_prefers_requests_that_can_meet_their_objective) {
  const RouteName route("lookups");
  Gate gate = openGate(4);
  gate.recordServiceTime(route, 100);
  const auto routeRequest = [&route](GateTicket ticket, TimeMs objectiveAt) {
    GateRequest it = request(ticket);
    it.Route = route;
    it.ObjectiveAt = objectiveAt;
    return it;
  };
  for (GateTicket ticket = 1; ticket <= 4; ++ticket)
    gate.admit(routeRequest(ticket, Now + 200), Now);
  BOOST_TEST((gate.admit(routeRequest(5, Now + 150), Now).Result == Admission::Queued));
  // 60 ms later request 5 can no longer meet its objective; request 6 can and runs first.
  BOOST_TEST((gate.admit(routeRequest(6, Now + 260), Now + 60).Result == Admission::Queued));
  BOOST_TEST((gate.finish(Now + 60).Run == std::vector<GateTicket>{6}));
  // Late requests are queued only up to LateQueuePerSlot.
  BOOST_TEST((gate.admit(routeRequest(7, Now + 155), Now + 60).Result == Admission::Queued));
  BOOST_TEST((gate.admit(routeRequest(8, Now + 155), Now + 60).Reason == Refusal::Overloaded));
  BOOST_TEST((gate.finish(Now + 60).Run == std::vector<GateTicket>{5}));
}

/// Other work on the host slows its upstream down for moments.
BOOST_AUTO_TEST_CASE(present_service_time_follows_the_pace_that_the_upstream_states) {
  Gate gate = openGate(4);
  gate.recordServiceTime(RouteName("r"), 100);
  gate.recordPace(100, Now);
  BOOST_TEST(gate.presentServiceMs(Now) == 100, boost::test_tools::tolerance(0.01));
  gate.recordPace(250, Now);
  BOOST_TEST(gate.presentServiceMs(Now) > 200);
  gate.recordPace(0, Now);
  BOOST_TEST(gate.presentServiceMs(Now) > 200);
  BOOST_TEST(gate.presentServiceMs(Now + PaceLifetime) == 100);
  // The upstream's next process has its own pace.
  gate.setUpstream({ServiceName("lookups"), VersionLabel("v1"), 4, "next"});
  gate.recordServiceTime(RouteName("r"), 100);
  BOOST_TEST(gate.presentServiceMs(Now) == 100);
}

/// Load at twice the capacity: service time 100 ms, objective 250 ms, deadline 1000 ms.
BOOST_AUTO_TEST_CASE(at_twice_the_capacity_most_responses_meet_the_objective) {
  constexpr TimeMs ServiceTime = 100;
  constexpr TimeMs Objective = 250;
  constexpr std::uint32_t Slots = 10;
  constexpr TimeMs ArrivalInterval = 5; ///< Half of the 10 ms that the slots need per request.
  const RouteName route("lookups");
  Gate gate = openGate(Slots);
  gate.recordServiceTime(route, ServiceTime);
  std::multimap<TimeMs, GateTicket> ends;
  std::map<GateTicket, TimeMs> arrived;
  std::uint32_t onTime = 0;
  std::uint32_t served = 0;
  for (TimeMs at = 0; at < 10000; ++at) {
    const TimeMs now = Now + at;
    while (!ends.empty() && ends.begin()->first <= now) {
      ++served;
      onTime += now - arrived[ends.begin()->second] <= Objective ? 1 : 0;
      ends.erase(ends.begin());
      for (const GateTicket it : gate.finish(now).Run)
        ends.emplace(now + ServiceTime, it);
    }
    if (at % ArrivalInterval != 0)
      continue;
    GateRequest arriving = request(at + 1);
    arriving.Route = route;
    arriving.Deadline = now + 1000;
    arriving.ObjectiveAt = now + Objective;
    arrived[arriving.Ticket] = now;
    if (gate.admit(arriving, now).Result == Admission::Run)
      ends.emplace(now + ServiceTime, arriving.Ticket);
  }
  // Slots stay busy, and at most one response in twenty is late.
  BOOST_TEST(served >= 980U);
  BOOST_TEST(onTime * 20 >= served * 19);
}

BOOST_AUTO_TEST_CASE(requests_that_cannot_finish_in_time_are_refused_at_once) {
  Gate gate = openGate(1);
  gate.recordServiceTime(RouteName("lookups"), 400);
  gate.admit(request(1), Now);
  GateRequest shortDeadline = request(2);
  shortDeadline.Deadline = Now + 500;
  const AdmissionResult refused = gate.admit(shortDeadline, Now);
  BOOST_TEST((refused.Reason == Refusal::Overloaded));
  BOOST_TEST(refused.RetryAfter >= 400U);
  GateRequest longDeadline = request(3);
  longDeadline.Deadline = Now + 2000;
  BOOST_TEST((gate.admit(longDeadline, Now).Result == Admission::Queued));
  GateRequest notQueueable = request(4);
  notQueueable.MayQueue = false;
  BOOST_TEST((gate.admit(notQueueable, Now).Reason == Refusal::Busy));
  // A slot becomes free too late for request 3: it is refused then, not at its deadline.
  BOOST_TEST((gate.finish(Now + 1900).Expired == std::vector<GateTicket>{3}));
}

BOOST_AUTO_TEST_CASE(request_log_names_the_decision_of_each_outcome) {
  BOOST_TEST(std::string(decisionOf(Outcome::NotRun)) == "refused");
  BOOST_TEST(std::string(decisionOf(Outcome::Unknown)) == "unknown");
  BOOST_TEST(std::string(decisionOf(Outcome::Answered)) == "answered");
}

BOOST_AUTO_TEST_CASE(a_draining_host_serves_until_its_callers_have_moved) {
  constexpr DurationMs StopTime = 6000;
  struct DrainCase {
    const char *Name;
    DrainState State;
    DrainStep Expected;
  };
  const std::vector<DrainCase> cases = {
      {"just begun", {0, StopTime, 0, false}, {false, false, false}},
      {"just begun, idle", {0, StopTime, 9000, true}, {false, false, false}},
      {"callers still active", {2000, StopTime, 900, true}, {false, false, false}},
      {"callers have moved", {2500, StopTime, 600, true}, {true, false, false}},
      {"callers are refused", {3000, StopTime, 100, true}, {true, true, false}},
      {"work in flight", {3100, StopTime, 600, false}, {true, true, false}},
      {"idle after refusing callers", {3100, StopTime, 600, true}, {true, true, true}},
      {"stop time nearly over", {5400, StopTime, 0, false}, {true, true, true}},
      {"upstream gone, callers active", {100, StopTime, 50, true, true}, {true, false, false}},
      {"upstream gone, callers quiet", {2000, StopTime, 900, true, true}, {true, false, false}},
      {"upstream gone, callers moved", {2700, StopTime, 600, true, true}, {true, true, true}},
      {"upstream gone, callers stay", {2700, StopTime, 100, true, true}, {true, false, false}},
      {"upstream gone, work in flight", {2700, StopTime, 600, false, true}, {true, true, false}},
  };
  for (const DrainCase &it : cases)
    BOOST_TEST((decideDrain(it.State) == it.Expected), it.Name);
}

BOOST_AUTO_TEST_CASE(transfer_of_keys_leaves_time_to_end_within_the_stop_time) {
  BOOST_TEST(keyTransferTime(3000, 6000) == 2000);
  BOOST_TEST(keyTransferTime(5400, 6000) == 300);
  BOOST_TEST(keyTransferTime(900, 1000) == 50);
  BOOST_TEST(keyTransferTime(9000, 6000) == 50);
}

BOOST_AUTO_TEST_CASE(draining_finishes_queued_and_running_requests) {
  Gate gate = openGate(1);
  gate.admit(request(1), Now);
  gate.admit(request(2), Now);
  gate.setDraining(true);
  BOOST_TEST((gate.finish(Now).Run == std::vector<GateTicket>{2}));
  BOOST_TEST((gate.admit(request(3), Now).Reason == Refusal::Draining));
}

BOOST_AUTO_TEST_CASE(a_crashing_request_crashes_at_most_two_upstreams) {
  // Up to five common requests, which are repeated, are in flight beside the crashing one. They
  // must not be quarantined.
  std::vector<Gate> gates;
  for (int n = 0; n < 5; ++n)
    gates.push_back(openGate(12));
  constexpr std::uint64_t CrasherFingerprint = 99;
  int crashes = 0;
  GateTicket ticket = 0;
  for (int attempt = 0; attempt < 40; ++attempt) {
    Gate &gate = gates[static_cast<std::size_t>(attempt) % gates.size()];
    std::vector<GateRequest> running;
    for (std::uint64_t common = 1; common <= 5; ++common) {
      const GateRequest it = request(++ticket, 1, common);
      if (gate.admit(it, Now).Result == Admission::Run)
        running.push_back(it);
    }
    const GateRequest crasher = request(++ticket, 1, CrasherFingerprint);
    const AdmissionResult result = gate.admit(crasher, Now);
    bool crasherRuns = result.Result == Admission::Run;
    std::size_t othersRunning = running.size();
    while (!crasherRuns && result.Result == Admission::Queued && othersRunning > 0) {
      const DequeueResult dequeued = gate.finish(Now);
      --othersRunning;
      crasherRuns = std::count(dequeued.Run.begin(), dequeued.Run.end(), crasher.Ticket) > 0;
    }
    if (crasherRuns) {
      ++crashes;
      // Every gate of the data centre records the crash for all requests in flight.
      for (Gate &other : gates) {
        other.crashes().recordCrash(CrasherFingerprint, Now);
        for (std::size_t it = 0; it < othersRunning; ++it)
          other.crashes().recordCrash(running[it].Fingerprint, Now);
      }
    }
    while (gate.inFlight() > 0)
      gate.finish(Now);
    for (const GateRequest &it : running)
      for (Gate &other : gates)
        other.crashes().clear(it.Fingerprint);
  }
  BOOST_TEST(crashes == 2);
  BOOST_TEST((gates[0].admit(request(++ticket, 1, CrasherFingerprint), Now).Reason ==
              Refusal::Quarantined));
  BOOST_TEST((gates[0].admit(request(++ticket, 1, 1), Now).Result == Admission::Run));
}

BOOST_AUTO_TEST_CASE(suspects_run_one_at_a_time_and_crashes_are_attributed_to_them) {
  Gate gate = openGate(12);
  gate.crashes().recordCrash(8, Now);
  gate.crashes().recordCrash(9, Now);
  BOOST_TEST((gate.admit(request(1, 1, 1), Now).Result == Admission::Run));
  BOOST_TEST((gate.admit(request(2, 1, 9), Now).Result == Admission::Run));
  BOOST_TEST((gate.admit(request(3, 1, 8), Now).Result == Admission::Queued));
  // A crash now is attributed to the suspect, not to the request beside it.
  BOOST_TEST((gate.crashSuspects({1, 9}, Now) == std::vector<std::uint64_t>{9}));
  BOOST_TEST((gate.crashSuspects({1, 2}, Now) == std::vector<std::uint64_t>{1, 2}));
  // The second suspect waits until the first one ends, not merely until a slot is free.
  BOOST_TEST(gate.finish(Now, 1).Run.empty());
  BOOST_TEST((gate.finish(Now, 9).Run == std::vector<GateTicket>{3}));
}

BOOST_AUTO_TEST_CASE(quarantine_expires) {
  CrashTracker tracker;
  tracker.recordCrash(5, Now);
  tracker.recordCrash(5, Now);
  BOOST_TEST(tracker.quarantined(5, Now + QuarantineTime - 1));
  BOOST_TEST(!tracker.quarantined(5, Now + QuarantineTime));
  for (std::uint64_t it = 100; it < 100 + 2 * MaxFingerprints; ++it)
    tracker.recordCrash(it, Now + it);
  BOOST_TEST(tracker.suspect(100 + 2 * MaxFingerprints - 1, Now + 200));
}

// Guards against gates that count a crash twice, or for longer, as they tell each other of it.
BOOST_AUTO_TEST_CASE(crashes_told_by_several_gates_count_once) {
  CrashTracker teller;
  teller.recordCrash(5, Now);
  teller.recordCrash(6, Now);
  teller.recordCrash(6, Now + 10);
  const std::vector<KnownCrashes> told = decodeCrashes(encodeCrashes(teller.known(Now + 100)));
  BOOST_TEST(told.size() == 2U);
  CrashTracker started;
  for (int gate = 0; gate < 3; ++gate) {
    for (const KnownCrashes &known : told)
      started.learn(known, Now + 100);
  }
  BOOST_TEST(started.suspect(5, Now + 100));
  BOOST_TEST(!started.quarantined(5, Now + 100));
  BOOST_TEST(started.quarantined(6, Now + 10 + QuarantineTime - 1));
  BOOST_TEST(!started.quarantined(6, Now + 10 + QuarantineTime));
  BOOST_TEST(teller.known(Now + 10 + QuarantineTime).empty());
  started.learn({7, 2, QuarantineTime}, Now + QuarantineTime);
  BOOST_TEST(!started.suspect(7, Now + QuarantineTime));
  BOOST_TEST((decodeCrashes("1 2\n1 2 x\n-1 2 3\n1 2 3 4\n8 1 0\n") ==
              std::vector<KnownCrashes>{{8, 1, 0}}));
}

BOOST_AUTO_TEST_CASE(each_gate_that_starts_is_told_by_the_four_after_it) {
  std::vector<HostRecord> gates(7);
  for (std::size_t n = 0; n < gates.size(); ++n) {
    gates[n].Host = HostID(absl::StrCat("h", n));
    gates[n].Incarnation = 1;
  }
  std::string tellers;
  for (const HostRecord &self : gates) {
    CrashNews news(self.Host);
    news.setGates(gates);
    news.takeOwed();
    news.setGates(gates);
    BOOST_TEST(news.takeOwed().empty());
    std::vector<HostRecord> changed = gates;
    changed[5].Incarnation = 2;
    news.setGates(changed);
    if (!news.takeOwed().empty())
      absl::StrAppend(&tellers, self.Host.str(), " ");
    // One that was not reached is told again, unless it has left.
    news.recordFailure(HostID("h5"));
    news.recordFailure(HostID("left"));
    BOOST_TEST((news.takeOwed() == std::vector<HostRecord>{changed[5]}));
  }
  BOOST_TEST(tellers == "h0 h1 h2 h6 ");
}

BOOST_AUTO_TEST_CASE(keys_expire_after_the_retention_time_and_a_full_table_evicts_none) {
  KeyTable table;
  BOOST_TEST((table.claim(1, Now) == KeyClaim::New));
  BOOST_TEST((table.claim(1, Now + KeyRetention - 1) == KeyClaim::Used));
  BOOST_TEST((table.claim(1, Now + KeyRetention) == KeyClaim::New));
  table.release(1);
  BOOST_TEST((table.claim(1, Now + KeyRetention + 1) == KeyClaim::New));
  for (std::uint64_t key = 1000; table.size() < MaxKeys; ++key)
    table.claim(key, Now + KeyRetention + 1);
  BOOST_TEST((table.claim(7, Now + KeyRetention + 2) == KeyClaim::Full));
  BOOST_TEST((table.claim(1, Now + KeyRetention + 2) == KeyClaim::Used));
}

BOOST_AUTO_TEST_CASE(a_key_claimed_again_after_release_outlives_its_first_expiry) {
  KeyTable table;
  table.claim(1, Now);
  table.release(1);
  table.claim(1, Now + 1000);
  table.claim(2, Now + KeyRetention);
  BOOST_TEST((table.claim(1, Now + KeyRetention + 10) == KeyClaim::Used));
}

BOOST_AUTO_TEST_CASE(a_key_runs_at_most_once_while_hosts_are_lost_or_restart) {
  int runs = 0;
  for (std::uint32_t seed = 1; seed <= 500; ++seed) {
    std::mt19937 random(seed);
    KeyModel model(3 + static_cast<int>(random() % 6));
    TimeMs now = Now;
    int added = 0;
    for (int step = 0; step < 60; ++step) {
      now += random() % (KeyRetention / 20);
      const std::vector<std::string> alive = model.alive();
      const std::string &host = alive[random() % alive.size()];
      const std::uint32_t action = random() % 12;
      if (action == 0 && alive.size() > 2)
        model.kill(host, now);
      else if (action == 1)
        model.add(host, now); // Restarted: its key table is lost.
      else if (action == 3 && alive.size() > 2)
        model.leave(host);
      else if (action == 2)
        model.add("new" + std::to_string(++added), now);
      else
        model.send(host,
                   "key" + std::to_string(now / KeyRetention) + "-" + std::to_string(random() % 4),
                   now, random() % 3 == 0 ? alive[random() % alive.size()] : "");
    }
    for (const auto &[key, n] : model.Runs) {
      BOOST_TEST(n <= 1, "seed " << seed << " key " << key << " ran " << n << " times");
      runs += n;
    }
  }
  BOOST_TEST(runs > 1000);
}

BOOST_AUTO_TEST_CASE(one_lost_host_blocks_no_key) {
  KeyModel model(3);
  model.send("host0", "first", Now);
  model.kill("host0", Now + 1);
  for (int n = 0; n < 50; ++n)
    model.send("host1", "key" + std::to_string(n), Now + 2);
  int runs = 0;
  for (const auto &[key, n] : model.Runs)
    runs += n;
  BOOST_TEST(runs == 51);
}

BOOST_AUTO_TEST_CASE(hosts_that_hand_over_their_keys_block_no_key) {
  KeyModel model(3);
  for (int n = 0; n < 20; ++n)
    model.send("host0", "before" + std::to_string(n), Now);
  for (const char *name : {"new1", "new2", "new3"})
    model.add(name, Now + 1);
  for (const char *name : {"host0", "host1", "host2"})
    model.leave(name);
  for (int n = 0; n < 20; ++n) {
    model.send("new1", "before" + std::to_string(n), Now + 2);
    model.send("new2", "after" + std::to_string(n), Now + 2);
  }
  int runs = 0;
  for (const auto &[key, n] : model.Runs) {
    BOOST_TEST(n <= 1);
    runs += n;
  }
  BOOST_TEST(runs == 40);
}

BOOST_AUTO_TEST_CASE(malformed_calls_between_gates_are_refused) {
  BOOST_TEST((parsePeerCall("/.jasmineloom/claim/7") == PeerCall(ClaimCall{7})));
  BOOST_TEST((parsePeerCall("/.jasmineloom/release/8") == PeerCall(ReleaseCall{8})));
  BOOST_TEST((parsePeerCall("/.jasmineloom/crash/9") == PeerCall(CrashReportCall{9})));
  BOOST_TEST((parsePeerCall("/.jasmineloom/crashes") == PeerCall(CrashNewsCall{})));
  BOOST_TEST((parsePeerCall("/.jasmineloom/keys") == PeerCall(KeyTransferCall{})));
  for (const char *path :
       {"/.jasmineloom/", "/.jasmineloom/x", "/.jasmineloom/claim", "/.jasmineloom/claim/",
        "/.jasmineloom/claim/-1", "/.jasmineloom/release/x", "/.jasmineloom/crash/1/2", "/", ""})
    BOOST_TEST((parsePeerCall(path) == PeerCall(InvalidPeerCall{})), path);
}

BOOST_AUTO_TEST_CASE(routes_match_the_longest_prefix_at_segment_boundaries) {
  const SnapshotPtr snapshot =
      snapshotOf(3, {service("a"), service("b"), route("ra", "/a", "a"), route("rb", "/a/b", "b")});
  const RoutingViewPtr view = buildRoutingView(*snapshot, {}, {}, DataCentreName("dc"));
  struct PathCase {
    const char *Path;
    const char *Route;
  };
  for (const PathCase &it : {PathCase{"/a", "ra"},
                             {"/a/", "ra"},
                             {"/a/x/y", "ra"},
                             {"/a/b", "rb"},
                             {"/a/b/c?q=/z", "rb"},
                             {"/ab", ""},
                             {"/", ""},
                             {"/a?x=1", "ra"},
                             {"", ""},
                             {"x", ""},
                             {"//a", ""}}) {
    const RouteSpec *found = view->routeFor(it.Path);
    BOOST_TEST((found == nullptr ? "" : found->Name.str()) == it.Route, it.Path);
  }
}

BOOST_AUTO_TEST_CASE(routes_to_missing_services_are_omitted) {
  for (std::uint32_t seed = 0; seed < 64; ++seed) {
    const SnapshotPtr snapshot = seededSnapshot(1, seed);
    const RoutingViewPtr view = buildRoutingView(*snapshot, {}, {}, DataCentreName("dc"));
    for (const auto &[prefix, spec] : view->Routes)
      BOOST_TEST(view->serviceNamed(spec.Service) != nullptr);
  }
}

BOOST_AUTO_TEST_CASE(a_rolled_back_version_gets_no_traffic_even_if_alone) {
  ServiceView view = serviceView(2, rollout("r", "lookups", "v1", "v2", Now, Now + 100000));
  std::erase_if(view.Pools, [](const VersionPool &it) { return it.Version.str() == "v1"; });
  EndpointStats stats;
  std::mt19937_64 random(1);
  BOOST_TEST(chooseEndpoint(view, stats, {}, random, Now + 50000) != nullptr);
  view.Progress.Phase = RolloutPhase::TakenBack;
  BOOST_TEST(chooseEndpoint(view, stats, {}, random, Now + 50000) == nullptr);
  BOOST_TEST(chooseEndpointForKey(view, "k", stats, {}, Now + 50000) == nullptr);
  BOOST_TEST(!mayServe(view, VersionLabel("v2")));
  BOOST_TEST(mayServe(view, VersionLabel("v1")));
}

BOOST_AUTO_TEST_CASE(the_share_of_the_new_version_follows_the_stage) {
  ServiceView view = serviceView(10, rollout("r", "lookups", "v1", "v2", Now, Now + 1000000));
  EndpointStats stats;
  std::mt19937_64 random(5);
  struct ShareCase {
    std::uint32_t Stage;
    double Low;
    double High;
  };
  for (const ShareCase &it : {ShareCase{0, 0.016, 0.024}, {1, 0.04, 0.06}, {3, 0.47, 0.53}}) {
    view.Progress.Stage = it.Stage;
    int newVersionRequests = 0;
    for (int n = 0; n < 20000; ++n)
      newVersionRequests +=
          chooseEndpoint(view, stats, {}, random, Now + 1)->Version.str() == "v2" ? 1 : 0;
    BOOST_TEST(newVersionRequests / 20000.0 > it.Low);
    BOOST_TEST(newVersionRequests / 20000.0 < it.High);
  }
}

BOOST_AUTO_TEST_CASE(unreachable_hosts_are_ejected_and_return) {
  const ServiceView view = serviceView(4);
  EndpointStats stats;
  std::mt19937_64 random(2);
  stats.recordUnreachable(HostID("h0"), "", Now);
  stats.recordUnreachable(HostID("h3"), "", Now);
  for (int n = 0; n < 200; ++n) {
    const std::string host = chooseEndpoint(view, stats, {}, random, Now + 1)->Host.str();
    BOOST_TEST((host == "h1" || host == "h2"));
  }
  std::map<std::string, int> seen;
  for (int n = 0; n < 200; ++n)
    ++seen[chooseEndpoint(view, stats, {}, random, Now + MinEjectionTime)->Host.str()];
  BOOST_TEST(seen.contains("h0"));
}

BOOST_AUTO_TEST_CASE(a_cold_upstream_gets_fewer_requests) {
  ServiceView view = serviceView(2);
  view.Pools.front().Local = {0, 1};
  view.Pools.front().Remote.clear();
  view.Endpoints[1].StartedAt = Now;
  EndpointStats stats;
  std::mt19937_64 random(3);
  int cold = 0;
  for (int n = 0; n < 1000; ++n)
    cold += chooseEndpoint(view, stats, {}, random, Now)->Host.str() == "h1" ? 1 : 0;
  BOOST_TEST(cold < 350);
}

struct RetryCase {
  const char *Name;
  AttemptResult Result;
  bool Idempotent;
  bool Budget;
  std::uint32_t Attempts;
  bool Late;
  RetryDecision Expected;
};

BOOST_AUTO_TEST_CASE(only_idempotent_or_not_run_requests_are_retried) {
  const std::vector<RetryCase> cases = {
      {"answered", AttemptResult::Answered, true, true, 1, false, RetryDecision::Reply},
      {"not run, not idempotent", AttemptResult::NotRun, false, true, 1, false,
       RetryDecision::Retry},
      {"not run, no budget", AttemptResult::NotRun, false, false, 1, false, RetryDecision::Reply},
      {"not run, past the deadline", AttemptResult::NotRun, false, true, 1, true,
       RetryDecision::Reply},
      {"unknown, not idempotent", AttemptResult::Unknown, false, true, 1, false,
       RetryDecision::Reply},
      {"unknown, idempotent", AttemptResult::Unknown, true, true, 1, false, RetryDecision::Retry},
      {"unknown, no budget", AttemptResult::Unknown, true, false, 1, false, RetryDecision::Reply},
      {"too many attempts", AttemptResult::NotRun, true, true, MaxAttempts, false,
       RetryDecision::Reply},
  };
  for (const RetryCase &it : cases) {
    const TimeMs deadline = it.Late ? Now : Now + 1000;
    BOOST_TEST((decideRetry(it.Result, it.Idempotent, it.Budget, it.Attempts, deadline, Now) ==
                it.Expected),
               it.Name);
  }
}

namespace {

/// A chain of ingress nodes, each with a retry budget. The upstream of the last hop refuses a share
/// of the requests.
class Chain {
public:
  Chain(int hops, double refused, std::uint32_t seed)
      : Budgets(static_cast<std::size_t>(hops)), Refused(refused), Random(seed) {}

  /// Sends one request at a hop and retries as the budget allows.
  /// @returns the result of the last attempt.
  AttemptResult call(std::size_t hop) {
    Budgets[hop].deposit();
    std::uint32_t attempts = 0;
    for (;;) {
      ++attempts;
      AttemptResult result = AttemptResult::Answered;
      if (hop + 1 == Budgets.size()) {
        ++LastHopAttempts;
        const bool refuse = std::uniform_real_distribution<>(0, 1)(Random) < Refused;
        result = refuse ? AttemptResult::NotRun : AttemptResult::Answered;
      } else {
        // A failure further down counts as a response of this hop's upstream, so that only the last
        // hop retries.
        call(hop + 1);
      }
      const bool budget = result != AttemptResult::Answered && Budgets[hop].tryWithdraw();
      if (decideRetry(result, true, budget, attempts, Now + 1000, Now) == RetryDecision::Reply)
        return result;
    }
  }

  long LastHopAttempts = 0;

private:
  std::vector<RetryBudget> Budgets;
  double Refused;
  std::mt19937 Random;
};

} // namespace

BOOST_AUTO_TEST_CASE(retries_over_twelve_hops_do_not_multiply) {
  for (const double refused : {0.1, 0.5, 0.9, 1.0}) {
    Chain chain(12, refused, 4);
    constexpr int Calls = 5000;
    for (int n = 0; n < Calls; ++n)
      chain.call(0);
    BOOST_TEST(static_cast<double>(chain.LastHopAttempts) / Calls < 1.2, "refused " << refused);
  }
}

BOOST_AUTO_TEST_CASE(a_request_that_comes_late_in_a_drain_is_taken_only_if_it_can_end_in_time) {
  constexpr DurationMs StopTime = 10000;
  // Callers have not noticed the drain yet.
  BOOST_TEST(mayAcceptWhileDraining(0, StopTime, 8000));
  BOOST_TEST(mayAcceptWhileDraining(2000, StopTime, 8000));
  BOOST_TEST(!mayAcceptWhileDraining(2500, StopTime, 8000));
  BOOST_TEST(mayAcceptWhileDraining(2500, StopTime, 6500));
  BOOST_TEST(!mayAcceptWhileDraining(4500, StopTime, 5000));
  BOOST_TEST(mayAcceptWhileDraining(4500, StopTime, 4000));
}
