#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace plantainpitch::runtime {

struct http_server_options
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0; ///< 0: chosen by the system
    std::size_t maxHeaderBytes = 16UL * 1024; ///< larger: 431
    std::size_t maxBodyBytes = 1024UL * 1024; ///< larger: 413
    std::size_t maxConnections = 1024; ///< more: 503 and close
    std::chrono::milliseconds readTimeout{ 10'000 }; ///< whole request: 408
    std::chrono::milliseconds idleTimeout{ 60'000 }; ///< between requests: close
    /// Time that a connection without any request keeps after the server stopped accepting: the
    /// client has just connected, and its first request is on the way.
    std::chrono::milliseconds firstRequestTime{ 500 };
};

} // namespace plantainpitch::runtime
