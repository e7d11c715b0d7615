#include "plantainpitch/runtime/metrics.h"

#include <boost/histogram.hpp>

#include <map>
#include <mutex>
#include <sstream>

namespace plantainpitch::runtime {

namespace {

namespace bh = boost::histogram;

using latency_axis = bh::axis::regular<double, bh::axis::transform::log>;

// 100 us to 100 s with eight buckets to a factor of ten: a quantile is known to about 30 %.
constexpr unsigned bucketCount = 48;
constexpr double smallestSeconds = 1e-4;
constexpr double largestSeconds = 100;

struct latency_series
{
    decltype(bh::make_histogram(
            latency_axis(bucketCount, smallestSeconds, largestSeconds))) buckets =
            bh::make_histogram(latency_axis(bucketCount, smallestSeconds, largestSeconds));
    std::uint64_t count = 0;
    double sumSeconds = 0;
};

std::string escaped(const std::string &label)
{
    std::string result;
    for (const char c : label) {
        if (c == '"' || c == '\\')
            result += '\\';
        if (c == '\n')
            result += "\\n";
        else
            result += c;
    }
    return result;
}

void printSeries(std::ostream &out, const std::string &name, const std::string &label,
                 const latency_series &series)
{
    const std::string service = "service=\"" + escaped(label) + "\"";
    double cumulated = series.buckets.at(bh::axis::index_type(-1)); // underflow
    const auto &axis = series.buckets.axis();
    for (int i = 0; i < axis.size(); ++i) {
        out << name << "_bucket{" << service << ",le=\"" << axis.value(i) << "\"} " << cumulated
            << '\n';
        cumulated += series.buckets.at(i);
    }
    out << name << "_bucket{" << service << ",le=\"" << largestSeconds << "\"} " << cumulated
        << '\n'
        << name << "_bucket{" << service << ",le=\"+Inf\"} " << series.count << '\n'
        << name << "_sum{" << service << "} " << series.sumSeconds << '\n'
        << name << "_count{" << service << "} " << series.count << '\n';
}

} // namespace

struct metrics::state
{
    using key = std::pair<std::string, std::string>; // name, label

    mutable std::mutex mutex;
    std::map<key, std::uint64_t> counters;
    std::map<key, latency_series> latencies;
    std::map<std::string, double> gauges; // by name
};

metrics::metrics()
    : m_state(std::make_unique<state>())
{}

metrics::~metrics() = default;

void metrics::count(const count_metric &sample)
{
    const std::lock_guard lock(m_state->mutex);
    m_state->counters[{ sample.name, sample.label }] += sample.amount;
}

void metrics::observe(const observe_latency &sample)
{
    const double seconds = std::chrono::duration<double>(sample.value).count();
    const std::lock_guard lock(m_state->mutex);
    latency_series &series = m_state->latencies[{ sample.name, sample.label }];
    series.buckets(seconds);
    ++series.count;
    series.sumSeconds += seconds;
}

void metrics::set(const set_gauge &sample)
{
    const std::lock_guard lock(m_state->mutex);
    m_state->gauges[sample.name] = sample.value;
}

std::string metrics::text() const
{
    const std::lock_guard lock(m_state->mutex);
    std::ostringstream out;
    out.precision(12);
    std::string previous;
    for (const auto &[key, value] : m_state->counters) {
        const std::string name = "plantain_" + key.first;
        if (name != previous)
            out << "# TYPE " << name << " counter\n";
        previous = name;
        out << name;
        if (!key.second.empty())
            out << "{reason=\"" << escaped(key.second) << "\"}";
        out << ' ' << value << '\n';
    }
    for (const auto &[key, value] : m_state->gauges) {
        const std::string name = "plantain_" + key;
        out << "# TYPE " << name << " gauge\n" << name << ' ' << value << '\n';
    }
    for (const auto &[key, series] : m_state->latencies) {
        const std::string name = "plantain_" + key.first;
        if (name != previous)
            out << "# TYPE " << name << " histogram\n";
        previous = name;
        printSeries(out, name, key.second, series);
    }
    return out.str();
}

} // namespace plantainpitch::runtime
