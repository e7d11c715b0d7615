#include "plantainpitch/policy/two_choice_routing.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace plantainpitch;

namespace {

struct routed_service
{
    /// Adds endpoints with the numbers from 0; the first \a local are in the same data centre.
    routed_service(endpoint_number count, endpoint_number local)
    {
        for (endpoint_number i = 0; i < count; ++i) {
            reports.push_back({ .local = i < local, .slots = 8 });
            policy.onReport(now, i, reports.back());
        }
    }

    /// Sends requests one after the other. \a serviceMs returns the service time of an endpoint, or
    /// 0 if the request fails.
    std::map<endpoint_number, int> run(int requests,
                                       const std::function<int(endpoint_number)> &serviceMs)
    {
        std::map<endpoint_number, int> chosen;
        for (int i = 0; i < requests; ++i) {
            const auto endpoint = policy.choose(now, {}).value();
            ++chosen[endpoint];
            policy.onDispatched(now, endpoint);
            now += std::chrono::milliseconds(1);
            const duration time = std::chrono::milliseconds(serviceMs(endpoint));
            policy.onEnded(now, endpoint,
                           { .outcome = time > duration::zero() ? dispatch_outcome::answered
                                                                : dispatch_outcome::failed,
                             .latency = time,
                             .serviceTime = time });
        }
        return chosen;
    }

    instant now;
    two_choice_routing policy{ 1 };
    std::vector<endpoint_report> reports;
};

} // namespace

// Guards against a slow endpoint that keeps its share of the requests, and against one that is
// never tried again after it has recovered.
BOOST_AUTO_TEST_CASE(slowEndpointIsEjectedAndRestoredByProbes)
{
    routed_service service(11, 11);
    service.run(500, [](endpoint_number) { return 10; });
    service.run(500, [](endpoint_number e) { return e == 0 ? 100 : 10; });
    BOOST_TEST(service.policy.explain(0).find("health=good") == std::string::npos);
    auto chosen = service.run(5000, [](endpoint_number e) { return e == 0 ? 100 : 10; });
    BOOST_TEST(chosen[0] <= 4); // probes after 1, 2 and 4 s
    service.run(20'000, [](endpoint_number) { return 10; });
    BOOST_TEST(service.policy.explain(0).find("health=good") != std::string::npos);
    chosen = service.run(5000, [](endpoint_number) { return 10; });
    BOOST_TEST(chosen[0] > 200);
}

// Guards against ejecting so many endpoints that the others are overloaded.
BOOST_AUTO_TEST_CASE(atMostThirtyPercentAreEjected)
{
    routed_service service(10, 10);
    service.run(3000, [](endpoint_number e) { return e < 5 ? 0 : 10; });
    int ejected = 0;
    for (endpoint_number i = 0; i < 10; ++i)
        ejected += service.policy.explain(i).find("health=good") == std::string::npos ? 1 : 0;
    BOOST_TEST(ejected == 3);
    // Fewer endpoints allow fewer ejections.
    for (endpoint_number i = 5; i < 10; ++i)
        service.policy.onRemoved(i);
    ejected = 0;
    for (endpoint_number i = 0; i < 5; ++i)
        ejected += service.policy.explain(i).find("health=good") == std::string::npos ? 1 : 0;
    BOOST_TEST(ejected <= 1);
}

// Guards against requests that leave the data centre while it has free slots, or that queue
// although another data centre is idle.
BOOST_AUTO_TEST_CASE(requestsSpillOverWhenLocalEndpointsAreFull)
{
    routed_service service(6, 2);
    for (const auto &[endpoint, number] : service.run(1000, [](endpoint_number) { return 10; })) {
        BOOST_TEST(endpoint < 2U);
        BOOST_TEST(number > 0);
    }
    for (endpoint_number i = 0; i < 2; ++i) {
        service.reports[i].running = 8;
        service.reports[i].queued = 20;
        service.policy.onReport(service.now, i, service.reports[i]);
    }
    BOOST_TEST(service.policy.choose(service.now, {}).value() >= 2U);
    // The reported load has decayed.
    service.now += std::chrono::seconds(2);
    BOOST_TEST(service.policy.choose(service.now, {}).value() < 2U);
}

// Guards against requests to endpoints that are draining, excluded or removed.
BOOST_AUTO_TEST_CASE(drainingExcludedAndRemovedAreNotChosen)
{
    routed_service service(3, 3);
    service.reports[0].draining = true;
    service.policy.onReport(service.now, 0, service.reports[0]);
    const std::vector<endpoint_number> tried{ 1 };
    for (int i = 0; i < 50; ++i)
        BOOST_TEST(service.policy.choose(service.now, tried).value() == 2U);
    service.policy.onRemoved(2);
    BOOST_TEST(!service.policy.choose(service.now, tried).has_value());
}
