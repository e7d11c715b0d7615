#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <exception>
#include <functional>

namespace plantainpitch::runtime {

/// The threads of a process: runs an io_context, ticks, and listens for signals.
class process_loop
{
public:
    static constexpr std::chrono::milliseconds tickInterval{ 50 };

    struct callbacks
    {
        std::function<void()> tick; ///< every tickInterval, or as the constructor was told
        std::function<void()> stop; ///< at the first SIGTERM or SIGINT
        std::function<void(const std::exception &)> fault; ///< a handler has thrown
        std::function<void()> reload = {}; ///< at SIGHUP; empty: SIGHUP ends the process
    };

    explicit process_loop(unsigned threads, std::chrono::milliseconds tick = tickInterval);

    [[nodiscard]] boost::asio::io_context &context() { return m_context; }

    /// Runs until finish() is complete.
    void run(callbacks calls);

    /// Ends run() as soon as \a idle says that nothing is left to be sent, at the latest after
    /// \a limit. Thread-safe; further calls are ignored.
    void finish(std::function<bool()> idle, std::chrono::milliseconds limit);

private:
    void scheduleTick();
    void awaitSignal();
    void awaitReload();
    void pollIdle(std::chrono::steady_clock::time_point latest);
    void runThread();

    unsigned m_threads;
    std::chrono::milliseconds m_tick;
    boost::asio::io_context m_context;
    boost::asio::signal_set m_signals;
    boost::asio::signal_set m_reloadSignals;
    boost::asio::steady_timer m_tickTimer;
    boost::asio::steady_timer m_finishTimer;
    callbacks m_calls;
    std::function<bool()> m_idle; // set once, in finish()
};

} // namespace plantainpitch::runtime
