#pragma once

#include "plantain_generated.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace plantainpitch::wire::detail {

/// Returns a finished FlatBuffer with a header of format version and checksum. Throws
/// error(too_large) if the result exceeds \a limit bytes.
std::string wrap(const flatbuffers::FlatBufferBuilder &builder, std::size_t limit);

/// Checks size, format version and checksum. Returns the FlatBuffer as a copy that is aligned for
/// its readers, and its size in \a payloadBytes. Throws error(protocol_error) if a check fails.
std::vector<std::uint64_t> unwrap(std::string_view data, std::size_t limit,
                                  std::size_t &payloadBytes);

/// Throws error(protocol_error) for a frame or batch that cannot be decoded.
[[noreturn]] void throwMalformed(const std::string &what);

/// Runs the FlatBuffers verifier on an aligned buffer and returns its root table. Throws
/// error(protocol_error) if the verifier rejects the buffer.
template <typename Table>
const Table &verifiedRoot(const std::vector<std::uint64_t> &aligned, std::size_t payloadBytes)
{
    const auto *bytes = reinterpret_cast<const std::uint8_t *>(aligned.data());
    flatbuffers::Verifier verifier(bytes, payloadBytes);
    if (!verifier.VerifyBuffer<Table>(nullptr))
        throwMalformed("rejected by the FlatBuffers verifier");
    return *flatbuffers::GetRoot<Table>(bytes);
}

} // namespace plantainpitch::wire::detail
