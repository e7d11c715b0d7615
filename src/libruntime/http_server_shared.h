#pragma once

#include "plantainpitch/runtime/http_handler.h"
#include "plantainpitch/runtime/http_server_options.h"

#include <atomic>
#include <cstddef>
#include <memory>
#include <mutex>
#include <unordered_set>

namespace plantainpitch::runtime::detail {

class http_connection;

/// What the connections of one server share.
struct http_server_shared
{
    http_server_shared(http_server_options serverOptions, http_handler &requestHandler)
        : options(std::move(serverOptions))
        , handler(requestHandler)
    {}

    const http_server_options options;
    http_handler &handler;
    std::atomic<std::size_t> openRequests{ 0 };
    std::atomic<std::size_t> heldBytes{ 0 }; ///< of requests, over all connections
    /// Responses carry "Connection: close".
    std::atomic<bool> closeAfterResponse{ false };

    [[nodiscard]] bool holdsTooMuch() const { return heldBytes > options.maxHeldBytes; }

    void reportLimit(const char *reason) const
    {
        if (options.limitReached)
            options.limitReached(reason);
    }

    std::mutex mutex;
    /// Connections that are open. Guarded by mutex.
    std::unordered_set<std::shared_ptr<http_connection>> connections;
};

} // namespace plantainpitch::runtime::detail
