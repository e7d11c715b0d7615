#pragma once

#include "plantainpitch/policy/size_estimator.h"

namespace plantainpitch {

/// Baseline: returns the declared size and run time unchanged.
class declared_size final : public size_estimator
{
public:
    void onFinished(const std::string &templateName, std::int64_t runTimeMs) override;
    void onUsage(const std::string &templateName, const resources &used) override;
    [[nodiscard]] std::int64_t runTimeMs(const std::string &templateName,
                                         std::int64_t declaredMs) const override;
    [[nodiscard]] resources size(const std::string &templateName,
                                 const resources &declared) const override;
};

} // namespace plantainpitch
