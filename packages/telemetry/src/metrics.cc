#include "mustardproxy/telemetry/metrics.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <sstream>
#include <variant>

#include "log_histogram.h"
#include "mustardproxy/telemetry/process_usage.h"

namespace mustardproxy {
namespace {

using telemetry_detail::LogHistogram;

constexpr std::size_t kMaxSeries = 512;
constexpr std::string_view kNamePrefix = "mustardproxy_";
/// Digits that keep a microsecond count up to an hour exact.
constexpr int kPrecision = 12;

struct SeriesName {
  std::string name;
  std::string label;
};
struct SeriesNameView {
  std::string_view name;
  std::string_view label;
};

/// Lets a sample find its series without a copy of the name.
struct SeriesLess {
  using is_transparent = void;  // NOLINT: the library's name

  static SeriesNameView ToView(const SeriesName& series) {
    return {series.name, series.label};
  }
  static SeriesNameView ToView(const SeriesNameView& series) { return series; }

  template <typename A, typename B>
  bool operator()(const A& a, const B& b) const {
    const SeriesNameView left = ToView(a);
    const SeriesNameView right = ToView(b);
    if (left.name != right.name) return left.name < right.name;
    return left.label < right.label;
  }
};

template <typename Series>
using SeriesMap = std::map<SeriesName, Series, SeriesLess>;

std::string EscapeValue(std::string_view value) {
  std::string out;
  for (const char c : value) {
    if (c == '\\' || c == '"') out += '\\';
    if (c == '\n') {
      out += "\\n";
    } else {
      out += c;
    }
  }
  return out;
}

/// Turns `a=b,c=d` into `a="b",c="d"`.
std::string FormatLabel(std::string_view label) {
  std::string out;
  while (!label.empty()) {
    const std::string_view field = label.substr(0, label.find(','));
    label.remove_prefix(std::min(label.size(), field.size() + 1));
    const std::size_t equals = field.find('=');
    if (equals == std::string_view::npos) continue;
    if (!out.empty()) out += ',';
    out += field.substr(0, equals);
    out += "=\"" + EscapeValue(field.substr(equals + 1)) + "\"";
  }
  return out;
}

std::string Braced(const std::string& label) {
  return label.empty() ? std::string() : "{" + label + "}";
}

/// Writes the type line once for each name; the series are in order of names.
class TypeLines {
 public:
  TypeLines(std::string_view type, std::ostream* out) : type(type), out(out) {}

  void Announce(std::string_view name) {
    if (name == this->last) return;
    this->last = name;
    *this->out << "# TYPE " << kNamePrefix << name << ' ' << this->type << '\n';
  }

 private:
  std::string_view type;
  std::ostream* out;
  std::string last;
};

void FormatHistogram(const SeriesName& series, const LogHistogram& histogram,
                     std::ostream* out) {
  const std::string label = FormatLabel(series.label);
  const std::string bucket_label = label.empty() ? label : label + ",";
  const std::string name = std::string(kNamePrefix) + series.name;
  for (const LogHistogram::Bucket& bucket : histogram.CumulativeBuckets()) {
    *out << name << "_bucket{" << bucket_label << "le=\"" << bucket.upper
         << "\"} " << bucket.count << '\n';
  }
  *out << name << "_bucket{" << bucket_label << "le=\"+Inf\"} "
       << histogram.Count() << '\n';
  *out << name << "_sum" << Braced(label) << ' ' << histogram.Sum() << '\n';
  *out << name << "_count" << Braced(label) << ' ' << histogram.Count() << '\n';
}

template <typename Value>
void FormatValues(const SeriesMap<Value>& values, std::string_view type,
                  std::ostream* out) {
  TypeLines types(type, out);
  for (const auto& [series, value] : values) {
    types.Announce(series.name);
    *out << kNamePrefix << series.name << Braced(FormatLabel(series.label))
         << ' ' << value << '\n';
  }
}

void FormatUsage(std::ostream* out) {
  const ProcessUsage usage = ReadProcessUsage();
  *out << "# TYPE process_resident_memory_bytes gauge\n"
       << "process_resident_memory_bytes " << usage.resident_bytes << '\n'
       << "# TYPE process_cpu_seconds_total counter\n"
       << "process_cpu_seconds_total " << usage.cpu_seconds << '\n';
}

}  // namespace

struct Metrics::State {
  std::mutex mutex;
  SeriesMap<LogHistogram> histograms;
  SeriesMap<std::int64_t> counters;
  SeriesMap<double> gauges;

  /// @return the series, made if there is room for it, else null
  template <typename Series>
  Series* Find(SeriesMap<Series>* in, std::string_view name,
               std::string_view label) {
    const auto found = in->find(SeriesNameView{name, label});
    if (found != in->end()) return &found->second;
    const std::size_t held =
        this->histograms.size() + this->counters.size() + this->gauges.size();
    if (held >= kMaxSeries) return nullptr;
    const SeriesName key{std::string(name), std::string(label)};
    return &in->try_emplace(key).first->second;
  }
};

Metrics::Metrics() : state(std::make_unique<State>()) {}
Metrics::~Metrics() = default;

void Metrics::Sample(std::string_view name, std::string_view label,
                     double value) {
  const std::lock_guard lock(this->state->mutex);
  LogHistogram* const histogram =
      this->state->Find(&this->state->histograms, name, label);
  if (histogram != nullptr) histogram->Add(value);
}

void Metrics::Count(std::string_view name, std::string_view label,
                    std::int64_t by) {
  const std::lock_guard lock(this->state->mutex);
  std::int64_t* const counter =
      this->state->Find(&this->state->counters, name, label);
  if (counter != nullptr) *counter += by;
}

void Metrics::Set(std::string_view name, std::string_view label, double value) {
  const std::lock_guard lock(this->state->mutex);
  double* const gauge = this->state->Find(&this->state->gauges, name, label);
  if (gauge != nullptr) *gauge = value;
}

double Metrics::Quantile(std::string_view name, std::string_view label,
                         double q) const {
  const std::lock_guard lock(this->state->mutex);
  const auto found = this->state->histograms.find(SeriesNameView{name, label});
  if (found == this->state->histograms.end()) return 0;
  return found->second.Quantile(q);
}

std::int64_t Metrics::Total(std::string_view name) const {
  const std::lock_guard lock(this->state->mutex);
  const SeriesMap<std::int64_t>& counters = this->state->counters;
  std::int64_t total = 0;
  for (auto each = counters.lower_bound(SeriesNameView{name, ""});
       each != counters.end() && each->first.name == name; ++each) {
    total += each->second;
  }
  return total;
}

std::string Metrics::Format() const {
  std::ostringstream out;
  out.precision(kPrecision);
  const std::lock_guard lock(this->state->mutex);
  TypeLines types("histogram", &out);
  for (const auto& [series, histogram] : this->state->histograms) {
    types.Announce(series.name);
    FormatHistogram(series, histogram, &out);
  }
  FormatValues(this->state->counters, "counter", &out);
  FormatValues(this->state->gauges, "gauge", &out);
  FormatUsage(&out);
  return out.str();
}

}  // namespace mustardproxy
