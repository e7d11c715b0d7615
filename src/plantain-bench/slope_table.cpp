#include "slope_table.h"

#include <iomanip>
#include <ostream>
#include <sstream>

namespace plantainpitch {

fitted_line fitLine(const std::vector<size_sample> &samples)
{
    const auto count = static_cast<double>(samples.size());
    double sizes = 0;
    double values = 0;
    for (const size_sample &sample : samples) {
        sizes += sample.size / count;
        values += sample.value / count;
    }
    double covariance = 0;
    double variance = 0;
    for (const size_sample &sample : samples) {
        covariance += (sample.size - sizes) * (sample.value - values);
        variance += (sample.size - sizes) * (sample.size - sizes);
    }
    const double slope = variance == 0 ? 0 : covariance / variance;
    return { .slope = slope, .start = values - slope * sizes };
}

void printSlopeHeader(std::ostream &out, const std::string &title)
{
    out << '\n'
        << title << '\n'
        << std::left << std::setw(46) << "measure" << std::setw(22) << "unit" << std::right
        << std::setw(12) << "slope" << std::setw(12) << "at size 0"
        << "  samples (size: value)\n";
}

void printSlope(std::ostream &out, const std::string &measure, const std::string &unit,
                const std::vector<size_sample> &samples)
{
    const fitted_line line = fitLine(samples);
    std::ostringstream points;
    points << std::setprecision(5);
    for (const size_sample &sample : samples)
        points << "  " << sample.size << ": " << sample.value;
    out << std::left << std::setw(46) << measure << std::setw(22) << unit << std::right
        << std::defaultfloat << std::setprecision(4) << std::setw(12) << line.slope << std::setw(12)
        << line.start << points.str() << '\n';
}

} // namespace plantainpitch
