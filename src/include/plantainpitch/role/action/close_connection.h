#pragma once

#include "plantainpitch/role/connection_id.h"

#include <string>

namespace plantainpitch {

/// Closes a connection to another process, e.g. after a message of the wrong kind.
struct close_connection
{
    connection_id connection = 0;
    std::string reason;

    bool operator==(const close_connection &) const = default;
};

} // namespace plantainpitch
