#pragma once

#include "plantainpitch/model/error.h"
#include "plantainpitch/runtime/http_response.h"

#include <string>

namespace plantainpitch::runtime {

/// Response with the body {"error":{"kind","message","remedy"}}.
[[nodiscard]] http_response errorResponse(unsigned status, error_kind kind,
                                          const std::string &message, const std::string &remedy);

} // namespace plantainpitch::runtime
