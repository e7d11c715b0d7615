#pragma once

#include "plantainpitch/sched/headroom_filter.h"

#include <map>
#include <string>

namespace plantainpitch::sched {

/// Estimates the headroom that each serving image loses to each filling image. Not thread-safe.
class disturbance_model
{
public:
    void observe(const headroom_sample &sample) { m_filters[sample.image].observe(sample); }

    /// Returns the headroom lost by \a serving if \a filling used all processors of a VM.
    [[nodiscard]] double loss(const std::string &serving, const std::string &filling) const;
    /// Returns the change of a job's headroom per second caused by its own load.
    [[nodiscard]] double trend(const std::string &serving, const std::string &job) const;

private:
    std::map<std::string, headroom_filter> m_filters; ///< by serving image
};

} // namespace plantainpitch::sched
