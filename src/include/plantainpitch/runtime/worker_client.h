#pragma once

#include "plantainpitch/role/worker/worker_answer.h"
#include "plantainpitch/role/worker/worker_call.h"
#include "plantainpitch/runtime/http_send.h"

#include <chrono>
#include <functional>

namespace plantainpitch::runtime {

/// The HTTP request for a worker call.
http_request toHttpRequest(const worker_call &call);

/// What an HTTP result says about a worker call. Only an error status and a connection that was
/// never made prove that the call had no effect.
worker_answer toWorkerAnswer(const worker_call &call, const http_result &result);

/// Makes a role's calls to the worker on the VM. Thread-safe.
class worker_client
{
public:
    worker_client(http_send send, std::chrono::milliseconds timeout);

    void call(const worker_call &call, std::function<void(worker_answer)> done);

private:
    http_send m_send;
    std::chrono::milliseconds m_timeout;
};

} // namespace plantainpitch::runtime
