#include "object_reader.h"

#include "plantainpitch/model/documents.h"

#include <boost/json/serialize.hpp>

namespace plantainpitch {

namespace {

using detail::object_reader;

constexpr std::int64_t maxDeadlineMs = 366LL * 24 * 60 * 60 * 1000;

std::map<std::string, std::string> readValues(const boost::json::value &value)
{
    if (!value.is_object() || value.get_object().size() > 256) {
        detail::throwFault("values", "must be an object of at most 256 fields",
                           "correct the object");
    }
    std::map<std::string, std::string> values;
    for (const auto &member : value.get_object()) {
        const std::string name(member.key().data(), member.key().size());
        values[name] = detail::textOf(member.value(), "values." + name, 4096);
    }
    return values;
}

} // namespace

work_parameters parseParameters(std::string_view document)
{
    const boost::json::object object = detail::parseObject(document);
    object_reader reader(object, "");
    work_parameters value;
    reader.version();
    value.account = reader.identifier("account");
    value.templateName = reader.identifier("template");
    if (const boost::json::value *values = reader.find("values"))
        value.values = readValues(*values);
    // The largest job that the fold of the cell accepts.
    value.taskCount = reader.count("task_count", value.taskCount, 1, 100'000);
    value.deadlineMs = reader.integer("deadline_ms", value.deadlineMs, 0, maxDeadlineMs);
    value.maxRunningTasks = reader.count("max_running_tasks", value.maxRunningTasks, 0, 1'000'000);
    reader.finish();
    return value;
}

std::string toDocument(const work_parameters &value)
{
    boost::json::object values;
    for (const auto &[name, text] : value.values)
        values[name] = text;
    return boost::json::serialize(boost::json::object{
            { "version", 1 },
            { "account", value.account },
            { "template", value.templateName },
            { "values", std::move(values) },
            { "task_count", value.taskCount },
            { "deadline_ms", value.deadlineMs },
            { "max_running_tasks", value.maxRunningTasks },
    });
}

} // namespace plantainpitch
