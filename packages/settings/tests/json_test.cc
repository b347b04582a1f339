#include <boost/test/unit_test.hpp>
#include <string>

#include "json_comments.h"
#include "json_tree.h"
#include "mustardproxy/core/error.h"

namespace mustardproxy {
namespace {

using settings_detail::JsonLimits;
using settings_detail::JsonNode;
using settings_detail::ParsedJson;
using settings_detail::ParseJson;

constexpr JsonLimits kLimits{
    .max_bytes = 100'000, .max_depth = 4, .max_values = 100};

/// The only problem of a text, which stops the reading.
Problem OnlyProblem(const std::string& text) {
  const ParsedJson parsed = ParseJson(text, kLimits);
  BOOST_REQUIRE(parsed.problems.size() == 1U);
  return parsed.problems.front();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(json)

BOOST_AUTO_TEST_CASE(comments_are_blanked_but_not_inside_strings) {
  const auto blanked = settings_detail::BlankComments(
      "{\"a\": \"// no\", // yes\n\"b\\\"/*\": 1 /* x\ny */}");
  BOOST_REQUIRE(blanked.has_value());
  BOOST_TEST(*blanked ==
             "{\"a\": \"// no\",       \n\"b\\\"/*\": 1     \n    }");
  BOOST_TEST(!settings_detail::BlankComments("{} /* open").has_value());
}

BOOST_AUTO_TEST_CASE(a_comment_does_not_join_two_numbers) {
  BOOST_TEST(OnlyProblem("{\"a\": 1/**/2}").reason == Error::kSyntax);
}

BOOST_AUTO_TEST_CASE(a_text_that_is_no_json_is_a_problem) {
  for (const char* text :
       {"", "{", "[1,]", "{\"a\":}", "{} {}", "nul", "{\"a\": /* x }",
        "{\"a\": \"\xff\"}", "\xef\xbb\xbf{}"}) {
    BOOST_TEST_CONTEXT(text) {
      BOOST_TEST(OnlyProblem(text).reason == Error::kSyntax);
    }
  }
}

BOOST_AUTO_TEST_CASE(a_number_that_does_not_fit_is_named_by_its_path) {
  BOOST_TEST(OnlyProblem(R"({"a": [1, 99999999999999999999]})").path == "a[1]");
  BOOST_TEST(OnlyProblem(R"({"a": 18446744073709551615})").path == "a");
  BOOST_TEST(OnlyProblem(R"({"a": 1e999})").path == "a");
}

// A file of brackets only: nested deeply it would use up the parser's stack,
// and side by side it would use far more memory than its bytes.
BOOST_AUTO_TEST_CASE(depth_and_number_of_values_are_bounded) {
  BOOST_TEST(OnlyProblem(std::string(50'000, '[')).reason == Error::kSyntax);
  std::string wide = "[0";
  for (int i = 0; i < 200; ++i) wide += ",[]";
  BOOST_TEST(OnlyProblem(wide + "]").reason == Error::kSyntax);
}

BOOST_AUTO_TEST_CASE(each_duplicate_field_is_named) {
  const ParsedJson parsed = ParseJson(
      R"({"a": {"b": 1, "b": 2}, "c": [{}, {"d": 1, "d": 1}]})", kLimits);
  BOOST_REQUIRE(parsed.problems.size() == 2U);
  BOOST_TEST(parsed.problems[0].path == "a.b");
  BOOST_TEST(parsed.problems[1].path == "c[1].d");
  BOOST_TEST(parsed.root.members[0].value.members[0].value.integer == 1);
}

BOOST_AUTO_TEST_CASE(printing_keeps_numbers_and_texts) {
  JsonNode node = JsonNode::Object();
  node.members.push_back({"n", JsonNode::Number(0.1)});
  node.members.push_back({"t", JsonNode::Text("a\"\n")});
  node.members.push_back({"l", JsonNode::Array()});
  node.members.back().value.items.push_back(JsonNode::Integer(-3));
  BOOST_TEST(PrintCompactJson(node) ==
             R"({"n": 0.1, "t": "a\"\n", "l": [-3]})");
  BOOST_TEST(PrintJson(node) ==
             "{\n  \"n\": 0.1,\n  \"t\": \"a\\\"\\n\",\n  \"l\": [\n    -3\n  "
             "]\n}\n");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace mustardproxy
