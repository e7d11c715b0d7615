#include "plantainpitch/policy/queue_admission.h"

#include <algorithm>

namespace plantainpitch {

namespace {

/// The average follows a change of load within about 20 requests.
constexpr double newSampleWeight = 0.1;

} // namespace

bool queue_admission::canFinish(const admission_load &load, duration timeLeft) const
{
    if (timeLeft <= duration::zero())
        return false;
    const double slots = std::max<std::uint32_t>(load.slots, 1);
    const bool hasFreeSlot = load.queued == 0 && load.running < load.slots;
    const double waitUs = hasFreeSlot ? 0.0 : (load.queued + 1.0) * m_meanUs / slots;
    // A request with a free slot is always admitted, since the mean predicts the service time of a
    // single request poorly.
    return hasFreeSlot || waitUs + m_meanUs <= static_cast<double>(timeLeft.count());
}

void queue_admission::onServiceTime(duration value)
{
    const auto sampleUs = static_cast<double>(std::max(value, duration::zero()).count());
    m_meanUs = m_known ? m_meanUs + newSampleWeight * (sampleUs - m_meanUs) : sampleUs;
    m_known = true;
}

duration queue_admission::meanServiceTime() const
{
    return duration(static_cast<duration::rep>(m_meanUs));
}

} // namespace plantainpitch
