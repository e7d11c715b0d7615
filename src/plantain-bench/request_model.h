#pragma once

#include "plantainpitch/model/instant.h"
#include "plantainpitch/role/request_admission.h"
#include "plantainpitch/role/request_router.h"

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <unordered_map>
#include <vector>

namespace plantainpitch {

/// Scenario of the model. Times are virtual.
struct request_model_options
{
    std::uint64_t seed = 1;
    double load = 0.5; ///< offered requests as a share of the capacity
    std::int64_t lengthMs = 12'000;
    std::int64_t timeoutMs = 2000;
    std::int64_t measureFromMs = 500; ///< requests before are warm-up
    /// Factor on the service time of an endpoint at a time; 1 is normal.
    std::function<double(std::size_t endpoint, std::int64_t nowMs)> slowness;
    request_router_options router; ///< policies
    std::function<std::unique_ptr<admission_policy>()> makeAdmissionPolicy;
};

struct request_model_result
{
    std::vector<std::int64_t>
            latenciesUs; ///< sorted; a request without an answer counts as its timeout
    double goodputPerS = 0; ///< answered before the deadline
    double addedLoad = 0; ///< dispatches beyond the first, per first dispatch
    double unanswered = 0; ///< share of requests

    [[nodiscard]] double percentileMs(double share) const;
};

/// 4 entries and 11 endpoints x 8 slots in 4 data centres about 3 ms apart (the deployment of
/// docs/design.md, section 1.1), made of the real routers and admissions. Entries see the load of
/// others through heartbeats every 500 ms and through answers. 70 % of the requests are
/// idempotent; the service time is 5 ms plus an exponential of 5 ms.
class request_model
{
public:
    static constexpr std::size_t entryCount = 4;
    static constexpr std::size_t endpointCount = 11;
    static constexpr std::uint32_t slots = 8;
    static constexpr double meanServiceUs = 10'000;
    static constexpr double capacityPerS = endpointCount * slots * 1e6 / meanServiceUs;

    explicit request_model(request_model_options options);
    request_model_result run();

private:
    struct timed_event
    {
        std::int64_t timeUs;
        std::uint64_t order;
        std::function<void()> work;
        bool operator<(const timed_event &other) const
        {
            return timeUs != other.timeUs ? timeUs > other.timeUs : order > other.order;
        }
    };

    [[nodiscard]] instant now() const { return instant(duration(m_nowUs)); }
    void after(std::int64_t us, std::function<void()> work);
    std::int64_t linkDelayUs(std::size_t entry, std::size_t endpoint);
    void report(std::size_t endpoint);
    void arrive(std::size_t entry);
    void takeFromEntry(std::size_t entry);
    void takeFromEndpoint(std::size_t endpoint);
    void serve(std::size_t endpoint, const service_call &call);
    void noteAnswer(const answer_caller &reply);
    static connection_id connectionOf(std::size_t entry, std::size_t endpoint)
    {
        return 1 + entry * endpointCount + endpoint;
    }

    request_model_options m_options;
    std::mt19937_64 m_random;
    std::int64_t m_nowUs = 0;
    std::uint64_t m_order = 0;
    std::uint64_t m_lastCaller = 0;
    std::uint64_t m_firstDispatches = 0;
    std::uint64_t m_addedDispatches = 0;
    std::uint64_t m_answered = 0;
    std::unordered_map<std::uint64_t, std::int64_t> m_arrivals; ///< by caller, microseconds
    std::vector<std::int64_t> m_latenciesUs;
    std::uint64_t m_unanswered = 0;
    std::priority_queue<timed_event> m_events;
    std::vector<std::unique_ptr<request_router>> m_routers;
    std::vector<std::unique_ptr<request_admission>> m_admissions;
};

} // namespace plantainpitch
