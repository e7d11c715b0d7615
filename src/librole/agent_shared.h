#pragma once

#include "plantainpitch/role/agent_role.h"

#include <atomic>
#include <cstdint>

namespace plantainpitch::detail {

/// State shared by the shards of an agent.
struct agent_shared
{
    explicit agent_shared(agent_role_options roleOptions)
        : options(std::move(roleOptions))
    {}

    const agent_role_options options;
    std::atomic<std::uint32_t> running{ 0 };
    std::atomic<std::uint32_t> queued{ 0 };
    std::atomic<std::uint32_t> slots{ 0 }; ///< 0: as in the options
    std::atomic<std::uint32_t> queueLimit{ 0 }; ///< 0: as in the options
    std::atomic<std::uint64_t> tasks{ 0 };
    std::atomic<std::uint64_t> configRevision{ 0 };
    /// 99th percentile of the service times in the last window, see latency_window::publish().
    std::atomic<std::uint64_t> latencyWindow{ 0 };
    std::atomic<bool> draining{ false };
    std::atomic<bool> admissionIdle{ true };
    std::atomic<bool> tasksDrained{ false };
};

} // namespace plantainpitch::detail
