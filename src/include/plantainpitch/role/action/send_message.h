#pragma once

#include "plantainpitch/role/connection_id.h"
#include "plantainpitch/role/message.h"

namespace plantainpitch {

struct send_message
{
    connection_id connection = 0;
    message content;

    bool operator==(const send_message &) const = default;
};

} // namespace plantainpitch
