#include "plantainpitch/runtime/caller_http.h"

#include <boost/test/unit_test.hpp>

using namespace plantainpitch;
using namespace plantainpitch::runtime;

namespace {

std::variant<caller_request, http_response> parse(const http_request &request)
{
    return parseCallerRequest(3, request, 99);
}

unsigned refusalStatus(const http_request &request)
{
    const auto parsed = parse(request);
    const auto *response = std::get_if<http_response>(&parsed);
    return response ? response->status : 0;
}

} // namespace

// Guards against a request that reaches another account, service or path than the caller named.
BOOST_AUTO_TEST_CASE(requestIsReadWhole)
{
    const auto parsed = parse({ .method = "POST",
                                .target = "/v1/accounts/a/services/s/pay/1?x=/2",
                                .headers = { { "Idempotency-Key", "k" },
                                             { "x-request-timeout-ms", "250" },
                                             { "Content-Type", "text/plain" },
                                             { "X-Plantain-Task", "job/x/7" },
                                             { "X-Plantain-Attempt", "65537" } },
                                .body = "b" });
    const caller_request expected{ .callerId = 3,
                                   .request = { .account = "a",
                                                .templateName = "s",
                                                .method = "POST",
                                                .path = "/pay/1?x=/2",
                                                .contentType = "text/plain",
                                                .body = "b",
                                                .origin = held_task{ { "job/x", 7 }, { 65537 } } },
                                   .idempotencyKey = "k",
                                   .timeoutMs = 250,
                                   .nowMs = 99 };
    BOOST_REQUIRE(std::holds_alternative<caller_request>(parsed));
    BOOST_TEST((std::get<caller_request>(parsed) == expected));

    const auto bare = parse({ .method = "GET", .target = "/v1/accounts/a/services/s?x=1" });
    BOOST_REQUIRE(std::holds_alternative<caller_request>(bare));
    BOOST_TEST(std::get<caller_request>(bare).request.path == "/?x=1");
}

// Guards against a malformed request that is passed on with a guessed meaning.
BOOST_AUTO_TEST_CASE(malformedRequestsDoNotRun)
{
    const std::string good = "/v1/accounts/a/services/s/p";
    for (const char *target : { "/", "/v1/accounts/a", "/v1/accounts//services/s/p",
                                "/v1/accounts/a/services//p", "/v1/accounts/a/jobs/s/p" })
        BOOST_TEST(refusalStatus({ .method = "GET", .target = target }) == 404U, target);
    BOOST_TEST(refusalStatus({ .target = "/v1/accounts/a%2Fb/services/s/p" }) == 400U);
    for (const char *timeout : { "0", "-1", "1.5", "x", "99999999999999999999" }) {
        BOOST_TEST(refusalStatus(
                           { .target = good, .headers = { { "X-Request-Timeout-Ms", timeout } } })
                           == 400U,
                   timeout);
    }
    BOOST_TEST(refusalStatus({ .target = good, .headers = { { "X-Plantain-Task", "j/1" } } })
               == 400U);
    BOOST_TEST(refusalStatus(
                       { .target = good,
                         .headers = { { "X-Plantain-Task", "j" }, { "X-Plantain-Attempt", "1" } } })
               == 400U);
    BOOST_TEST(refusalStatus({ .target = good,
                               .headers = { { "Idempotency-Key", std::string(257, 'k') } } })
               == 400U);
    const auto refused = parse({ .target = "/" });
    BOOST_TEST(std::get<http_response>(refused).headers[0].second == "not-run");
}
