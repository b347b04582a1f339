#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <string>
#include <vector>

#include "job_load/report.h"

namespace job_load {
namespace {

constexpr double kWidth = 720.0;
constexpr double kHeight = 240.0;
constexpr double kMargin = 60.0;
constexpr double kMicrosPerSecond = 1e6;
constexpr std::array kColors = {"#1b6ca8", "#c8553d", "#3a7d44", "#8e5ea2",
                                "#b8860b"};

struct Point {
  double x = 0.0;
  double y = 0.0;
};

struct Series {
  std::string name;
  std::vector<Point> points;
};

std::string Number(double value) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.6g", value);
  return text.data();
}

std::string TextAt(double x, double y, const std::string& text) {
  return "<text x=\"" + Number(x) + "\" y=\"" + Number(y) +
         "\" font-size=\"12\" font-family=\"sans-serif\">" + text + "</text>\n";
}

/// One diagram with axes, at a height of the picture.
std::string Diagram(const std::string& title, const std::string& x_title,
                    const std::vector<Series>& all, double top) {
  double most_x = 1e-9;
  double most_y = 1e-9;
  for (const Series& series : all) {
    for (const Point& point : series.points) {
      most_x = std::max(most_x, point.x);
      most_y = std::max(most_y, point.y);
    }
  }
  const double bottom = top + kHeight;
  std::string svg = TextAt(kMargin, top - 8.0, title);
  svg += "<rect x=\"" + Number(kMargin) + "\" y=\"" + Number(top) +
         "\" width=\"" + Number(kWidth) + "\" height=\"" + Number(kHeight) +
         "\" fill=\"none\" stroke=\"#888\"/>\n";
  svg += TextAt(4.0, top + 12.0, Number(most_y)) + TextAt(4.0, bottom, "0");
  svg += TextAt(kMargin + kWidth - 40.0, bottom + 16.0, Number(most_x));
  svg += TextAt(kMargin, bottom + 16.0, x_title);
  for (std::size_t i = 0; i < all.size(); ++i) {
    const std::string color = kColors[i % kColors.size()];
    svg += "<polyline fill=\"none\" stroke=\"" + color +
           "\" stroke-width=\"1.5\" points=\"";
    for (const Point& point : all[i].points) {
      svg += Number(kMargin + kWidth * point.x / most_x) + "," +
             Number(bottom - kHeight * point.y / most_y) + " ";
    }
    svg += "\"/>\n<text fill=\"" + color +
           "\" font-size=\"12\" "
           "font-family=\"sans-serif\" x=\"" +
           Number(kMargin + kWidth - 160.0) + "\" y=\"" +
           Number(top + 16.0 + 15.0 * static_cast<double>(i)) + "\">" +
           all[i].name + "</text>\n";
  }
  return svg;
}

/// Share of the jobs that had started within a time.
std::vector<Series> StartCurves(const Deployment& deployment,
                                const ExperimentResult& result) {
  std::vector<Series> all;
  for (std::size_t q = 0; q < deployment.queues.size(); ++q) {
    std::vector<double> waits;
    for (const JobOutcome& job : result.jobs) {
      if (job.queue != q || !job.first_start) continue;
      const auto micros = static_cast<double>(job.first_start->count());
      waits.push_back(std::log10(1.0 + micros / 1000.0));
    }
    std::sort(waits.begin(), waits.end());
    Series series{deployment.queues[q].queue.name.Text(), {}};
    for (std::size_t i = 0; i < waits.size(); ++i) {
      series.points.push_back(
          {waits[i],
           static_cast<double>(i + 1) / static_cast<double>(waits.size())});
    }
    all.push_back(std::move(series));
  }
  return all;
}

std::vector<Series> CellCurves(const ExperimentResult& result) {
  Series used{"processors in use", {}};
  Series there{"processors", {}};
  for (const CellSample& sample : result.samples) {
    const double at = static_cast<double>(sample.at.count()) / kMicrosPerSecond;
    used.points.push_back({at, sample.cores_used});
    there.points.push_back({at, sample.cores});
  }
  return {used, there};
}

}  // namespace

std::string PlotReport(const Deployment& deployment,
                       const ExperimentResult& result) {
  constexpr double kFirst = 40.0;
  constexpr double kSecond = kFirst + kHeight + 70.0;
  std::string svg = "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" +
                    Number(kWidth + 2 * kMargin) + "\" height=\"" +
                    Number(kSecond + kHeight + 40.0) + "\">\n";
  svg += Diagram("share of jobs begun", "log10(1 + ms from handing in)",
                 StartCurves(deployment, result), kFirst);
  svg += Diagram("use of the cell", "seconds", CellCurves(result), kSecond);
  return svg + "</svg>\n";
}

}  // namespace job_load
