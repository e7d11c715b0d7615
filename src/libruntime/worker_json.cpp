#include "worker_json.h"

#include <boost/json.hpp>

#include <charconv>
#include <stdexcept>

namespace plantainpitch::runtime::detail {

namespace json = boost::json;

namespace {

std::int64_t integer(const json::object &object, const char *name)
{
    return object.at(name).to_number<std::int64_t>();
}

std::string textOr(const json::object &object, const char *name)
{
    const json::value *value = object.if_contains(name);
    return value && value->is_string() ? std::string(value->get_string()) : std::string();
}

task_id taskOf(const json::object &object)
{
    const std::string text(object.at("id").as_string());
    const std::size_t slash = text.rfind('/');
    task_id task;
    if (slash == std::string::npos)
        throw std::invalid_argument("task id without index");
    const char *end = text.data() + text.size();
    const auto [rest, status] = std::from_chars(text.data() + slash + 1, end, task.index);
    if (status != std::errc() || rest != end)
        throw std::invalid_argument("task id without index");
    task.job = text.substr(0, slash);
    return task;
}

resources amountOf(const json::object &object)
{
    return { .processorsMilli = integer(object, "processors_milli"),
             .memoryBytes = integer(object, "memory_bytes"),
             .accelerators = integer(object, "accelerators") };
}

worker_task_state stateOf(const json::object &object)
{
    const json::string &name = object.at("state").as_string();
    if (name == "running")
        return worker_task_state::running;
    if (name == "finished")
        return worker_task_state::finished;
    if (name == "failed")
        return worker_task_state::failed;
    if (name == "stopped")
        return worker_task_state::stopped;
    if (name == "lease_expired")
        return worker_task_state::lease_expired;
    throw std::invalid_argument("unknown task state");
}

worker_task workerTaskOf(const json::object &object)
{
    worker_task task{ .task = taskOf(object),
                      .attempt = { .value = object.at("attempt").to_number<std::uint64_t>() },
                      .state = stateOf(object),
                      .leaseUntilUs = integer(object, "lease_until_us"),
                      .checkpoint = textOr(object, "checkpoint"),
                      .result = textOr(object, "result") };
    if (const json::value *amount = object.if_contains("resources"))
        task.reserved = amountOf(amount->as_object());
    return task;
}

worker_list listOf(const json::object &object)
{
    worker_list list{ .boot = std::string(object.at("boot").as_string()),
                      .capacity = amountOf(object),
                      .rack = textOr(object, "rack") };
    for (const json::value &task : object.at("tasks").as_array())
        list.tasks.push_back(workerTaskOf(task.as_object()));
    return list;
}

usage_sample sampleOf(const json::object &object)
{
    return { .task = taskOf(object),
             .fromUs = integer(object, "from_us"),
             .toUs = integer(object, "to_us"),
             .processorsMilli = integer(object, "processors_milli"),
             .memoryBytes = integer(object, "memory_bytes") };
}

} // namespace

json::object toJson(const resources &amount)
{
    return { { "processors_milli", amount.processorsMilli },
             { "memory_bytes", amount.memoryBytes },
             { "accelerators", amount.accelerators } };
}

void parseWorkerBody(const std::string &body, worker_answer &answer)
{
    try {
        const json::value parsed = json::parse(body);
        const json::object &object = parsed.as_object();
        answer.workerClockUs = integer(object, "clock_us");
        answer.checkpoint = textOr(object, "checkpoint");
        if (answer.operation == worker_operation::list)
            answer.list = listOf(object);
        if (answer.operation == worker_operation::usage) {
            for (const json::value &sample : object.at("samples").as_array())
                answer.usage.push_back(sampleOf(sample.as_object()));
        }
        answer.result = worker_result::ok;
    } catch (const std::exception &problem) {
        answer.list.reset();
        answer.usage.clear();
        answer.problem = std::string("malformed response: ") + problem.what();
    }
}

void parseWorkerProblem(const std::string &body, worker_answer &answer)
{
    constexpr std::size_t maxProblemBytes = 200;
    answer.result = worker_result::rejected;
    answer.problem = body.substr(0, maxProblemBytes);
    boost::system::error_code failure;
    const json::value parsed = json::parse(body, failure);
    if (failure || !parsed.is_object())
        return;
    const json::object &object = parsed.get_object();
    if (const json::value *clock = object.if_contains("clock_us"); clock && clock->is_int64())
        answer.workerClockUs = clock->get_int64();
    if (const json::value *problem = object.if_contains("error")) {
        answer.problem = problem->is_object() ? textOr(problem->get_object(), "message")
                                              : textOr(object, "error");
    }
}

} // namespace plantainpitch::runtime::detail
