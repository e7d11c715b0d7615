#include "claim_index.h"

namespace plantainpitch {

namespace {

using counts = std::map<std::string, std::uint32_t>;

const counts emptyCounts;

void adjustCount(counts &values, const std::string &key, bool add)
{
    if (add) {
        ++values[key];
        return;
    }
    const auto found = values.find(key);
    if (found != values.end() && --found->second == 0)
        values.erase(found);
}

void adjustCount(std::map<std::string, counts> &values, const std::string &outer,
                 const std::string &inner, bool add)
{
    counts &entry = values[outer];
    adjustCount(entry, inner, add);
    if (entry.empty())
        values.erase(outer);
}

const counts &findOrEmpty(const std::map<std::string, counts> &values, const std::string &key)
{
    const auto found = values.find(key);
    return found == values.end() ? emptyCounts : found->second;
}

} // namespace

std::optional<claim_index::claim> claim_index::update(instant now, const cell_state &cell,
                                                      const task_id &task, bool fromRecord)
{
    std::optional<claim> before;
    const auto known = m_claims.find(task);
    if (known != m_claims.end())
        before = known->second;
    const task_state *state = cell.findTask(task);
    const job_state *job = cell.findJob(task.job);
    const bool held =
            state != nullptr && job != nullptr
            && (state->phase == task_phase::claimed || state->phase == task_phase::revoking);
    if (held && before && before->vm == state->vm)
        return before;
    if (before) {
        updateCounts(task, *before, false);
        m_claims.erase(known);
    }
    if (held) {
        const claim taskClaim{ .vm = state->vm,
                               .templateName = job->description.templateName,
                               .team = job->description.team,
                               .readAt = now,
                               .readFromRecord = fromRecord };
        updateCounts(task, taskClaim, true);
        m_claims.emplace(task, taskClaim);
    }
    return before;
}

void claim_index::rebuild(instant now, const cell_state &cell)
{
    *this = {};
    for (const auto &[name, job] : cell.jobs()) {
        for (std::uint32_t i = 0; i < job.tasks.size(); ++i)
            update(now, cell, { .job = name, .index = i }, false);
    }
}

std::uint32_t claim_index::runningTasksOf(const std::string &team) const
{
    const auto found = m_runningByTeam.find(team);
    return found == m_runningByTeam.end() ? 0 : found->second;
}

const std::map<std::string, std::uint32_t> &
claim_index::templateCountsOn(const std::string &vm) const
{
    return findOrEmpty(m_templatesByVm, vm);
}

std::set<std::string> claim_index::holders() const
{
    std::set<std::string> names;
    for (const auto &[vm, templates] : m_templatesByVm)
        names.insert(vm);
    return names;
}

const std::map<std::string, std::uint32_t> &
claim_index::taskCountsByVm(const std::string &job) const
{
    return findOrEmpty(m_vmsByJob, job);
}

void claim_index::updateCounts(const task_id &task, const claim &taskClaim, bool add)
{
    adjustCount(m_templatesByVm, taskClaim.vm, taskClaim.templateName, add);
    adjustCount(m_runningByTeam, taskClaim.team, add);
    adjustCount(m_vmsByJob, task.job, taskClaim.vm, add);
}

} // namespace plantainpitch
