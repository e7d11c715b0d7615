#pragma once

#include "plantainpitch/sched/messages.h"

#include <functional>

namespace plantainpitch::sched {

/// Asks the service that knows which workers may run a step.
class advice_port
{
public:
    virtual ~advice_port() = default;

    /// \a done is called once, on the thread of the process's loop.
    virtual void ask(const advice_request &request, std::function<void(advice)> done) = 0;
};

} // namespace plantainpitch::sched
