#pragma once

#include "plantainpitch/role/action.h"
#include "plantainpitch/runtime/connection_table.h"
#include "plantainpitch/runtime/logging.h"
#include "plantainpitch/runtime/metrics.h"
#include "plantainpitch/runtime/process_loop.h"
#include "plantainpitch/runtime/system_clock_boottime.h"

#include <exception>
#include <string>

namespace plantainpitch::runtime {

/// Exit code after a violated invariant or an unexpected exception (EX_SOFTWARE of sysexits.h).
inline constexpr int faultExitCode = 70;

/// What the programs of all roles have in common.
class shell_core
{
public:
    shell_core(unsigned threads, const std::string &logLevel);

    [[nodiscard]] const clock &time() const { return m_time; }
    [[nodiscard]] metrics &counters() { return m_metrics; }
    [[nodiscard]] logging &log() { return m_log; }
    [[nodiscard]] connection_table &connections() { return m_connections; }
    [[nodiscard]] process_loop &loop() { return m_loop; }
    [[nodiscard]] boost::asio::io_context &context() { return m_loop.context(); }

    /// Carries out messages, closes, metrics and log lines; returns false for other actions.
    bool carryOut(const action &todo);

    /// Counts the end of a connection by its reason.
    void countConnectionEnd(const std::string &reason);

    /// Logs and counts an exception and ends the process at once: after a violated invariant
    /// nothing that the process still does can be trusted.
    [[noreturn]] void fail(const std::exception &fault);

private:
    void send(const send_message &todo);

    system_clock_boottime m_time;
    metrics m_metrics;
    logging m_log;
    process_loop m_loop;
    // After the loop: connections left at the end have timers of the loop's io_context, which must
    // be there when they are destroyed.
    connection_table m_connections;
};

/// Random number for an incarnation or a seed; never 0.
std::uint64_t randomNumber();

} // namespace plantainpitch::runtime
