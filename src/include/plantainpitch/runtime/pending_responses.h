#pragma once

#include "plantainpitch/runtime/http_handler.h"

#include <cstdint>
#include <mutex>
#include <unordered_map>

namespace plantainpitch::runtime {

/// The HTTP requests that a role has yet to answer. Thread-safe.
class pending_responses
{
public:
    void add(std::uint64_t requestNumber, http_responder respond);
    /// Drops a request whose client has gone. Returns false if it was already answered.
    bool remove(std::uint64_t requestNumber);
    /// Answers a request if it still waits for its answer.
    void respond(std::uint64_t requestNumber, http_response response);

private:
    http_responder take(std::uint64_t requestNumber);

    std::mutex m_mutex;
    std::unordered_map<std::uint64_t, http_responder> m_responders;
};

} // namespace plantainpitch::runtime
