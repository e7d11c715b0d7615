#pragma once

#include "plantainpitch/policy/routing_policy.h"

#include <random>
#include <vector>

namespace plantainpitch {

/// Baseline: the endpoint with the fewest requests in flight from this entry; ties at random.
class least_connections final : public routing_policy
{
public:
    explicit least_connections(std::uint64_t seed)
        : m_random(seed)
    {}

    void onReport(instant now, endpoint_number endpoint, const endpoint_report &report) override;
    void onRemoved(endpoint_number endpoint) override;
    void onDispatched(instant now, endpoint_number endpoint) override;
    void onEnded(instant now, endpoint_number endpoint, const dispatch_result &result) override;
    std::optional<endpoint_number> choose(instant now,
                                          std::span<const endpoint_number> excluded) override;
    [[nodiscard]] std::string explain(endpoint_number endpoint) const override;

private:
    struct known_endpoint
    {
        bool present = false;
        bool draining = false;
        std::uint32_t inFlight = 0;
    };

    std::vector<known_endpoint> m_endpoints;
    std::mt19937_64 m_random;
};

} // namespace plantainpitch
