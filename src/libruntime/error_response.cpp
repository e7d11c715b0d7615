#include "plantainpitch/runtime/error_response.h"

#include <boost/json.hpp>

namespace plantainpitch::runtime {

http_response errorResponse(unsigned status, const std::string &kind, const std::string &message,
                            const std::string &remedy)
{
    const boost::json::object body{
        { "error", { { "kind", kind }, { "message", message }, { "remedy", remedy } } }
    };
    return { .status = status, .body = boost::json::serialize(body) };
}

} // namespace plantainpitch::runtime
