#include "plantainpitch/fleet/owner_process.h"

#include "plantainpitch/model/error.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <set>

namespace plantainpitch::fleet {

namespace asio = boost::asio;

namespace {

/// Pause before a call to the store that had no answer is made again.
constexpr std::chrono::milliseconds storeRetryInterval{ 100 };

} // namespace

/// One time as owner of the partition.
struct owner_process::tenure
{
    explicit tenure(asio::io_context &context)
        : retryTimer(context)
    {}

    std::uint64_t epoch = 0;
    asio::steady_timer retryTimer;
    std::optional<sched::scheduler> scheduler;
    std::optional<member_dialer> members;
    std::vector<sched::stored_record> batch; ///< on its way to the store
    std::uint64_t batchNumber = 0;
    std::optional<instant> failedSince; ///< first failure of the batch on its way
    std::set<std::string> agentsGone;
};

owner_process::owner_process(asio::io_context &context, sched::partition_store &store,
                             const runtime::clock &time, runtime::event_log &log,
                             owner_process_options options)
    : m_context(context)
    , m_store(store)
    , m_time(time)
    , m_log(log)
    , m_options(std::move(options))
{}

owner_process::~owner_process() = default;

void owner_process::writeLog(log_level level, const char *event,
                             std::vector<std::pair<std::string, std::string>> fields)
{
    m_log.write({ level, event, std::move(fields) });
}

void owner_process::tick()
{
    const instant now = m_time.now();
    if (!m_joining && !m_stopping && now - m_lastJoin >= m_options.joinInterval)
        join();
    if (m_tenure && m_tenure->members) {
        const auto agents = m_tenure->members->agents();
        m_tenure->scheduler->setAgents({ agents.begin(), agents.end() });
        m_tenure->scheduler->tick(now, m_time.wallMs());
        pump();
    }
}

void owner_process::join()
{
    m_joining = true;
    const instant sent = m_time.now();
    m_lastJoin = sent;
    m_store.join(m_generation, [this, sent](const sched::join_result &result) {
        m_joining = false;
        onJoined(result, sent);
    });
}

void owner_process::onJoined(const sched::join_result &result, instant sent)
{
    if (!result.answered || m_stopping)
        return;
    m_generation = result.generation;
    if (result.ownsPartition && !m_tenure)
        begin();
    else if (!result.ownsPartition && m_tenure)
        end("reassigned");
    if (m_tenure && m_tenure->scheduler)
        m_tenure->scheduler->confirmOwnership(sent);
}

void owner_process::begin()
{
    writeLog(log_level::info, "partition_assigned",
             { { "generation", std::to_string(m_generation) } });
    m_tenure = std::make_shared<tenure>(m_context);
    m_store.beginEpoch(
            [this, current = m_tenure](sched::append_status status, std::uint64_t epoch) {
                if (m_tenure != current)
                    return;
                current->epoch = epoch;
                if (status != sched::append_status::stored)
                    end(status == sched::append_status::fenced ? "fenced" : "store_unavailable");
                else
                    load(current);
            });
}

void owner_process::load(const std::shared_ptr<tenure> &current)
{
    m_store.load([this, current](bool answered, const std::vector<sched::stored_record> &records) {
        if (m_tenure != current)
            return;
        if (!answered)
            end("store_unavailable");
        else
            onLoaded(current, records);
    });
}

void owner_process::onLoaded(const std::shared_ptr<tenure> &current,
                             const std::vector<sched::stored_record> &records)
{
    sched::scheduler_options options;
    options.epoch = current->epoch;
    current->scheduler.emplace(options, m_placement, m_order, m_disturbances);
    for (const sched::stored_record &record : records) {
        try {
            current->scheduler->load(record);
        } catch (const error &failure) {
            writeLog(log_level::error, "record_unreadable",
                     { { "key", record.key }, { "problem", failure.what() } });
        }
    }
    current->scheduler->finishLoading(m_time.now(), m_time.wallMs());
    if (m_config)
        current->scheduler->setConfig(*m_config);
    dial(current);
    schedulePump();
}

void owner_process::dial(const std::shared_ptr<tenure> &current)
{
    sched::owner_hello hello;
    hello.epoch = current->epoch;
    hello.node = m_options.node;
    const auto term = sched::scheduler_options{}.term;
    hello.termMs = static_cast<std::uint32_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(term).count());
    // The dialer is destroyed with the tenure, so its calls never outlive it.
    tenure *owned = current.get();
    current->members.emplace(
            m_context, hello,
            member_dialer::callbacks{
                    .opened =
                            [this, owned](const sched::member &who) {
                                if (who.isAgent)
                                    owned->scheduler->agentOpened(who.node, m_time.now());
                                else if (m_config)
                                    owned->members->send(who.node, sched::makeMessage(m_document));
                            },
                    .closed =
                            [this, owned](const sched::member &who) {
                                if (who.isAgent)
                                    owned->scheduler->agentClosed(who.node, m_time.now());
                                schedulePump();
                            },
                    .received =
                            [this, owned](const sched::member &who, const sched::message &content) {
                                if (m_tenure.get() == owned)
                                    onMessage(m_tenure, who, content);
                            },
                    .gone =
                            [this](const sched::member &who) {
                                writeLog(log_level::warning, "member_removed",
                                         { { "node", who.node }, { "address", who.address } });
                                m_store.forget(who.address);
                            },
                    .failed =
                            [this](const std::string &problem) {
                                writeLog(log_level::error, "member_message_unreadable",
                                         { { "problem", problem } });
                            } });
    m_store.followMembers([this, owned](const sched::member &who) {
        if (m_tenure.get() == owned)
            owned->members->add(who);
    });
}

void owner_process::onMessage(const std::shared_ptr<tenure> &current, const sched::member &from,
                              const sched::message &content)
{
    const instant now = m_time.now();
    if (const auto *report = content.content.Asagent_report())
        current->scheduler->onReport(from.node, *report, now);
    else if (const auto *call = content.content.Asclient_call())
        current->scheduler->onCall(from.node, *call, now, m_time.wallMs());
    schedulePump();
}

void owner_process::schedulePump()
{
    if (std::exchange(m_pumpScheduled, true))
        return;
    // Events that are ready together go into one batch.
    asio::post(m_context, [this] {
        m_pumpScheduled = false;
        pump();
    });
}

void owner_process::pump()
{
    const auto current = m_tenure;
    if (!current || !current->members)
        return;
    if (auto batch = current->scheduler->nextCommit(m_time.now(), m_time.wallMs())) {
        current->batch = std::move(*batch);
        ++current->batchNumber;
        append(current);
    }
    for (const sched::outgoing_message &each : current->scheduler->takeMessages())
        current->members->send(each.node, each.content);
    for (const write_log &line : current->scheduler->takeLogLines())
        m_log.write(line);
}

void owner_process::append(const std::shared_ptr<tenure> &current)
{
    const instant sent = m_time.now();
    m_store.append(current->epoch, current->batchNumber, current->batch,
                   [this, current, sent](sched::append_status status) {
                       if (m_tenure != current)
                           return;
                       if (status == sched::append_status::fenced) {
                           end("fenced");
                           return;
                       }
                       if (status == sched::append_status::stored) {
                           current->failedSince.reset();
                           m_log.observe({ .name = "store_append_latency",
                                           .label = "jobs",
                                           .value = m_time.now() - sent });
                           current->scheduler->confirmOwnership(sent);
                           current->scheduler->commitDone();
                           pump();
                           return;
                       }
                       if (!current->failedSince)
                           current->failedSince = sent;
                       current->scheduler->storeFailed(*current->failedSince);
                       current->retryTimer.expires_after(storeRetryInterval);
                       current->retryTimer.async_wait(
                               [this, current](const boost::system::error_code &failure) {
                                   if (!failure && m_tenure == current)
                                       append(current);
                               });
                   });
}

void owner_process::setConfig(const sched::fleet_config &config,
                              const sched::config_document &document)
{
    if (m_config && m_config->version >= config.version)
        return;
    m_config = config;
    m_document = document;
    if (!m_tenure || !m_tenure->scheduler)
        return;
    m_tenure->scheduler->setConfig(config);
    if (m_tenure->members)
        m_tenure->members->sendToAll(sched::makeMessage(document), false);
    schedulePump();
}

void owner_process::end(const char *reason)
{
    writeLog(log_level::warning, "partition_lost", { { "reason", reason } });
    const auto ended = std::exchange(m_tenure, nullptr);
    m_store.stopFollowing();
    if (ended && ended->members)
        ended->members->close();
    if (ended)
        ended->retryTimer.cancel();
    // The connections' last callbacks may still be on the stack.
    asio::post(m_context, [ended] {});
}

void owner_process::stop(std::function<void()> done)
{
    m_stopping = true;
    if (m_tenure)
        end("stopping");
    m_store.leave(std::move(done));
}

} // namespace plantainpitch::fleet
