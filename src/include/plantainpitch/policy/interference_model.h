#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace plantainpitch {

/// Latency of a service, as a share of its target, in company of batch tasks. Not thread-safe.
class interference_model
{
public:
    using template_counts = std::map<std::string, std::uint32_t>;

    /// One period on one VM.
    struct observation
    {
        std::string service;
        double load = 0; ///< of the service, 0 to 1
        template_counts batch; ///< tasks that ran, by template
        double batchShare = 1; ///< share of processors that they had, 0 to 1
        double latencyRatio = 0; ///< latency / target
    };

    interference_model() = default;
    interference_model(const interference_model &) = delete;
    interference_model &operator=(const interference_model &) = delete;
    virtual ~interference_model() = default;

    virtual void observe(const observation &seen) = 0;
    /// Latency / target without batch work.
    [[nodiscard]] virtual double alone(const std::string &service, double load) const = 0;
    /// What the tasks add at a batch share of 1.
    [[nodiscard]] virtual double added(const std::string &service, double load,
                                       const template_counts &batch) const = 0;
};

} // namespace plantainpitch
