#pragma once

#include "plantainpitch/runtime/http_request.h"
#include "plantainpitch/runtime/http_result.h"

#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <utility>

namespace plantainpitch::runtime::detail {

class http_client_connection;

/// One request of an http_client on its way.
struct http_client_call
{
    http_client_call(boost::asio::io_context &context, http_request content,
                     std::function<void(http_result)> callback)
        : request(std::move(content))
        , timer(context)
        , done(std::move(callback))
    {}

    /// Calls done, the first time. The timer stays: it must not be touched by two threads, and it
    /// finds the call finished.
    void finish(http_result result)
    {
        if (!finished.exchange(true))
            std::exchange(done, nullptr)(std::move(result));
    }

    http_request request;
    boost::asio::steady_timer timer;
    std::function<void(http_result)> done;
    std::atomic<bool> finished{ false };
    /// Connection that carries the call; null while it waits. Guarded by the pool's mutex. Weak,
    /// because the connection holds the call, and both would outlive a loop that stops meanwhile.
    std::weak_ptr<http_client_connection> connection;
};

} // namespace plantainpitch::runtime::detail
