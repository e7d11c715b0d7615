#include "support/base64.h"

#include <boost/beast/core/detail/base64.hpp>

namespace plantainpitch::standin {

std::string toBase64(const std::string &bytes)
{
    namespace base64 = boost::beast::detail::base64;
    std::string result(base64::encoded_size(bytes.size()), '\0');
    result.resize(base64::encode(result.data(), bytes.data(), bytes.size()));
    return result;
}

} // namespace plantainpitch::standin
