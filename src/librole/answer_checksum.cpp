#include "answer_checksum.h"

#include <boost/crc.hpp>

namespace plantainpitch::detail {

std::uint32_t bodyChecksum(const std::string &body)
{
    boost::crc_32_type crc;
    crc.process_bytes(body.data(), body.size());
    return crc.checksum();
}

bool isIntact(const answer &value)
{
    return value.bodyBytes == value.content.body.size()
           && value.bodyChecksum == bodyChecksum(value.content.body);
}

} // namespace plantainpitch::detail
