#ifndef MUSTARDPROXY_LOAD_FIGURES_H_
#define MUSTARDPROXY_LOAD_FIGURES_H_

#include <ostream>
#include <string>
#include <vector>

#include "load/metrics_text.h"
#include "load/sent_request.h"

namespace mustardproxy::load {

/// An entry process whose metrics are read.
struct EntryName {
  std::string name;
  std::string url;
};

/// Metrics of one entry process at one moment.
struct EntryMetrics {
  std::string name;
  std::vector<MetricSample> samples;
};

[[nodiscard]] std::vector<EntryMetrics> ReadMetrics(
    const std::vector<EntryName>& entries);
/// Prints waiting and decision time per profile over all processes, then
/// resident memory, processor time and control bytes of each process.
/// @param seconds length of the load, for rates
void PrintFigures(const std::vector<EntryMetrics>& before,
                  const std::vector<EntryMetrics>& after, double seconds,
                  std::ostream* out);
/// Prints what callers saw: answers and times by kind of work.
void PrintCallers(const std::vector<SentRequest>& requests, std::ostream* out);

}  // namespace mustardproxy::load

#endif  // MUSTARDPROXY_LOAD_FIGURES_H_
