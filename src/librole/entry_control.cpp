#include "entry_control.h"

#include "admin_json.h"
#include "entry_router_shard.h"
#include "plantainpitch/model/error.h"

namespace plantainpitch::detail {

namespace {

log_pipeline_options pipelineOptions(const entry_role_options &options, std::string stream)
{
    log_pipeline_options result = options.log;
    result.stream = std::move(stream);
    result.producer = options.incarnation;
    return result;
}

task_dispatcher_options dispatcherOptions(const entry_role_options &options)
{
    return { .entry = options.name, .dataCentre = options.dataCentre };
}

} // namespace

entry_control::entry_control(std::shared_ptr<entry_shared> shared, std::uint64_t seed)
    : m_shared(std::move(shared))
    , m_config(pipelineOptions(m_shared->options, "config"), seed)
    , m_cell(pipelineOptions(m_shared->options, "cell." + m_shared->options.cell), seed + 1)
    , m_dispatcher(dispatcherOptions(m_shared->options), seed + 2)
    , m_admin(*this, seed + 3)
{}

action_list entry_control::handle(instant now, const entry_event &event)
{
    m_now = now;
    if (const auto *opened = std::get_if<connection_opened>(&event))
        onOpened(*opened);
    else if (const auto *closed = std::get_if<connection_closed>(&event))
        onClosed(*closed);
    else if (const auto *received = std::get_if<message_received>(&event))
        onMessage(*received);
    else if (const auto *request = std::get_if<caller_request>(&event))
        onRequestFromTask(*request);
    else if (const auto *admin = std::get_if<admin_request>(&event))
        m_admin.onRequest(now, *admin);
    else if (const auto *appended = std::get_if<append_answer>(&event))
        onAppendAnswer(*appended);
    else if (const auto *read = std::get_if<read_answer>(&event))
        onReadAnswer(*read);
    else if (std::holds_alternative<stop_requested>(event))
        onStop();
    else if (const auto *timer = std::get_if<timer_tick>(&event))
        tick(*timer);
    return collectActions();
}

void entry_control::onAppendAnswer(const append_answer &answer)
{
    // Call ids are unique only within a stream.
    if (answer.stream == m_config.stream())
        m_config.onAppendAnswer(m_now, answer);
    else if (answer.stream == m_cell.stream())
        m_cell.onAppendAnswer(m_now, answer);
}

void entry_control::onReadAnswer(const read_answer &answer)
{
    if (answer.stream == m_config.stream())
        m_config.onReadAnswer(m_now, answer);
    else if (answer.stream == m_cell.stream())
        m_cell.onReadAnswer(m_now, answer);
}

action_list entry_control::handleInbox(instant now)
{
    m_now = now;
    for (const auto &item : m_shared->controlInbox.take())
        item(*this);
    return collectActions();
}

action_list entry_control::collectActions()
{
    foldNewRecords();
    for (action &item : m_dispatcher.takeActions()) {
        if (auto *submission = std::get_if<submit_record>(&item)) {
            const auto ticket = m_cell.submit(m_now, submission->record);
            if (ticket)
                m_cellOwners.emplace(*ticket, dispatcher_owner{ submission->token });
            else
                m_dispatcher.onRecordOutcome(m_now, { .token = submission->token });
        } else {
            m_actions.push_back(std::move(item));
        }
    }
    m_config.takeCalls(m_actions);
    m_cell.takeCalls(m_actions);
    return std::exchange(m_actions, {});
}

void entry_control::onOpened(const connection_opened &opened)
{
    m_connections[opened.connection] = opened.peer;
    if (opened.peer.kind == process_kind::entry)
        m_peers.onConnected(opened.connection, opened.peer);
}

void entry_control::onClosed(const connection_closed &closed)
{
    if (const known_agent *agent = m_agents.find(closed.connection)) {
        const std::string vm = agent->announcement.vm;
        removeEndpoint(closed.connection);
        m_agents.erase(closed.connection);
        if (!m_agents.findVm(vm))
            m_dispatcher.onVmUnreachable(m_now, vm);
    }
    m_authorities.erase(closed.connection);
    m_peers.erase(closed.connection);
    m_connections.erase(closed.connection);
}

void entry_control::onMessage(const message_received &received)
{
    const auto it = m_connections.find(received.connection);
    if (it == m_connections.end())
        return;
    if (it->second.kind == process_kind::entry)
        onPeerMessage(received);
    else
        onAgentMessage(received);
}

void entry_control::onAgentMessage(const message_received &received)
{
    const connection_id from = received.connection;
    if (const auto *announced = std::get_if<announce>(&received.content))
        onAnnounce(from, *announced);
    else if (const auto *beat = std::get_if<heartbeat>(&received.content))
        onHeartbeat(from, *beat);
    else if (const auto *submission = std::get_if<record_submit>(&received.content))
        onRecordSubmit(from, *submission);
    else if (const auto *request = std::get_if<authority_request>(&received.content))
        onAuthorityRequest(from, *request);
    else if (const auto *refused = std::get_if<proposal_refused>(&received.content))
        m_dispatcher.onProposalRefused(m_now, from, *refused);
    else
        emit(close_connection{ from, "unexpected message from an agent" });
}

void entry_control::onPeerMessage(const message_received &received)
{
    const connection_id from = received.connection;
    if (const auto *digest = std::get_if<peer_digest>(&received.content))
        m_peers.onDigest(m_now, from, *digest);
    else if (const auto *pull = std::get_if<peer_pull>(&received.content))
        onPeerPull(from, *pull);
    else if (const auto *records = std::get_if<peer_records>(&received.content))
        onPeerRecords(*records);
    else
        emit(close_connection{ from, "unexpected message from an entry" });
}

void entry_control::onAnnounce(connection_id connection, const announce &announced)
{
    const known_agent &agent = m_agents.onAnnounce(m_now, connection, announced);
    publishEndpoint(agent);
    m_dispatcher.onVmUpdated(m_now, agent.toVm());
    pushConfig();
}

void entry_control::onHeartbeat(connection_id connection, const heartbeat &beat)
{
    const known_agent *before = m_agents.find(connection);
    if (!before)
        return;
    const endpoint_info oldEndpoint = before->toEndpoint();
    const bool heartbeatsWereMissing = before->heartbeatsMissing;
    const known_agent &agent = *m_agents.onHeartbeat(m_now, connection, beat);
    if (heartbeatsWereMissing || !(agent.toEndpoint() == oldEndpoint))
        publishEndpoint(agent);
    m_dispatcher.onVmUpdated(m_now, agent.toVm());
}

void entry_control::onRecordSubmit(connection_id connection, const record_submit &submission)
{
    const auto ticket = m_cell.submit(m_now, submission.record);
    if (ticket) {
        m_cellOwners.emplace(*ticket, agent_owner{ connection, submission.ticket });
        return;
    }
    emit(send_message{ connection, record_settled{ .ticket = submission.ticket,
                                                   .position = {},
                                                   .accepted = false,
                                                   .reason = "log_unavailable" } });
    emit(count_metric{ "refusals_total", "log_unavailable" });
}

void entry_control::onAuthorityRequest(connection_id connection, const authority_request &request)
{
    m_authorities.add({ .connection = connection,
                        .agentIncarnation = m_connections[connection].incarnation,
                        .request = request });
    submitMarker();
}

void entry_control::onRequestFromTask(const caller_request &request)
{
    const held_task &origin = *request.request.origin;
    const task_state *task = cell().findTask(origin.task);
    if (!task || task->attempt != origin.attempt || isFinal(task->phase)
        || task->phase == task_phase::pending) {
        emit(count_metric{ "refusals_total", "stale_attempt" });
        emit(answer_caller{ .callerId = request.callerId,
                            .outcome = outcome_kind::not_run,
                            .status = 409,
                            .reason = "stale_attempt",
                            .remedy = "stop: this attempt of the task was replaced",
                            .requestId = {},
                            .content = {} });
        return;
    }
    const std::size_t shard = request.callerId % m_shared->routerInboxes.size();
    m_shared->routerInboxes[shard]->post([request](entry_router_shard &router) {
        router.router().onRequest(router.now(), request);
    });
}

void entry_control::onStop()
{
    if (m_stopStarted)
        return;
    m_stopStarted = m_now;
    m_shared->stopping = true;
    emit(write_log{ log_level::info, "stop_started", {} });
}

void entry_control::tick(const timer_tick &timer)
{
    m_nowMs = timer.nowMs;
    m_config.tick(m_now);
    m_cell.tick(m_now);
    foldNewRecords();
    submitMarker();
    disconnectSilentAgents();
    exchangeDigests();
    pushConfig();
    writeSnapshots();
    m_admin.tick(m_now);
    if (m_shared->stateComplete)
        m_dispatcher.tick(m_now, cell(), m_nowMs);
    finishStop();
}

void entry_control::finishStop()
{
    if (!m_stopStarted || m_exitSent || m_now - *m_stopStarted < m_shared->options.stopDelay)
        return;
    m_shared->closeListeners = true;
    // Wait until the records that agents submitted here are settled; otherwise the agents would
    // have to submit them again through another entry.
    const bool logIdle = m_cellOwners.empty() || m_cell.unavailable();
    if (m_shared->requestsInFlight != 0 || !logIdle)
        return;
    m_exitSent = true;
    emit(write_log{ log_level::info, "stop_finished", {} });
    emit(exit_process{});
}

void entry_control::onRouterSubmission(std::size_t shard, const submit_record &submission)
{
    const bool isClaim = std::holds_alternative<key_claimed>(submission.record);
    // A claim delays a caller's request, so it fails at once while the log is unavailable. Records
    // that finish or release a key may wait.
    const auto ticket = isClaim && m_cell.unavailable() ? std::nullopt
                                                        : m_cell.submit(m_now, submission.record);
    if (ticket) {
        m_cellOwners.emplace(*ticket, router_owner{ shard, submission.token });
        return;
    }
    m_shared->routerInboxes[shard]->post([token = submission.token](entry_router_shard &router) {
        router.router().onRecordOutcome(router.now(), { .token = token }, std::nullopt);
    });
}

void entry_control::requireReady() const
{
    if (!m_shared->stateComplete)
        throw error(error_kind::not_ready, "this entry is still reading its state",
                    "repeat the request in a few seconds or ask another entry");
}

void entry_control::submitConfig(record_owner owner, log_record record)
{
    requireReady();
    const auto ticket =
            m_config.unavailable() ? std::nullopt : m_config.submit(m_now, std::move(record));
    if (!ticket)
        throw error(error_kind::log_unavailable, "the log does not answer",
                    "nothing was changed; repeat the request when the log is back");
    m_configOwners.emplace(*ticket, owner);
}

void entry_control::submitCell(record_owner owner, log_record record)
{
    const auto ticket =
            m_cell.unavailable() ? std::nullopt : m_cell.submit(m_now, std::move(record));
    if (!ticket)
        throw error(error_kind::log_unavailable, "the log does not answer",
                    "nothing was changed; repeat the request when the log is back");
    m_cellOwners.emplace(*ticket, owner);
}

std::string entry_control::explainTask(const task_id &task) const
{
    return m_dispatcher.explainTask(cell(), task);
}

} // namespace plantainpitch::detail
