#include "message_tables.h"
#include "record_tables.h"

namespace plantainpitch::wire::detail {

namespace {

using detail::read;

log_position position(std::uint64_t value)
{
    return { .value = value };
}

template <typename Model, typename Table, typename Read>
std::vector<Model> readVector(field_reader &in,
                              const flatbuffers::Vector<flatbuffers::Offset<Table>> *values,
                              Read readElement)
{
    std::vector<Model> result;
    if (values) {
        for (const Table *value : *values) {
            in.countElement();
            result.push_back(readElement(in, *value));
        }
    }
    return result;
}

hello read(field_reader &in, const Hello &m)
{
    return { .protocolVersion = m.protocol_version(),
             .kind = in.enumeration<process_kind>(m.kind()),
             .name = in.text(m.name()),
             .dataCentre = in.text(m.data_centre()),
             .incarnation = m.incarnation() };
}

announce read(field_reader &in, const Announce &m)
{
    return { .vm = in.text(m.vm()),
             .dataCentre = in.text(m.data_centre()),
             .rack = in.text(m.rack()),
             .incarnation = m.incarnation(),
             .workerBoot = in.text(m.worker_boot()),
             .capacity = in.resourceAmounts(m.capacity()),
             .available = in.resourceAmounts(m.available()),
             .templateName = in.text(m.template_name()),
             .slots = m.slots(),
             .connections = m.connections(),
             .draining = m.draining(),
             .configRevision = position(m.config_revision()) };
}

heartbeat read(field_reader &in, const Heartbeat &m)
{
    return { .available = in.resourceAmounts(m.available()),
             .running = m.running(),
             .queued = m.queued(),
             .draining = m.draining(),
             .throttlePercent = m.throttle_percent(),
             .configRevision = position(m.config_revision()) };
}

config_entity readEntity(field_reader &in, const ConfigEntity &e)
{
    return { .kind = in.enumeration<config_kind>(e.kind()),
             .name = in.text(e.name()),
             .revision = position(e.revision()),
             .document = in.text(e.document()),
             .removed = e.removed() };
}

config_update read(field_reader &in, const ConfigUpdate &m)
{
    return { .revision = position(m.revision()),
             .entities = readVector<config_entity>(in, m.entities(), readEntity) };
}

held_task readHeld(field_reader &in, const HeldTask &h)
{
    return { .task = in.taskId(h.task()), .attempt = position(h.attempt()) };
}

unlisted_claim readUnlisted(field_reader &in, const UnlistedClaim &c)
{
    return { .claim = readHeld(in, *c.claim()), .authorityTermMs = c.authority_term_ms() };
}

service_request read(field_reader &in, const ServiceRequest &r)
{
    service_request result{ .account = in.text(r.account()),
                            .templateName = in.text(r.template_name()),
                            .method = in.text(r.method()),
                            .path = in.text(r.path()),
                            .contentType = in.text(r.content_type()),
                            .body = in.bytes(r.body()) };
    if (r.origin())
        result.origin = readHeld(in, *r.origin());
    return result;
}

service_answer read(field_reader &in, const ServiceAnswer &a)
{
    return { .status = a.status(),
             .contentType = in.text(a.content_type()),
             .body = in.bytes(a.body()) };
}

dispatch read(field_reader &in, const Dispatch &m)
{
    return { .id = in.requestId(m.id()),
             .attempt = m.attempt(),
             .timeLeftUs = m.time_left_us(),
             .idempotent = m.idempotent(),
             .request = read(in, *m.request()) };
}

cancel read(field_reader &in, const Cancel &m)
{
    return { .id = in.requestId(m.id()), .attempt = m.attempt() };
}

answer read(field_reader &in, const Answer &m)
{
    return { .id = in.requestId(m.id()),
             .attempt = m.attempt(),
             .content = read(in, *m.content()),
             .bodyBytes = m.body_bytes(),
             .bodyChecksum = m.body_checksum(),
             .serviceTimeUs = m.service_time_us(),
             .running = m.running(),
             .queued = m.queued() };
}

refusal read(field_reader &in, const Refusal &m)
{
    return { .id = in.requestId(m.id()),
             .attempt = m.attempt(),
             .reason = in.enumeration<refusal_reason>(m.reason()),
             .running = m.running(),
             .queued = m.queued() };
}

cancel_result read(field_reader &in, const CancelResult &m)
{
    return { .id = in.requestId(m.id()),
             .attempt = m.attempt(),
             .outcome = in.enumeration<cancel_outcome>(m.outcome()) };
}

task_proposal read(field_reader &in, const TaskProposal &m)
{
    return { .task = in.taskId(m.task()),
             .job = read(in, *m.job()),
             .base = position(m.base()),
             .checkpoint = in.text(m.checkpoint()),
             .afterRevocation = m.after_revocation(),
             .revocationAgeUs = m.revocation_age_us() };
}

proposal_refused read(field_reader &in, const ProposalRefused &m)
{
    return { .task = in.taskId(m.task()),
             .base = position(m.base()),
             .reason = in.text(m.reason()) };
}

record_submit read(field_reader &in, const RecordSubmit &m)
{
    return { .ticket = m.ticket(), .record = read(in, *m.record()) };
}

record_settled read(field_reader &in, const RecordSettled &m)
{
    return { .ticket = m.ticket(),
             .position = position(m.position()),
             .accepted = m.accepted(),
             .reason = in.text(m.reason()) };
}

authority_request read(field_reader &in, const AuthorityRequest &m)
{
    return { .nonce = m.nonce(),
             .vm = in.text(m.vm()),
             .held = readVector<held_task>(in, m.held(), readHeld) };
}

withdrawn_task readWithdrawn(field_reader &in, const WithdrawnTask &w)
{
    return { .task = in.taskId(w.task()),
             .attempt = position(w.attempt()),
             .reason = in.enumeration<withdrawal>(w.why()) };
}

authority_grant read(field_reader &in, const AuthorityGrant &m)
{
    return { .nonce = m.nonce(),
             .nextOffset = m.next_offset(),
             .withdrawn = readVector<withdrawn_task>(in, m.withdrawn(), readWithdrawn),
             .unlisted = readVector<unlisted_claim>(in, m.unlisted(), readUnlisted) };
}

drain_request read(field_reader &in, const DrainRequest &m)
{
    return { .reason = in.text(m.reason()) };
}

peer_digest read(field_reader &in, const PeerDigest &m)
{
    return { .name = in.text(m.name()),
             .configNext = m.config_next(),
             .cellNext = m.cell_next(),
             .ready = m.ready(),
             .logUnavailable = m.log_unavailable() };
}

peer_pull read(field_reader &in, const PeerPull &m)
{
    return { .stream = in.text(m.stream()), .fromOffset = m.from_offset() };
}

stored_batch readStored(field_reader &in, const StoredBatch &s)
{
    return { .offset = s.offset(), .batch = read(in, *s.batch()) };
}

peer_records read(field_reader &in, const PeerRecords &m)
{
    return { .stream = in.text(m.stream()),
             .hasSnapshot = m.has_snapshot(),
             .batches = readVector<stored_batch>(in, m.batches(), readStored) };
}

/// Reads the body into \a result if the union holds \a Type; returns whether it does.
template <MessageBody Type, typename Table>
bool readAs(field_reader &in, const Message &content, message &result)
{
    if (content.body_type() != Type)
        return false;
    result = read(in, *static_cast<const Table *>(content.body()));
    return true;
}

} // namespace

message read(field_reader &in, const Message &content)
{
    using body = MessageBody;
    field_reader::require(content.body());
    message result;
    const bool known = readAs<body::Hello, Hello>(in, content, result)
                       || readAs<body::Announce, Announce>(in, content, result)
                       || readAs<body::Heartbeat, Heartbeat>(in, content, result)
                       || readAs<body::ConfigUpdate, ConfigUpdate>(in, content, result)
                       || readAs<body::Dispatch, Dispatch>(in, content, result)
                       || readAs<body::Cancel, Cancel>(in, content, result)
                       || readAs<body::Answer, Answer>(in, content, result)
                       || readAs<body::Refusal, Refusal>(in, content, result)
                       || readAs<body::CancelResult, CancelResult>(in, content, result)
                       || readAs<body::TaskProposal, TaskProposal>(in, content, result)
                       || readAs<body::ProposalRefused, ProposalRefused>(in, content, result)
                       || readAs<body::RecordSubmit, RecordSubmit>(in, content, result)
                       || readAs<body::RecordSettled, RecordSettled>(in, content, result)
                       || readAs<body::AuthorityRequest, AuthorityRequest>(in, content, result)
                       || readAs<body::AuthorityGrant, AuthorityGrant>(in, content, result)
                       || readAs<body::DrainRequest, DrainRequest>(in, content, result)
                       || readAs<body::PeerDigest, PeerDigest>(in, content, result)
                       || readAs<body::PeerPull, PeerPull>(in, content, result)
                       || readAs<body::PeerRecords, PeerRecords>(in, content, result);
    if (!known)
        throwMalformed("unknown message type");
    return result;
}

} // namespace plantainpitch::wire::detail
