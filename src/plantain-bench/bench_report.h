#pragma once

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace plantainpitch {

/// Results of the benchmarks: rows of one table, and details in lines of their own.
class bench_report
{
public:
    explicit bench_report(std::ostream &details)
        : m_details(details)
    {}

    /// \a baseline: none if a measure has no policy to compare with.
    void add(std::string measure, std::optional<double> baseline, double policy, std::string target,
             bool met);
    [[nodiscard]] std::ostream &details() const { return m_details; }
    void print(std::ostream &out) const;

private:
    struct row
    {
        std::string measure;
        std::optional<double> baseline;
        double policy = 0;
        std::string target;
        bool met = false;
    };

    std::ostream &m_details;
    std::vector<row> m_rows;
};

} // namespace plantainpitch
