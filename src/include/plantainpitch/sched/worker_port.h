#pragma once

#include "plantainpitch/sched/worker_call.h"

#include <functional>

namespace plantainpitch::sched {

/// Calls the worker beside an agent.
class worker_port
{
public:
    virtual ~worker_port() = default;

    /// \a done is called once, on the thread of the process's loop.
    virtual void send(const worker_call &call, std::function<void(worker_reply)> done) = 0;
};

} // namespace plantainpitch::sched
