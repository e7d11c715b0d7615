#pragma once

#include "plantainpitch/policy/routing_policy.h"
#include "plantainpitch/role/endpoint_info.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace plantainpitch::detail {

/// Last reported state of an endpoint, and the requests in flight on it.
struct endpoint_state
{
    endpoint_info info; ///< connection is 0 if disconnected
    std::unordered_set<std::uint64_t> inFlight; ///< numbers of requests with an open attempt
};

/// Endpoints of one service, indexed by number, connection and agent incarnation. A disconnected
/// endpoint is kept while requests are in flight on it.
class endpoint_table
{
public:
    /// Adds an endpoint, or replaces the state of the endpoint with this agent incarnation.
    endpoint_number addOrUpdate(const endpoint_info &info);
    void disconnect(endpoint_number number);
    /// Removes the endpoint if it is disconnected and no request is in flight on it.
    bool removeIfUnused(endpoint_number number);

    [[nodiscard]] std::optional<endpoint_number> byConnection(connection_id connection) const;
    [[nodiscard]] std::optional<endpoint_number> byIncarnation(std::uint64_t incarnation) const;
    /// Disconnected endpoints on the same VM with another agent incarnation.
    [[nodiscard]] std::vector<endpoint_number> replacedBy(const endpoint_info &info) const;
    [[nodiscard]] std::vector<endpoint_number> connected() const;

    endpoint_state &operator[](endpoint_number number) { return m_endpoints[number]; }
    const endpoint_state &operator[](endpoint_number number) const { return m_endpoints[number]; }

private:
    std::vector<endpoint_state> m_endpoints;
    std::vector<endpoint_number> m_freeNumbers;
    std::unordered_map<connection_id, endpoint_number> m_byConnection;
    std::unordered_map<std::uint64_t, endpoint_number> m_byIncarnation;
};

} // namespace plantainpitch::detail
