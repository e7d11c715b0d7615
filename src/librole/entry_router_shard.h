#pragma once

#include "entry_shared.h"
#include "plantainpitch/role/request_router.h"

#include <memory>

namespace plantainpitch::detail {

/// Entry shard that routes its share of the callers' requests.
class entry_router_shard
{
public:
    entry_router_shard(std::shared_ptr<entry_shared> shared, std::size_t index, std::uint64_t seed);

    action_list handle(instant now, const entry_event &event);
    action_list handleInbox(instant now);

    /// The router, for functions posted to the inbox.
    request_router &router() { return m_router; }
    [[nodiscard]] instant now() const { return m_now; }
    /// Adds an action that does not come from the router, e.g. a refusal by the control shard.
    void emit(action item) { m_actions.push_back(std::move(item)); }

private:
    void onRequest(const caller_request &request);
    void onAdmin(const admin_request &request);
    void forwardSubmission(submit_record submission);
    action_list takeActions();

    std::shared_ptr<entry_shared> m_shared;
    std::size_t m_index;
    request_router m_router;
    std::size_t m_reportedInFlight = 0;
    instant m_now;
    action_list m_actions;
};

} // namespace plantainpitch::detail
