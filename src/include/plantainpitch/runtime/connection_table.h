#pragma once

#include "plantainpitch/role/connection_id.h"
#include "plantainpitch/role/message.h"

#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

namespace plantainpitch::runtime {

class peer_connection;

/// The open connections of a process by their id. Thread-safe.
class connection_table
{
public:
    /// Adds a connection and returns its id.
    connection_id add(const std::shared_ptr<peer_connection> &connection);
    void remove(connection_id id);

    /// Sends if the connection is still open; otherwise the message is dropped, and its close
    /// event tells the role so. Throws error(too_large).
    void send(connection_id id, const message &content);
    void close(connection_id id, const std::string &reason);
    void closeAll(const std::string &reason);

    [[nodiscard]] std::size_t size() const;
    /// Bytes accepted by send() and not yet given to the system.
    [[nodiscard]] std::size_t queuedBytes() const;

private:
    [[nodiscard]] std::shared_ptr<peer_connection> find(connection_id id) const;

    mutable std::mutex m_mutex;
    connection_id m_nextId = 1;
    std::unordered_map<connection_id, std::shared_ptr<peer_connection>> m_connections;
};

} // namespace plantainpitch::runtime
