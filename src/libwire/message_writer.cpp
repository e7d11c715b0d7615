#include "message_tables.h"
#include "record_tables.h"

namespace plantainpitch::wire::detail {

namespace {

using detail::write;

template <typename Table, typename Model, typename Write>
offset<flatbuffers::Vector<offset<Table>>> writeVector(builder &b, const std::vector<Model> &values,
                                                       Write writeElement)
{
    std::vector<offset<Table>> offsets;
    offsets.reserve(values.size());
    for (const Model &value : values)
        offsets.push_back(writeElement(b, value));
    return b.CreateVector(offsets);
}

offset<Hello> write(builder &b, const hello &m)
{
    const auto name = text(b, m.name);
    const auto dataCentre = text(b, m.dataCentre);
    return CreateHello(b, m.protocolVersion, toWire<ProcessKind>(m.kind), name, dataCentre,
                       m.incarnation);
}

offset<Announce> write(builder &b, const announce &m)
{
    const auto vm = text(b, m.vm);
    const auto dataCentre = text(b, m.dataCentre);
    const auto rack = text(b, m.rack);
    const auto boot = text(b, m.workerBoot);
    const auto templateName = text(b, m.templateName);
    const Resources capacity = toWire(m.capacity);
    const Resources available = toWire(m.available);
    return CreateAnnounce(b, vm, dataCentre, rack, m.incarnation, boot, &capacity, &available,
                          templateName, m.slots, m.connections, m.draining, m.configRevision.value);
}

offset<Heartbeat> write(builder &b, const heartbeat &m)
{
    const Resources available = toWire(m.available);
    return CreateHeartbeat(b, &available, m.running, m.queued, m.draining, m.throttlePercent,
                           m.configRevision.value);
}

offset<ConfigEntity> writeEntity(builder &b, const config_entity &e)
{
    const auto name = text(b, e.name);
    const auto document = text(b, e.document);
    return CreateConfigEntity(b, toWire<ConfigKind>(e.kind), name, e.revision.value, document,
                              e.removed);
}

offset<ConfigUpdate> write(builder &b, const config_update &m)
{
    return CreateConfigUpdate(b, m.revision.value,
                              writeVector<ConfigEntity>(b, m.entities, writeEntity));
}

offset<HeldTask> writeHeld(builder &b, const held_task &h)
{
    return CreateHeldTask(b, write(b, h.task), h.attempt.value);
}

offset<UnlistedClaim> writeUnlisted(builder &b, const unlisted_claim &c)
{
    return CreateUnlistedClaim(b, writeHeld(b, c.claim), c.authorityTermMs);
}

offset<ServiceRequest> write(builder &b, const service_request &r)
{
    const auto account = text(b, r.account);
    const auto templateName = text(b, r.templateName);
    const auto method = text(b, r.method);
    const auto path = text(b, r.path);
    const auto contentType = text(b, r.contentType);
    const auto body = bytes(b, r.body);
    const auto origin = r.origin ? writeHeld(b, *r.origin) : offset<HeldTask>();
    return CreateServiceRequest(b, account, templateName, method, path, contentType, body, origin);
}

offset<ServiceAnswer> write(builder &b, const service_answer &a)
{
    const auto contentType = text(b, a.contentType);
    return CreateServiceAnswer(b, a.status, contentType, bytes(b, a.body));
}

offset<Dispatch> write(builder &b, const dispatch &m)
{
    const auto request = write(b, m.request);
    const RequestId id = toWire(m.id);
    return CreateDispatch(b, &id, m.attempt, m.timeLeftUs, m.idempotent, request);
}

offset<Cancel> write(builder &b, const cancel &m)
{
    const RequestId id = toWire(m.id);
    return CreateCancel(b, &id, m.attempt);
}

offset<Answer> write(builder &b, const answer &m)
{
    const auto content = write(b, m.content);
    const RequestId id = toWire(m.id);
    return CreateAnswer(b, &id, m.attempt, content, m.bodyBytes, m.bodyChecksum, m.serviceTimeUs,
                        m.running, m.queued);
}

offset<Refusal> write(builder &b, const refusal &m)
{
    const RequestId id = toWire(m.id);
    return CreateRefusal(b, &id, m.attempt, toWire<RefusalReason>(m.reason), m.running, m.queued);
}

offset<CancelResult> write(builder &b, const cancel_result &m)
{
    const RequestId id = toWire(m.id);
    return CreateCancelResult(b, &id, m.attempt, toWire<CancelOutcome>(m.outcome));
}

offset<TaskProposal> write(builder &b, const task_proposal &m)
{
    const auto task = write(b, m.task);
    const auto job = write(b, m.job);
    const auto checkpoint = text(b, m.checkpoint);
    return CreateTaskProposal(b, task, job, m.base.value, checkpoint, m.afterRevocation,
                              m.revocationAgeUs);
}

offset<ProposalRefused> write(builder &b, const proposal_refused &m)
{
    const auto task = write(b, m.task);
    return CreateProposalRefused(b, task, m.base.value, text(b, m.reason));
}

offset<RecordSubmit> write(builder &b, const record_submit &m)
{
    return CreateRecordSubmit(b, m.ticket, write(b, m.record));
}

offset<RecordSettled> write(builder &b, const record_settled &m)
{
    return CreateRecordSettled(b, m.ticket, m.position.value, m.accepted, text(b, m.reason));
}

offset<AuthorityRequest> write(builder &b, const authority_request &m)
{
    const auto vm = text(b, m.vm);
    return CreateAuthorityRequest(b, m.nonce, vm, writeVector<HeldTask>(b, m.held, writeHeld));
}

offset<WithdrawnTask> writeWithdrawn(builder &b, const withdrawn_task &w)
{
    return CreateWithdrawnTask(b, write(b, w.task), w.attempt.value, toWire<Withdrawal>(w.reason));
}

offset<AuthorityGrant> write(builder &b, const authority_grant &m)
{
    const auto withdrawn = writeVector<WithdrawnTask>(b, m.withdrawn, writeWithdrawn);
    const auto unlisted = writeVector<UnlistedClaim>(b, m.unlisted, writeUnlisted);
    return CreateAuthorityGrant(b, m.nonce, m.nextOffset, withdrawn, unlisted);
}

offset<DrainRequest> write(builder &b, const drain_request &m)
{
    return CreateDrainRequest(b, text(b, m.reason));
}

offset<PeerDigest> write(builder &b, const peer_digest &m)
{
    return CreatePeerDigest(b, text(b, m.name), m.configNext, m.cellNext, m.ready,
                            m.logUnavailable);
}

offset<PeerPull> write(builder &b, const peer_pull &m)
{
    return CreatePeerPull(b, text(b, m.stream), m.fromOffset);
}

offset<StoredBatch> writeStored(builder &b, const stored_batch &s)
{
    return CreateStoredBatch(b, s.offset, write(b, s.batch));
}

offset<PeerRecords> write(builder &b, const peer_records &m)
{
    const auto stream = text(b, m.stream);
    const auto batches = writeVector<StoredBatch>(b, m.batches, writeStored);
    return CreatePeerRecords(b, stream, m.hasSnapshot, batches);
}

} // namespace

offset<Message> write(builder &b, const message &content)
{
    const auto body = std::visit([&b](const auto &m) { return write(b, m).Union(); }, content);
    // Union types start at 1; 0 is NONE.
    return CreateMessage(b, static_cast<MessageBody>(content.index() + 1), body);
}

} // namespace plantainpitch::wire::detail
