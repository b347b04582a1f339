#ifndef MUSTARDPROXY_BENCH_DECISIONS_STATISTICS_H_
#define MUSTARDPROXY_BENCH_DECISIONS_STATISTICS_H_

#include <string>
#include <vector>

namespace mustardproxy::bench {

/// One figure over runs with several seeds.
class Statistics {
 public:
  void Add(double figure) { this->figures.push_back(figure); }
  [[nodiscard]] double Mean() const;
  /// Standard deviation of a sample; zero for a single figure.
  [[nodiscard]] double Deviation() const;
  /// @return `mean +- deviation`
  [[nodiscard]] std::string Text(int digits) const;

 private:
  std::vector<double> figures;
};

}  // namespace mustardproxy::bench

#endif  // MUSTARDPROXY_BENCH_DECISIONS_STATISTICS_H_
