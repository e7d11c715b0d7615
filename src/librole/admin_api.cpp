#include "admin_api.h"

#include "admin_json.h"
#include "entry_control.h"
#include "job_request.h"
#include "plantainpitch/model/documents.h"

#include <boost/json.hpp>

#include <charconv>

namespace plantainpitch::detail {

namespace {

/// Configuration has to take effect within 4 s; after that the operator is told that the outcome
/// is not known yet.
constexpr duration adminTimeout = std::chrono::seconds(4);

error unknownPath(const admin_request &request)
{
    return { error_kind::not_found, request.method + " " + request.target + " does not exist",
             "see the administration API in the operators' documentation" };
}

std::uint64_t parseNumber(const std::string &text, const char *name)
{
    std::uint64_t value = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (failure != std::errc() || end != text.data() + text.size())
        throw error(error_kind::invalid_argument, std::string(name) + " is not a number",
                    "give a whole number without a sign");
    return value;
}

} // namespace

void admin_api::onRequest(instant now, const admin_request &request)
{
    try {
        route(now, request, parseAdminTarget(request.target));
    } catch (const error &problem) {
        answer(makeAdminError(request.adminId, problem));
    }
}

void admin_api::route(instant now, const admin_request &request, const admin_target &target)
{
    const auto &path = target.segments;
    const std::string &method = request.method;
    if (path.size() < 2 || path[0] != "v1")
        throw unknownPath(request);
    if (path[1] == "status" && method == "GET")
        getStatus(request);
    else if (path[1] == "jobs")
        routeJobs(now, request, target);
    else if (path[1] == "templates" && path.size() == 3 && method == "PUT")
        putTemplate(now, request, target);
    else if (path[1] == "templates" && path.size() == 3 && method == "GET")
        getEntity(request, config_kind::work_template, path[2]);
    else if (path[1] == "accounts" && path.size() == 5 && path[3] == "parameters"
             && method == "PUT")
        putParameters(now, request, target);
    else if (path[1] == "accounts" && path.size() == 5 && path[3] == "parameters"
             && method == "GET")
        getEntity(request, config_kind::parameters, path[2] + "/" + path[4]);
    else if ((path[1] == "templates" || path[1] == "accounts") && method == "DELETE")
        removeEntity(now, request, target);
    else if (path[1] == "vms" && path.size() == 4 && path[3] == "drain" && method == "POST")
        drainVm(request, path[2]);
    else if (path[1] == "explain" && path.size() >= 4 && method == "GET")
        explain(request, target);
    else
        throw unknownPath(request);
}

void admin_api::routeJobs(instant now, const admin_request &request, const admin_target &target)
{
    const auto &path = target.segments;
    if (path.size() == 2 && request.method == "POST")
        submitJob(now, request);
    else if (path.size() == 3 && request.method == "GET")
        getJob(request.adminId, path[2], 200);
    else if (path.size() == 3 && request.method == "DELETE")
        cancelJob(now, request, path[2]);
    else
        throw unknownPath(request);
}

void admin_api::putTemplate(instant now, const admin_request &request, const admin_target &target)
{
    const work_template parsed = parseTemplate(request.body);
    if (parsed.name != target.segments[2])
        throw error(error_kind::invalid_document,
                    "/name is " + parsed.name + " but the path says " + target.segments[2],
                    "use the same name in both");
    submitChange(now, request, target,
                 { .kind = config_kind::work_template,
                   .name = parsed.name,
                   .baseRevision = {},
                   .document = toDocument(parsed) });
}

void admin_api::putParameters(instant now, const admin_request &request, const admin_target &target)
{
    const work_parameters parsed = parseParameters(request.body);
    if (parsed.account != target.segments[2] || parsed.templateName != target.segments[4])
        throw error(error_kind::invalid_document,
                    "/account or /template differs from the path of the request",
                    "use the same names in both");
    submitChange(now, request, target,
                 { .kind = config_kind::parameters,
                   .name = parsed.account + "/" + parsed.templateName,
                   .baseRevision = {},
                   .document = toDocument(parsed) });
}

void admin_api::removeEntity(instant now, const admin_request &request, const admin_target &target)
{
    const auto &path = target.segments;
    const bool isTemplate = path[1] == "templates" && path.size() == 3;
    if (!isTemplate && path.size() != 5)
        throw unknownPath(request);
    submitChange(now, request, target,
                 { .kind = isTemplate ? config_kind::work_template : config_kind::parameters,
                   .name = isTemplate ? path[2] : path[2] + "/" + path[4],
                   .baseRevision = {},
                   .document = {},
                   .removed = true });
}

void admin_api::submitChange(instant now, const admin_request &request, const admin_target &target,
                             config_change change)
{
    const auto base = target.query.find("base_revision");
    if (base == target.query.end())
        throw error(error_kind::invalid_argument, "base_revision is missing",
                    "give the revision that the change replaces, or 0 for a new entity");
    change.baseRevision = { parseNumber(base->second, "base_revision") };
    m_control.submitConfig(admin_owner{ request.adminId }, std::move(change));
    m_pending[request.adminId] = now + adminTimeout;
}

void admin_api::getEntity(const admin_request &request, config_kind kind, const std::string &name)
{
    m_control.requireReady();
    const config_entity *entity = m_control.config().findEntity(kind, name);
    if (!entity || entity->removed)
        throw error(error_kind::not_found, name + " is not published",
                    "publish it with plantainctl publish");
    answer(makeAdminAnswer(request.adminId, 200, toJson(*entity)));
}

void admin_api::submitJob(instant now, const admin_request &request)
{
    m_control.requireReady();
    const std::string generated = "job-" + std::to_string(m_random());
    job_submitted job =
            makeJobRecord(request.body, m_control.config(), m_control.nowMs(), generated);
    if (m_control.cell().findJob(job.job)) {
        getJob(request.adminId, job.job, 200);
        return;
    }
    m_control.submitCell(admin_owner{ request.adminId }, std::move(job));
    m_pending[request.adminId] = now + adminTimeout;
}

void admin_api::cancelJob(instant now, const admin_request &request, const std::string &job)
{
    m_control.requireReady();
    if (!m_control.cell().findJob(job))
        throw error(error_kind::not_found, "job " + job + " is not known", "check the job id");
    m_control.submitCell(admin_owner{ request.adminId }, job_cancelled{ job });
    m_pending[request.adminId] = now + adminTimeout;
}

void admin_api::getJob(std::uint64_t adminId, const std::string &job, std::uint32_t status)
{
    m_control.requireReady();
    const job_state *found = m_control.cell().findJob(job);
    if (!found)
        throw error(error_kind::not_found, "job " + job + " is not known", "check the job id");
    answer(makeAdminAnswer(adminId, status, { { "job", toJson(*found) } }));
}

void admin_api::onFolded(std::uint64_t adminId, const log_record &record, const fold_result &result)
{
    if (m_pending.erase(adminId) == 0)
        return;
    if (const auto *job = std::get_if<job_submitted>(&record)) {
        // A submission with a known id is a repeat and gets the current state of the job.
        getJob(adminId, job->job, result.accepted ? 201 : 200);
    } else if (const auto *cancelled = std::get_if<job_cancelled>(&record)) {
        getJob(adminId, cancelled->job, 200);
    } else if (const auto *change = std::get_if<config_change>(&record)) {
        if (result.accepted)
            answer(makeAdminAnswer(
                    adminId, 200,
                    { { "name", change->name }, { "revision", result.current.value } }));
        else
            answer(makeAdminError(
                    adminId,
                    error(error_kind::revision_conflict, change->name + ": " + result.reason,
                          "read the current document, repeat the change on it and publish it "
                          "with base_revision "
                                  + std::to_string(result.current.value)),
                    { { "current_revision", result.current.value } }));
    }
}

void admin_api::tick(instant now)
{
    for (auto it = m_pending.begin(); it != m_pending.end();) {
        if (now < it->second) {
            ++it;
            continue;
        }
        answer(makeAdminError(
                it->first,
                error(error_kind::timeout, "the log has not confirmed the change in time",
                      "it may still take effect; read the current state before repeating it")));
        it = m_pending.erase(it);
    }
}

void admin_api::getStatus(const admin_request &request)
{
    answer(makeAdminAnswer(request.adminId, 200, m_control.status()));
}

void admin_api::drainVm(const admin_request &request, const std::string &vm)
{
    const known_agent *agent = m_control.agents().findVm(vm);
    if (!agent)
        throw error(error_kind::not_found, "VM " + vm + " is not connected to this entry",
                    "check the name with plantainctl status, or ask another entry");
    m_control.emit(send_message{ agent->connection, drain_request{ "operator" } });
    answer(makeAdminAnswer(request.adminId, 202, { { "vm", vm }, { "draining", true } }));
}

void admin_api::explain(const admin_request &request, const admin_target &target)
{
    m_control.requireReady();
    const auto &path = target.segments;
    if (path[2] == "task") {
        explainTask(request.adminId, target);
        return;
    }
    if (path[2] != "endpoint")
        throw unknownPath(request);
    const known_agent *agent = m_control.agents().findVm(path[3]);
    if (!agent)
        throw error(error_kind::not_found, "VM " + path[3] + " is not connected to this entry",
                    "check the name with plantainctl status, or ask another entry");
    answer(makeAdminAnswer(request.adminId, 200, { { "endpoint", toJson(*agent) } }));
}

void admin_api::explainTask(std::uint64_t adminId, const admin_target &target)
{
    const auto &path = target.segments;
    const std::uint64_t index = path.size() > 4 ? parseNumber(path[4], "the task's index") : 0;
    const task_id task = { path[3], static_cast<std::uint32_t>(index) };
    if (!m_control.cell().findTask(task))
        throw error(error_kind::not_found, "task " + task.toString() + " is not known",
                    "give it as JOB/INDEX; plantainctl job lists a job's tasks");
    answer(answer_admin{ adminId, 200, m_control.explainTask(task) });
}

void admin_api::answer(action item)
{
    m_control.emit(std::move(item));
}

} // namespace plantainpitch::detail
