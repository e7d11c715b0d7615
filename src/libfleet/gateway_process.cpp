#include "plantainpitch/fleet/gateway_process.h"

#include "plantainpitch/runtime/shell_core.h"

namespace plantainpitch::fleet {

gateway_process::gateway_process(
        boost::asio::io_context &context, const runtime::clock &time, runtime::event_log &log,
        member_endpoint_options options,
        const std::function<void(const sched::config_document &)> &onConfig)
    : m_time(time)
    , m_log(log)
    , m_lastCallNumber(runtime::randomNumber())
    , m_endpoint(context, std::move(options),
                 { .opened =
                           [this](const sched::owner_hello &hello) {
                               return m_gateway.ownerOpened(hello, m_time.now());
                           },
                   .ready = [this] { flush(); },
                   .received =
                           [this, onConfig](const sched::message &content) {
                               if (const auto *answer = content.content.Asclient_answer())
                                   m_gateway.onAnswer(*answer);
                               else if (const auto *config = content.content.Asconfig_document())
                                   onConfig(*config);
                               flush();
                           },
                   .closed = [this] { m_gateway.ownerClosed(m_time.now()); },
                   .failed =
                           [this](const std::string &problem) {
                               m_log.write({ log_level::error,
                                             "owner_message_unreadable",
                                             { { "problem", problem } } });
                           } })
{}

void gateway_process::tick()
{
    m_gateway.tick(m_time.now());
    flush();
}

void gateway_process::call(sched::client_call call, std::chrono::milliseconds timeout,
                           std::function<void(const sched::gateway_answer &)> done)
{
    call.number = ++m_lastCallNumber;
    m_pendingCalls[call.number] = std::move(done);
    const instant now = m_time.now();
    m_gateway.call(std::move(call), now + timeout, now);
    flush();
}

void gateway_process::flush()
{
    for (const sched::message &content : m_gateway.takeMessages())
        m_endpoint.send(content);
    for (const sched::gateway_answer &answer : m_gateway.takeAnswers()) {
        const auto pending = m_pendingCalls.find(answer.number);
        if (pending == m_pendingCalls.end())
            continue;
        const auto done = std::move(pending->second);
        m_pendingCalls.erase(pending);
        done(answer);
    }
    for (const write_log &line : m_gateway.takeLogLines())
        m_log.write(line);
}

} // namespace plantainpitch::fleet
