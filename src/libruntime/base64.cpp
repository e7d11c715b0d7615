#include "plantainpitch/runtime/base64.h"

#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/transform_width.hpp>

namespace plantainpitch::runtime {

std::optional<std::string> decodeBase64(std::string_view text)
{
    namespace it = boost::archive::iterators;
    using decoder = it::transform_width<it::binary_from_base64<const char *>, 8, 6>;

    if (text.size() % 4 != 0)
        return std::nullopt;
    for (int padding = 0; padding < 2 && !text.empty() && text.back() == '='; ++padding)
        text.remove_suffix(1);
    // Boost's decoder reads padding anywhere as zero bits.
    if (text.size() % 4 == 1 || text.find('=') != std::string_view::npos)
        return std::nullopt;
    const std::size_t bytes = text.size() * 3 / 4;
    std::string result;
    result.reserve(bytes);
    try {
        decoder in(text.data());
        for (std::size_t i = 0; i < bytes; ++i, ++in)
            result += static_cast<char>(*in);
    } catch (const it::dataflow_exception &) {
        return std::nullopt;
    }
    return result;
}

} // namespace plantainpitch::runtime
