#pragma once

#include "plantainpitch/log/log_pipeline_options.h"
#include "plantainpitch/model/instant.h"
#include "plantainpitch/role/action.h"
#include "plantainpitch/role/entry_event.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace plantainpitch {

namespace detail {
struct entry_shared;
class entry_control;
class entry_router_shard;
} // namespace detail

struct entry_role_options
{
    std::string name;
    std::string dataCentre;
    std::string cell = "default"; ///< region; names the stream cell.<region>
    std::uint64_t incarnation = 0; ///< random, new for each process start
    std::size_t routerShards = 2;
    duration heartbeatTimeout = std::chrono::milliseconds(1500); ///< three missed heartbeats
    duration peerDigestInterval = std::chrono::milliseconds(500);
    /// Time between failing readiness and closing the listeners, for the platform's balancer.
    duration stopDelay = std::chrono::seconds(2);
    log_pipeline_options log; ///< stream and producer are set by the role
};

/// All decisions of an entry. Makes no call and reads no clock.
///
/// The state is in shards: shard 0 has the log, configuration, tasks and administration; the
/// others route requests. Calls for different shards may run at the same time on different
/// threads; calls for one shard must not. Work that one shard has for another goes to the other's
/// inbox.
class entry_role
{
public:
    entry_role(entry_role_options options, std::uint64_t seed);
    ~entry_role();

    [[nodiscard]] std::size_t shardCount() const;
    /// Shards that must handle the event, in order. Does not read mutable state.
    [[nodiscard]] std::vector<std::size_t> shardsOf(const entry_event &event) const;

    /// Handles an event on one shard. The actions are to be carried out in order; work for other
    /// shards is left in their inboxes (see hasInbox()).
    action_list handle(std::size_t shard, instant now, const entry_event &event);

    /// True if other shards left work for this shard; handleInbox() does it. Thread-safe.
    [[nodiscard]] bool hasInbox(std::size_t shard) const;
    action_list handleInbox(std::size_t shard, instant now);

    /// For /readyz: the state is complete and no stop was requested. Thread-safe.
    [[nodiscard]] bool ready() const;
    /// For the shell: true once the listeners have to be closed. Thread-safe.
    [[nodiscard]] bool closeListeners() const;

private:
    std::shared_ptr<detail::entry_shared> m_shared;
    std::unique_ptr<detail::entry_control> m_control;
    std::vector<std::unique_ptr<detail::entry_router_shard>> m_routers;
};

} // namespace plantainpitch
