#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <string>

#include "soak/soak.h"

namespace soak {
namespace {

void Play(std::uint64_t seed) {
  SoakOptions options;
  options.seed = seed;
  options.length = std::chrono::seconds(8);
  options.faults = 4;
  const SoakResult result = RunSoak(options);
  for (const std::string& problem : result.broken) {
    BOOST_TEST_ERROR("seed " << seed << ": " << problem << ", logs in "
                             << result.folder);
  }
  BOOST_TEST(result.accepted > 0);
  if (result.broken.empty()) std::filesystem::remove_all(result.folder);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(seeds)

BOOST_AUTO_TEST_CASE(a_short_fixed_set) {
  for (const std::uint64_t seed : {1, 2, 3}) Play(seed);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace soak
