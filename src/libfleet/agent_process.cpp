#include "plantainpitch/fleet/agent_process.h"

#include <utility>

namespace plantainpitch::fleet {

namespace {

constexpr std::chrono::milliseconds reportCheckInterval{ 50 };

} // namespace

agent_process::agent_process(boost::asio::io_context &context, sched::worker_port &worker,
                             sched::advice_port &adviser, const runtime::clock &time,
                             runtime::event_log &log, const member_endpoint_options &endpoint,
                             sched::agent_options agent)
    : m_worker(worker)
    , m_adviser(adviser)
    , m_time(time)
    , m_log(log)
    , m_agent(std::move(agent))
    , m_endpoint(context, endpoint,
                 { .opened =
                           [this](const sched::owner_hello &hello) {
                               return m_agent.ownerOpened(hello, m_time.now());
                           },
                   .ready = [this] { tick(); },
                   .received =
                           [this](const sched::message &content) {
                               if (const auto *orders = content.content.Asagent_orders())
                                   m_agent.onOrders(*orders, m_time.now());
                               else if (const auto *list = content.content.Asevacuations())
                                   m_agent.setEvacuations(sched::decodeEvacuations(*list),
                                                          m_time.now());
                               flush();
                           },
                   .closed = [this] { m_agent.ownerClosed(m_time.now()); },
                   .failed =
                           [this](const std::string &problem) {
                               m_log.write({ log_level::error,
                                             "owner_message_unreadable",
                                             { { "problem", problem } } });
                           } })
    , m_stopTimer(context)
{}

void agent_process::tick()
{
    m_agent.tick(m_time.now());
    flush();
}

void agent_process::workerAnnounced(const sched::worker_announcement &announced)
{
    m_agent.workerAnnounced(announced, m_time.now());
    m_agent.tick(m_time.now());
    flush();
}

void agent_process::workerLeft(const std::string &id)
{
    m_agent.workerLeft(id, m_time.now());
    m_agent.tick(m_time.now());
    flush();
}

void agent_process::addServices(const std::set<std::string> &services)
{
    m_agent.addServices(services);
}

void agent_process::setEvacuations(const sched::evacuation_list &list)
{
    m_agent.setEvacuations(list, m_time.now());
    m_agent.tick(m_time.now());
    flush();
}

void agent_process::stop(instant latest, std::function<void()> done)
{
    const bool owes = m_agent.owesEndOfWorker();
    if (!owes || m_time.now() >= latest) {
        if (owes)
            m_log.write({ log_level::warning, "end_of_worker_not_reported", {} });
        m_endpoint.close();
        done();
        return;
    }
    m_stopTimer.expires_after(reportCheckInterval);
    m_stopTimer.async_wait([this, latest, done = std::move(done)](
                                   const boost::system::error_code &failure) mutable {
        if (!failure)
            stop(latest, std::move(done));
    });
}

void agent_process::flush()
{
    for (const sched::worker_call &call : m_agent.takeCalls()) {
        m_worker.send(call, [this, call](const sched::worker_reply &reply) {
            m_agent.onReply(call, reply, m_time.now());
            m_agent.tick(m_time.now());
            flush();
        });
    }
    for (const sched::advice_request &request : m_agent.takeAdviceRequests()) {
        m_adviser.ask(request, [this](sched::advice content) {
            m_agent.onAdvice(std::move(content));
            m_agent.tick(m_time.now());
            flush();
        });
    }
    for (sched::agent_report &report : m_agent.takeReports())
        m_endpoint.send(sched::makeMessage(std::move(report)));
    for (const write_log &line : m_agent.takeLogLines())
        m_log.write(line);
}

} // namespace plantainpitch::fleet
