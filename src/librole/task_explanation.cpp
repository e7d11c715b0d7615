#include "task_dispatcher_state.h"

#include "plantainpitch/role/rendezvous_hash.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace plantainpitch {

std::string task_dispatcher::state::explainPhase(const job_state &job, const task_id &task,
                                                 const task_state &taskState) const
{
    if (isFinal(taskState.phase))
        return taskState.result;
    if (taskState.phase == task_phase::claimed)
        return "held by " + taskState.vm;
    if (const std::string owner = rendezvousOwner(entries, task.job); owner != options.entry)
        return "entry " + owner + " places the tasks of this job";
    if (job.cancelled)
        return "cancelled; waiting until the revocation wait has ended";
    if (const auto *proposal = proposals.find(task))
        return "proposed to " + proposal->vm;
    if (const std::string unsatisfiable = vms.unsatisfiableReason(job.description.taskResources);
        !unsatisfiable.empty())
        return "cannot run: " + unsatisfiable;
    if (taskState.phase == task_phase::revoking)
        return "revoked; waiting until the authority of " + taskState.vm + " has ended";
    if (const std::string refusal = proposals.lastRefusal(task); !refusal.empty())
        return "last proposal refused: " + refusal;
    if (!retries.mayRetry(lastPass, task, taskState, job.description.taskPriority))
        return "failed " + std::to_string(taskState.failures)
               + " times; waiting for the next attempt";
    const auto quota = teams.find(job.description.team);
    if (quota != teams.end() && quota->second.quota != 0
        && claims.runningTasksOf(quota->first) >= quota->second.quota)
        return "team " + quota->first + " is at its quota";
    return "no VM has enough free resources";
}

std::string task_dispatcher::explainTask(const cell_state &cell, const task_id &task) const
{
    boost::json::object object;
    object["task"] = task.toString();
    const task_state *taskState = cell.findTask(task);
    const job_state *job = cell.findJob(task.job);
    if (taskState == nullptr || job == nullptr) {
        object["phase"] = "unknown";
        object["reason"] = "the log has no such task; check the id";
        return boost::json::serialize(object);
    }
    object["phase"] = toString(taskState->phase);
    object["reason"] = m_state->explainPhase(*job, task, *taskState);
    object["template"] = job->description.templateName;
    object["vm"] = taskState->vm;
    object["attempts"] = taskState->attempts;
    object["failures"] = taskState->failures;
    object["checkpoint"] = !taskState->checkpoint.empty();
    object["vm_in_quarantine"] = m_state->health.inQuarantine(taskState->vm);
    return boost::json::serialize(object);
}

} // namespace plantainpitch
