#pragma once

#include "plantainpitch/log/append_answer.h"
#include "plantainpitch/log/read_answer.h"
#include "plantainpitch/model/instant.h"
#include "plantainpitch/role/caller_request.h"
#include "plantainpitch/role/connection_id.h"
#include "plantainpitch/role/message.h"

#include <cstdint>
#include <string>
#include <variant>

namespace plantainpitch {

/// A connection to an agent or a peer entry was established and its hello received.
struct connection_opened
{
    connection_id connection = 0;
    hello peer;
};

struct connection_closed
{
    connection_id connection = 0;
};

struct message_received
{
    connection_id connection = 0;
    message content;
};

struct caller_gone
{
    std::uint64_t callerId = 0;
};

/// HTTP request on the administration port.
struct admin_request
{
    std::uint64_t adminId = 0; ///< never reused by an entry
    std::string method;
    std::string target; ///< path and query
    std::string body;
};

/// Sent every 50 ms.
struct timer_tick
{
    std::int64_t nowMs = 0; ///< wall clock, milliseconds since 1970
};

/// The process received SIGTERM.
struct stop_requested
{};

using entry_event = std::variant<connection_opened, connection_closed, message_received,
                                 caller_request, caller_gone, admin_request, append_answer,
                                 read_answer, timer_tick, stop_requested>;

} // namespace plantainpitch
