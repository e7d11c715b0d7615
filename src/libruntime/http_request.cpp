#include "plantainpitch/runtime/http_request.h"

#include <boost/beast/core/string.hpp>

namespace plantainpitch::runtime {

std::string http_request::header(const std::string &name) const
{
    for (const auto &[key, value] : headers) {
        if (boost::beast::iequals(key, name))
            return value;
    }
    return {};
}

} // namespace plantainpitch::runtime
