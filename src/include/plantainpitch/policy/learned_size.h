#pragma once

#include "plantainpitch/policy/size_estimator.h"

#include <cstdint>
#include <map>
#include <string>

namespace plantainpitch {

/// Once there are enough observations of a template, uses the moving averages of run time and
/// processors and the largest peak memory instead of the declaration.
class learned_size final : public size_estimator
{
public:
    void onFinished(const std::string &templateName, std::int64_t runTimeMs) override;
    void onUsage(const std::string &templateName, const resources &used) override;
    [[nodiscard]] std::int64_t runTimeMs(const std::string &templateName,
                                         std::int64_t declaredMs) const override;
    /// Average processors and largest peak memory that were observed.
    [[nodiscard]] resources size(const std::string &templateName,
                                 const resources &declared) const override;

private:
    struct template_usage
    {
        std::uint32_t finished = 0;
        double runTimeMs = 0;
        std::uint32_t samples = 0;
        double processorsMilli = 0;
        std::int64_t memoryBytes = 0;
    };

    std::map<std::string, template_usage> m_usage;
};

} // namespace plantainpitch
