#include "plantainpitch/runtime/service_http.h"

#include <boost/test/unit_test.hpp>

using namespace plantainpitch;
using namespace plantainpitch::runtime;

// Guards against a request that loses its id or account on the last step to the service.
BOOST_AUTO_TEST_CASE(serviceRequestNamesIdAndAccount)
{
    const service_call call{ .id = { 5, 6 },
                             .request = { .account = "a",
                                          .method = "POST",
                                          .path = "/p?q",
                                          .contentType = "text/plain",
                                          .body = "b" },
                             .timeoutUs = 1'001 };
    const http_request expected{ .method = "POST",
                                 .target = "/p?q",
                                 .headers = { { "X-Request-Id", "5-6" },
                                              { "X-Plantain-Account", "a" },
                                              { "Content-Type", "text/plain" } },
                                 .body = "b" };
    BOOST_TEST((toHttpRequest(call) == expected));
    BOOST_TEST((timeoutOf(call) == std::chrono::milliseconds(2)));
    BOOST_TEST((timeoutOf({ .timeoutUs = -5 }) == std::chrono::milliseconds(1)));
}

// Guards against a lost answer that is taken for proof that the request did not run.
BOOST_AUTO_TEST_CASE(onlyAFailedConnectionProvesThatNothingRan)
{
    const auto kindOf = [](http_result_kind kind) {
        return toServiceResult(1, { .kind = kind }).kind;
    };
    BOOST_TEST((kindOf(http_result_kind::timeout) == service_result_kind::broken));
    BOOST_TEST((kindOf(http_result_kind::broken) == service_result_kind::broken));
    BOOST_TEST((kindOf(http_result_kind::connect_failed) == service_result_kind::connect_failed));
    const auto result =
            toServiceResult(7, { .kind = http_result_kind::answered,
                                 .response = { .status = 500, .contentType = "t", .body = "x" } });
    BOOST_TEST((result == service_result{ 7, service_result_kind::answered, { 500, "t", "x" } }));
}
