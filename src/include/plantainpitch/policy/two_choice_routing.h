#pragma once

#include "plantainpitch/policy/routing_policy.h"
#include "plantainpitch/policy/two_choice_options.h"

#include <random>
#include <vector>

namespace plantainpitch {

/// Chooses the better of two random endpoints by (1 + (in-flight + 1) / slots) x latency average.
/// In-flight counts in units of the slots: as long as slots are free, a request does not wait for
/// the others, and an idle slow endpoint must not look better than a good one in use.
///
/// Endpoints of the local data centre come first. A remote one is taken if it costs less and the
/// better local candidate is slow or has no free slot. Slow and failing endpoints are ejected, at
/// most maxEjectedShare of them, and brought back by probes: single requests after the ejection
/// time.
class two_choice_routing final : public routing_policy
{
public:
    explicit two_choice_routing(std::uint64_t seed, two_choice_options options = {})
        : m_options(options)
        , m_random(seed)
    {}

    void onReport(instant now, endpoint_number endpoint, const endpoint_report &report) override;
    void onRemoved(endpoint_number endpoint) override;
    void onDispatched(instant now, endpoint_number endpoint) override;
    void onEnded(instant now, endpoint_number endpoint, const dispatch_result &result) override;
    std::optional<endpoint_number> choose(instant now,
                                          std::span<const endpoint_number> excluded) override;
    [[nodiscard]] std::string explain(endpoint_number endpoint) const override;

private:
    enum class health { good, ejected, probing };

    struct known_endpoint
    {
        bool present = false;
        endpoint_report report;
        instant reportedAt;
        std::uint32_t inFlight = 0; ///< from this entry, exact
        std::uint32_t inFlightAtReport = 0;
        double averageUs = 0; ///< latency
        double serviceAverageUs = 0;
        std::uint32_t samples = 0;
        std::uint32_t failures = 0; ///< in a row
        bool failing = false; ///< ejected for failures
        health state = health::good;
        instant ejectedUntil;
        duration ejection{}; ///< length of the current or last one
        std::uint32_t probesPassed = 0;
    };
    using endpoint_list = std::vector<endpoint_number>;

    [[nodiscard]] double load(instant now, const known_endpoint &endpoint) const;
    [[nodiscard]] double cost(instant now, endpoint_number endpoint) const;
    [[nodiscard]] bool isSlow(endpoint_number endpoint) const;
    /// True if less than this share of the slots is in use, as far as is known.
    [[nodiscard]] bool hasFreeSlot(instant now, endpoint_number endpoint, double share) const;
    std::optional<endpoint_number> chooseGood(instant now,
                                              std::span<const endpoint_number> excluded);
    std::optional<endpoint_number> pickOf(instant now, const endpoint_list &list,
                                          std::span<const endpoint_number> excluded);
    /// Random endpoint that is neither excluded nor  other.
    std::optional<endpoint_number> draw(const endpoint_list &list,
                                        std::span<const endpoint_number> excluded,
                                        std::optional<endpoint_number> other);
    std::optional<endpoint_number> takeProbe(instant now,
                                             std::span<const endpoint_number> excluded);
    [[nodiscard]] std::optional<endpoint_number>
    lastResort(instant now, std::span<const endpoint_number> excluded) const;

    void addSample(known_endpoint &endpoint, const dispatch_result &result);
    void judgeProbe(instant now, known_endpoint &endpoint, const dispatch_result &result);
    /// The lists are to be rebuilt afterwards.
    void eject(instant now, known_endpoint &endpoint, bool isFailing);
    void refresh(instant now);
    void ejectSlow(instant now);
    [[nodiscard]] double medianOf(double known_endpoint::*average) const;
    [[nodiscard]] std::size_t mayEject() const;
    void rebuildLists();

    two_choice_options m_options;
    std::mt19937_64 m_random;
    std::vector<known_endpoint> m_endpoints;
    endpoint_list m_local; ///< neither draining nor ejected
    endpoint_list m_remote;
    endpoint_list m_ejected; ///< ejected or probing
    double m_medianUs = 0; ///< of the latency averages of all endpoints
    double m_serviceMedianUs = 0;
    instant m_refreshedAt;
    bool m_refreshed = false;
};

} // namespace plantainpitch
