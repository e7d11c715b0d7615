#include "plantainpitch/runtime/http_error.h"

#include <boost/json.hpp>

namespace plantainpitch::runtime {

http_response errorResponse(unsigned status, error_kind kind, const std::string &message,
                            const std::string &remedy)
{
    const boost::json::object fault{ { "kind", toString(kind) },
                                     { "message", message },
                                     { "remedy", remedy } };
    http_response response;
    response.status = status;
    response.body = boost::json::serialize(boost::json::object{ { "error", fault } });
    return response;
}

} // namespace plantainpitch::runtime
