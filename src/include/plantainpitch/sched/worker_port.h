#pragma once

#include "plantainpitch/sched/worker_call.h"

#include <functional>

namespace plantainpitch::sched {

/// Interface through which an agent calls the worker on its VM.
class worker_port
{
public:
    virtual ~worker_port() = default;

    /// Calls \a done once, on the event loop's thread.
    virtual void send(const worker_call &call, std::function<void(worker_reply)> done) = 0;
};

} // namespace plantainpitch::sched
