#pragma once

#include "plantainpitch/fleet/member_endpoint.h"
#include "plantainpitch/runtime/clock.h"
#include "plantainpitch/runtime/event_log.h"
#include "plantainpitch/sched/gateway.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>

namespace plantainpitch::fleet {

/// Runs a gateway: relays events between the gateway, its clients and the owner of the partition,
/// and supplies the current time.
class gateway_process
{
public:
    /// \a onConfig is called with each configuration received from the owner.
    gateway_process(boost::asio::io_context &context, const runtime::clock &time,
                    runtime::event_log &log, member_endpoint_options options,
                    const std::function<void(const sched::config_document &)> &onConfig);

    void start() { m_endpoint.start(); }
    /// Call this about every 100 ms.
    void tick();
    /// Sends a call to the owner. \a done is called exactly once, at the latest in the first tick
    /// after \a timeout.
    void call(sched::client_call call, std::chrono::milliseconds timeout,
              std::function<void(const sched::gateway_answer &)> done);
    void stop() { m_endpoint.close(); }

    [[nodiscard]] bool hasOwner() const { return m_gateway.hasOwner(); }

private:
    void flush();

    const runtime::clock &m_time;
    runtime::event_log &m_log;
    sched::gateway m_gateway;
    std::map<std::uint64_t, std::function<void(const sched::gateway_answer &)>> m_pendingCalls;
    /// Begins at random: an owner may answer a call after the process that sent it has ended, to
    /// the next process of the gateway.
    std::uint64_t m_lastCallNumber;
    member_endpoint m_endpoint;
};

} // namespace plantainpitch::fleet
