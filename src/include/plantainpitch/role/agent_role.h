#pragma once

#include "plantainpitch/model/instant.h"
#include "plantainpitch/model/resources.h"
#include "plantainpitch/role/action.h"
#include "plantainpitch/role/agent_event.h"

#include <cstdint>
#include <memory>
#include <string>

namespace plantainpitch {

namespace detail {
struct agent_shared;
class agent_task_shard;
class agent_admission_shard;
} // namespace detail

struct agent_role_options
{
    std::string vm;
    std::string dataCentre;
    std::string rack;
    std::uint64_t incarnation = 0; ///< random, new for each process start
    std::string templateName; ///< service that runs on this VM; empty: none
    std::uint32_t slots = 8;
    std::uint32_t connections = 64;
    std::uint32_t queueLimit = 32;
    resources reservedForService;
    duration heartbeatInterval = std::chrono::milliseconds(500);
};

/// Decision logic of an agent: turns events into actions, without I/O and without reading a clock.
/// Shard 0 handles tasks and configuration, shard 1 the admission of requests. Calls for the same
/// shard must not overlap.
class agent_role
{
public:
    agent_role(agent_role_options options, std::uint64_t seed);
    ~agent_role();

    [[nodiscard]] std::size_t shardCount() const;
    /// Shards that must handle the event, in order. Does not read mutable state.
    [[nodiscard]] std::vector<std::size_t> shardsOf(const agent_event &event) const;
    action_list handle(std::size_t shard, instant now, const agent_event &event);

    /// JSON for the agent's own status page. Thread-safe.
    [[nodiscard]] std::string status() const;

private:
    std::shared_ptr<detail::agent_shared> m_shared;
    std::unique_ptr<detail::agent_task_shard> m_tasks;
    std::unique_ptr<detail::agent_admission_shard> m_admission;
};

} // namespace plantainpitch
