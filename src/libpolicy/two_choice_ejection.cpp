#include "plantainpitch/policy/two_choice_routing.h"

#include <algorithm>

namespace plantainpitch {

namespace {

double toPositiveUs(duration value)
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
    // The latency of an abandoned request is a lower bound, so it counts only above the average.
    const bool isSample = result.outcome == dispatch_outcome::answered
                          || (result.outcome == dispatch_outcome::abandoned
                              && toPositiveUs(result.latency) > known.averageUs);
    if (isSample)
        addSample(known, result);
    if (result.outcome == dispatch_outcome::answered)
        known.failures = 0;
    else if (result.outcome == dispatch_outcome::failed)
        ++known.failures;
    if (known.state != health::good)
        handleProbeResult(now, known, result);
    else if (known.failures >= m_options.failuresBeforeEjection
             && m_ejected.size() < maxEjected()) {
        eject(now, known, true);
        rebuildLists();
    }
    refresh(now);
}

void two_choice_routing::addSample(known_endpoint &endpoint, const dispatch_result &result)
{
    const auto updateAverage = [&](double &average, double sampleUs, double medianUs) {
        if (medianUs > 0)
            sampleUs = std::min(sampleUs, medianUs * m_options.outlierFactor);
        average = average <= 0 ? sampleUs
                               : average + m_options.newSampleWeight * (sampleUs - average);
    };
    updateAverage(endpoint.averageUs, toPositiveUs(result.latency), m_medianUs);
    const bool hasServiceTime =
            result.outcome == dispatch_outcome::answered && result.serviceTime > duration::zero();
    updateAverage(endpoint.serviceAverageUs,
                  toPositiveUs(hasServiceTime ? result.serviceTime : result.latency),
                  m_serviceMedianUs);
    ++endpoint.samples;
}

void two_choice_routing::handleProbeResult(instant now, known_endpoint &endpoint,
                                           const dispatch_result &result)
{
    // Requests dispatched before the ejection are not probes, and a refusal says nothing about
    // health.
    if (endpoint.state != health::probing || result.outcome == dispatch_outcome::refused)
        return;
    const bool hasServiceTime = result.serviceTime > duration::zero();
    const double timeUs = toPositiveUs(hasServiceTime ? result.serviceTime : result.latency);
    const double medianUs = hasServiceTime ? m_serviceMedianUs : m_medianUs;
    const bool passed = result.outcome == dispatch_outcome::answered
                        && (medianUs <= 0 || timeUs <= medianUs * m_options.slowFactor);
    if (!passed) {
        endpoint.ejectionTime = std::min(endpoint.ejectionTime * 2, m_options.maxEjectionTime);
        endpoint.ejectedUntil = now + endpoint.ejectionTime;
        endpoint.state = health::ejected;
        endpoint.probesPassed = 0;
        return;
    }
    endpoint.ejectedUntil = now;
    if (++endpoint.probesPassed < m_options.probesBeforeRecovery)
        return;
    endpoint.state = health::good;
    // The old averages are from before the ejection.
    endpoint.averageUs = m_medianUs;
    endpoint.serviceAverageUs = m_serviceMedianUs;
    endpoint.samples = 1;
    rebuildLists();
}

void two_choice_routing::eject(instant now, known_endpoint &endpoint, bool forFailures)
{
    endpoint.ejectedForFailures = forFailures;
    endpoint.state = health::ejected;
    // An endpoint that is ejected again soon after it was restored is ejected for twice as long, up
    // to the maximum.
    const bool isRepeated = endpoint.ejectionTime > duration::zero()
                            && now - endpoint.ejectedUntil < m_options.maxEjectionTime;
    endpoint.ejectionTime = isRepeated
                                    ? std::min(endpoint.ejectionTime * 2, m_options.maxEjectionTime)
                                    : m_options.initialEjectionTime;
    endpoint.ejectedUntil = now + endpoint.ejectionTime;
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
    const std::size_t allowed = maxEjected();
    if (m_ejected.size() >= allowed)
        return;
    const double slowUs = m_serviceMedianUs * m_options.slowFactor;
    std::vector<known_endpoint *> slowEndpoints;
    for (auto &endpoint : m_endpoints) {
        if (endpoint.present && !endpoint.report.draining && endpoint.state == health::good
            && endpoint.samples >= m_options.minSamples && endpoint.serviceAverageUs > slowUs)
            slowEndpoints.push_back(&endpoint);
    }
    if (slowEndpoints.empty())
        return;
    std::sort(slowEndpoints.begin(), slowEndpoints.end(),
              [](const known_endpoint *a, const known_endpoint *b) {
                  return a->serviceAverageUs > b->serviceAverageUs;
              });
    slowEndpoints.resize(std::min(slowEndpoints.size(), allowed - m_ejected.size()));
    for (auto *endpoint : slowEndpoints)
        eject(now, *endpoint, false);
    rebuildLists();
}

std::size_t two_choice_routing::maxEjected() const
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
    // Removed endpoints raise the ejected share; those whose ejection ends first are restored.
    while (m_ejected.size() > maxEjected()) {
        const auto earliest = std::min_element(
                m_ejected.begin(), m_ejected.end(), [this](endpoint_number a, endpoint_number b) {
                    return m_endpoints[a].ejectedUntil < m_endpoints[b].ejectedUntil;
                });
        auto &restored = m_endpoints[*earliest];
        restored.state = health::good;
        (restored.report.local ? m_local : m_remote).push_back(*earliest);
        m_ejected.erase(earliest);
    }
}

} // namespace plantainpitch
