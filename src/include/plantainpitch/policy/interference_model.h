#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace plantainpitch {

/// Predicts the latency of a service, as a ratio to its target, when batch tasks run on the same
/// VM. Not thread-safe.
class interference_model
{
public:
    using template_counts = std::map<std::string, std::uint32_t>;

    /// Measurements of one period on one VM.
    struct observation
    {
        std::string service;
        double load = 0; ///< of the service, 0 to 1
        template_counts batch; ///< tasks that ran, by template
        double batchShare = 1; ///< share of their processors that they could use, 0 to 1
        double latencyRatio = 0; ///< latency / target
    };

    interference_model() = default;
    interference_model(const interference_model &) = delete;
    interference_model &operator=(const interference_model &) = delete;
    virtual ~interference_model() = default;

    virtual void observe(const observation &observed) = 0;
    /// Expected latency / target without batch tasks.
    [[nodiscard]] virtual double latencyRatioWithoutBatch(const std::string &service,
                                                          double load) const = 0;
    /// Expected increase of latency / target by the tasks at a batch share of 1.
    [[nodiscard]] virtual double addedLatencyRatio(const std::string &service, double load,
                                                   const template_counts &batch) const = 0;
};

} // namespace plantainpitch
