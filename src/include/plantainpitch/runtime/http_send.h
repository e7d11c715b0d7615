#pragma once

#include "plantainpitch/runtime/http_request.h"
#include "plantainpitch/runtime/http_result.h"

#include <chrono>
#include <functional>

namespace plantainpitch::runtime {

/// Sends a request and calls back once; http_client::send() in programs, a fake in tests.
using http_send = std::function<void(http_request request, std::chrono::milliseconds timeout,
                                     std::function<void(http_result)> done)>;

} // namespace plantainpitch::runtime
