#pragma once

#include "plantainpitch/policy/interference_model.h"

#include <array>
#include <cstddef>
#include <map>
#include <string>
#include <utility>

namespace plantainpitch {

/// Learns, per band of load, the latency of each service alone and what one task of each batch
/// template adds, by normalised least mean squares. Pairs that were never seen are assumed to
/// interfere.
class learned_interference final : public interference_model
{
public:
    void observe(const observation &seen) override;
    [[nodiscard]] double alone(const std::string &service, double load) const override;
    [[nodiscard]] double added(const std::string &service, double load,
                               const template_counts &batch) const override;

private:
    static constexpr std::size_t bands = 8;

    struct weight
    {
        double value = 0;
        std::uint32_t samples = 0;
    };
    using band_weights = std::array<weight, bands>;

    static std::size_t bandOf(double load);
    [[nodiscard]] double estimate(const std::string &service, const std::string &batch,
                                  std::size_t band) const;
    weight &learn(const std::string &service, const std::string &batch, std::size_t band);

    /// By service and batch template; the empty template is the service alone.
    std::map<std::pair<std::string, std::string>, band_weights> m_weights;
};

} // namespace plantainpitch
