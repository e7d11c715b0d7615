#include "load_report.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace plantainpitch::load {

namespace json = boost::json;

namespace {

constexpr std::array<std::pair<const char *, double>, 5> percentiles{
    { { "p50", 0.5 }, { "p90", 0.9 }, { "p99", 0.99 }, { "p99_9", 0.999 }, { "max", 1.0 } }
};

} // namespace

void load_report::add(const outcome &finished)
{
    const std::lock_guard lock(m_mutex);
    ++m_count;
    ++m_reasons[finished.kind][finished.reason];
    m_wrongAnswers += finished.wrongAnswer ? 1 : 0;
    if (finished.kind == "answered")
        m_latenciesUs.push_back(finished.latency.count());
}

std::uint64_t load_report::count()
{
    const std::lock_guard lock(m_mutex);
    return m_count;
}

std::uint64_t load_report::wrongAnswers()
{
    const std::lock_guard lock(m_mutex);
    return m_wrongAnswers;
}

void load_report::sortLatencies()
{
    std::sort(m_latenciesUs.begin(), m_latenciesUs.end());
}

std::int64_t load_report::percentileUs(double fraction) const
{
    if (m_latenciesUs.empty())
        return 0;
    const auto rank = std::ceil(fraction * static_cast<double>(m_latenciesUs.size()));
    return m_latenciesUs[std::max<std::size_t>(1, static_cast<std::size_t>(rank)) - 1];
}

json::object load_report::toJson()
{
    const std::lock_guard lock(m_mutex);
    sortLatencies();
    json::object outcomes;
    for (const char *kind : { "answered", "not-run", "unknown" }) {
        json::object reasons;
        for (const auto &[reason, count] : m_reasons[kind])
            reasons[reason] = count;
        outcomes[kind] = std::move(reasons);
    }
    json::object latency;
    for (const auto &[name, fraction] : percentiles)
        latency[name] = percentileUs(fraction);
    return { { "requests", m_count },
             { "outcomes", std::move(outcomes) },
             { "wrong_answers", m_wrongAnswers },
             { "latency_us", std::move(latency) } };
}

std::string load_report::toText()
{
    const std::lock_guard lock(m_mutex);
    sortLatencies();
    std::ostringstream text;
    text << "requests: " << m_count << '\n';
    for (const auto &[kind, reasons] : m_reasons) {
        for (const auto &[reason, count] : reasons)
            text << kind << ' ' << reason << ": " << count << '\n';
    }
    text << "wrong answers: " << m_wrongAnswers
         << "\nlatency of answered requests, ms:" << std::fixed << std::setprecision(3);
    for (const auto &[name, fraction] : percentiles)
        text << "  " << name << ' ' << static_cast<double>(percentileUs(fraction)) / 1000;
    text << '\n';
    return text.str();
}

} // namespace plantainpitch::load
