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

/// Holds agents' authority requests until a read_marker that was submitted after their arrival has
/// been read back from the log. A plain read is not sufficient: a part of the log service that lags
/// behind could confirm a claim that has long been revoked.
class authority_service
{
public:
    struct pending_request
    {
        connection_id connection = 0;
        std::uint64_t agentIncarnation = 0;
        authority_request request;
    };

    /// A newer request of the same connection replaces one that no marker covers yet.
    void add(pending_request request);
    void erase(connection_id connection);

    /// Returns true if a marker should be submitted now: requests are pending, and the last marker
    /// has been read back and was submitted long enough ago.
    [[nodiscard]] bool isMarkerDue(instant now) const;
    /// Called after a marker was submitted; it covers all requests added before.
    void onMarkerSubmitted(instant now);
    /// Called after the marker was read back; returns and removes the requests it covers.
    std::vector<pending_request> takeCovered();

    static authority_grant makeGrant(const cell_state &cell, const pending_request &pending);

private:
    std::vector<pending_request> m_pendingRequests;
    std::vector<pending_request> m_coveredRequests;
    bool m_markerOutstanding = false;
    std::optional<instant> m_lastMarker;
};

} // namespace plantainpitch::detail
