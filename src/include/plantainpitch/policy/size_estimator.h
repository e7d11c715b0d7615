#pragma once

#include "plantainpitch/model/resources.h"

#include <cstdint>
#include <string>

namespace plantainpitch {

/// Estimates size and run time of the tasks of a template. Not thread-safe.
class size_estimator
{
public:
    size_estimator() = default;
    size_estimator(const size_estimator &) = delete;
    size_estimator &operator=(const size_estimator &) = delete;
    virtual ~size_estimator() = default;

    /// Reports the run time of a task that ran to completion.
    virtual void onFinished(const std::string &templateName, std::int64_t runTimeMs) = 0;
    /// Reports what a task used: average processors, peak memory.
    virtual void onUsage(const std::string &templateName, const resources &used) = 0;

    [[nodiscard]] virtual std::int64_t runTimeMs(const std::string &templateName,
                                                 std::int64_t declaredMs) const = 0;
    [[nodiscard]] virtual resources size(const std::string &templateName,
                                         const resources &declared) const = 0;
};

} // namespace plantainpitch
