#include "plantainpitch/policy/least_connections.h"

#include <algorithm>

namespace plantainpitch {

void least_connections::onReport(instant /*now*/, endpoint_number endpoint,
                                 const endpoint_report &report)
{
    if (endpoint >= m_endpoints.size())
        m_endpoints.resize(endpoint + 1);
    m_endpoints[endpoint].present = true;
    m_endpoints[endpoint].draining = report.draining;
}

void least_connections::onRemoved(endpoint_number endpoint)
{
    if (endpoint < m_endpoints.size())
        m_endpoints[endpoint] = {};
}

void least_connections::onDispatched(instant /*now*/, endpoint_number endpoint)
{
    if (endpoint < m_endpoints.size())
        ++m_endpoints[endpoint].inFlight;
}

void least_connections::onEnded(instant /*now*/, endpoint_number endpoint,
                                const dispatch_result & /*result*/)
{
    if (endpoint < m_endpoints.size() && m_endpoints[endpoint].inFlight > 0)
        --m_endpoints[endpoint].inFlight;
}

std::optional<endpoint_number> least_connections::choose(instant /*now*/,
                                                         std::span<const endpoint_number> excluded)
{
    std::optional<endpoint_number> best;
    std::uint32_t ties = 0;
    for (endpoint_number i = 0; i < m_endpoints.size(); ++i) {
        const auto &candidate = m_endpoints[i];
        if (!candidate.present || candidate.draining
            || std::find(excluded.begin(), excluded.end(), i) != excluded.end())
            continue;
        if (!best || candidate.inFlight < m_endpoints[*best].inFlight) {
            best = i;
            ties = 1;
        } else if (candidate.inFlight == m_endpoints[*best].inFlight && m_random() % ++ties == 0) {
            best = i;
        }
    }
    return best;
}

std::string least_connections::explain(endpoint_number endpoint) const
{
    if (endpoint >= m_endpoints.size())
        return {};
    return "in_flight=" + std::to_string(m_endpoints[endpoint].inFlight);
}

} // namespace plantainpitch
