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
    /// Time between failing the readiness check and closing the listeners, in which the platform's
    /// load balancer stops sending new connections.
    duration stopDelay = std::chrono::seconds(2);
    log_pipeline_options log; ///< stream and producer are set by the role
};

/// Decision logic of an entry: turns events into actions, without I/O and without reading a clock.
///
/// The state is split into shards. Shard 0 handles the log, configuration, tasks and
/// administration; the others route requests. Calls for different shards may run concurrently on
/// different threads; calls for the same shard must not overlap. A shard passes work to another
/// one through that shard's inbox.
class entry_role
{
public:
    entry_role(entry_role_options options, std::uint64_t seed);
    ~entry_role();

    [[nodiscard]] std::size_t shardCount() const;
    /// Shards that must handle the event, in order. Does not read mutable state.
    [[nodiscard]] std::vector<std::size_t> shardsOf(const entry_event &event) const;

    /// Handles an event on one shard. The caller executes the actions in order. Work for other
    /// shards is posted to their inboxes (see hasInbox()).
    action_list handle(std::size_t shard, instant now, const entry_event &event);

    /// True if other shards posted work for this shard; handleInbox() runs it. Thread-safe.
    [[nodiscard]] bool hasInbox(std::size_t shard) const;
    action_list handleInbox(std::size_t shard, instant now);

    /// For /readyz: the state is complete and no stop was requested. Thread-safe.
    [[nodiscard]] bool ready() const;
    /// True once a stop was requested: connections end with their next response. Thread-safe.
    [[nodiscard]] bool closeConnections() const;
    /// True once the process has to close its listeners. Thread-safe.
    [[nodiscard]] bool closeListeners() const;

private:
    std::shared_ptr<detail::entry_shared> m_shared;
    std::unique_ptr<detail::entry_control> m_control;
    std::vector<std::unique_ptr<detail::entry_router_shard>> m_routers;
};

} // namespace plantainpitch
