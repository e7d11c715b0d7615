#pragma once

#include "plantainpitch/runtime/http_request.h"
#include "plantainpitch/runtime/http_response.h"

#include <cstdint>
#include <functional>

namespace plantainpitch::runtime {

/// Sends the response to one request. May be called on any thread, once; further calls are ignored.
using http_responder = std::function<void(http_response)>;

/// What an http_server does with requests. Called on the threads of the server's io_context.
class http_handler
{
public:
    virtual ~http_handler() = default;

    /// \a requestNumber is never used twice by a process.
    virtual void onRequest(std::uint64_t requestNumber, http_request request,
                           http_responder respond) = 0;
    /// The client closed the connection before the response to this request was sent.
    virtual void onClientGone(std::uint64_t requestNumber) = 0;
};

} // namespace plantainpitch::runtime
