#pragma once

#include "plantainpitch/role/connection_id.h"
#include "plantainpitch/role/message.h"

#include <string>

namespace plantainpitch::runtime {

/// Receives what happens on connections between processes. The calls for one connection do not
/// overlap and come in order; those for different connections may run at the same time.
class peer_handler
{
public:
    virtual ~peer_handler() = default;

    /// The connection is up and the peer's hello was read.
    virtual void onOpened(connection_id connection, const hello &peer) = 0;
    virtual void onMessage(connection_id connection, message content) = 0;
    /// Called once for each onOpened(). \a reason is snake case, e.g. "bad_frame".
    virtual void onClosed(connection_id connection, const std::string &reason) = 0;
    /// A connection ended, whether it had been opened or not.
    virtual void onEnded(const std::string &reason) = 0;
};

} // namespace plantainpitch::runtime
