#pragma once

#include "plantainpitch/log/cell_state.h"
#include "plantainpitch/role/connection_id.h"
#include "plantainpitch/role/message/authority_grant.h"
#include "plantainpitch/role/message/authority_request.h"

#include <cstdint>
#include <map>
#include <optional>

namespace plantainpitch::detail {

/// Answers agents' authority requests from a log read that began after the request came.
class authority_service
{
public:
    struct waiting_request
    {
        connection_id connection = 0;
        std::uint64_t agent = 0; ///< incarnation
        authority_request request;
    };

    /// Keeps the request until its barrier is reached. A newer request of the same connection
    /// replaces the older one.
    void add(std::uint64_t barrier, waiting_request request);
    void erase(connection_id connection);
    std::optional<waiting_request> take(std::uint64_t barrier);

    static authority_grant makeGrant(const cell_state &cell, const waiting_request &waiting);

private:
    std::map<std::uint64_t, waiting_request> m_waiting; ///< by barrier
};

} // namespace plantainpitch::detail
