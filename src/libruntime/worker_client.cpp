#include "plantainpitch/runtime/worker_client.h"

#include "worker_json.h"

#include <boost/json.hpp>

namespace plantainpitch::runtime {

namespace json = boost::json;

namespace {

std::string percentEncode(const std::string &text)
{
    static constexpr const char *digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) != 0 || c == '-' || c == '_' || c == '.' || c == '~')
            encoded += c;
        else
            encoded.append({ '%', digits[byte >> 4U], digits[byte & 15U] });
    }
    return encoded;
}

std::string taskPath(const task_id &task)
{
    return "/v1/tasks/" + percentEncode(task.job) + '/' + std::to_string(task.index);
}

http_request withBody(std::string method, std::string target, const json::object &body)
{
    return { .method = std::move(method),
             .target = std::move(target),
             .headers = { { "Content-Type", "application/json" } },
             .body = json::serialize(body) };
}

http_request startRequest(const worker_call &call)
{
    return withBody("PUT", taskPath(call.task),
                    { { "attempt", call.attempt.value },
                      { "resources", detail::toJson(call.reserved) },
                      { "lease_until_us", call.leaseUntilUs },
                      { "checkpoint", call.checkpoint },
                      { "command", call.command } });
}

} // namespace

http_request toHttpRequest(const worker_call &call)
{
    json::object body{ { "attempt", call.attempt.value } };
    switch (call.operation) {
    case worker_operation::list:
        return { .method = "GET", .target = "/v1/worker" };
    case worker_operation::usage:
        return { .method = "GET", .target = "/v1/usage" };
    case worker_operation::start:
        return startRequest(call);
    case worker_operation::renew:
        body["lease_until_us"] = call.leaseUntilUs;
        return withBody("POST", taskPath(call.task) + "/renew", body);
    case worker_operation::checkpoint:
        return withBody("POST", taskPath(call.task) + "/checkpoint", body);
    case worker_operation::throttle:
        body["percent"] = call.throttlePercent;
        return withBody("POST", taskPath(call.task) + "/throttle", body);
    case worker_operation::stop:
        return withBody("POST", taskPath(call.task) + "/stop", body);
    case worker_operation::forget:
        break;
    }
    return withBody("POST", taskPath(call.task) + "/forget", body);
}

worker_answer toWorkerAnswer(const worker_call &call, const http_result &result)
{
    worker_answer answer{ .callId = call.callId, .operation = call.operation, .task = call.task };
    if (result.kind == http_result_kind::connect_failed) {
        answer.result = worker_result::rejected;
        answer.problem = "connect_failed";
    } else if (result.kind == http_result_kind::answered) {
        if (result.response.status / 100 == 2)
            detail::parseWorkerBody(result.response.body, answer);
        else
            detail::parseWorkerProblem(result.response.body, answer);
    }
    return answer;
}

worker_client::worker_client(http_send send, std::chrono::milliseconds timeout)
    : m_send(std::move(send))
    , m_timeout(timeout)
{}

void worker_client::call(const worker_call &call, std::function<void(worker_answer)> done)
{
    m_send(toHttpRequest(call), m_timeout,
           [call, done = std::move(done)](const http_result &result) {
               done(toWorkerAnswer(call, result));
           });
}

} // namespace plantainpitch::runtime
