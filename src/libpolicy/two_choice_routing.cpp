#include "plantainpitch/policy/two_choice_routing.h"

#include <algorithm>
#include <cmath>

namespace plantainpitch {

namespace {

/// Latency of every endpoint until the first sample, so that only the load determines the cost.
constexpr double defaultLatencyUs = 1000;
constexpr int drawsBeforeScan = 4;

bool contains(std::span<const endpoint_number> list, endpoint_number endpoint)
{
    return std::find(list.begin(), list.end(), endpoint) != list.end();
}

} // namespace

void two_choice_routing::onReport(instant now, endpoint_number endpoint,
                                  const endpoint_report &report)
{
    if (endpoint >= m_endpoints.size())
        m_endpoints.resize(endpoint + 1);
    auto &known = m_endpoints[endpoint];
    const bool listsChange = !known.present || known.report.local != report.local
                             || known.report.draining != report.draining;
    known.present = true;
    known.report = report;
    known.reportedAt = now;
    known.inFlightAtReport = known.inFlight;
    if (listsChange)
        rebuildLists();
}

void two_choice_routing::onRemoved(endpoint_number endpoint)
{
    if (endpoint >= m_endpoints.size())
        return;
    m_endpoints[endpoint] = {};
    rebuildLists();
}

void two_choice_routing::onDispatched(instant /*now*/, endpoint_number endpoint)
{
    if (endpoint < m_endpoints.size())
        ++m_endpoints[endpoint].inFlight;
}

double two_choice_routing::load(instant now, const known_endpoint &endpoint) const
{
    // The report includes the requests of this entry, which are subtracted because their current
    // number is known exactly. A report older than the latest dispatches can be below that count.
    const double reported = endpoint.report.running + endpoint.report.queued;
    const double others = std::max(0.0, reported - endpoint.inFlightAtReport);
    const auto age = (now - endpoint.reportedAt) / m_options.reportHalfLife;
    const double weight = age >= 8 ? 0.0 : std::ldexp(1.0, -static_cast<int>(age));
    return endpoint.inFlight + others * weight;
}

double two_choice_routing::cost(instant now, endpoint_number endpoint) const
{
    const auto &known = m_endpoints[endpoint];
    // The median for an endpoint without samples keeps it from getting too many requests or none.
    const double average = known.samples > 0 ? known.averageUs
                           : m_medianUs > 0  ? m_medianUs
                                             : defaultLatencyUs;
    const double slots = std::max<std::uint32_t>(known.report.slots, 1);
    return (1 + (load(now, known) + 1) / slots) * average;
}

std::optional<endpoint_number> two_choice_routing::choose(instant now,
                                                          std::span<const endpoint_number> excluded)
{
    if (const auto probe = startProbe(now, excluded))
        return probe;
    const auto chosen = chooseGood(now, excluded);
    if (!chosen)
        return chooseEjected(now, excluded);
    if (m_ejected.empty() || hasFreeSlot(now, *chosen, 1))
        return chosen;
    // A slow endpoint is better than a long queue, and the request serves as a probe that restores
    // the endpoint early if it has recovered.
    const auto slow = drawRandom(m_ejected, excluded, std::nullopt);
    if (!slow || m_endpoints[*slow].ejectedForFailures || cost(now, *slow) >= cost(now, *chosen))
        return chosen;
    m_endpoints[*slow].state = health::probing;
    return slow;
}

std::optional<endpoint_number>
two_choice_routing::chooseGood(instant now, std::span<const endpoint_number> excluded)
{
    const auto local = chooseOfTwo(now, m_local, excluded);
    if (local && hasFreeSlot(now, *local, m_options.spillSlotShare) && !exceedsSpillFactor(*local))
        return local;
    const auto remote = chooseOfTwo(now, m_remote, excluded);
    if (local && remote)
        return cost(now, *remote) < cost(now, *local) ? remote : local;
    return local ? local : remote;
}

bool two_choice_routing::exceedsSpillFactor(endpoint_number endpoint) const
{
    return m_endpoints[endpoint].serviceAverageUs > m_serviceMedianUs * m_options.spillFactor;
}

bool two_choice_routing::hasFreeSlot(instant now, endpoint_number endpoint, double share) const
{
    const auto &known = m_endpoints[endpoint];
    return load(now, known) < known.report.slots * share;
}

std::optional<endpoint_number>
two_choice_routing::chooseOfTwo(instant now, const endpoint_list &list,
                                std::span<const endpoint_number> excluded)
{
    const auto first = drawRandom(list, excluded, std::nullopt);
    const auto second = first ? drawRandom(list, excluded, first) : std::nullopt;
    if (!second)
        return first;
    return cost(now, *second) < cost(now, *first) ? second : first;
}

std::optional<endpoint_number>
two_choice_routing::drawRandom(const endpoint_list &list, std::span<const endpoint_number> excluded,
                               std::optional<endpoint_number> alreadyDrawn)
{
    const auto usable = [&](endpoint_number candidate) {
        return candidate != alreadyDrawn && !contains(excluded, candidate);
    };
    for (int i = 0; i < drawsBeforeScan && !list.empty(); ++i) {
        const endpoint_number candidate = list[m_random() % list.size()];
        if (usable(candidate))
            return candidate;
    }
    const auto found = std::find_if(list.begin(), list.end(), usable);
    return found == list.end() ? std::nullopt : std::optional(*found);
}

std::optional<endpoint_number>
two_choice_routing::startProbe(instant now, std::span<const endpoint_number> excluded)
{
    // Retries are not used as probes, because they have already been delayed once.
    if (!excluded.empty())
        return std::nullopt;
    for (const endpoint_number candidate : m_ejected) {
        auto &known = m_endpoints[candidate];
        if (known.ejectedUntil <= now && known.inFlight == 0 && !known.report.draining) {
            known.state = health::probing;
            // The next probe waits for the result of this one, or for this time if there is none.
            known.ejectedUntil = now + m_options.initialEjectionTime;
            return candidate;
        }
    }
    return std::nullopt;
}

std::optional<endpoint_number>
two_choice_routing::chooseEjected(instant now, std::span<const endpoint_number> excluded) const
{
    std::optional<endpoint_number> best;
    for (const endpoint_number candidate : m_ejected) {
        if (!m_endpoints[candidate].report.draining && !contains(excluded, candidate)
            && (!best || cost(now, candidate) < cost(now, *best)))
            best = candidate;
    }
    return best;
}

std::string two_choice_routing::explain(endpoint_number endpoint) const
{
    if (endpoint >= m_endpoints.size() || !m_endpoints[endpoint].present)
        return {};
    const auto &known = m_endpoints[endpoint];
    const char *state = known.state == health::good      ? "good"
                        : known.state == health::ejected ? "ejected"
                                                         : "probing";
    return "in_flight=" + std::to_string(known.inFlight)
           + " average_us=" + std::to_string(static_cast<std::int64_t>(known.averageUs))
           + " median_us=" + std::to_string(static_cast<std::int64_t>(m_medianUs))
           + " failures=" + std::to_string(known.failures) + " health=" + state;
}

} // namespace plantainpitch
