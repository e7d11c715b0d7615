#pragma once

#include "plantainpitch/policy/interference_model.h"

#include <array>
#include <cstddef>
#include <map>
#include <string>
#include <utility>

namespace plantainpitch {

/// Learns by normalised least mean squares, per load band, the latency of each service without
/// batch tasks and the increase by one task of each batch template. Pairs without observations are
/// assumed to interfere.
class learned_interference final : public interference_model
{
public:
    void observe(const observation &observed) override;
    [[nodiscard]] double latencyRatioWithoutBatch(const std::string &service,
                                                  double load) const override;
    [[nodiscard]] double addedLatencyRatio(const std::string &service, double load,
                                           const template_counts &batch) const override;

private:
    static constexpr std::size_t loadBands = 8;

    struct weight
    {
        double value = 0;
        std::uint32_t samples = 0;
    };
    using band_weights = std::array<weight, loadBands>;

    static std::size_t bandOf(double load);
    [[nodiscard]] double estimate(const std::string &service, const std::string &batch,
                                  std::size_t band) const;
    weight &countSample(const std::string &service, const std::string &batch, std::size_t band);

    /// By service and batch template; the empty template stands for the service without batch
    /// tasks.
    std::map<std::pair<std::string, std::string>, band_weights> m_weights;
};

} // namespace plantainpitch
