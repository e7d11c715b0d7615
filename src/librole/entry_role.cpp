#include "plantainpitch/role/entry_role.h"

#include "admin_target.h"
#include "entry_control.h"
#include "entry_router_shard.h"
#include "entry_shared.h"

namespace plantainpitch {

namespace {

constexpr std::size_t controlShard = 0;

std::optional<request_id> requestIdOf(const message &content)
{
    if (const auto *answered = std::get_if<answer>(&content))
        return answered->id;
    if (const auto *refused = std::get_if<refusal>(&content))
        return refused->id;
    if (const auto *cancelled = std::get_if<cancel_result>(&content))
        return cancelled->id;
    return std::nullopt;
}

bool isExplainService(const admin_request &request)
{
    return request.method == "GET" && request.target.starts_with("/v1/explain/service/");
}

} // namespace

entry_role::entry_role(entry_role_options options, std::uint64_t seed)
    : m_shared(std::make_shared<detail::entry_shared>(std::move(options)))
    , m_control(std::make_unique<detail::entry_control>(m_shared, seed))
{
    for (std::size_t i = 0; i < m_shared->options.routerShards; ++i)
        m_routers.push_back(
                std::make_unique<detail::entry_router_shard>(m_shared, i, seed + 100 + i));
}

entry_role::~entry_role() = default;

std::size_t entry_role::shardCount() const
{
    return 1 + m_routers.size();
}

std::vector<std::size_t> entry_role::shardsOf(const entry_event &event) const
{
    const std::size_t routers = m_routers.size();
    if (const auto *received = std::get_if<message_received>(&event)) {
        const auto id = requestIdOf(received->content);
        // Router shard i uses the request numbers i + 1, i + 1 + routers, ...
        return { id ? 1 + (id->number - 1) % routers : controlShard };
    }
    if (const auto *request = std::get_if<caller_request>(&event))
        return { request->request.origin ? controlShard : 1 + request->callerId % routers };
    if (const auto *disconnected = std::get_if<caller_gone>(&event))
        return { 1 + disconnected->callerId % routers };
    if (const auto *admin = std::get_if<admin_request>(&event))
        return { isExplainService(*admin) ? std::size_t(1) : controlShard };
    if (!std::holds_alternative<timer_tick>(event))
        return { controlShard };
    std::vector<std::size_t> all;
    for (std::size_t i = 0; i < shardCount(); ++i)
        all.push_back(i);
    return all;
}

action_list entry_role::handle(std::size_t shard, instant now, const entry_event &event)
{
    return shard == controlShard ? m_control->handle(now, event)
                                 : m_routers[shard - 1]->handle(now, event);
}

bool entry_role::hasInbox(std::size_t shard) const
{
    return shard == controlShard ? !m_shared->controlInbox.empty()
                                 : !m_shared->routerInboxes[shard - 1]->empty();
}

action_list entry_role::handleInbox(std::size_t shard, instant now)
{
    return shard == controlShard ? m_control->handleInbox(now)
                                 : m_routers[shard - 1]->handleInbox(now);
}

bool entry_role::ready() const
{
    return m_shared->stateComplete && !m_shared->stopping;
}

bool entry_role::closeConnections() const
{
    return m_shared->stopping;
}

bool entry_role::closeListeners() const
{
    return m_shared->closeListeners;
}

} // namespace plantainpitch
