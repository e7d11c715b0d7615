#pragma once

#include "plantainpitch/model/error_kind.h"
#include "plantainpitch/runtime/http_response.h"

#include <string>

namespace plantainpitch::runtime {

/// {"error":{"kind","message","remedy"}}, the form of all errors over HTTP.
http_response errorResponse(unsigned status, const std::string &kind, const std::string &message,
                            const std::string &remedy);

inline http_response errorResponse(unsigned status, error_kind kind, const std::string &message,
                                   const std::string &remedy)
{
    return errorResponse(status, std::string(toString(kind)), message, remedy);
}

} // namespace plantainpitch::runtime
