#include "envelope.h"

#include "plantainpitch/model/error.h"
#include "plantainpitch/wire/frame_limits.h"

#include <boost/crc.hpp>
#include <boost/endian/conversion.hpp>

#include <cstring>

namespace plantainpitch::wire::detail {

namespace {

constexpr std::size_t headerBytes = 8;

std::uint32_t checksum(std::string_view bytes)
{
    boost::crc_32_type crc;
    crc.process_bytes(bytes.data(), bytes.size());
    return crc.checksum();
}

std::uint32_t loadU32(std::string_view bytes)
{
    return boost::endian::load_little_u32(reinterpret_cast<const unsigned char *>(bytes.data()));
}

} // namespace

std::string wrap(const flatbuffers::FlatBufferBuilder &builder, std::size_t limit)
{
    const std::string_view payload(reinterpret_cast<const char *>(builder.GetBufferPointer()),
                                   builder.GetSize());
    if (headerBytes + payload.size() > limit) {
        throw error(error_kind::too_large,
                    "encoded size of " + std::to_string(headerBytes + payload.size())
                            + " bytes is above the limit of " + std::to_string(limit),
                    "send less data at once");
    }
    std::string data(headerBytes, '\0');
    auto *header = reinterpret_cast<unsigned char *>(data.data());
    boost::endian::store_little_u32(header, formatVersion);
    boost::endian::store_little_u32(header + 4, checksum(payload));
    data.append(payload);
    return data;
}

std::vector<std::uint64_t> unwrap(std::string_view data, std::size_t limit,
                                  std::size_t &payloadBytes)
{
    if (data.size() <= headerBytes || data.size() > limit)
        throwMalformed("size of " + std::to_string(data.size()) + " bytes is out of range");
    const std::uint32_t version = loadU32(data);
    if (version != formatVersion)
        throwMalformed("unsupported format version " + std::to_string(version));
    const std::string_view payload = data.substr(headerBytes);
    if (loadU32(data.substr(4)) != checksum(payload))
        throwMalformed("checksum mismatch");
    payloadBytes = payload.size();
    std::vector<std::uint64_t> aligned((payload.size() + 7) / 8);
    std::memcpy(aligned.data(), payload.data(), payload.size());
    return aligned;
}

void throwMalformed(const std::string &what)
{
    throw error(error_kind::protocol_error, "malformed frame or batch: " + what,
                "check that both processes run compatible versions");
}

} // namespace plantainpitch::wire::detail
