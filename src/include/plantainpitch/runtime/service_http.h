#pragma once

#include "plantainpitch/role/action/service_call.h"
#include "plantainpitch/role/service_result.h"
#include "plantainpitch/runtime/http_request.h"
#include "plantainpitch/runtime/http_result.h"

#include <chrono>

namespace plantainpitch::runtime {

/// The HTTP request to the local service for a call.
http_request toHttpRequest(const service_call &call);

/// Time that the service has; at least 1 ms.
std::chrono::milliseconds timeoutOf(const service_call &call);

/// What an HTTP result says about a call.
service_result toServiceResult(std::uint64_t callId, http_result result);

} // namespace plantainpitch::runtime
