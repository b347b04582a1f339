#include "growth.h"

#include <map>
#include <string>
#include <tuple>
#include <utility>

namespace mustardproxy::bench {
namespace {

using load::MetricSample;

/// Names one series.
struct Series {
  std::string name;
  std::map<std::string, std::string> labels;

  friend bool operator<(const Series& a, const Series& b) {
    return std::tie(a.name, a.labels) < std::tie(b.name, b.labels);
  }
};

}  // namespace

Growth::Growth(const std::vector<MetricSample>& before,
               const std::vector<MetricSample>& after)
    : samples(after) {
  std::map<Series, double> known;
  for (const MetricSample& sample : before) {
    known[{sample.name, sample.labels}] = sample.value;
  }
  for (MetricSample& sample : this->samples) {
    const auto found = known.find({sample.name, sample.labels});
    if (found != known.end()) sample.value -= found->second;
  }
}

double Growth::Of(std::string_view name) const {
  return load::SumOf(this->samples, name);
}

load::MergedHistogram Growth::Merged(std::string_view histogram) const {
  const std::string bucket = std::string(histogram) + "_bucket";
  std::map<std::string, std::vector<MetricSample>> by_profile;
  for (const MetricSample& sample : this->samples) {
    if (sample.name != bucket) continue;
    const auto profile = sample.labels.find("profile");
    if (profile == sample.labels.end()) continue;
    by_profile[profile->second].push_back(sample);
  }
  load::MergedHistogram merged;
  for (const auto& [profile, cumulative] : by_profile) merged.Add(cumulative);
  return merged;
}

double Growth::Quantile(std::string_view histogram, double q) const {
  return this->Merged(histogram).Quantile(q);
}

double Growth::Count(std::string_view histogram) const {
  return this->Merged(histogram).Count();
}

}  // namespace mustardproxy::bench
