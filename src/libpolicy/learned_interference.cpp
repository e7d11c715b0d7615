#include "plantainpitch/policy/learned_interference.h"

#include <algorithm>

namespace plantainpitch {

namespace {

// Assumed for pairs that were never seen: high enough to start them under a throttle, low enough
// to start them.
constexpr double unknownAlone = 0.5;
constexpr double unknownAdded = 0.1;
// Weights converge in some dozens of samples; noise of a single sample moves them little.
constexpr double learningRate = 0.15;
constexpr double firstLearningRate = 0.5;
constexpr std::uint32_t firstSamples = 8;
// Latency jitters by some percent; larger errors upwards are learned faster than downwards,
// because they cost the latency target.
constexpr double downwardFactor = 0.5;

} // namespace

std::size_t learned_interference::bandOf(double load)
{
    const double scaled = std::clamp(load, 0.0, 1.0) * static_cast<double>(bands);
    return std::min(static_cast<std::size_t>(scaled), bands - 1);
}

double learned_interference::estimate(const std::string &service, const std::string &batch,
                                      std::size_t band) const
{
    const double unknown = batch.empty() ? unknownAlone : unknownAdded;
    const auto known = m_weights.find(std::pair(service, batch));
    if (known == m_weights.end())
        return unknown;
    // Interference grows with load, so the nearest band that was seen is the best guess.
    for (std::size_t distance = 0; distance < bands; ++distance) {
        if (band + distance < bands && known->second[band + distance].samples > 0)
            return known->second[band + distance].value;
        if (band >= distance && known->second[band - distance].samples > 0)
            return known->second[band - distance].value;
    }
    return unknown;
}

learned_interference::weight &
learned_interference::learn(const std::string &service, const std::string &batch, std::size_t band)
{
    const double value = estimate(service, batch, band);
    weight &entry = m_weights[std::pair(service, batch)][band];
    if (entry.samples == 0)
        entry.value = value;
    ++entry.samples;
    return entry;
}

double learned_interference::alone(const std::string &service, double load) const
{
    return estimate(service, {}, bandOf(load));
}

double learned_interference::added(const std::string &service, double load,
                                   const template_counts &batch) const
{
    double sum = 0;
    for (const auto &[name, count] : batch)
        sum += count * estimate(service, name, bandOf(load));
    return sum;
}

void learned_interference::observe(const observation &seen)
{
    const std::size_t band = bandOf(seen.load);
    const double expected = estimate(seen.service, {}, band)
                            + seen.batchShare * added(seen.service, seen.load, seen.batch);
    double norm = 1;
    for (const auto &[name, count] : seen.batch)
        norm += count * seen.batchShare * count * seen.batchShare;
    const double error = seen.latencyRatio - expected;
    const auto correct = [&](const std::string &batch, double input) {
        weight &entry = learn(seen.service, batch, band);
        const double rate = entry.samples <= firstSamples ? firstLearningRate : learningRate;
        const double factor = error < 0 ? downwardFactor : 1;
        entry.value = std::max(0.0, entry.value + rate * factor * error * input / norm);
    };
    correct({}, 1);
    for (const auto &[name, count] : seen.batch)
        correct(name, count * seen.batchShare);
}

} // namespace plantainpitch
