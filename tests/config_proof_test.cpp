/// @file config_proof_test.cpp Proofs that a configuration is the newest: late answers, held
/// messages, clocks that start anew, versions, and a store that comes back from an older copy.
#define BOOST_TEST_MODULE config_proof
#include <boost/test/unit_test.hpp>

#include "workspace/access_rule.h"
#include "workspace/config_proof.h"

#include <random>

using namespace jasmineloom;

namespace {

constexpr DurationMs Bound = 5000;
constexpr ProofTimes Times = ProofTimes::forBound(Bound);
const HostID Peer("peer");

/// Two nodes with clocks of their own. Real time is that of the test.
struct Pair {
  ConfigProof Left{Times.Step};
  ConfigProof Right{Times.Step};
  TimeMs RightOffset = 777000; ///< Right's clock minus real time.

  /// Delivers a message from left to right.
  bool toRight(TimeMs sent, TimeMs received) {
    return Right.recordStatement(HostID("left"), 1, true, Left.statementFor(HostID("right"), sent),
                                 ProofSource::OwnDataCentre, 0, received + RightOffset);
  }
  void toLeft(TimeMs sent, TimeMs received) {
    Left.recordStatement(HostID("right"), 1, true,
                         Right.statementFor(HostID("left"), sent + RightOffset),
                         ProofSource::OwnDataCentre, 0, received);
  }
  /// @returns the real time by which right dates its proof; 0: it has none.
  TimeMs rightDate() const { return Right.latest() == 0 ? 0 : Right.latest() - RightOffset; }
};

ProofStatement statement(std::uint64_t echo, DurationMs age, ConfigVersion version = 7,
                         std::uint64_t era = 0) {
  return {1, echo, age, version, era};
}

} // namespace

BOOST_AUTO_TEST_CASE(an_answer_proves_as_of_its_call_and_for_the_versions_that_it_covers) {
  ConfigProof proof(Times.Step);
  BOOST_TEST(proof.provedAt(9) == 0U);
  BOOST_TEST(!proof.recordAnswer(100, 0, 0, 0));
  BOOST_TEST(proof.recordAnswer(100, 7, 0, 7));
  // A call that was answered late is older than one that was sent after it.
  BOOST_TEST(proof.recordAnswer(300, 7, 0, 7));
  BOOST_TEST(!proof.recordAnswer(200, 7, 0, 7));
  BOOST_TEST(proof.provedAt(7) == 300U);
  BOOST_TEST(proof.provedAt(8) == 300U);
  BOOST_TEST(proof.provedAt(6) == 0U);
  // A newer version ends the proofs for the older one, which a node may still hold.
  BOOST_TEST(proof.recordAnswer(400, 9, 0, 9));
  BOOST_TEST(proof.provedAt(7) == 300U);
  BOOST_TEST(proof.provedAt(9) == 400U);
}

BOOST_AUTO_TEST_CASE(a_peer_is_dated_by_the_clock_that_it_echoes) {
  struct Case {
    const char *Name;
    bool EchoIsOurs;
    ProofStatement Statement;
    TimeMs Expected;
  };
  const TimeMs now = 10000;
  for (const Case &it : {Case{"at once", true, statement(9990, 40), 9950},
                         {"held for long on its way", true, statement(4000, 40), 3960},
                         {"an earlier process's clock", false, statement(9990, 40), 0},
                         {"a clock of before the machine's start", true, statement(10001, 40), 0},
                         {"no clock was seen yet", true, statement(0, 40), 0},
                         {"older than the machine's start", true, statement(30, 40), 0},
                         {"no proof", true, {1, 9990, std::nullopt, 7, 0}, 0},
                         {"no version", true, statement(9990, 40, 0), 0}}) {
    ConfigProof proof(Times.Step);
    BOOST_TEST(proof.recordStatement(Peer, 1, it.EchoIsOurs, it.Statement,
                                     ProofSource::OwnDataCentre, 0, now) == (it.Expected != 0),
               it.Name);
    BOOST_TEST(proof.provedAt(7) == it.Expected, it.Name);
  }
}

BOOST_AUTO_TEST_CASE(an_earlier_process_of_a_peer_states_nothing) {
  ConfigProof proof(Times.Step);
  proof.recordStatement(Peer, 5, true, {900, 100, std::nullopt, 0, 0}, ProofSource::OwnDataCentre,
                        0, 1000);
  BOOST_TEST(!proof.recordStatement(Peer, 4, true, statement(990, 10), ProofSource::OwnDataCentre,
                                    0, 1000));
  BOOST_TEST(proof.statementFor(Peer, 1000).Echo == 900U);
  // The clock of a later process starts anew with the machine.
  proof.recordStatement(Peer, 6, true, {20, 100, std::nullopt, 0, 0}, ProofSource::OwnDataCentre, 0,
                        1100);
  BOOST_TEST(proof.statementFor(Peer, 1100).Echo == 20U);
}

BOOST_AUTO_TEST_CASE(a_later_era_counts_once_the_store_shows_what_was_known) {
  ConfigProof proof(Times.Step);
  proof.recordAnswer(100, 9, 1, 9);
  // The store has come back from a copy that lacks version 9.
  BOOST_TEST(!proof.recordAnswer(200, 8, 2, 9));
  BOOST_TEST(proof.provedAt(9) == 0U);
  BOOST_TEST(!proof.recordStatement(Peer, 1, true, statement(300, 10, 8, 2),
                                    ProofSource::OwnDataCentre, 9, 400));
  // A proxy still answers from the earlier era.
  BOOST_TEST(!proof.recordAnswer(500, 9, 1, 9));
  BOOST_TEST(proof.recordAnswer(600, 9, 2, 9));
  BOOST_TEST(proof.provedAt(9) == 600U);
}

BOOST_AUTO_TEST_CASE(proofs_travel_down_without_two_clocks_being_compared) {
  Pair pair;
  pair.Left.recordAnswer(1000, 7, 0, 7);
  pair.toLeft(1000, 1001);
  BOOST_TEST(pair.Left.hasNewsFor(HostID("right"), 1002));
  BOOST_TEST(pair.toRight(1002, 1100));
  BOOST_TEST(pair.rightDate() == 998U); // The echo is 2 ms older than the statement.
  BOOST_TEST(!pair.Left.hasNewsFor(HostID("right"), 1003));
  // A peer whose last message is old could date a proof no better than that, and is told of it once
  // its clock is known anew.
  pair.Left.recordAnswer(2000, 7, 0, 7);
  BOOST_TEST(!pair.Left.hasNewsFor(HostID("right"), 2001));
  pair.toLeft(2003, 2004);
  BOOST_TEST(pair.Left.hasNewsFor(HostID("right"), 2005));
  pair.toRight(2005, 2006);
  BOOST_TEST(pair.rightDate() == 1998U);
  BOOST_TEST(!pair.Left.hasNewsFor(HostID("right"), 2007));
  // What a peer has stated is no news for it.
  BOOST_TEST(!pair.Right.hasNewsFor(HostID("left"), 2007 + pair.RightOffset));
}

// Guards against a key that is served later than the revocation time after it was taken away,
// whatever happens to calls and messages.
BOOST_AUTO_TEST_CASE(no_order_of_calls_and_messages_dates_a_proof_too_late) {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    std::mt19937_64 random(seed);
    Pair pair;
    pair.RightOffset = random() % 100000;
    TimeMs real = 1000;
    ConfigVersion newest = 7;
    std::map<ConfigVersion, TimeMs>
        replacedAt; ///< Real time at which a version became an older one.
    std::vector<ProofStatement> toRight;
    std::vector<ProofStatement> toLeft;
    for (int step = 0; step < 200; ++step) {
      real += random() % 400;
      const auto pick = [&random](std::vector<ProofStatement> &from) {
        return from[random() % from.size()];
      };
      switch (random() % 6) {
      case 0:
        replacedAt[newest++] = real;
        break;
      case 1: // The store sees the newest version at some time after the call was sent.
        pair.Left.recordAnswer(real - random() % 300, newest, 0, newest);
        break;
      case 2:
        toRight.push_back(pair.Left.statementFor(HostID("right"), real));
        break;
      case 3:
        toLeft.push_back(pair.Right.statementFor(HostID("left"), real + pair.RightOffset));
        break;
      case 4: // Messages arrive late, out of order, twice or never.
        if (!toRight.empty())
          pair.Right.recordStatement(HostID("left"), 1, true, pick(toRight),
                                     ProofSource::OwnDataCentre, newest, real + pair.RightOffset);
        break;
      default:
        if (!toLeft.empty())
          pair.Left.recordStatement(HostID("right"), 1, true, pick(toLeft),
                                    ProofSource::OwnDataCentre, newest, real);
      }
      for (const auto &[version, at] : replacedAt) {
        const TimeMs proved = pair.Right.provedAt(version);
        BOOST_TEST((proved == 0 || proved <= at + pair.RightOffset),
                   "seed " << seed << ": version " << version << " was replaced at " << at
                           << " and is proved at " << proved - pair.RightOffset);
      }
    }
  }
}

// Guards against keys that are refused in the ordinary course: the oldest proof at a leaf two links
// below the reader, whose exchanges are held as long as they may be.
BOOST_AUTO_TEST_CASE(leaves_stay_far_inside_the_bound) {
  constexpr DurationMs Hold = 789;
  constexpr DurationMs Way = 10;
  ConfigProof reader(Times.Step);
  ConfigProof relay(Times.Step);
  ConfigProof leaf(Times.Step);
  DurationMs oldest = 0;
  TimeMs relayDue = 0;
  TimeMs leafDue = 0;
  std::uint32_t messages = 0;
  const auto exchange = [&messages](ConfigProof &from, const HostID &fromID, ConfigProof &to,
                                    const HostID &toID, TimeMs now) {
    messages += 2;
    from.recordStatement(toID, 1, true, to.statementFor(fromID, now - Way),
                         ProofSource::OwnDataCentre, 0, now);
    to.recordStatement(fromID, 1, true, from.statementFor(toID, now), ProofSource::OwnDataCentre, 0,
                       now + Way);
  };
  constexpr TimeMs End = 100000;
  for (TimeMs now = 10000; now < End; ++now) {
    if (now % Times.ReadAge == 0)
      reader.recordAnswer(now - 4, 7, 0, 7);
    if (now >= relayDue || reader.hasNewsFor(HostID("relay"), now)) {
      exchange(reader, HostID("reader"), relay, HostID("relay"), now);
      relayDue = now + Hold;
    }
    if (now >= leafDue || relay.hasNewsFor(HostID("leaf"), now)) {
      exchange(relay, HostID("relay"), leaf, HostID("leaf"), now);
      leafDue = now + Hold;
    }
    if (now > 12000)
      oldest = std::max(oldest, now - leaf.provedAt(7));
  }
  BOOST_TEST(oldest < Bound / 2);
  // Two exchanges per link and proof, besides those that hosts make anyway.
  BOOST_TEST(messages / 4 * Hold < (End - 10000) * 4);
}
