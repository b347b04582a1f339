#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <random>
#include <string>
#include <variant>

#include "files.h"
#include "mustardproxy/settings/load.h"

namespace mustardproxy {
namespace {

constexpr std::uint64_t kSeed = 20240517;
constexpr int kRounds = 3000;
constexpr int kMostEdits = 4;

/// Pieces that often break a reader.
constexpr std::string_view kPieces[] = {"{",
                                        "}",
                                        "[",
                                        "]",
                                        "\"",
                                        ",",
                                        ":",
                                        "//",
                                        "/*",
                                        "*/",
                                        "\\",
                                        "\\ud800",
                                        "-1",
                                        "1e400",
                                        "0.",
                                        "null",
                                        "false",
                                        "\"\"",
                                        "9223372036854775808",
                                        "\0",
                                        "\xff",
                                        "{}",
                                        "\"port\":",
                                        "\n"};

/// Cuts, doubles or replaces parts of a text.
class Mutator {
 public:
  explicit Mutator(std::uint64_t seed) : random(seed) {}

  std::string Mutate(std::string text) {
    const std::uint64_t edits = 1 + this->Below(kMostEdits);
    for (std::uint64_t i = 0; i < edits; ++i) this->Edit(&text);
    return text;
  }

 private:
  std::uint64_t Below(std::uint64_t limit) { return this->random() % limit; }

  void Edit(std::string* text) {
    const std::size_t at = this->Below(text->size() + 1);
    const std::size_t length = this->Below(20);
    switch (this->Below(4)) {
      case 0:
        text->erase(at, length);
        break;
      case 1:
        text->insert(at, text->substr(at, length));
        break;
      case 2:
        text->insert(at, kPieces[this->Below(std::size(kPieces))]);
        break;
      default:
        text->replace(at, length, kPieces[this->Below(std::size(kPieces))]);
    }
  }

  std::mt19937_64 random;
};

/// @return true if the text was taken; checks that a refusal says why
template <typename T>
bool TakenOrExplained(const std::variant<T, Problems>& parsed) {
  if (std::holds_alternative<T>(parsed)) return true;
  const Problems& problems = std::get<Problems>(parsed);
  BOOST_TEST(!problems.empty());
  for (const Problem& problem : problems) {
    BOOST_TEST(problem.reason.value() != 0);
    BOOST_TEST(FormatProblem(problem).find('\n') == std::string::npos);
  }
  return false;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(mutation)

BOOST_AUTO_TEST_CASE(any_settings_are_taken_or_explained) {
  BOOST_TEST_MESSAGE("seed " << kSeed);
  Mutator mutator(kSeed);
  const std::string valid = testing::ReadSource("docs/examples/settings.jsonc");
  int refused = 0;
  for (int i = 0; i < kRounds; ++i) {
    if (!TakenOrExplained(ParseSettings(mutator.Mutate(valid)))) ++refused;
  }
  BOOST_TEST(refused > kRounds / 4);
  BOOST_TEST(refused < kRounds);
}

BOOST_AUTO_TEST_CASE(any_configuration_is_taken_or_explained) {
  BOOST_TEST_MESSAGE("seed " << kSeed);
  Mutator mutator(kSeed);
  int refused = 0;
  for (int i = 0; i < kRounds; ++i) {
    const auto parsed = ParseConfiguration(
        mutator.Mutate(std::string(testing::kSmallConfiguration)));
    if (!TakenOrExplained(parsed)) {
      ++refused;
      continue;
    }
    const Configuration& taken = std::get<Configuration>(parsed);
    const auto again = ParseConfiguration(FormatConfiguration(taken));
    BOOST_REQUIRE(std::holds_alternative<Configuration>(again));
    BOOST_TEST((std::get<Configuration>(again) == taken));
  }
  BOOST_TEST(refused > kRounds / 4);
  BOOST_TEST(refused < kRounds);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy
