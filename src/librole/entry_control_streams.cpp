// Part of entry_control: reads the log streams and publishes their state to shards, agents and
// peers.

#include "entry_control.h"
#include "entry_router_shard.h"

#include <map>

namespace plantainpitch::detail {

namespace {

/// The log retains records for a limited time, so a snapshot is written well before they expire.
constexpr std::uint64_t snapshotRecords = 20'000;
constexpr duration snapshotInterval = std::chrono::minutes(10);
constexpr duration snapshotCheckInterval = std::chrono::seconds(1);

/// Payload of one update. A message above the frame limit of 1 MB is not sent, so the agent would
/// never receive the configuration.
constexpr std::size_t maxUpdateBytes = std::size_t(256) * 1024;

/// Splits entities into updates of bounded size, in revision order. An agent that reconnects after
/// receiving only the first ones announces its revision and gets the rest.
std::vector<config_update> splitUpdate(std::vector<config_entity> entities)
{
    std::vector<config_update> updates;
    std::size_t bytes = 0;
    for (config_entity &entity : entities) {
        bytes += entity.name.size() + entity.document.size();
        if (updates.empty() || bytes > maxUpdateBytes) {
            updates.emplace_back();
            bytes = entity.name.size() + entity.document.size();
        }
        updates.back().revision = entity.revision;
        updates.back().entities.push_back(std::move(entity));
    }
    return updates;
}

} // namespace

void entry_control::foldNewRecords()
{
    const bool configReset =
            m_config.fold([this](const log_record &record, const fold_result &result,
                                 std::optional<std::uint64_t> ticket) {
                onConfigFolded(record, result, ticket);
            });
    if (configReset)
        publishAllTemplates();
    // Push once per batch of reads: a push per record would send every agent a message per record
    // and search the whole configuration each time.
    if (config().revision() > m_pushedRevision)
        pushConfig();
    const bool cellReset = m_cell.fold(
            [this](const log_record &record, const fold_result &result,
                   std::optional<std::uint64_t> ticket) { onCellFolded(record, result, ticket); });
    if (cellReset)
        m_dispatcher.onReset(m_now, cell());
    m_shared->stateComplete = m_config.complete() && m_cell.complete();
    if (m_config.complete())
        m_shared->configLoaded = true;
}

void entry_control::onConfigFolded(const log_record &record, const fold_result &result,
                                   std::optional<std::uint64_t> ticket)
{
    if (const auto *change = std::get_if<config_change>(&record); change && result.accepted) {
        if (const config_entity *entity = config().findEntity(change->kind, change->name))
            publishTemplate(*entity);
    }
    if (!ticket)
        return;
    const auto node = m_configOwners.extract(*ticket);
    if (!node.empty())
        notifyOwner(node.mapped(), record, result);
}

void entry_control::onCellFolded(const log_record &record, const fold_result &result,
                                 std::optional<std::uint64_t> ticket)
{
    m_dispatcher.onFolded(m_now, cell(), record, result);
    if (!ticket)
        return;
    const auto node = m_cellOwners.extract(*ticket);
    if (!node.empty())
        notifyOwner(node.mapped(), record, result);
}

void entry_control::notifyOwner(const record_owner &owner, const log_record &record,
                                const fold_result &result)
{
    if (const auto *agent = std::get_if<agent_owner>(&owner)) {
        const bool isClaim = std::holds_alternative<task_claimed>(record);
        emit(send_message{ agent->connection,
                           record_settled{ .ticket = agent->ticket,
                                           .position = isClaim && result.accepted ? result.current
                                                                                  : result.position,
                                           .accepted = result.accepted,
                                           .reason = result.reason } });
    } else if (const auto *router = std::get_if<router_owner>(&owner)) {
        std::optional<key_state> holder;
        if (const auto *claim = std::get_if<key_claimed>(&record)) {
            if (const key_state *key = cell().findKey(claim->account, claim->key))
                holder = *key;
        }
        const record_outcome outcome = { router->token, true, result };
        m_shared->routerInboxes[router->shard]->post([outcome, holder](entry_router_shard &shard) {
            shard.router().onRecordOutcome(shard.now(), outcome, holder);
        });
    } else if (const auto *dispatcher = std::get_if<dispatcher_owner>(&owner)) {
        m_dispatcher.onRecordOutcome(m_now, { dispatcher->token, true, result });
    } else if (const auto *admin = std::get_if<admin_owner>(&owner)) {
        m_admin.onFolded(admin->adminId, record, result);
    } else if (std::holds_alternative<marker_owner>(owner)) {
        grantAuthorities();
    }
}

void entry_control::submitMarker()
{
    if (!m_authorities.isMarkerDue(m_now))
        return;
    const auto ticket = m_cell.submit(m_now, read_marker{ .number = ++m_lastMarker });
    if (!ticket)
        return;
    m_cellOwners.emplace(*ticket, marker_owner{});
    m_authorities.onMarkerSubmitted(m_now);
}

void entry_control::grantAuthorities()
{
    for (const authority_service::pending_request &request : m_authorities.takeCovered())
        emit(send_message{ request.connection, authority_service::makeGrant(cell(), request) });
}

void entry_control::publishTemplate(const config_entity &entity)
{
    if (entity.kind != config_kind::work_template)
        return;
    const work_template *found = config().findTemplate(entity.name);
    if (!found) {
        m_shared->postToRouters([name = entity.name](entry_router_shard &shard) {
            shard.router().onTemplateRemoved(name);
        });
        return;
    }
    const auto value = std::make_shared<const work_template>(*found);
    m_shared->postToRouters(
            [value](entry_router_shard &shard) { shard.router().onTemplate(value); });
}

void entry_control::publishAllTemplates()
{
    for (const config_entity &entity : config().changedSince({}))
        publishTemplate(entity);
}

void entry_control::pushConfig()
{
    const log_position revision = config().revision();
    m_pushedRevision = revision;
    // Most agents have the same revision, so the configuration is searched once per revision.
    std::map<log_position, std::vector<config_update>> updates;
    for (auto &[connection, agent] : m_agents.agents()) {
        if (agent.sentConfigRevision >= revision)
            continue;
        auto known = updates.find(agent.sentConfigRevision);
        if (known == updates.end())
            known = updates.emplace(agent.sentConfigRevision,
                                    splitUpdate(config().changedSince(agent.sentConfigRevision)))
                            .first;
        for (const config_update &update : known->second)
            emit(send_message{ connection, update });
        agent.sentConfigRevision = revision;
    }
}

void entry_control::exchangeDigests()
{
    if (m_now - m_lastDigest < m_shared->options.peerDigestInterval)
        return;
    m_lastDigest = m_now;
    const peer_digest digest = { .name = m_shared->options.name,
                                 .configNext = config().nextOffset(),
                                 .cellNext = cell().nextOffset(),
                                 .ready = m_shared->stateComplete && !m_shared->stopping,
                                 .logUnavailable = m_config.unavailable() };
    for (const auto &[connection, peer] : m_peers.all())
        emit(send_message{ connection, digest });
    std::vector<std::string> live =
            m_peers.liveNames(m_shared->options.name, m_now - m_shared->options.heartbeatTimeout);
    if (live != m_liveEntries) {
        m_liveEntries = live;
        m_dispatcher.onEntriesChanged(std::move(live));
    }
    pullFromPeers();
}

void entry_control::pullFromPeers()
{
    for (const auto &[connection, peer] : m_peers.all()) {
        if (!peer.digest.ready)
            continue;
        m_config.onPeerNextOffset(peer.digest.configNext);
        m_cell.onPeerNextOffset(peer.digest.cellNext);
        if (m_config.unavailable() && peer.digest.configNext > config().nextOffset())
            emit(send_message{ connection, peer_pull{ m_config.stream(), config().nextOffset() } });
        if (m_cell.unavailable() && peer.digest.cellNext > cell().nextOffset())
            emit(send_message{ connection, peer_pull{ m_cell.stream(), cell().nextOffset() } });
    }
}

void entry_control::onPeerPull(connection_id connection, const peer_pull &pull)
{
    std::vector<peer_records> answers;
    if (pull.stream == m_config.stream() && m_config.complete())
        answers = m_config.makePeerRecords(pull);
    else if (pull.stream == m_cell.stream() && m_cell.complete())
        answers = m_cell.makePeerRecords(pull);
    for (peer_records &answer : answers)
        emit(send_message{ connection, std::move(answer) });
}

void entry_control::onPeerRecords(const peer_records &records)
{
    if (records.stream == m_config.stream() && m_config.unavailable()) {
        if (m_config.applyPeerRecords(m_now, records))
            publishAllTemplates();
    } else if (records.stream == m_cell.stream() && m_cell.unavailable()) {
        if (m_cell.applyPeerRecords(m_now, records))
            m_dispatcher.onReset(m_now, cell());
    }
}

void entry_control::writeSnapshots()
{
    if (m_now - m_lastSnapshotCheck < snapshotCheckInterval || !m_shared->stateComplete)
        return;
    if (m_lastSnapshotCheck == instant()) {
        m_lastConfigSnapshot = m_now;
        m_lastCellSnapshot = m_now;
    }
    m_lastSnapshotCheck = m_now;
    // The live entry with the first name writes the snapshots. Two writers during a membership
    // change are harmless.
    if (m_liveEntries.empty() || m_liveEntries.front() != m_shared->options.name)
        return;
    const auto due = [this](const auto &follower, instant last) {
        return follower.recordsSinceSnapshot() >= snapshotRecords
               || (follower.recordsSinceSnapshot() > 0 && m_now - last >= snapshotInterval);
    };
    if (due(m_config, m_lastConfigSnapshot)) {
        m_config.submitSnapshot(m_now);
        m_lastConfigSnapshot = m_now;
    }
    if (due(m_cell, m_lastCellSnapshot)) {
        m_cell.submitSnapshot(m_now);
        m_lastCellSnapshot = m_now;
    }
}

} // namespace plantainpitch::detail
