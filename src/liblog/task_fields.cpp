#include "task_fields.h"

namespace plantainpitch::detail {

namespace {

void write(byte_writer &out, const job_submitted &job)
{
    out.text(job.job);
    out.text(job.templateName);
    out.text(job.account);
    out.text(job.team);
    out.byte(static_cast<std::uint8_t>(job.kind));
    out.signedNumber(job.taskResources.processorsMilli);
    out.signedNumber(job.taskResources.memoryBytes);
    out.signedNumber(job.taskResources.accelerators);
    out.byte(static_cast<std::uint8_t>(job.taskPriority));
    out.signedNumber(job.submittedMs);
    out.signedNumber(job.deadlineMs);
    out.signedNumber(job.expectedRunTimeMs);
    out.signedNumber(job.authorityTermMs);
    out.number(job.maxAttempts);
    out.text(job.command);
}

job_submitted readDescription(byte_reader &in)
{
    job_submitted job;
    job.job = in.text();
    job.templateName = in.text();
    job.account = in.text();
    job.team = in.text();
    job.kind = in.enumerator(task_kind::watcher);
    job.taskResources.processorsMilli = in.signedNumber();
    job.taskResources.memoryBytes = in.signedNumber();
    job.taskResources.accelerators = in.signedNumber();
    job.taskPriority = in.enumerator(priority::urgent);
    job.submittedMs = in.signedNumber();
    job.deadlineMs = in.signedNumber();
    job.expectedRunTimeMs = in.signedNumber();
    job.authorityTermMs = in.signedNumber();
    job.maxAttempts = in.number32();
    job.command = in.text();
    return job;
}

void write(byte_writer &out, const task_state &task)
{
    out.byte(static_cast<std::uint8_t>(task.phase));
    out.number(task.lastChange.value);
    out.number(task.attempt.value);
    out.number(task.claimBase.value);
    out.text(task.vm);
    out.number(task.agent);
    out.text(task.workerBoot);
    out.number(task.releasedAttempt.value);
    out.text(task.checkpoint);
    out.text(task.result);
    out.number(task.attempts);
    out.number(task.failures);
    out.number(task.failedVms.size());
    for (const std::string &vm : task.failedVms)
        out.text(vm);
}

task_state readTask(byte_reader &in)
{
    task_state task;
    task.phase = in.enumerator(task_phase::cancelled);
    task.lastChange = in.position();
    task.attempt = in.position();
    task.claimBase = in.position();
    task.vm = in.text();
    task.agent = in.number();
    task.workerBoot = in.text();
    task.releasedAttempt = in.position();
    task.checkpoint = in.text();
    task.result = in.text();
    task.attempts = in.number32();
    task.failures = in.number32();
    for (std::size_t left = in.count(); left > 0; --left)
        task.failedVms.push_back(in.text());
    return task;
}

} // namespace

void write(byte_writer &out, const job_state &job)
{
    write(out, job.description);
    out.flag(job.cancelled);
    out.number(job.tasks.size());
    for (const task_state &task : job.tasks)
        write(out, task);
}

job_state readJob(byte_reader &in)
{
    job_state job;
    job.description = readDescription(in);
    job.cancelled = in.flag();
    const std::size_t tasks = in.count();
    in.check(tasks > 0 && tasks <= job_submitted::maxTaskCount, "task count is out of range");
    job.description.taskCount = static_cast<std::uint32_t>(tasks);
    job.tasks.reserve(tasks);
    for (std::size_t i = 0; i < tasks; ++i) {
        job.tasks.push_back(readTask(in));
        if (!isFinal(job.tasks.back().phase))
            ++job.openTasks;
    }
    return job;
}

} // namespace plantainpitch::detail
