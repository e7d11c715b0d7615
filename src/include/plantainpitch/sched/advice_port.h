#pragma once

#include "plantainpitch/sched/messages.h"

#include <functional>

namespace plantainpitch::sched {

/// Interface to the advice service, which knows which workers may run a step.
class advice_port
{
public:
    virtual ~advice_port() = default;

    /// Calls \a done once, on the event loop's thread.
    virtual void ask(const advice_request &request, std::function<void(advice)> done) = 0;
};

} // namespace plantainpitch::sched
