#include "load/metrics_text.h"

#include <algorithm>
#include <cstdlib>
#include <limits>
#include <utility>

namespace mustardproxy::load {
namespace {

constexpr std::string_view kInfinity = "+Inf";

/// Reads `name="value",…`; values of ours hold no quotes.
std::map<std::string, std::string> ParseLabels(std::string_view text) {
  std::map<std::string, std::string> labels;
  while (!text.empty()) {
    std::size_t equals = text.find("=\"");
    if (equals == std::string_view::npos) break;
    std::size_t end = text.find('"', equals + 2);
    if (end == std::string_view::npos) break;
    labels.emplace(text.substr(0, equals),
                   text.substr(equals + 2, end - equals - 2));
    text.remove_prefix(end + 1);
    if (!text.empty() && text.front() == ',') text.remove_prefix(1);
  }
  return labels;
}

double ParseEdge(const std::string& text) {
  if (text == kInfinity) return std::numeric_limits<double>::infinity();
  return std::strtod(text.c_str(), nullptr);
}

MetricSample ParseLine(std::string_view line) {
  MetricSample sample;
  std::size_t space = line.rfind(' ');
  sample.value =
      std::strtod(std::string(line.substr(space + 1)).c_str(), nullptr);
  std::string_view series = line.substr(0, space);
  std::size_t brace = series.find('{');
  sample.name = std::string(series.substr(0, brace));
  if (brace != std::string_view::npos) {
    sample.labels =
        ParseLabels(series.substr(brace + 1, series.size() - brace - 2));
  }
  return sample;
}

}  // namespace

std::vector<MetricSample> ParseMetrics(std::string_view text) {
  std::vector<MetricSample> samples;
  while (!text.empty()) {
    std::size_t end = std::min(text.find('\n'), text.size());
    std::string_view line = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    bool usable = !line.empty() && line.front() != '#' &&
                  line.find(' ') != std::string_view::npos;
    if (usable) samples.push_back(ParseLine(line));
  }
  return samples;
}

double SumOf(const std::vector<MetricSample>& samples, std::string_view name) {
  double sum = 0;
  for (const MetricSample& sample : samples) {
    if (sample.name == name) sum += sample.value;
  }
  return sum;
}

void MergedHistogram::Add(const std::vector<MetricSample>& cumulative) {
  double below = 0;
  for (const MetricSample& sample : cumulative) {
    auto edge = sample.labels.find("le");
    if (edge == sample.labels.end()) continue;
    this->buckets[ParseEdge(edge->second)] += sample.value - below;
    below = sample.value;
  }
}

double MergedHistogram::Count() const {
  double count = 0;
  for (const auto& bucket : this->buckets) count += bucket.second;
  return count;
}

double MergedHistogram::Quantile(double q) const {
  double rank = q * this->Count();
  double below = 0;
  for (const auto& bucket : this->buckets) {
    below += bucket.second;
    if (below >= rank && bucket.second > 0) return bucket.first;
  }
  return 0;
}

std::map<std::string, MergedHistogram> HistogramsByProfile(
    const std::vector<std::vector<MetricSample>>& processes,
    std::string_view name) {
  std::string bucket_name = std::string(name) + "_bucket";
  std::map<std::string, MergedHistogram> merged;
  for (const auto& samples : processes) {
    std::map<std::string, std::vector<MetricSample>> by_profile;
    for (const MetricSample& sample : samples) {
      auto profile = sample.labels.find("profile");
      bool wanted =
          sample.name == bucket_name && profile != sample.labels.end();
      if (wanted) by_profile[profile->second].push_back(sample);
    }
    for (const auto& item : by_profile) merged[item.first].Add(item.second);
  }
  return merged;
}

}  // namespace mustardproxy::load
