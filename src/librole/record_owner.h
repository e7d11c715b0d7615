#pragma once

#include "plantainpitch/role/connection_id.h"

#include <cstddef>
#include <cstdint>
#include <variant>

namespace plantainpitch::detail {

/// An agent submitted the record.
struct agent_owner
{
    connection_id connection = 0;
    std::uint64_t ticket = 0;
};

/// A router shard submitted the record.
struct router_owner
{
    std::size_t shard = 0;
    std::uint64_t token = 0;
};

/// The task dispatcher submitted the record.
struct dispatcher_owner
{
    std::uint64_t token = 0;
};

/// The record was submitted for an operator's request.
struct admin_owner
{
    std::uint64_t adminId = 0;
};

/// The record is a read_marker of the authority_service.
struct marker_owner
{};

/// Who submitted a record and is notified of its result.
using record_owner =
        std::variant<agent_owner, router_owner, dispatcher_owner, admin_owner, marker_owner>;

} // namespace plantainpitch::detail
