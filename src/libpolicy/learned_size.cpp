#include "plantainpitch/policy/learned_size.h"

#include <algorithm>
#include <cmath>

namespace plantainpitch {

namespace {

// With fewer observations the declaration is the better estimate.
constexpr std::uint32_t minObservations = 3;

// Arithmetic mean of the first observations; each later one has a weight of a tenth, so that the
// mean follows a change of the program within a few dozen tasks.
void updateAverage(double &mean, std::uint32_t &count, double value)
{
    ++count;
    mean += (value - mean) / std::min<double>(count, 10);
}

} // namespace

void learned_size::onFinished(const std::string &templateName, std::int64_t runTimeMs)
{
    template_usage &known = m_usage[templateName];
    updateAverage(known.runTimeMs, known.finished, static_cast<double>(runTimeMs));
}

void learned_size::onUsage(const std::string &templateName, const resources &used)
{
    template_usage &known = m_usage[templateName];
    updateAverage(known.processorsMilli, known.samples, static_cast<double>(used.processorsMilli));
    known.memoryBytes = std::max(known.memoryBytes, used.memoryBytes);
}

std::int64_t learned_size::runTimeMs(const std::string &templateName, std::int64_t declaredMs) const
{
    const auto known = m_usage.find(templateName);
    if (known == m_usage.end() || known->second.finished < minObservations)
        return declaredMs;
    return std::llround(known->second.runTimeMs);
}

resources learned_size::size(const std::string &templateName, const resources &declared) const
{
    const auto known = m_usage.find(templateName);
    if (known == m_usage.end() || known->second.samples < minObservations)
        return declared;
    return { .processorsMilli = std::llround(known->second.processorsMilli),
             .memoryBytes = known->second.memoryBytes,
             .accelerators = declared.accelerators };
}

} // namespace plantainpitch
