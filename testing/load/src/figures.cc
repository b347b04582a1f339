#include "load/figures.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <iomanip>
#include <map>
#include <sstream>
#include <string_view>

#include "cell/http.h"

namespace mustardproxy::load {
namespace {

constexpr double kMillisecond = 1000;
constexpr double kMegabyte = 1024.0 * 1024.0;
constexpr std::string_view kWaiting = "mustardproxy_waiting_time_us";
constexpr std::string_view kDecision = "mustardproxy_decision_time_us";
constexpr std::string_view kControlBytes = "mustardproxy_control_bytes";
constexpr std::string_view kMemory = "process_resident_memory_bytes";
constexpr std::string_view kCpu = "process_cpu_seconds_total";
constexpr std::string_view kControlCpu = "mustardproxy_control_cpu_seconds";

std::string Fixed(double value, int digits) {
  std::ostringstream text;
  text << std::fixed << std::setprecision(digits) << value;
  return std::move(text).str();
}

void PrintHistograms(std::string_view title, std::string_view name,
                     const std::vector<EntryMetrics>& entries,
                     std::ostream* out) {
  std::vector<std::vector<MetricSample>> processes;
  processes.reserve(entries.size());
  for (const EntryMetrics& entry : entries) {
    processes.push_back(entry.samples);
  }
  for (const auto& item : HistogramsByProfile(processes, name)) {
    const MergedHistogram& histogram = item.second;
    *out << title << " " << item.first << ": p50 "
         << Fixed(histogram.Quantile(0.5) / kMillisecond, 3) << " ms, p99 "
         << Fixed(histogram.Quantile(0.99) / kMillisecond, 3) << " ms, p99.9 "
         << Fixed(histogram.Quantile(0.999) / kMillisecond, 3) << " ms ("
         << Fixed(histogram.Count(), 0) << " samples)\n";
  }
}

double Growth(const EntryMetrics& before, const EntryMetrics& after,
              std::string_view name) {
  return SumOf(after.samples, name) - SumOf(before.samples, name);
}

/// What callers saw of one kind of work.
struct Seen {
  std::array<std::size_t, 4> fates{};
  std::vector<double> milliseconds;
};

double Quantile(const std::vector<double>& sorted, double q) {
  if (sorted.empty()) return 0;
  auto last = static_cast<double>(sorted.size() - 1);
  return sorted[static_cast<std::size_t>(q * last)];
}

std::string KindName(const SentRequest& request) {
  std::string name = ServiceOf(request.kind);
  return request.key.empty() ? name : name + " with key";
}

}  // namespace

std::vector<EntryMetrics> ReadMetrics(const std::vector<EntryName>& entries) {
  std::vector<EntryMetrics> all;
  for (const EntryName& entry : entries) {
    cell::HttpRequest get;
    get.path = "/metrics";
    auto reply = cell::SendOnce(entry.url, get);
    all.push_back({entry.name, ParseMetrics(reply ? reply->body : "")});
  }
  return all;
}

void PrintFigures(const std::vector<EntryMetrics>& before,
                  const std::vector<EntryMetrics>& after, double seconds,
                  std::ostream* out) {
  PrintHistograms("waiting time,", kWaiting, after, out);
  PrintHistograms("decision time,", kDecision, after, out);
  for (std::size_t i = 0; i < after.size(); ++i) {
    const EntryMetrics& entry = after[i];
    double cpu = Growth(before[i], entry, kCpu);
    double control_cpu = Growth(before[i], entry, kControlCpu);
    double bytes = Growth(before[i], entry, kControlBytes);
    *out << entry.name << ": resident "
         << Fixed(SumOf(entry.samples, kMemory) / kMegabyte, 1) << " MB, CPU "
         << Fixed(100 * cpu / seconds, 1) << "% of a core (control thread "
         << Fixed(100 * control_cpu / seconds, 1) << "%), control "
         << Fixed(bytes / seconds, 0) << " bytes/s\n";
  }
}

void PrintCallers(const std::vector<SentRequest>& requests, std::ostream* out) {
  std::map<std::string, Seen> kinds;
  std::chrono::microseconds latest{0};
  for (const SentRequest& request : requests) {
    Seen& seen = kinds[KindName(request)];
    ++seen.fates[static_cast<std::size_t>(request.fate)];
    seen.milliseconds.push_back(static_cast<double>(request.took.count()) /
                                kMillisecond);
    latest = std::max(latest, request.late);
  }
  for (auto& item : kinds) {
    Seen& seen = item.second;
    std::sort(seen.milliseconds.begin(), seen.milliseconds.end());
    *out << "callers, " << item.first << ": " << seen.fates[0] << " completed, "
         << seen.fates[1] << " not run, " << seen.fates[2] << " unknown, "
         << seen.fates[3] << " unfinished; answer p50 "
         << Fixed(Quantile(seen.milliseconds, 0.5), 1) << " ms, p99 "
         << Fixed(Quantile(seen.milliseconds, 0.99), 1) << " ms\n";
  }
  *out << "callers: the latest request left "
       << Fixed(static_cast<double>(latest.count()) / kMillisecond, 1)
       << " ms after its time\n";
}

}  // namespace mustardproxy::load
