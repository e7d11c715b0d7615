#pragma once

#include "plantainpitch/policy/interference_model.h"

namespace plantainpitch {

/// Baseline: batch work never disturbs.
class no_interference final : public interference_model
{
public:
    void observe(const observation &seen) override { (void)seen; }
    [[nodiscard]] double alone(const std::string &service, double load) const override;
    [[nodiscard]] double added(const std::string &service, double load,
                               const template_counts &batch) const override;
};

} // namespace plantainpitch
