#include "statistics.h"

#include <cmath>
#include <iomanip>
#include <sstream>
#include <utility>

namespace mustardproxy::bench {

double Statistics::Mean() const {
  if (this->figures.empty()) return 0;
  double sum = 0;
  for (const double figure : this->figures) sum += figure;
  return sum / static_cast<double>(this->figures.size());
}

double Statistics::Deviation() const {
  if (this->figures.size() < 2) return 0;
  const double mean = this->Mean();
  double squares = 0;
  for (const double figure : this->figures) {
    squares += (figure - mean) * (figure - mean);
  }
  return std::sqrt(squares / static_cast<double>(this->figures.size() - 1));
}

std::string Statistics::Text(int digits) const {
  std::ostringstream text;
  text << std::fixed << std::setprecision(digits) << this->Mean() << " +- "
       << this->Deviation();
  return std::move(text).str();
}

}  // namespace mustardproxy::bench
