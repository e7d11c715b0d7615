#include "plantainpitch/runtime/shell_core.h"

#include "plantainpitch/model/error.h"

#include <cstdlib>
#include <random>
#include <stdexcept>

namespace plantainpitch::runtime {

shell_core::shell_core(unsigned threads, const std::string &logLevel)
    : m_log(m_time, logLevel)
    , m_loop(threads)
{}

bool shell_core::carryOut(const action &todo)
{
    if (const auto *message = std::get_if<send_message>(&todo))
        send(*message);
    else if (const auto *close = std::get_if<close_connection>(&todo))
        m_connections.close(close->connection, close->reason);
    else if (const auto *count = std::get_if<count_metric>(&todo))
        m_metrics.count(*count);
    else if (const auto *latency = std::get_if<observe_latency>(&todo))
        m_metrics.observe(*latency);
    else if (const auto *line = std::get_if<write_log>(&todo))
        m_log.write(*line);
    else
        return false;
    return true;
}

void shell_core::send(const send_message &todo)
{
    try {
        m_connections.send(todo.connection, todo.content);
    } catch (const error &failure) {
        // The peer would refuse the frame and drop everything else on the connection with it.
        m_metrics.count({ "messages_not_sent_total", toString(failure.kind()) });
        m_log.write({ .level = log_level::error,
                      .event = "message_not_sent",
                      .fields = { { "connection", std::to_string(todo.connection) },
                                  { "message_type", std::to_string(todo.content.index()) },
                                  { "problem", failure.what() } } });
    }
}

void shell_core::countConnectionEnd(const std::string &reason)
{
    m_metrics.count({ "connections_ended_total", reason });
}

void shell_core::fail(const std::exception &fault)
{
    const bool isInvariant = dynamic_cast<const std::logic_error *>(&fault) != nullptr;
    const std::string event = isInvariant ? "invariant_violated" : "unexpected_exception";
    m_metrics.count({ "process_faults_total", event });
    m_log.write({ .level = log_level::error,
                  .event = event,
                  .fields = { { "problem", fault.what() },
                              { "exit_code", std::to_string(faultExitCode) } } });
    std::_Exit(faultExitCode);
}

std::uint64_t randomNumber()
{
    std::random_device device;
    std::uniform_int_distribution<std::uint64_t> any(1);
    return any(device);
}

} // namespace plantainpitch::runtime
