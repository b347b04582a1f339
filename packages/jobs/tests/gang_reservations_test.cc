#include "gang_reservations.h"

#include <boost/test/unit_test.hpp>

namespace mustardproxy::jobs {

BOOST_AUTO_TEST_SUITE(gang_reservations)

// Ten gangs of a thirtieth of the cell each could run and did not, for ten
// seconds in a cell that was nearly empty: narrow gangs asked all the time, and
// with theirs the room of a wide one was always above the bound.
BOOST_AUTO_TEST_CASE(narrow_gangs_do_not_block_a_wide_one) {
  constexpr std::int64_t kCell = 5'600'000;
  BOOST_TEST(MayReserve(0, kCell));
  BOOST_TEST(MayReserve(kCell / 25, kCell));
  BOOST_TEST(!MayReserve(kCell / 10, kCell));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy::jobs
