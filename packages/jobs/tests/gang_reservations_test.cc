#include "gang_reservations.h"

#include <boost/test/unit_test.hpp>

namespace mustardproxy::jobs {

BOOST_AUTO_TEST_SUITE(gang_reservations)

// Narrow gangs ask all the time. If the size of a wide gang counted too, its
// reservation would always exceed the bound: ten gangs of a thirtieth of the
// cell each did not start for ten seconds in a nearly empty cell.
BOOST_AUTO_TEST_CASE(narrow_gangs_do_not_block_a_wide_one) {
  constexpr std::int64_t kCell = 5'600'000;
  BOOST_TEST(MayReserve(0, kCell));
  BOOST_TEST(MayReserve(kCell / 25, kCell));
  BOOST_TEST(!MayReserve(kCell / 10, kCell));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::jobs
