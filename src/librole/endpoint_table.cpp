#include "endpoint_table.h"

namespace plantainpitch::detail {

endpoint_number endpoint_table::addOrUpdate(const endpoint_info &info)
{
    const auto known = m_byIncarnation.find(info.incarnation);
    if (known != m_byIncarnation.end()) {
        auto &endpoint = m_endpoints[known->second];
        if (endpoint.info.connection != info.connection)
            m_byConnection.erase(endpoint.info.connection);
        endpoint.info = info;
        m_byConnection[info.connection] = known->second;
        return known->second;
    }
    endpoint_number number = 0;
    if (m_freeNumbers.empty()) {
        number = static_cast<endpoint_number>(m_endpoints.size());
        m_endpoints.emplace_back();
    } else {
        number = m_freeNumbers.back();
        m_freeNumbers.pop_back();
    }
    m_endpoints[number] = { .info = info, .inFlight = {} };
    m_byConnection[info.connection] = number;
    m_byIncarnation[info.incarnation] = number;
    return number;
}

void endpoint_table::disconnect(endpoint_number number)
{
    auto &info = m_endpoints[number].info;
    m_byConnection.erase(info.connection);
    info.connection = 0;
}

bool endpoint_table::removeIfUnused(endpoint_number number)
{
    auto &endpoint = m_endpoints[number];
    const auto known = m_byIncarnation.find(endpoint.info.incarnation);
    if (endpoint.info.connection != 0 || !endpoint.inFlight.empty()
        || known == m_byIncarnation.end() || known->second != number)
        return false;
    m_byIncarnation.erase(known);
    endpoint = {};
    m_freeNumbers.push_back(number);
    return true;
}

std::optional<endpoint_number> endpoint_table::byConnection(connection_id connection) const
{
    const auto found = m_byConnection.find(connection);
    return found == m_byConnection.end() ? std::nullopt : std::optional(found->second);
}

std::optional<endpoint_number> endpoint_table::byIncarnation(std::uint64_t incarnation) const
{
    const auto found = m_byIncarnation.find(incarnation);
    return found == m_byIncarnation.end() ? std::nullopt : std::optional(found->second);
}

std::vector<endpoint_number> endpoint_table::replacedBy(const endpoint_info &info) const
{
    std::vector<endpoint_number> numbers;
    for (const auto &[incarnation, number] : m_byIncarnation) {
        const auto &other = m_endpoints[number].info;
        if (incarnation != info.incarnation && other.vm == info.vm && other.connection == 0)
            numbers.push_back(number);
    }
    return numbers;
}

std::vector<endpoint_number> endpoint_table::connected() const
{
    std::vector<endpoint_number> numbers;
    for (endpoint_number i = 0; i < m_endpoints.size(); ++i) {
        if (m_endpoints[i].info.connection != 0)
            numbers.push_back(i);
    }
    return numbers;
}

} // namespace plantainpitch::detail
