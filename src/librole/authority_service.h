#pragma once

#include "plantainpitch/log/cell_state.h"
#include "plantainpitch/model/instant.h"
#include "plantainpitch/role/connection_id.h"
#include "plantainpitch/role/message/authority_grant.h"
#include "plantainpitch/role/message/authority_request.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace plantainpitch::detail {

/// Collects agents' authority requests until a read_marker, submitted after they came, was read
/// back from the log. A plain read is not enough: one from a part of the log service that is
/// behind would confirm a claim that has long been revoked.
class authority_service
{
public:
    struct waiting_request
    {
        connection_id connection = 0;
        std::uint64_t agent = 0; ///< incarnation
        authority_request request;
    };

    /// A newer request of the same connection replaces one that no marker covers yet.
    void add(waiting_request request);
    void erase(connection_id connection);

    /// True if a marker is to be submitted now: requests wait, and the last marker was read back
    /// and is old enough.
    [[nodiscard]] bool markerDue(instant now) const;
    /// A marker was submitted; it covers all requests added before.
    void onMarkerSubmitted(instant now);
    /// The marker was read back. Returns the requests it covers.
    std::vector<waiting_request> takeCovered();

    static authority_grant makeGrant(const cell_state &cell, const waiting_request &waiting);

private:
    std::vector<waiting_request> m_waiting;
    std::vector<waiting_request> m_covered;
    bool m_outstanding = false;
    std::optional<instant> m_lastMarker;
};

} // namespace plantainpitch::detail
