#pragma once

#include "admin_api.h"
#include "agent_table.h"
#include "authority_service.h"
#include "entry_shared.h"
#include "peer_table.h"
#include "plantainpitch/log/cell_state.h"
#include "plantainpitch/log/config_state.h"
#include "plantainpitch/role/task_dispatcher.h"
#include "record_owner.h"
#include "stream_follower.h"

#include <boost/json/object.hpp>

#include <memory>
#include <optional>
#include <unordered_map>

namespace plantainpitch::detail {

/// Control shard of an entry: log streams, configuration, tasks and membership.
class entry_control
{
public:
    entry_control(std::shared_ptr<entry_shared> shared, std::uint64_t seed);

    action_list handle(instant now, const entry_event &event);
    action_list handleInbox(instant now);

    // For the administration API.
    [[nodiscard]] const config_state &config() const { return m_config.state(); }
    [[nodiscard]] const cell_state &cell() const { return m_cell.state(); }
    [[nodiscard]] const agent_table &agents() const { return m_agents; }
    [[nodiscard]] std::int64_t nowMs() const { return m_nowMs; }
    [[nodiscard]] boost::json::object status() const;
    [[nodiscard]] std::string explainTask(const task_id &task) const;
    /// Throws error(not_ready) while the state is incomplete.
    void requireReady() const;
    /// Submit a record; throw error(log_unavailable) if the log cannot take it.
    void submitConfig(record_owner owner, log_record record);
    void submitCell(record_owner owner, log_record record);
    void emit(action item) { m_actions.push_back(std::move(item)); }

    // Called by work items in the inbox.
    void onRouterSubmission(std::size_t shard, const submit_record &submission);

private:
    void onOpened(const connection_opened &opened);
    void onClosed(const connection_closed &closed);
    void onMessage(const message_received &received);
    void onAgentMessage(const message_received &received);
    void onPeerMessage(const message_received &received);
    void onAnnounce(connection_id connection, const announce &announced);
    void onHeartbeat(connection_id connection, const heartbeat &beat);
    void onRecordSubmit(connection_id connection, const record_submit &submission);
    void onAuthorityRequest(connection_id connection, const authority_request &request);
    void onPeerPull(connection_id connection, const peer_pull &pull);
    void onPeerRecords(const peer_records &records);
    void onRequestFromTask(const caller_request &request);
    void onAppendAnswer(const append_answer &answer);
    void onReadAnswer(const read_answer &answer);
    void onStop();
    void tick(const timer_tick &timer);

    void foldNewRecords();
    void onConfigFolded(const log_record &record, const fold_result &result,
                        std::optional<std::uint64_t> ticket);
    void onCellFolded(const log_record &record, const fold_result &result,
                      std::optional<std::uint64_t> ticket);
    void notifyOwner(const record_owner &owner, const log_record &record,
                     const fold_result &result);
    void submitMarker();
    void grantAuthorities();
    void publishTemplate(const config_entity &entity);
    void publishAllTemplates();
    void pushConfig();
    void publishEndpoint(const known_agent &agent);
    void removeEndpoint(connection_id connection);
    void disconnectSilentAgents();
    void exchangeDigests();
    void pullFromPeers();
    void writeSnapshots();
    void finishStop();
    action_list collectActions();

    std::shared_ptr<entry_shared> m_shared;
    stream_follower<config_state> m_config;
    stream_follower<cell_state> m_cell;
    std::unordered_map<std::uint64_t, record_owner> m_configOwners; ///< by ticket
    std::unordered_map<std::uint64_t, record_owner> m_cellOwners; ///< by ticket
    std::unordered_map<connection_id, hello> m_connections;
    agent_table m_agents;
    peer_table m_peers;
    authority_service m_authorities;
    task_dispatcher m_dispatcher;
    admin_api m_admin;
    log_position m_pushedRevision;
    std::uint64_t m_lastMarker = 0;
    std::vector<std::string> m_liveEntries;
    instant m_now;
    std::int64_t m_nowMs = 0;
    instant m_lastDigest;
    instant m_lastSnapshotCheck;
    instant m_lastConfigSnapshot;
    instant m_lastCellSnapshot;
    std::optional<instant> m_stopStarted;
    bool m_exitSent = false;
    action_list m_actions;
};

} // namespace plantainpitch::detail
