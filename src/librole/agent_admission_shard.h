#pragma once

#include "agent_shared.h"
#include "latency_window.h"
#include "plantainpitch/role/request_admission.h"

#include <memory>

namespace plantainpitch::detail {

/// Agent shard that runs request admission and publishes its load to the other shards.
class agent_admission_shard
{
public:
    explicit agent_admission_shard(std::shared_ptr<agent_shared> shared);

    action_list handle(instant now, const agent_event &event);

private:
    void onMessage(instant now, const message_received &received);
    void drain(instant now);
    void applyLimits();

    std::shared_ptr<agent_shared> m_shared;
    latency_window m_latency;
    request_admission m_admission;
    std::uint32_t m_slots = 0;
    std::uint32_t m_queueLimit = 0;
};

} // namespace plantainpitch::detail
