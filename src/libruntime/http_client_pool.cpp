#include "http_client_pool.h"

#include "http_client_connection.h"

#include <vector>

namespace plantainpitch::runtime::detail {

http_client_pool::http_client_pool(boost::asio::io_context &context, http_client_options options)
    : m_context(context)
    , m_options(std::move(options))
{}

void http_client_pool::send(call_pointer call, std::chrono::milliseconds timeout)
{
    call->timer.expires_after(timeout);
    call->timer.async_wait([weak = weak_from_this(),
                            weakCall = std::weak_ptr(call)](const boost::system::error_code &code) {
        const auto self = weak.lock();
        const auto timedOut = weakCall.lock();
        if (self && timedOut && !code)
            self->onTimeout(timedOut);
    });
    {
        const std::lock_guard lock(m_mutex);
        m_waiting.push_back(std::move(call));
    }
    startWaiting();
}

std::pair<http_client_pool::call_pointer, http_client_pool::connection_pointer>
http_client_pool::takeWaiting()
{
    if (m_waiting.empty() || (m_idle.empty() && m_open >= m_options.maxConnections))
        return {};
    auto call = std::move(m_waiting.front());
    m_waiting.pop_front();
    connection_pointer connection;
    if (m_idle.empty()) {
        ++m_open;
        connection = std::make_shared<http_client_connection>(m_context, shared_from_this());
    } else {
        connection = std::move(m_idle.back());
        m_idle.pop_back();
    }
    call->connection = connection;
    return { std::move(call), std::move(connection) };
}

void http_client_pool::startWaiting()
{
    while (true) {
        std::pair<call_pointer, connection_pointer> next;
        {
            const std::lock_guard lock(m_mutex);
            next = takeWaiting();
        }
        if (!next.first)
            return;
        next.second->start(next.first);
    }
}

void http_client_pool::onTimeout(const call_pointer &call)
{
    connection_pointer connection;
    {
        const std::lock_guard lock(m_mutex);
        std::erase(m_waiting, call);
        connection = call->connection.lock();
    }
    if (connection)
        connection->onTimeout(call);
    else
        call->finish({ .kind = http_result_kind::connect_failed, .response = {} });
}

bool http_client_pool::onIdle(const connection_pointer &connection)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_shutDown)
            return false;
        m_idle.push_back(connection);
    }
    startWaiting();
    return true;
}

void http_client_pool::onClosed()
{
    {
        const std::lock_guard lock(m_mutex);
        --m_open;
    }
    startWaiting();
}

void http_client_pool::onIdleClosed(const connection_pointer &connection)
{
    {
        const std::lock_guard lock(m_mutex);
        if (std::erase(m_idle, connection) == 0)
            return;
        --m_open;
    }
    startWaiting();
}

void http_client_pool::shutDown()
{
    std::vector<connection_pointer> idle;
    {
        const std::lock_guard lock(m_mutex);
        m_shutDown = true;
        idle.swap(m_idle);
        m_open -= idle.size();
    }
    for (const auto &connection : idle)
        connection->closeIdle();
}

} // namespace plantainpitch::runtime::detail
