#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <vector>

namespace plantainpitch::load {

/// Chooses servers in turn, as the platform's load balancer does. A server that cannot be reached
/// or announces the end of its connections is left out for a while, unless no other is left.
/// Thread-safe.
class server_choice
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    explicit server_choice(std::size_t servers);

    std::size_t next(time_point now);
    void leaveOut(std::size_t server, time_point now);

private:
    std::mutex m_mutex;
    std::vector<time_point> m_outUntil;
    std::size_t m_last = 0;
};

} // namespace plantainpitch::load
