#include "record_tables.h"

namespace plantainpitch::wire::detail {

namespace {

log_position position(std::uint64_t value)
{
    return { .value = value };
}

config_change read(field_reader &in, const ConfigChange &r)
{
    return { .kind = in.enumeration<config_kind>(r.kind()),
             .name = in.text(r.name()),
             .baseRevision = position(r.base_revision()),
             .document = in.text(r.document()),
             .removed = r.removed() };
}

job_cancelled read(field_reader &in, const JobCancelled &r)
{
    return { .job = in.text(r.job()) };
}

task_claimed read(field_reader &in, const TaskClaimed &r)
{
    return { .task = in.taskId(r.task()),
             .vm = in.text(r.vm()),
             .agent = r.agent(),
             .workerBoot = in.text(r.worker_boot()),
             .base = position(r.base()) };
}

task_adopted read(field_reader &in, const TaskAdopted &r)
{
    return { .task = in.taskId(r.task()),
             .attempt = position(r.attempt()),
             .vm = in.text(r.vm()),
             .agent = r.agent(),
             .workerBoot = in.text(r.worker_boot()) };
}

task_released read(field_reader &in, const TaskReleased &r)
{
    return { .task = in.taskId(r.task()),
             .attempt = position(r.attempt()),
             .checkpoint = in.text(r.checkpoint()),
             .reason = in.enumeration<release_reason>(r.reason()) };
}

task_finished read(field_reader &in, const TaskFinished &r)
{
    return { .task = in.taskId(r.task()),
             .attempt = position(r.attempt()),
             .result = in.text(r.result()) };
}

task_failed read(field_reader &in, const TaskFailed &r)
{
    return { .task = in.taskId(r.task()),
             .base = position(r.base()),
             .reason = in.text(r.reason()) };
}

task_revoked read(field_reader &in, const TaskRevoked &r)
{
    return { .task = in.taskId(r.task()),
             .attempt = position(r.attempt()),
             .reason = in.text(r.reason()) };
}

key_claimed read(field_reader &in, const KeyClaimed &r)
{
    return { .account = in.text(r.account()),
             .key = in.text(r.key()),
             .entry = r.entry(),
             .request = r.request(),
             .digest = r.digest(),
             .claimedMs = r.claimed_ms() };
}

key_finished read(field_reader &in, const KeyFinished &r)
{
    return { .account = in.text(r.account()),
             .key = in.text(r.key()),
             .entry = r.entry(),
             .request = r.request(),
             .status = r.status(),
             .body = in.bytes(r.body()),
             .bodyStored = r.body_stored() };
}

key_released read(field_reader &in, const KeyReleased &r)
{
    return { .account = in.text(r.account()),
             .key = in.text(r.key()),
             .entry = r.entry(),
             .request = r.request() };
}

snapshot_part read(field_reader &in, const SnapshotPart &r)
{
    return { .through = r.through(),
             .part = r.part(),
             .parts = r.parts(),
             .digest = r.digest(),
             .data = in.bytes(r.data()) };
}

} // namespace

job_submitted read(field_reader &in, const JobSubmitted &r)
{
    return { .job = in.text(r.job()),
             .templateName = in.text(r.template_name()),
             .account = in.text(r.account()),
             .team = in.text(r.team()),
             .kind = in.enumeration<task_kind>(r.kind()),
             .taskCount = r.task_count(),
             .taskResources = in.resourceAmounts(r.task_resources()),
             .taskPriority = in.enumeration<priority>(r.task_priority()),
             .submittedMs = r.submitted_ms(),
             .deadlineMs = r.deadline_ms(),
             .expectedRunTimeMs = r.expected_run_time_ms(),
             .authorityTermMs = r.authority_term_ms(),
             .maxAttempts = r.max_attempts(),
             .command = in.text(r.command()) };
}

log_record read(field_reader &in, const Record &record)
{
    field_reader::require(record.body());
    switch (record.body_type()) {
    case RecordBody::ConfigChange:
        return read(in, *record.body_as_ConfigChange());
    case RecordBody::JobSubmitted:
        return read(in, *record.body_as_JobSubmitted());
    case RecordBody::JobCancelled:
        return read(in, *record.body_as_JobCancelled());
    case RecordBody::TaskClaimed:
        return read(in, *record.body_as_TaskClaimed());
    case RecordBody::TaskAdopted:
        return read(in, *record.body_as_TaskAdopted());
    case RecordBody::TaskReleased:
        return read(in, *record.body_as_TaskReleased());
    case RecordBody::TaskFinished:
        return read(in, *record.body_as_TaskFinished());
    case RecordBody::TaskFailed:
        return read(in, *record.body_as_TaskFailed());
    case RecordBody::TaskRevoked:
        return read(in, *record.body_as_TaskRevoked());
    case RecordBody::KeyClaimed:
        return read(in, *record.body_as_KeyClaimed());
    case RecordBody::KeyFinished:
        return read(in, *record.body_as_KeyFinished());
    case RecordBody::KeyReleased:
        return read(in, *record.body_as_KeyReleased());
    case RecordBody::SnapshotPart:
        return read(in, *record.body_as_SnapshotPart());
    case RecordBody::ReadMarker:
        return read_marker{ .number = record.body_as_ReadMarker()->number() };
    case RecordBody::NONE:
        break;
    }
    throwMalformed("unknown record type");
}

record_batch read(field_reader &in, const RecordBatch &batch)
{
    record_batch result{ .producer = batch.producer(), .sequence = batch.sequence() };
    if (batch.records()) {
        if (batch.records()->size() > log_position::maxBatchRecords)
            throwMalformed("the batch has too many records");
        for (const Record *record : *batch.records()) {
            in.countElement();
            result.records.push_back(read(in, *record));
        }
    }
    return result;
}

} // namespace plantainpitch::wire::detail
