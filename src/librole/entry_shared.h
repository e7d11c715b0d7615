#pragma once

#include "plantainpitch/role/entry_role.h"
#include "plantainpitch/role/request_router.h"
#include "shard_inbox.h"

#include <atomic>
#include <deque>
#include <memory>
#include <utility>

namespace plantainpitch::detail {

class entry_control;
class entry_router_shard;

/// State shared by the shards of an entry.
struct entry_shared
{
    explicit entry_shared(entry_role_options roleOptions)
        : options(std::move(roleOptions))
    {
        for (std::size_t i = 0; i < options.routerShards; ++i)
            routerInboxes.push_back(std::make_unique<shard_inbox<entry_router_shard>>());
    }

    /// Posts \a item to the inbox of every router shard.
    void postToRouters(const shard_inbox<entry_router_shard>::work &item)
    {
        for (auto &inbox : routerInboxes)
            inbox->post(item);
    }

    const entry_role_options options;
    shard_inbox<entry_control> controlInbox;
    std::vector<std::unique_ptr<shard_inbox<entry_router_shard>>> routerInboxes;
    std::atomic<bool> stateComplete{ false };
    /// Never reset: requests are routed by the known templates even while the state has a gap.
    std::atomic<bool> configLoaded{ false };
    std::atomic<bool> stopping{ false };
    std::atomic<bool> closeListeners{ false };
    std::atomic<std::size_t> requestsInFlight{ 0 };
};

} // namespace plantainpitch::detail
