#include "object_reader.h"

#include "plantainpitch/model/documents.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <array>

namespace plantainpitch {

namespace {

using detail::object_reader;

constexpr std::int64_t dayMs = 24LL * 60 * 60 * 1000;

constexpr std::size_t maxCommandBytes = std::size_t(16) * 1024;

/// Far above any VM of the platform; keeps sums of many amounts within 64 bits.
constexpr resources maxTaskResources{ .processorsMilli = 1'000'000,
                                      .memoryBytes = std::int64_t(1) << 46,
                                      .accelerators = 1024 };

constexpr std::array<const char *, 3> kindNames{ "service", "batch", "watcher" };
constexpr std::array<const char *, 2> priorityNames{ "normal", "urgent" };
constexpr std::array<const char *, 2> weightingNames{ "tail_latency", "batch_throughput" };

/// Index of the value in \a names; throws if it is none of them.
template <std::size_t n>
std::size_t indexOf(const boost::json::value &value, const std::string &path,
                    const std::array<const char *, n> &names)
{
    const std::string text = detail::textOf(value, path, 64);
    const auto *const it = std::find(names.begin(), names.end(), text);
    if (it == names.end()) {
        std::string remedy = "use one of:";
        for (const char *name : names)
            remedy += std::string(" ") + name;
        detail::throwFault(path, "has an unknown value", remedy);
    }
    return static_cast<std::size_t>(it - names.begin());
}

const boost::json::object &objectOf(const boost::json::value &value, const std::string &path)
{
    if (!value.is_object())
        detail::throwFault(path, "must be an object", "put the fields into braces");
    return value.get_object();
}

resources readResources(const boost::json::value &value, const std::string &path)
{
    object_reader reader(objectOf(value, path), path);
    resources amount;
    amount.processorsMilli =
            reader.integer("processors_milli", 0, 0, maxTaskResources.processorsMilli);
    amount.memoryBytes = reader.integer("memory_bytes", 0, 0, maxTaskResources.memoryBytes);
    amount.accelerators = reader.integer("accelerators", 0, 0, maxTaskResources.accelerators);
    reader.finish();
    return amount;
}

std::vector<idempotent_path> readPaths(const boost::json::value &value, const std::string &path)
{
    if (!value.is_array() || value.get_array().size() > 256)
        detail::throwFault(path, "must be an array of at most 256 elements", "correct the array");
    std::vector<idempotent_path> paths;
    for (const boost::json::value &element : value.get_array()) {
        const std::string at = path + '[' + std::to_string(paths.size()) + ']';
        object_reader reader(objectOf(element, at), at);
        idempotent_path entry{ .method = reader.identifier("method"),
                               .prefix = reader.text("prefix", "", 1024) };
        if (entry.prefix.empty() || entry.prefix.front() != '/') {
            detail::throwFault(reader.pathOf("prefix"), "must begin with '/'",
                               "give the beginning of the path");
        }
        reader.finish();
        paths.push_back(std::move(entry));
    }
    return paths;
}

void readServiceFields(object_reader &reader, work_template &value)
{
    value.latencyTargetMs = reader.integer("latency_target_ms", value.latencyTargetMs, 1, 600'000);
    value.requestTimeoutMs =
            reader.integer("request_timeout_ms", value.requestTimeoutMs, 1, 3'600'000);
    if (const boost::json::value *name = reader.find("weighting"))
        value.goal = static_cast<weighting>(indexOf(*name, "weighting", weightingNames));
    value.slots = reader.count("slots", value.slots, 1, 10'000);
    value.connections = reader.count("connections", value.connections, 1, 100'000);
    value.queueLimit = reader.count("queue_limit", value.queueLimit, 0, 100'000);
    if (const boost::json::value *paths = reader.find("idempotent_paths"))
        value.idempotentPaths = readPaths(*paths, reader.pathOf("idempotent_paths"));
}

void readTaskFields(object_reader &reader, work_template &value)
{
    value.expectedRunTimeMs =
            reader.integer("expected_run_time_ms", value.expectedRunTimeMs, 1, 366 * dayMs);
    value.authorityTermMs =
            // Below 3 s the way of a confirmation through the log uses up the term.
            reader.integer("authority_term_ms", value.authorityTermMs, 3'000, 600'000);
    value.maxAttempts = reader.count("max_attempts", value.maxAttempts, 1, 1000);
    value.command = reader.text("command", value.command, maxCommandBytes);
}

boost::json::object toJson(const resources &amount)
{
    return { { "processors_milli", amount.processorsMilli },
             { "memory_bytes", amount.memoryBytes },
             { "accelerators", amount.accelerators } };
}

} // namespace

work_template parseTemplate(std::string_view document)
{
    const boost::json::object object = detail::parseObject(document);
    object_reader reader(object, "");
    work_template value;
    reader.version();
    value.name = reader.identifier("name");
    value.kind = static_cast<task_kind>(indexOf(reader.require("kind"), "kind", kindNames));
    value.team = reader.text("team", value.team, 128);
    if (const boost::json::value *amount = reader.find("task_resources"))
        value.taskResources = readResources(*amount, "task_resources");
    if (const boost::json::value *name = reader.find("task_priority"))
        value.taskPriority = static_cast<priority>(indexOf(*name, "task_priority", priorityNames));
    readServiceFields(reader, value);
    readTaskFields(reader, value);
    reader.finish();
    return value;
}

std::string toDocument(const work_template &value)
{
    boost::json::array paths;
    for (const idempotent_path &path : value.idempotentPaths)
        paths.push_back({ { "method", path.method }, { "prefix", path.prefix } });
    return boost::json::serialize(boost::json::object{
            { "version", 1 },
            { "name", value.name },
            { "kind", kindNames.at(static_cast<std::size_t>(value.kind)) },
            { "team", value.team },
            { "task_resources", toJson(value.taskResources) },
            { "task_priority", priorityNames.at(static_cast<std::size_t>(value.taskPriority)) },
            { "latency_target_ms", value.latencyTargetMs },
            { "request_timeout_ms", value.requestTimeoutMs },
            { "weighting", weightingNames.at(static_cast<std::size_t>(value.goal)) },
            { "slots", value.slots },
            { "connections", value.connections },
            { "queue_limit", value.queueLimit },
            { "idempotent_paths", std::move(paths) },
            { "expected_run_time_ms", value.expectedRunTimeMs },
            { "authority_term_ms", value.authorityTermMs },
            { "max_attempts", value.maxAttempts },
            { "command", value.command },
    });
}

} // namespace plantainpitch
