#pragma once

#include "plantain_generated.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace plantainpitch::wire::detail {

/// Adds version and checksum to a finished FlatBuffer. Throws error(too_large) above \a limit.
std::string wrap(const flatbuffers::FlatBufferBuilder &builder, std::size_t limit);

/// Checks version and checksum, and returns an aligned copy of the FlatBuffer. Throws
/// error(protocol_error).
std::vector<std::uint64_t> unwrap(std::string_view data, std::size_t limit,
                                  std::size_t &payloadBytes);

[[noreturn]] void throwMalformed(const std::string &what);

/// Root table of an aligned FlatBuffer after the verifier accepted the whole of it.
template <typename Table>
const Table &verifiedRoot(const std::vector<std::uint64_t> &aligned, std::size_t payloadBytes)
{
    const auto *bytes = reinterpret_cast<const std::uint8_t *>(aligned.data());
    flatbuffers::Verifier verifier(bytes, payloadBytes);
    if (!verifier.VerifyBuffer<Table>(nullptr))
        throwMalformed("the FlatBuffers verifier rejects it");
    return *flatbuffers::GetRoot<Table>(bytes);
}

} // namespace plantainpitch::wire::detail
