#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace plantainpitch {

/// A value measured at one size.
struct size_sample
{
    double size = 0;
    double value = 0;
};

/// Least-squares line through samples.
struct fitted_line
{
    double slope = 0;
    double start = 0; ///< value at size 0
};

fitted_line fitLine(const std::vector<size_sample> &samples);

/// Prints the samples, the slope and the value at size 0 as one row.
void printSlope(std::ostream &out, const std::string &measure, const std::string &unit,
                const std::vector<size_sample> &samples);

void printSlopeHeader(std::ostream &out, const std::string &title);

} // namespace plantainpitch
