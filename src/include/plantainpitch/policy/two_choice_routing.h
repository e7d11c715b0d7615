#pragma once

#include "plantainpitch/policy/routing_policy.h"
#include "plantainpitch/policy/two_choice_options.h"

#include <random>
#include <vector>

namespace plantainpitch {

/// Chooses the better of two random endpoints by (1 + (in-flight + 1) / slots) x latency average.
/// In-flight requests are divided by the slots, since a request does not wait for others while
/// slots are free; otherwise an idle slow endpoint would seem cheaper than a fast one in use.
///
/// Endpoints of the local data centre are preferred. A remote one is chosen if its cost is lower
/// and the better local candidate is slow or has no free slot. Slow and failing endpoints are
/// ejected, at most maxEjectedShare of all endpoints, and restored by probes: single requests after
/// the ejection time.
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
        std::uint32_t inFlight = 0; ///< from this entry
        std::uint32_t inFlightAtReport = 0;
        double averageUs = 0; ///< latency
        double serviceAverageUs = 0;
        std::uint32_t samples = 0;
        std::uint32_t failures = 0; ///< in a row
        bool ejectedForFailures = false; ///< otherwise for slowness
        health state = health::good;
        instant ejectedUntil;
        duration ejectionTime{}; ///< of the current or last ejection
        std::uint32_t probesPassed = 0;
    };
    using endpoint_list = std::vector<endpoint_number>;

    [[nodiscard]] double load(instant now, const known_endpoint &endpoint) const;
    [[nodiscard]] double cost(instant now, endpoint_number endpoint) const;
    [[nodiscard]] bool exceedsSpillFactor(endpoint_number endpoint) const;
    /// True if the estimated load is below \a share of the slots.
    [[nodiscard]] bool hasFreeSlot(instant now, endpoint_number endpoint, double share) const;
    std::optional<endpoint_number> chooseGood(instant now,
                                              std::span<const endpoint_number> excluded);
    std::optional<endpoint_number> chooseOfTwo(instant now, const endpoint_list &list,
                                               std::span<const endpoint_number> excluded);
    /// Random endpoint that is neither excluded nor \a alreadyDrawn.
    std::optional<endpoint_number> drawRandom(const endpoint_list &list,
                                              std::span<const endpoint_number> excluded,
                                              std::optional<endpoint_number> alreadyDrawn);
    std::optional<endpoint_number> startProbe(instant now,
                                              std::span<const endpoint_number> excluded);
    [[nodiscard]] std::optional<endpoint_number>
    chooseEjected(instant now, std::span<const endpoint_number> excluded) const;

    void addSample(known_endpoint &endpoint, const dispatch_result &result);
    void handleProbeResult(instant now, known_endpoint &endpoint, const dispatch_result &result);
    /// The caller must call rebuildLists() afterwards.
    void eject(instant now, known_endpoint &endpoint, bool forFailures);
    void refresh(instant now);
    void ejectSlow(instant now);
    [[nodiscard]] double medianOf(double known_endpoint::*average) const;
    [[nodiscard]] std::size_t maxEjected() const;
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
