#pragma once

#include <cstdint>
#include <string>

namespace plantainpitch {

/// Answer to an admin_request.
struct answer_admin
{
    std::uint64_t adminId = 0;
    std::uint32_t status = 200; ///< HTTP status
    std::string body; ///< JSON

    bool operator==(const answer_admin &) const = default;
};

} // namespace plantainpitch
