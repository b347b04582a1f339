#include <Poco/Exception.h>
#include <Poco/JSON/Handler.h>
#include <Poco/JSON/JSONException.h>
#include <Poco/JSON/Parser.h>

#include <limits>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "json_comments.h"
#include "json_tree.h"
#include "mustardproxy/core/error.h"
#include "paths.h"

namespace mustardproxy::settings_detail {
namespace {

/// Builds the tree and sees every field name, which POCO's own tree does not:
/// there the second of two equal fields silently replaces the first.
class TreeBuilder final : public Poco::JSON::Handler {
 public:
  explicit TreeBuilder(std::size_t max_values) : max_values(max_values) {}

  void reset() override {}
  void startObject() override { this->Open(JsonNode::Object()); }
  void endObject() override { this->Close(); }
  void startArray() override { this->Open(JsonNode::Array()); }
  void endArray() override { this->Close(); }
  void key(const std::string& name) override;
  void null() override { this->Add(JsonNode()); }
  void value(int integer) override { this->Add(JsonNode::Integer(integer)); }
  void value(unsigned integer) override {
    this->Add(JsonNode::Integer(integer));
  }
  void value(Poco::Int64 integer) override {
    this->Add(JsonNode::Integer(integer));
  }
  void value(Poco::UInt64 integer) override;
  void value(const std::string& text) override {
    this->Add(JsonNode::Text(text));
  }
  void value(double number) override { this->Add(JsonNode::Number(number)); }
  void value(bool flag) override { this->Add(JsonNode::Bool(flag)); }

  /// @return the path of the value that is being read
  [[nodiscard]] std::string CurrentPath() const;

  JsonNode root;
  Problems problems;

 private:
  /// An object or array that is not closed yet.
  struct Frame {
    JsonNode node;
    /// Field whose value comes next.
    std::string name;
    std::set<std::string> names;
    bool duplicate = false;
  };

  void Open(JsonNode node);
  void Close();
  void Add(JsonNode node);

  std::size_t max_values;
  std::size_t values = 0;
  std::vector<Frame> frames;
};

void TreeBuilder::key(const std::string& name) {
  Frame& frame = this->frames.back();
  frame.name = name;
  frame.duplicate = !frame.names.insert(name).second;
  if (frame.duplicate) {
    this->problems.push_back({this->CurrentPath(), Error::kDuplicateField,
                              "each field may stand once"});
  }
}

void TreeBuilder::value(Poco::UInt64 integer) {
  if (integer > std::numeric_limits<std::int64_t>::max()) {
    throw Poco::JSON::JSONException("integer above 2^63-1");
  }
  this->Add(JsonNode::Integer(static_cast<std::int64_t>(integer)));
}

std::string TreeBuilder::CurrentPath() const {
  std::string path;
  for (const Frame& frame : this->frames) {
    path = frame.node.kind == JsonNode::Kind::kArray
               ? JoinIndex(path, frame.node.items.size())
               : JoinName(path, frame.name);
  }
  return path;
}

void TreeBuilder::Open(JsonNode node) {
  Frame frame;
  frame.node = std::move(node);
  this->frames.push_back(std::move(frame));
}

void TreeBuilder::Close() {
  JsonNode node = std::move(this->frames.back().node);
  this->frames.pop_back();
  this->Add(std::move(node));
}

void TreeBuilder::Add(JsonNode node) {
  // A file of empty arrays costs far more memory than bytes on disk.
  if (++this->values > this->max_values) {
    throw Poco::JSON::JSONException("more than " +
                                    std::to_string(this->max_values) +
                                    " values in the file");
  }
  if (this->frames.empty()) {
    this->root = std::move(node);
    return;
  }
  Frame& frame = this->frames.back();
  if (frame.node.kind == JsonNode::Kind::kArray) {
    frame.node.items.push_back(std::move(node));
  } else if (!frame.duplicate) {
    frame.node.members.push_back({frame.name, std::move(node)});
  }
}

ParsedJson Failure(std::string path, Error reason, std::string detail) {
  ParsedJson parsed;
  parsed.problems.push_back({std::move(path), reason, std::move(detail)});
  return parsed;
}

}  // namespace

ParsedJson ParseJson(std::string_view text, const JsonLimits& limits) {
  if (text.size() > limits.max_bytes) {
    return Failure("", Error::kOutOfRange,
                   std::to_string(text.size()) + " bytes, allowed: up to " +
                       std::to_string(limits.max_bytes));
  }
  const std::optional<std::string> blanked = BlankComments(text);
  if (!blanked) {
    return Failure("", Error::kSyntax, "a block comment has no end");
  }
  Poco::SharedPtr<TreeBuilder> builder(new TreeBuilder(limits.max_values));
  try {
    Poco::JSON::Parser parser(builder);
    parser.setDepth(limits.max_depth);
    parser.parse(*blanked);
  } catch (const Poco::Exception& error) {
    return Failure(builder->CurrentPath(), Error::kSyntax,
                   OneLine(error.message()));
  }
  return {std::move(builder->root), std::move(builder->problems)};
}

}  // namespace mustardproxy::settings_detail
