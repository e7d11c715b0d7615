#include "plantainpitch/runtime/process_loop.h"

#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

#include <csignal>
#include <thread>
#include <vector>

namespace plantainpitch::runtime {

namespace asio = boost::asio;
using boost::system::error_code;
using steady = std::chrono::steady_clock;

process_loop::process_loop(unsigned threads, std::chrono::milliseconds tick)
    : m_threads(threads)
    , m_tick(tick)
    , m_context(static_cast<int>(threads))
    , m_signals(m_context, SIGTERM, SIGINT)
    , m_reloadSignals(m_context)
    , m_tickTimer(m_context)
    , m_finishTimer(asio::make_strand(m_context))
{}

void process_loop::run(callbacks calls)
{
    m_calls = std::move(calls);
    awaitSignal();
    if (m_calls.reload) {
        m_reloadSignals.add(SIGHUP);
        awaitReload();
    }
    m_tickTimer.expires_after(m_tick);
    scheduleTick();
    std::vector<std::thread> others;
    for (unsigned i = 1; i < m_threads; ++i)
        others.emplace_back([this] { runThread(); });
    runThread();
    for (std::thread &thread : others)
        thread.join();
}

void process_loop::awaitReload()
{
    m_reloadSignals.async_wait([this](error_code failure, int /*signal*/) {
        if (failure)
            return;
        m_calls.reload();
        awaitReload();
    });
}

void process_loop::runThread()
{
    try {
        m_context.run();
    } catch (const std::exception &fault) {
        m_calls.fault(fault);
    }
}

void process_loop::scheduleTick()
{
    m_tickTimer.async_wait([this](error_code failure) {
        if (failure)
            return;
        m_calls.tick();
        // After a pause of the VM one tick is enough.
        const auto next = m_tickTimer.expiry() + m_tick;
        m_tickTimer.expires_at(std::max(next, steady::now()));
        scheduleTick();
    });
}

void process_loop::awaitSignal()
{
    m_signals.async_wait([this](error_code failure, int) {
        // The signals stay caught: a repeated one must not cut the graceful stop short.
        if (!failure)
            m_calls.stop();
    });
}

void process_loop::finish(std::function<bool()> idle, std::chrono::milliseconds limit)
{
    asio::post(m_finishTimer.get_executor(), [this, idle = std::move(idle), limit] {
        if (m_idle)
            return;
        m_idle = idle;
        pollIdle(steady::now() + limit);
    });
}

void process_loop::pollIdle(steady::time_point latest)
{
    if (m_idle() || steady::now() >= latest) {
        m_context.stop();
        return;
    }
    m_finishTimer.expires_after(std::chrono::milliseconds(5));
    m_finishTimer.async_wait([this, latest](error_code failure) {
        if (!failure)
            pollIdle(latest);
    });
}

} // namespace plantainpitch::runtime
