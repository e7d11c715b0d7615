#pragma once

#include "agent_shared.h"
#include "batch_throttle.h"
#include "gateway_selector.h"
#include "plantainpitch/log/config_state.h"
#include "plantainpitch/role/task_holder.h"

#include <memory>
#include <optional>
#include <set>

namespace plantainpitch::detail {

/// Shard of an agent that owns its tasks, its configuration and its announcements and heartbeats
/// to the entries.
class agent_task_shard
{
public:
    agent_task_shard(std::shared_ptr<agent_shared> shared, std::uint64_t seed);

    action_list handle(instant now, const agent_event &event);

private:
    void onOpened(instant now, const connection_opened &opened);
    void onClosed(const connection_closed &closed);
    void onMessage(instant now, const message_received &received);
    void onConfig(const config_update &update);
    void tick(instant now);
    void applyThrottle(instant now);
    void drain(instant now);
    void sendHeartbeats(instant now);
    void sendAnnouncementIfChanged();
    void finishDrain(instant now);
    void updateGateway(instant now);
    [[nodiscard]] announce makeAnnouncement() const;
    [[nodiscard]] heartbeat makeHeartbeat() const;

    std::shared_ptr<agent_shared> m_shared;
    task_holder m_holder;
    batch_throttle m_throttle;
    gateway_selector m_gateways;
    connection_id m_gateway = 0;
    config_state m_config;
    std::set<connection_id> m_entries;
    announce m_lastAnnouncement;
    instant m_lastHeartbeat;
    std::optional<instant> m_drainStarted;
    bool m_exitSent = false;
    action_list m_actions;
};

} // namespace plantainpitch::detail
