#pragma once

#include "event_queue.h"
#include "fake_worker.h"
#include "plantainpitch/role/agent_role.h"
#include "plantainpitch/role/entry_role.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <variant>

namespace plantainpitch::matrix {

/// A process of the system: an entry or an agent, with its own clock.
struct node
{
    std::string name;
    bool isEntry = false;
    std::string dataCentre;
    std::unique_ptr<entry_role> entry;
    std::unique_ptr<agent_role> agent;
    std::unique_ptr<fake_worker> worker; ///< agents only
    std::uint64_t incarnation = 0;
    bool alive = false;
    bool stopping = false;
    bool frozen = false;
    double clockRate = 1.0;
    std::deque<std::function<void()>> waiting; ///< events that came while it was frozen
    // The service on an agent's VM.
    bool serviceBroken = false;
    int truncateAnswers = 0;
    duration serviceTime = std::chrono::milliseconds(20);

    [[nodiscard]] instant clock(instant worldTime) const
    {
        const auto elapsed = static_cast<double>(worldTime.time_since_epoch().count());
        return instant(duration(static_cast<std::int64_t>(elapsed * clockRate)));
    }
};

} // namespace plantainpitch::matrix
