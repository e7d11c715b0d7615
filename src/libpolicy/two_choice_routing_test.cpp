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

    /// Sends requests one after the other. \a serviceMs gives an endpoint's time; 0: it fails.
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
                           { .end = time > duration::zero() ? dispatch_end::answered
                                                            : dispatch_end::failed,
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
BOOST_AUTO_TEST_CASE(slowEndpointIsEjectedAndProbedBack)
{
    routed_service s(11, 11);
    s.run(500, [](endpoint_number) { return 10; });
    s.run(500, [](endpoint_number e) { return e == 0 ? 100 : 10; });
    BOOST_TEST(s.policy.explain(0).find("health=good") == std::string::npos);
    auto chosen = s.run(5000, [](endpoint_number e) { return e == 0 ? 100 : 10; });
    BOOST_TEST(chosen[0] <= 4); // probes after 1, 2 and 4 s
    s.run(20'000, [](endpoint_number) { return 10; });
    BOOST_TEST(s.policy.explain(0).find("health=good") != std::string::npos);
    chosen = s.run(5000, [](endpoint_number) { return 10; });
    BOOST_TEST(chosen[0] > 200);
}

// Guards against ejecting so many endpoints that the rest is overloaded.
BOOST_AUTO_TEST_CASE(atMostThirtyPercentAreEjected)
{
    routed_service s(10, 10);
    s.run(3000, [](endpoint_number e) { return e < 5 ? 0 : 10; });
    int ejected = 0;
    for (endpoint_number i = 0; i < 10; ++i)
        ejected += s.policy.explain(i).find("health=good") == std::string::npos ? 1 : 0;
    BOOST_TEST(ejected == 3);
    // Fewer endpoints allow fewer ejections.
    for (endpoint_number i = 5; i < 10; ++i)
        s.policy.onRemoved(i);
    ejected = 0;
    for (endpoint_number i = 0; i < 5; ++i)
        ejected += s.policy.explain(i).find("health=good") == std::string::npos ? 1 : 0;
    BOOST_TEST(ejected <= 1);
}

// Guards against requests that leave the data centre without need, or queue although another data
// centre is idle.
BOOST_AUTO_TEST_CASE(requestsSpillOverWhenLocalEndpointsAreFull)
{
    routed_service s(6, 2);
    for (const auto &[endpoint, number] : s.run(1000, [](endpoint_number) { return 10; })) {
        BOOST_TEST(endpoint < 2U);
        BOOST_TEST(number > 0);
    }
    for (endpoint_number i = 0; i < 2; ++i) {
        s.reports[i].running = 8;
        s.reports[i].queued = 20;
        s.policy.onReport(s.now, i, s.reports[i]);
    }
    BOOST_TEST(s.policy.choose(s.now, {}).value() >= 2U);
    // A report this old no longer says that they are full.
    s.now += std::chrono::seconds(2);
    BOOST_TEST(s.policy.choose(s.now, {}).value() < 2U);
}

// Guards against work for an endpoint that leaves, was tried already, or is gone.
BOOST_AUTO_TEST_CASE(drainingExcludedAndRemovedAreNotChosen)
{
    routed_service s(3, 3);
    s.reports[0].draining = true;
    s.policy.onReport(s.now, 0, s.reports[0]);
    const std::vector<endpoint_number> tried{ 1 };
    for (int i = 0; i < 50; ++i)
        BOOST_TEST(s.policy.choose(s.now, tried).value() == 2U);
    s.policy.onRemoved(2);
    BOOST_TEST(!s.policy.choose(s.now, tried).has_value());
}
