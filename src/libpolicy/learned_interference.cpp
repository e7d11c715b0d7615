#include "plantainpitch/policy/learned_interference.h"

#include <algorithm>

namespace plantainpitch {

namespace {

// Defaults for pairs without observations: high enough that their tasks start throttled, low enough
// that they are started at all.
constexpr double defaultRatioWithoutBatch = 0.5;
constexpr double defaultAddedRatio = 0.1;
// Weights converge within a few dozen samples, and noise of a single sample changes them little.
constexpr double learningRate = 0.15;
constexpr double initialLearningRate = 0.5;
constexpr std::uint32_t initialSamples = 8;
// Latency jitters by a few percent. Underestimates are corrected faster than overestimates, because
// they lead to violations of the latency target.
constexpr double downwardFactor = 0.5;

} // namespace

std::size_t learned_interference::bandOf(double load)
{
    const double scaled = std::clamp(load, 0.0, 1.0) * static_cast<double>(loadBands);
    return std::min(static_cast<std::size_t>(scaled), loadBands - 1);
}

double learned_interference::estimate(const std::string &service, const std::string &batch,
                                      std::size_t band) const
{
    const double defaultRatio = batch.empty() ? defaultRatioWithoutBatch : defaultAddedRatio;
    const auto known = m_weights.find(std::pair(service, batch));
    if (known == m_weights.end())
        return defaultRatio;
    // Interference grows with load, so the nearest band with samples is the best estimate.
    for (std::size_t distance = 0; distance < loadBands; ++distance) {
        if (band + distance < loadBands && known->second[band + distance].samples > 0)
            return known->second[band + distance].value;
        if (band >= distance && known->second[band - distance].samples > 0)
            return known->second[band - distance].value;
    }
    return defaultRatio;
}

learned_interference::weight &learned_interference::countSample(const std::string &service,
                                                                const std::string &batch,
                                                                std::size_t band)
{
    const double value = estimate(service, batch, band);
    weight &entry = m_weights[std::pair(service, batch)][band];
    if (entry.samples == 0)
        entry.value = value;
    ++entry.samples;
    return entry;
}

double learned_interference::latencyRatioWithoutBatch(const std::string &service, double load) const
{
    return estimate(service, {}, bandOf(load));
}

double learned_interference::addedLatencyRatio(const std::string &service, double load,
                                               const template_counts &batch) const
{
    double sum = 0;
    for (const auto &[name, count] : batch)
        sum += count * estimate(service, name, bandOf(load));
    return sum;
}

void learned_interference::observe(const observation &observed)
{
    const std::size_t band = bandOf(observed.load);
    const double expected =
            estimate(observed.service, {}, band)
            + observed.batchShare
                      * addedLatencyRatio(observed.service, observed.load, observed.batch);
    double norm = 1;
    for (const auto &[name, count] : observed.batch)
        norm += count * observed.batchShare * count * observed.batchShare;
    const double error = observed.latencyRatio - expected;
    const auto update = [&](const std::string &batch, double input) {
        weight &entry = countSample(observed.service, batch, band);
        const double rate = entry.samples <= initialSamples ? initialLearningRate : learningRate;
        const double factor = error < 0 ? downwardFactor : 1;
        entry.value = std::max(0.0, entry.value + rate * factor * error * input / norm);
    };
    update({}, 1);
    for (const auto &[name, count] : observed.batch)
        update(name, count * observed.batchShare);
}

} // namespace plantainpitch
