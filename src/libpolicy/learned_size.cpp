#include "plantainpitch/policy/learned_size.h"

#include <algorithm>
#include <cmath>

namespace plantainpitch {

namespace {

// Fewer observations than this say less than the declaration.
constexpr std::uint32_t enoughObservations = 3;

// The first observations count alike; later ones replace a tenth, so that a change of the program
// shows after a few dozen tasks.
void average(double &mean, std::uint32_t &count, double value)
{
    ++count;
    mean += (value - mean) / std::min<double>(count, 10);
}

} // namespace

void learned_size::onFinished(const std::string &templateName, std::int64_t runTimeMs)
{
    record &known = m_records[templateName];
    average(known.runTimeMs, known.finished, static_cast<double>(runTimeMs));
}

void learned_size::onUsage(const std::string &templateName, const resources &used)
{
    record &known = m_records[templateName];
    average(known.processorsMilli, known.samples, static_cast<double>(used.processorsMilli));
    known.memoryBytes = std::max(known.memoryBytes, used.memoryBytes);
}

std::int64_t learned_size::runTimeMs(const std::string &templateName, std::int64_t declaredMs) const
{
    const auto known = m_records.find(templateName);
    if (known == m_records.end() || known->second.finished < enoughObservations)
        return declaredMs;
    return std::llround(known->second.runTimeMs);
}

resources learned_size::size(const std::string &templateName, const resources &declared) const
{
    const auto known = m_records.find(templateName);
    if (known == m_records.end() || known->second.samples < enoughObservations)
        return declared;
    return { .processorsMilli = std::llround(known->second.processorsMilli),
             .memoryBytes = known->second.memoryBytes,
             .accelerators = declared.accelerators };
}

} // namespace plantainpitch
