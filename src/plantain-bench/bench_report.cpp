#include "bench_report.h"

#include <iomanip>
#include <ostream>
#include <utility>

namespace plantainpitch {

void bench_report::add(std::string measure, std::optional<double> baseline, double policy,
                       std::string target, bool met)
{
    m_rows.push_back({ .measure = std::move(measure),
                       .baseline = baseline,
                       .policy = policy,
                       .target = std::move(target),
                       .met = met });
}

void bench_report::print(std::ostream &out) const
{
    out << std::left << std::setw(56) << "measure" << std::right << std::setw(12) << "baseline"
        << std::setw(12) << "policy"
        << "  " << std::left << std::setw(24) << "target"
        << "verdict\n"
        << std::fixed << std::setprecision(4);
    for (const row &entry : m_rows) {
        out << std::left << std::setw(56) << entry.measure << std::right << std::setw(12);
        if (entry.baseline)
            out << *entry.baseline;
        else
            out << "-";
        out << std::setw(12) << entry.policy << "  " << std::left << std::setw(24) << entry.target
            << (entry.met ? "met" : "missed") << '\n';
    }
}

} // namespace plantainpitch
