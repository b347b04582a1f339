#include "gang_reservations.h"

#include <boost/test/unit_test.hpp>

namespace mustardproxy::jobs {

BOOST_AUTO_TEST_SUITE(gang_reservations)

// Narrow gangs ask all the time. If the size of a wide gang counted too, its
// reservation would always exceed the bound: ten gangs of a thirtieth of the
// cell each did not start for ten seconds in a nearly empty cell.
BOOST_AUTO_TEST_CASE(narrow_gangs_do_not_block_a_wide_one) {
  constexpr std::int64_t kCell = 5'600'000;
  constexpr double kUsedShare = 0.7;
  BOOST_TEST(MayReserve(0, kCell, kUsedShare));
  BOOST_TEST(MayReserve(kCell / 25, kCell, kUsedShare));
  BOOST_TEST(!MayReserve(kCell / 10, kCell, kUsedShare));
}

// Guards against gangs that start a few at a time in a cell that is half empty.
BOOST_AUTO_TEST_CASE(any_gang_may_reserve_while_half_of_the_cell_is_free) {
  constexpr std::int64_t kCell = 5'600'000;
  BOOST_TEST(MayReserve(kCell / 4, kCell, 0.5));
  BOOST_TEST(!MayReserve(kCell / 4, kCell, 0.7));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::jobs
