/// @file era_coverage_test.cpp What a process that starts may believe of the store.
#define BOOST_TEST_MODULE era_coverage
#include <boost/test/unit_test.hpp>

#include "store/era_coverage.h"

using namespace jasmineloom;

namespace {

constexpr TimeMs Now = 5000;
constexpr DurationMs Patience = 1800;

} // namespace

// Guards against a process that starts after the store has lost seconds and takes an earlier
// configuration, with keys that were taken away, for the newest.
BOOST_AUTO_TEST_CASE(a_process_that_starts_does_not_believe_an_era_without_a_statement) {
  EraCoverage coverage(Patience);
  coverage.recordAnswer(2, Now);
  BOOST_TEST(!coverage.covers(2, Now));
  // The copy from which the store came back has the record of the era before.
  coverage.recordRecord(EraRecord{1, 4}, 2);
  BOOST_TEST(!coverage.covers(2, Now + 100));
  BOOST_TEST(coverage.latest() == 0U);
  coverage.recordPeer(1);
  BOOST_TEST(!coverage.covers(2, Now + 100));
  coverage.recordPeer(2);
  BOOST_TEST(coverage.covers(2, Now + 100));
}

BOOST_AUTO_TEST_CASE(the_record_of_the_present_era_is_believed) {
  EraCoverage coverage(Patience);
  coverage.recordAnswer(2, Now);
  coverage.recordRecord(EraRecord{2, 5}, 2);
  BOOST_TEST(coverage.covers(2, Now));
}

// The first start of a mesh must not wait.
BOOST_AUTO_TEST_CASE(a_store_without_a_record_has_lost_nothing) {
  EraCoverage coverage(Patience);
  coverage.recordAnswer(7, Now);
  coverage.recordRecord(std::nullopt, 7);
  BOOST_TEST(coverage.covers(7, Now));
  // A store that states no era.
  BOOST_TEST(EraCoverage(Patience).covers(0, Now));
}

BOOST_AUTO_TEST_CASE(a_process_that_lives_through_a_change_covers_each_later_era) {
  EraCoverage coverage(Patience);
  coverage.recordRecord(std::nullopt, 1);
  for (std::uint64_t era = 2; era < 5; ++era) {
    coverage.recordAnswer(era, Now + era);
    BOOST_TEST(coverage.covers(era, Now + era));
  }
  // The first era may not be stated.
  EraCoverage unstated(Patience);
  unstated.recordRecord(std::nullopt, 0);
  unstated.recordAnswer(1, Now);
  BOOST_TEST(unstated.covers(1, Now));
  // One that started in between does not.
  EraCoverage started(Patience);
  started.recordAnswer(3, Now);
  started.recordAnswer(4, Now + 10);
  BOOST_TEST(!started.covers(4, Now + 10));
}

// Guards against a wait that each further answer or era starts again.
BOOST_AUTO_TEST_CASE(an_era_is_believed_in_the_end_if_nobody_states_anything) {
  EraCoverage coverage(Patience);
  for (DurationMs age = 0; age < Patience; age += 100) {
    coverage.recordAnswer(2 + age / 300, Now + age);
    BOOST_TEST(!coverage.covers(2 + age / 300, Now + age));
  }
  BOOST_TEST(coverage.covers(9, Now + Patience));
  coverage.recordAnswer(9, Now + Patience);
  BOOST_TEST(coverage.latest() == 9U);
}

BOOST_AUTO_TEST_CASE(records_are_decoded_as_they_were_encoded) {
  const EraRecord record{3, 12};
  BOOST_TEST((decodeEraRecord(encodeEraRecord(record)) == record));
  for (const char *text : {"", "3", "3 x", "0 4", "-1 4", "3 4 5", "3  4"})
    BOOST_TEST(!decodeEraRecord(text).has_value(), text);
}
