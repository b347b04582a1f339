#include "mustardproxy/jobs/job_json.h"

#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

namespace mustardproxy::jobs {
namespace {

using Json = nlohmann::json;

constexpr std::int64_t kMaxInt32 = std::numeric_limits<std::int32_t>::max();
/// Limit that prevents an overflow when amounts are added up.
constexpr std::int64_t kMaxAmount = 1'000'000'000'000;
/// Limit for Unix times in milliseconds.
constexpr std::int64_t kMaxUnixMs = 1'000'000'000'000'000;

/// Reads the fields of one JSON object and keeps the first error.
class FieldReader {
 public:
  FieldReader(const Json& object, std::string path)
      : object(object), path(std::move(path)) {}

  std::int64_t Integer(const char* name, std::int64_t most,
                       std::int64_t otherwise = 0) {
    const Json* value = this->Find(name);
    if (value == nullptr) return otherwise;
    if (!value->is_number()) return this->Fail(name, "a number"), otherwise;
    const auto number = value->get<double>();
    const bool in_range = number >= -static_cast<double>(most) &&
                          number <= static_cast<double>(most);
    if (!in_range) return this->Fail(name, "a number in range"), otherwise;
    return value->is_number_integer() ? value->get<std::int64_t>()
                                      : static_cast<std::int64_t>(number);
  }
  std::int32_t Int32(const char* name) {
    return static_cast<std::int32_t>(this->Integer(name, kMaxInt32));
  }
  Duration Milliseconds(const char* name) {
    return std::chrono::milliseconds(this->Integer(name, kMaxAmount));
  }
  bool Flag(const char* name) {
    const Json* value = this->Find(name);
    if (value == nullptr) return false;
    if (!value->is_boolean()) return this->Fail(name, "true or false"), false;
    return value->get<bool>();
  }
  std::string Text(const char* name) {
    const Json* value = this->Find(name);
    if (value == nullptr) return {};
    if (!value->is_string()) return this->Fail(name, "a string"), std::string();
    return value->get<std::string>();
  }
  std::vector<std::int32_t> Integers(const char* name) {
    std::vector<std::int32_t> numbers;
    const Json* value = this->Find(name);
    if (value == nullptr) return numbers;
    if (!value->is_array()) {
      this->Fail(name, "an array of integers");
      return numbers;
    }
    for (const Json& one : *value) {
      const bool whole = one.is_number_integer() &&
                         one.get<std::int64_t>() >= -kMaxInt32 &&
                         one.get<std::int64_t>() <= kMaxInt32;
      if (!whole) this->Fail(name, "an array of integers");
      if (whole) numbers.push_back(one.get<std::int32_t>());
    }
    return numbers;
  }
  [[nodiscard]] const std::optional<SpecProblem>& Problem() const {
    return this->problem;
  }

 private:
  const Json* Find(const char* name) const {
    const auto found = this->object.find(name);
    return found == this->object.end() ? nullptr : &*found;
  }
  void Fail(const char* name, const std::string& expected) {
    if (this->problem) return;
    this->problem = SpecProblem{this->path + name, "expected " + expected};
  }

  const Json& object;
  std::string path;
  std::optional<SpecProblem> problem;
};

Step ReadStep(FieldReader* reader, const JobFieldNames& names) {
  Step step;
  step.tasks = reader->Int32(names.tasks);
  step.each.cpu_milli = reader->Integer(names.cpu_milli, kMaxAmount);
  step.each.memory_mb = reader->Integer(names.memory_mb, kMaxAmount);
  step.each.accelerators = reader->Integer(names.accelerators, kMaxAmount);
  step.estimate = reader->Milliseconds(names.estimate_ms);
  step.after = reader->Integers(names.after);
  step.checkpointing = reader->Flag(names.checkpointing);
  step.gang = reader->Flag(names.gang);
  step.same_rack = reader->Flag(names.same_rack);
  step.speculative = reader->Flag(names.speculative);
  step.long_running = reader->Flag(names.long_running);
  step.best_effort = reader->Flag(names.best_effort);
  step.required_label = reader->Text(names.required_label);
  step.near_rack = reader->Text(names.near_rack);
  step.max_per_worker = reader->Int32(names.max_per_worker);
  step.image = reader->Text(names.image);
  step.response_target = reader->Milliseconds(names.response_target_ms);
  step.max_unavailable = reader->Int32(names.max_unavailable);
  return step;
}

/// Replaces the field name of a problem by the name that the caller used.
SpecProblem WithCallerFieldNames(SpecProblem problem,
                                 const JobFieldNames& names) {
  const std::string tasks = "].tasks";
  if (problem.field.ends_with(tasks)) {
    problem.field.resize(problem.field.size() - tasks.size());
    problem.field += std::string("].") + names.tasks;
  }
  if (problem.field == "payload") problem.field = names.payload;
  if (problem.field == "schedule.occurrences") {
    problem.field = names.occurrences;
  }
  if (problem.field == "schedule.interval_ms") {
    problem.field = names.interval_ms;
  }
  return problem;
}

std::optional<SpecProblem> ReadSteps(const Json& json,
                                     const JobFieldNames& names,
                                     JobSpec* spec) {
  const auto steps = json.find(names.steps);
  if (steps == json.end()) return std::nullopt;
  if (!steps->is_array()) return SpecProblem{names.steps, "expected an array"};
  for (const Json& row : *steps) {
    const std::string path = std::string(names.steps) + "[" +
                             std::to_string(spec->steps.size()) + "]";
    if (!row.is_object()) return SpecProblem{path, "expected an object"};
    FieldReader reader(row, path + ".");
    spec->steps.push_back(ReadStep(&reader, names));
    if (reader.Problem()) return reader.Problem();
  }
  return std::nullopt;
}

}  // namespace

std::variant<JobSpec, SpecProblem> ParseJobJson(std::string_view text,
                                                const JobFieldNames& names) {
  constexpr bool kNoExceptions = false;
  const Json json = Json::parse(text, nullptr, kNoExceptions);
  if (json.is_discarded() || !json.is_object()) {
    return SpecProblem{"(body)", "expected a JSON object"};
  }
  JobSpec spec;
  FieldReader reader(json, "");
  spec.payload = reader.Text(names.payload);
  spec.schedule.first_unix_ms = reader.Integer(names.first_unix_ms, kMaxUnixMs);
  spec.schedule.interval_ms = reader.Integer(names.interval_ms, kMaxAmount);
  spec.schedule.occurrences = reader.Int32(names.occurrences);
  if (reader.Problem()) return *reader.Problem();
  if (auto problem = ReadSteps(json, names, &spec)) return *problem;
  if (auto problem = CheckSpec(spec, SpecLimits{})) {
    return WithCallerFieldNames(std::move(*problem), names);
  }
  return spec;
}

}  // namespace mustardproxy::jobs
