#include "task_dispatcher_state.h"

#include "plantainpitch/role/rendezvous_hash.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace plantainpitch {

std::string task_dispatcher::state::reasonOf(const job_state &job, const task_id &task,
                                             const task_state &known) const
{
    if (isFinal(known.phase))
        return known.result;
    if (known.phase == task_phase::claimed)
        return "held by " + known.vm;
    if (const std::string owner = rendezvousOwner(entries, task.job); owner != options.entry)
        return "entry " + owner + " places the tasks of this job";
    if (job.cancelled)
        return "cancelled; the revocation wait is not over";
    if (const auto *sent = proposals.find(task))
        return "proposed to " + sent->vm;
    if (const std::string never = vms.whyNever(job.description.taskResources); !never.empty())
        return "cannot run: " + never;
    if (known.phase == task_phase::revoking)
        return "revoked; the authority of " + known.vm + " may not have ended";
    if (const std::string refusal = proposals.lastRefusal(task); !refusal.empty())
        return "last proposal refused: " + refusal;
    if (!retries.mayRetry(lastPass, task, known, job.description.taskPriority))
        return "failed " + std::to_string(known.failures) + " times; waits for its next attempt";
    const auto quota = teams.find(job.description.team);
    if (quota != teams.end() && quota->second.quota != 0
        && claims.runningOf(quota->first) >= quota->second.quota)
        return "team " + quota->first + " is at its quota";
    return "no VM has room";
}

std::string task_dispatcher::explainTask(const cell_state &cell, const task_id &task) const
{
    boost::json::object object;
    object["task"] = task.toString();
    const task_state *known = cell.findTask(task);
    const job_state *job = cell.findJob(task.job);
    if (known == nullptr || job == nullptr) {
        object["phase"] = "unknown";
        object["reason"] = "the log has no such task; check the id";
        return boost::json::serialize(object);
    }
    object["phase"] = toString(known->phase);
    object["reason"] = m_state->reasonOf(*job, task, *known);
    object["template"] = job->description.templateName;
    object["vm"] = known->vm;
    object["attempts"] = known->attempts;
    object["failures"] = known->failures;
    object["checkpoint"] = !known->checkpoint.empty();
    object["vm_in_quarantine"] = m_state->health.inQuarantine(known->vm);
    return boost::json::serialize(object);
}

} // namespace plantainpitch
