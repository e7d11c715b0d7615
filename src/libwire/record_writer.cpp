#include "record_tables.h"

namespace plantainpitch::wire::detail {

namespace {

using detail::write;

offset<ConfigChange> write(builder &b, const config_change &r)
{
    const auto name = text(b, r.name);
    const auto document = text(b, r.document);
    return CreateConfigChange(b, toWire<ConfigKind>(r.kind), name, r.baseRevision.value, document,
                              r.removed);
}

offset<JobCancelled> write(builder &b, const job_cancelled &r)
{
    return CreateJobCancelled(b, text(b, r.job));
}

offset<TaskClaimed> write(builder &b, const task_claimed &r)
{
    const auto task = write(b, r.task);
    const auto vm = text(b, r.vm);
    const auto boot = text(b, r.workerBoot);
    return CreateTaskClaimed(b, task, vm, r.agent, boot, r.base.value);
}

offset<TaskAdopted> write(builder &b, const task_adopted &r)
{
    const auto task = write(b, r.task);
    const auto vm = text(b, r.vm);
    const auto boot = text(b, r.workerBoot);
    return CreateTaskAdopted(b, task, r.attempt.value, vm, r.agent, boot);
}

offset<TaskReleased> write(builder &b, const task_released &r)
{
    const auto task = write(b, r.task);
    const auto checkpoint = text(b, r.checkpoint);
    return CreateTaskReleased(b, task, r.attempt.value, checkpoint,
                              toWire<ReleaseReason>(r.reason));
}

offset<TaskFinished> write(builder &b, const task_finished &r)
{
    const auto task = write(b, r.task);
    return CreateTaskFinished(b, task, r.attempt.value, text(b, r.result));
}

offset<TaskFailed> write(builder &b, const task_failed &r)
{
    const auto task = write(b, r.task);
    return CreateTaskFailed(b, task, r.base.value, text(b, r.reason));
}

offset<TaskRevoked> write(builder &b, const task_revoked &r)
{
    const auto task = write(b, r.task);
    return CreateTaskRevoked(b, task, r.attempt.value, text(b, r.reason));
}

offset<KeyClaimed> write(builder &b, const key_claimed &r)
{
    const auto account = text(b, r.account);
    const auto key = text(b, r.key);
    return CreateKeyClaimed(b, account, key, r.entry, r.request, r.digest, r.claimedMs);
}

offset<KeyFinished> write(builder &b, const key_finished &r)
{
    const auto account = text(b, r.account);
    const auto key = text(b, r.key);
    const auto body = bytes(b, r.body);
    return CreateKeyFinished(b, account, key, r.entry, r.request, r.status, body, r.bodyStored);
}

offset<KeyReleased> write(builder &b, const key_released &r)
{
    const auto account = text(b, r.account);
    const auto key = text(b, r.key);
    return CreateKeyReleased(b, account, key, r.entry, r.request);
}

offset<SnapshotPart> write(builder &b, const snapshot_part &r)
{
    return CreateSnapshotPart(b, r.through, r.part, r.parts, r.digest, bytes(b, r.data));
}

offset<ReadMarker> write(builder &b, const read_marker &r)
{
    return CreateReadMarker(b, r.number);
}

} // namespace

offset<JobSubmitted> write(builder &b, const job_submitted &r)
{
    const auto job = text(b, r.job);
    const auto templateName = text(b, r.templateName);
    const auto account = text(b, r.account);
    const auto team = text(b, r.team);
    const auto command = text(b, r.command);
    const Resources amount = toWire(r.taskResources);
    return CreateJobSubmitted(b, job, templateName, account, team, toWire<TaskKind>(r.kind),
                              r.taskCount, &amount, toWire<Priority>(r.taskPriority), r.submittedMs,
                              r.deadlineMs, r.expectedRunTimeMs, r.authorityTermMs, r.maxAttempts,
                              command);
}

offset<Record> write(builder &b, const log_record &record)
{
    const auto body = std::visit([&b](const auto &r) { return write(b, r).Union(); }, record);
    // Union types start at 1; 0 is NONE.
    return CreateRecord(b, static_cast<RecordBody>(record.index() + 1), body);
}

offset<RecordBatch> write(builder &b, const record_batch &batch)
{
    std::vector<offset<Record>> records;
    records.reserve(batch.records.size());
    for (const log_record &record : batch.records)
        records.push_back(write(b, record));
    return CreateRecordBatch(b, batch.producer, batch.sequence, b.CreateVector(records));
}

} // namespace plantainpitch::wire::detail
