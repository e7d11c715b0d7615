#include "plantainpitch/runtime/connection_table.h"

#include "plantainpitch/runtime/peer_connection.h"

#include <vector>

namespace plantainpitch::runtime {

connection_id connection_table::add(const std::shared_ptr<peer_connection> &connection)
{
    const std::lock_guard lock(m_mutex);
    const connection_id id = m_nextId++;
    m_connections.emplace(id, connection);
    return id;
}

void connection_table::remove(connection_id id)
{
    const std::lock_guard lock(m_mutex);
    m_connections.erase(id);
}

std::shared_ptr<peer_connection> connection_table::find(connection_id id) const
{
    const std::lock_guard lock(m_mutex);
    const auto place = m_connections.find(id);
    return place == m_connections.end() ? nullptr : place->second;
}

void connection_table::send(connection_id id, const message &content)
{
    if (const auto connection = find(id))
        connection->send(content);
}

void connection_table::close(connection_id id, const std::string &reason)
{
    if (const auto connection = find(id))
        connection->close(reason);
}

void connection_table::closeAll(const std::string &reason)
{
    std::vector<std::shared_ptr<peer_connection>> connections;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &[id, connection] : m_connections)
            connections.push_back(connection);
    }
    for (const auto &connection : connections)
        connection->close(reason);
}

std::size_t connection_table::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_connections.size();
}

std::size_t connection_table::queuedBytes() const
{
    const std::lock_guard lock(m_mutex);
    std::size_t bytes = 0;
    for (const auto &[id, connection] : m_connections)
        bytes += connection->queuedBytes();
    return bytes;
}

} // namespace plantainpitch::runtime
