#pragma once

#include "plantainpitch/fleet/member_endpoint.h"
#include "plantainpitch/runtime/clock.h"
#include "plantainpitch/runtime/event_log.h"
#include "plantainpitch/sched/advice_port.h"
#include "plantainpitch/sched/agent.h"
#include "plantainpitch/sched/worker_port.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <set>
#include <string>

namespace plantainpitch::fleet {

/// Runs an agent: relays events between the agent, its worker, the adviser and the owner of the
/// partition, and supplies the current time.
class agent_process
{
public:
    agent_process(boost::asio::io_context &context, sched::worker_port &worker,
                  sched::advice_port &adviser, const runtime::clock &time, runtime::event_log &log,
                  const member_endpoint_options &endpoint, sched::agent_options agent = {});

    void start() { m_endpoint.start(); }
    /// Call this about every 100 ms.
    void tick();
    void workerAnnounced(const sched::worker_announcement &announced);
    void workerLeft(const std::string &id);
    void addServices(const std::set<std::string> &services);
    void setEvacuations(const sched::evacuation_list &list);
    /// Closes the endpoint once an owner has been told of an end of the worker, at \a latest in any
    /// case, and then calls \a done.
    void stop(instant latest, std::function<void()> done);
    [[nodiscard]] bool hasOwner() const { return m_endpoint.connected(); }

private:
    void flush();

    sched::worker_port &m_worker;
    sched::advice_port &m_adviser;
    const runtime::clock &m_time;
    runtime::event_log &m_log;
    sched::agent m_agent;
    member_endpoint m_endpoint;
    boost::asio::steady_timer m_stopTimer;
};

} // namespace plantainpitch::fleet
