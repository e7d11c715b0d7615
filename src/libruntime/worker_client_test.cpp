#include "plantainpitch/runtime/worker_client.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

using namespace plantainpitch;
using namespace plantainpitch::runtime;

namespace {

const task_id task{ .job = "pay out", .index = 3 };

worker_answer answerTo(worker_operation operation, const http_result &result)
{
    return toWorkerAnswer({ .callId = 5, .operation = operation, .task = task }, result);
}

http_result response(unsigned status, const std::string &body)
{
    return { .kind = http_result_kind::answered, .response = { .status = status, .body = body } };
}

} // namespace

// Guards against a start that names the wrong task, attempt or lease.
BOOST_AUTO_TEST_CASE(startCarriesTheWholeClaim)
{
    const http_request request = toHttpRequest({ .operation = worker_operation::start,
                                                 .task = task,
                                                 .attempt = { .value = 0xFFFF'FFFF'FFFF'FFFE },
                                                 .reserved = { 1500, 1LL << 40, 1 },
                                                 .leaseUntilUs = 77,
                                                 .checkpoint = "cp",
                                                 .command = "run" });
    BOOST_TEST(request.method == "PUT");
    BOOST_TEST(request.target == "/v1/tasks/pay%20out/3");
    const auto expected = boost::json::parse(
            R"({"attempt":18446744073709551614,"resources":{"processors_milli":1500,
                "memory_bytes":1099511627776,"accelerators":1},"lease_until_us":77,
                "checkpoint":"cp","command":"run"})");
    BOOST_TEST(boost::json::parse(request.body) == expected);
}

// Guards against operations that share a path or lose their argument.
BOOST_AUTO_TEST_CASE(operationsHaveTheirPaths)
{
    const auto targetOf = [](worker_operation operation) {
        return toHttpRequest({ .operation = operation, .task = task }).target;
    };
    BOOST_TEST(targetOf(worker_operation::list) == "/v1/worker");
    BOOST_TEST(targetOf(worker_operation::usage) == "/v1/usage");
    BOOST_TEST(targetOf(worker_operation::renew) == "/v1/tasks/pay%20out/3/renew");
    BOOST_TEST(targetOf(worker_operation::checkpoint) == "/v1/tasks/pay%20out/3/checkpoint");
    BOOST_TEST(targetOf(worker_operation::throttle) == "/v1/tasks/pay%20out/3/throttle");
    BOOST_TEST(targetOf(worker_operation::stop) == "/v1/tasks/pay%20out/3/stop");
    BOOST_TEST(targetOf(worker_operation::forget) == "/v1/tasks/pay%20out/3/forget");
    BOOST_TEST(
            toHttpRequest({ .operation = worker_operation::throttle, .throttlePercent = 40 }).body
            == R"({"attempt":0,"percent":40})");
}

// Guards against a task that is started twice because a lost response was taken for a refusal.
BOOST_AUTO_TEST_CASE(onlyProofCountsAsRejected)
{
    const auto resultOf = [](const http_result &result) {
        return answerTo(worker_operation::start, result).result;
    };
    BOOST_TEST((resultOf({ .kind = http_result_kind::timeout }) == worker_result::no_answer));
    BOOST_TEST((resultOf({ .kind = http_result_kind::broken }) == worker_result::no_answer));
    BOOST_TEST((resultOf(response(200, "no json")) == worker_result::no_answer));
    BOOST_TEST((resultOf(response(200, "{}")) == worker_result::no_answer));
    BOOST_TEST((resultOf({ .kind = http_result_kind::connect_failed }) == worker_result::rejected));
    BOOST_TEST((resultOf(response(200, R"({"clock_us":9})")) == worker_result::ok));

    const auto refused = answerTo(worker_operation::start,
                                  response(409, R"({"clock_us":8,"error":{"message":"full"}})"));
    BOOST_TEST((refused.result == worker_result::rejected));
    BOOST_TEST(refused.workerClockUs == 8);
    BOOST_TEST(refused.problem == "full");
}

// Guards against a worker's list that loses a task or its state.
BOOST_AUTO_TEST_CASE(listIsReadWhole)
{
    const std::string body =
            R"({"boot":"b1","clock_us":9,"processors_milli":1,"memory_bytes":2,"accelerators":3,
                "rack":"r","tasks":[{"id":"a/b/7","attempt":65537,"state":"lease_expired",
                "lease_until_us":10,"checkpoint":"cp","result":null}]})";
    const auto answer = answerTo(worker_operation::list, response(200, body));
    BOOST_REQUIRE((answer.result == worker_result::ok));
    const worker_list expected{ .boot = "b1",
                                .capacity = { 1, 2, 3 },
                                .rack = "r",
                                .tasks = { { .task = { "a/b", 7 },
                                             .attempt = { 65537 },
                                             .state = worker_task_state::lease_expired,
                                             .leaseUntilUs = 10,
                                             .checkpoint = "cp" } } };
    BOOST_TEST((answer.list == expected));

    std::string unknownState = body;
    unknownState.replace(unknownState.find("lease_expired"), 13, "sleeping");
    BOOST_TEST((answerTo(worker_operation::list, response(200, unknownState)).result
                == worker_result::no_answer));
}

// Guards against usage that is charged to another task or period.
BOOST_AUTO_TEST_CASE(usageNamesTaskAndPeriod)
{
    const auto answer =
            answerTo(worker_operation::usage,
                     response(200, R"({"clock_us":9,"samples":[{"id":"j/1","from_us":1,"to_us":2,
                             "processors_milli":3,"memory_bytes":4}]})"));
    const std::vector<usage_sample> expected{ { { "j", 1 }, 1, 2, 3, 4 } };
    BOOST_TEST((answer.usage == expected));
}
