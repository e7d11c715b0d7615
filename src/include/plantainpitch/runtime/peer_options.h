#pragma once

#include "plantainpitch/role/message/hello.h"

#include <chrono>
#include <cstddef>

namespace plantainpitch::runtime {

struct peer_options
{
    hello self; ///< first message on every connection
    std::chrono::milliseconds helloTimeout{ 3'000 };
    std::chrono::milliseconds connectTimeout{ 2'000 };
    /// Without anything from the peer for this long the connection is closed: the link may be down
    /// in one direction only, which TCP alone does not show.
    std::chrono::milliseconds idleTimeout{ 5'000 };
    /// The hello is sent again if nothing else was, so that a live peer is not taken for idle.
    std::chrono::milliseconds keepAliveInterval{ 1'000 };
    /// A peer that reads too slowly for this is disconnected; messages are never dropped singly.
    std::size_t maxQueuedBytes = 16UL * 1024 * 1024;
    std::size_t maxConnections = 16'384; ///< of a listener
    std::chrono::milliseconds minBackoff{ 50 };
    std::chrono::milliseconds maxBackoff{ 2'000 };
};

} // namespace plantainpitch::runtime
