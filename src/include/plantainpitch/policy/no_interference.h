#pragma once

#include "plantainpitch/policy/interference_model.h"

namespace plantainpitch {

/// Baseline: predicts that batch tasks do not affect latency.
class no_interference final : public interference_model
{
public:
    void observe(const observation &observed) override { (void)observed; }
    [[nodiscard]] double latencyRatioWithoutBatch(const std::string &service,
                                                  double load) const override;
    [[nodiscard]] double addedLatencyRatio(const std::string &service, double load,
                                           const template_counts &batch) const override;
};

} // namespace plantainpitch
