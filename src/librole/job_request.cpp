#include "job_request.h"

#include "plantainpitch/model/error.h"

#include <boost/json.hpp>

namespace plantainpitch::detail {

namespace {

constexpr std::size_t maxJobIdLength = 128;

boost::json::object parseSubmission(const std::string &body)
{
    boost::system::error_code failure;
    const boost::json::value parsed = boost::json::parse(body, failure);
    if (failure || !parsed.is_object())
        throw error(error_kind::invalid_document, "the job submission is not a JSON object",
                    R"(send {"version":1,"account":"...","template":"..."})");
    for (const auto &item : parsed.as_object()) {
        if (item.key() != "version" && item.key() != "account" && item.key() != "template"
            && item.key() != "id")
            throw error(error_kind::invalid_document,
                        "/" + std::string(item.key()) + ": unknown field",
                        "remove it; known fields are version, account, template and id");
    }
    return parsed.as_object();
}

std::string requireString(const boost::json::object &object, const char *name)
{
    const boost::json::value *value = object.if_contains(name);
    if (!value || !value->is_string() || value->as_string().empty())
        throw error(error_kind::invalid_document, "/" + std::string(name) + " is missing",
                    "give a string that is not empty");
    return value->as_string().c_str();
}

void checkJobId(const std::string &id)
{
    const bool valid =
            !id.empty() && id.size() <= maxJobIdLength
            && id.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                    "0123456789-_.")
                       == std::string::npos;
    if (!valid)
        throw error(error_kind::invalid_document, "/id is not a valid job id",
                    "use 1 to 128 letters, digits, '-', '_' or '.'");
}

} // namespace

job_submitted makeJobRecord(const std::string &body, const config_state &config, std::int64_t nowMs,
                            const std::string &generatedId)
{
    const boost::json::object submission = parseSubmission(body);
    const boost::json::value *version = submission.if_contains("version");
    if (!version || *version != 1)
        throw error(error_kind::invalid_document, "/version is not 1", "set \"version\": 1");
    const std::string account = requireString(submission, "account");
    const std::string templateName = requireString(submission, "template");
    const std::string id =
            submission.contains("id") ? requireString(submission, "id") : generatedId;
    checkJobId(id);

    const work_template *work = config.findTemplate(templateName);
    if (!work)
        throw error(error_kind::not_found, "template " + templateName + " is not published",
                    "publish it with plantainctl publish");
    const work_parameters *parameters = config.findParameters(account, templateName);
    if (!parameters)
        throw error(error_kind::not_found,
                    "account " + account + " has no parameters for template " + templateName,
                    "publish them with plantainctl publish");
    if (work->kind == task_kind::service)
        throw error(error_kind::invalid_document,
                    "template " + templateName + " is a service and has no jobs",
                    "submit a batch or watcher template");
    return { .job = id,
             .templateName = templateName,
             .account = account,
             .team = work->team,
             .kind = work->kind,
             .taskCount = parameters->taskCount,
             .taskResources = work->taskResources,
             .taskPriority = work->taskPriority,
             .submittedMs = nowMs,
             .deadlineMs = parameters->deadlineMs == 0 ? 0 : nowMs + parameters->deadlineMs,
             .expectedRunTimeMs = work->expectedRunTimeMs,
             .authorityTermMs = work->authorityTermMs,
             .maxAttempts = work->maxAttempts,
             .command = work->command };
}

} // namespace plantainpitch::detail
