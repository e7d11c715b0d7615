#pragma once

#include "plantainpitch/role/action/answer_caller.h"
#include "plantainpitch/role/caller_request.h"
#include "plantainpitch/runtime/http_request.h"
#include "plantainpitch/runtime/http_response.h"

#include <cstdint>
#include <variant>

namespace plantainpitch::runtime {

/// Reads a request on the callers' port, /v1/accounts/{account}/services/{template}/{path}.
/// Returns the response instead if it is malformed; that response says that nothing ran.
std::variant<caller_request, http_response>
parseCallerRequest(std::uint64_t callerId, http_request request, std::int64_t nowMs);

/// The HTTP response for a final answer, with outcome, reason and request id as headers.
http_response toHttpResponse(const answer_caller &answer);

} // namespace plantainpitch::runtime
