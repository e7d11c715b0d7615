#pragma once

#include "plantainpitch/runtime/http_response.h"

#include <string>

namespace plantainpitch::runtime {

/// {"error":{"kind","message","remedy"}}, the form of all errors over HTTP.
http_response errorResponse(unsigned status, const std::string &kind, const std::string &message,
                            const std::string &remedy);

} // namespace plantainpitch::runtime
