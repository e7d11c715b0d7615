#pragma once

#include "http_client_call.h"
#include "plantainpitch/runtime/http_client.h"

#include <cstddef>
#include <deque>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

namespace plantainpitch::runtime::detail {

/// Connections and waiting calls of one http_client. Thread-safe.
class http_client_pool : public std::enable_shared_from_this<http_client_pool>
{
public:
    http_client_pool(boost::asio::io_context &context, http_client_options options);

    void send(std::shared_ptr<http_client_call> call, std::chrono::milliseconds timeout);
    /// The connection can take another call. Returns false if it has to be closed instead.
    bool onIdle(const std::shared_ptr<http_client_connection> &connection);
    /// The connection ended its call and is closed.
    void onClosed();
    /// The server closed the connection while it had no call. A connection that was chosen for a
    /// call at the same moment stays counted and connects again.
    void onIdleClosed(const std::shared_ptr<http_client_connection> &connection);
    /// Closes connections as soon as they have no call.
    void shutDown();

    [[nodiscard]] const http_client_options &options() const { return m_options; }

private:
    using call_pointer = std::shared_ptr<http_client_call>;
    using connection_pointer = std::shared_ptr<http_client_connection>;

    void startWaiting();
    void onTimeout(const call_pointer &call);
    /// The next call, with the connection that is to carry it; nulls if it has to wait.
    std::pair<call_pointer, connection_pointer> takeWaiting();

    boost::asio::io_context &m_context;
    const http_client_options m_options;
    std::mutex m_mutex;
    std::deque<call_pointer> m_waiting;
    std::vector<connection_pointer> m_idle;
    std::size_t m_open = 0;
    bool m_shutDown = false;
};

} // namespace plantainpitch::runtime::detail
