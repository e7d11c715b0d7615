#include "plantainpitch/policy/two_choice_routing.h"

#include <algorithm>

namespace plantainpitch {

namespace {

double toUs(duration value)
{
    return static_cast<double>(std::max<duration::rep>(value.count(), 1));
}

} // namespace

void two_choice_routing::onEnded(instant now, endpoint_number endpoint,
                                 const dispatch_result &result)
{
    if (endpoint >= m_endpoints.size() || !m_endpoints[endpoint].present)
        return;
    auto &known = m_endpoints[endpoint];
    if (known.inFlight > 0)
        --known.inFlight;
    // An abandoned request took at least this long: it counts only as evidence of slowness.
    const bool isSample =
            result.end == dispatch_end::answered
            || (result.end == dispatch_end::abandoned && toUs(result.latency) > known.averageUs);
    if (isSample)
        addSample(known, result);
    if (result.end == dispatch_end::answered)
        known.failures = 0;
    else if (result.end == dispatch_end::failed)
        ++known.failures;
    if (known.state != health::good)
        judgeProbe(now, known, result);
    else if (known.failures >= m_options.failuresInARow && m_ejected.size() < mayEject()) {
        eject(now, known, true);
        rebuildLists();
    }
    refresh(now);
}

void two_choice_routing::addSample(known_endpoint &endpoint, const dispatch_result &result)
{
    const auto add = [&](double &average, double sampleUs, double medianUs) {
        if (medianUs > 0)
            sampleUs = std::min(sampleUs, medianUs * m_options.outlierFactor);
        average =
                average <= 0 ? sampleUs : average + m_options.averageWeight * (sampleUs - average);
    };
    add(endpoint.averageUs, toUs(result.latency), m_medianUs);
    const bool hasTime =
            result.end == dispatch_end::answered && result.serviceTime > duration::zero();
    add(endpoint.serviceAverageUs, toUs(hasTime ? result.serviceTime : result.latency),
        m_serviceMedianUs);
    ++endpoint.samples;
}

void two_choice_routing::judgeProbe(instant now, known_endpoint &endpoint,
                                    const dispatch_result &result)
{
    // Answers to requests from before the ejection are no probes.
    if (endpoint.state != health::probing || result.end == dispatch_end::refused)
        return;
    const bool hasTime = result.serviceTime > duration::zero();
    const double timeUs = toUs(hasTime ? result.serviceTime : result.latency);
    const double medianUs = hasTime ? m_serviceMedianUs : m_medianUs;
    const bool passed = result.end == dispatch_end::answered
                        && (medianUs <= 0 || timeUs <= medianUs * m_options.slowFactor);
    if (!passed) {
        endpoint.ejection = std::min(endpoint.ejection * 2, m_options.longestEjection);
        endpoint.ejectedUntil = now + endpoint.ejection;
        endpoint.state = health::ejected;
        endpoint.probesPassed = 0;
        return;
    }
    endpoint.ejectedUntil = now;
    if (++endpoint.probesPassed < m_options.goodProbes)
        return;
    endpoint.state = health::good;
    // The old averages describe the time before the ejection.
    endpoint.averageUs = m_medianUs;
    endpoint.serviceAverageUs = m_serviceMedianUs;
    endpoint.samples = 1;
    rebuildLists();
}

void two_choice_routing::eject(instant now, known_endpoint &endpoint, bool isFailing)
{
    endpoint.failing = isFailing;
    endpoint.state = health::ejected;
    // An endpoint that is ejected again soon after it came back keeps its longer ejection.
    const bool again = endpoint.ejection > duration::zero()
                       && now - endpoint.ejectedUntil < m_options.longestEjection;
    endpoint.ejection = again ? std::min(endpoint.ejection * 2, m_options.longestEjection)
                              : m_options.firstEjection;
    endpoint.ejectedUntil = now + endpoint.ejection;
    endpoint.probesPassed = 0;
    endpoint.failures = 0;
}

void two_choice_routing::refresh(instant now)
{
    if (m_refreshed && now - m_refreshedAt < m_options.refreshInterval)
        return;
    m_refreshed = true;
    m_refreshedAt = now;
    m_medianUs = medianOf(&known_endpoint::averageUs);
    m_serviceMedianUs = medianOf(&known_endpoint::serviceAverageUs);
    ejectSlow(now);
}

double two_choice_routing::medianOf(double known_endpoint::*average) const
{
    std::vector<double> values;
    values.reserve(m_endpoints.size());
    for (const auto &endpoint : m_endpoints) {
        if (endpoint.present && endpoint.samples > 0)
            values.push_back(endpoint.*average);
    }
    if (values.empty())
        return 0;
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

void two_choice_routing::ejectSlow(instant now)
{
    const std::size_t allowed = mayEject();
    if (m_ejected.size() >= allowed)
        return;
    const double slowUs = m_serviceMedianUs * m_options.slowFactor;
    std::vector<known_endpoint *> slow;
    for (auto &endpoint : m_endpoints) {
        if (endpoint.present && !endpoint.report.draining && endpoint.state == health::good
            && endpoint.samples >= m_options.minSamples && endpoint.serviceAverageUs > slowUs)
            slow.push_back(&endpoint);
    }
    if (slow.empty())
        return;
    std::sort(slow.begin(), slow.end(), [](const known_endpoint *a, const known_endpoint *b) {
        return a->serviceAverageUs > b->serviceAverageUs;
    });
    slow.resize(std::min(slow.size(), allowed - m_ejected.size()));
    for (auto *endpoint : slow)
        eject(now, *endpoint, false);
    rebuildLists();
}

std::size_t two_choice_routing::mayEject() const
{
    const auto present = m_local.size() + m_remote.size() + m_ejected.size();
    return static_cast<std::size_t>(static_cast<double>(present) * m_options.maxEjectedShare);
}

void two_choice_routing::rebuildLists()
{
    m_local.clear();
    m_remote.clear();
    m_ejected.clear();
    for (endpoint_number i = 0; i < m_endpoints.size(); ++i) {
        const auto &endpoint = m_endpoints[i];
        if (!endpoint.present || endpoint.report.draining)
            continue;
        if (endpoint.state != health::good)
            m_ejected.push_back(i);
        else if (endpoint.report.local)
            m_local.push_back(i);
        else
            m_remote.push_back(i);
    }
    // Endpoints that leave can raise the share of the ejected: the first ejected come back.
    while (m_ejected.size() > mayEject()) {
        const auto first = std::min_element(
                m_ejected.begin(), m_ejected.end(), [this](endpoint_number a, endpoint_number b) {
                    return m_endpoints[a].ejectedUntil < m_endpoints[b].ejectedUntil;
                });
        auto &back = m_endpoints[*first];
        back.state = health::good;
        (back.report.local ? m_local : m_remote).push_back(*first);
        m_ejected.erase(first);
    }
}

} // namespace plantainpitch
