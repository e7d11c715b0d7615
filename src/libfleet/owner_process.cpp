#include "plantainpitch/fleet/owner_process.h"

#include "plantainpitch/model/error.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <set>

namespace plantainpitch::fleet {

namespace asio = boost::asio;

namespace {

/// Delay before an append that the store did not acknowledge is retried.
constexpr std::chrono::milliseconds storeRetryDelay{ 100 };

} // namespace

/// State of one period of ownership of the partition.
struct owner_process::ownership
{
    explicit ownership(asio::io_context &context)
        : retryTimer(context)
    {}

    std::uint64_t epoch = 0;
    instant confirmed{}; ///< send time of the last call that the store carried out in the epoch
    instant lastCheck{};
    bool checking = false;
    asio::steady_timer retryTimer;
    std::optional<sched::scheduler> scheduler;
    std::optional<member_dialer> members;
    std::vector<sched::stored_record> batch; ///< being stored, in one or more appends
    std::size_t recordsStored = 0; ///< of the batch
    std::vector<sched::stored_record> appended; ///< records of the append on its way
    std::uint64_t appendNumber = 0;
    std::uint64_t lastStored = 0; ///< number of an append; 0: none
    std::optional<instant> failedSince; ///< send time of the first failure of the append
    std::set<std::string> removedAgents;
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
    const auto current = m_ownership;
    if (!current || !current->members)
        return;
    const auto agents = current->members->agents();
    current->scheduler->setAgents({ agents.begin(), agents.end() });
    current->scheduler->setContact(current->members->contact());
    current->scheduler->tick(now, m_time.wallMs());
    flush();
    checkEpoch(current);
    if (m_ownership == current)
        publishGauges(now);
}

void owner_process::publishGauges(instant now)
{
    m_gauges = m_ownership->scheduler->gauges(now);
    for (const set_gauge &gauge : m_gauges)
        m_log.set(gauge);
}

/// The figures are now those of another owner; sums over all processes count them once.
void owner_process::clearGauges()
{
    for (const set_gauge &gauge : std::exchange(m_gauges, {}))
        m_log.set({ .name = gauge.name });
}

void owner_process::join()
{
    m_joining = true;
    m_lastJoin = m_time.now();
    m_store.join(m_generation, [this](const sched::join_result &result) {
        m_joining = false;
        if (m_stopDone)
            m_store.leave(std::exchange(m_stopDone, nullptr));
        else
            onJoined(result);
    });
}

void owner_process::onJoined(const sched::join_result &result)
{
    if (!result.answered || m_stopping)
        return;
    const bool groupChanged = std::exchange(m_generation, result.generation) != result.generation;
    if (groupChanged && m_ownership) {
        writeLog(log_level::info, "group_changed",
                 { { "generation", std::to_string(m_generation) },
                   { "owns_partition", result.ownsPartition ? "yes" : "no" } });
    }
    if (result.ownsPartition && !m_ownership)
        beginOwnership();
    else if (!result.ownsPartition && m_ownership)
        endOwnership("reassigned");
}

void owner_process::beginOwnership()
{
    writeLog(log_level::info, "partition_assigned",
             { { "generation", std::to_string(m_generation) } });
    m_ownership = std::make_shared<ownership>(m_context);
    m_ownership->confirmed = m_time.now();
    m_store.beginEpoch([this, current = m_ownership](sched::append_status status,
                                                     std::uint64_t epoch) {
        if (m_ownership != current)
            return;
        current->epoch = epoch;
        if (status != sched::append_status::stored)
            endOwnership(status == sched::append_status::fenced ? "fenced" : "store_unavailable");
        else
            load(current);
    });
}

void owner_process::load(const std::shared_ptr<ownership> &current)
{
    m_store.load([this, current](bool answered, const std::vector<sched::stored_record> &records) {
        if (m_ownership != current)
            return;
        if (!answered)
            endOwnership("store_unavailable");
        else
            onLoaded(current, records);
    });
}

void owner_process::onLoaded(const std::shared_ptr<ownership> &current,
                             const std::vector<sched::stored_record> &records)
{
    sched::scheduler_options options;
    options.epoch = current->epoch;
    options.epochBegun = current->confirmed;
    options.store = m_options.store;
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
    if (m_evacuations)
        current->scheduler->setEvacuations(*m_evacuations);
    connectMembers(current);
    scheduleFlush();
    checkEpoch(current); // loading may have taken long
}

void owner_process::connectMembers(const std::shared_ptr<ownership> &current)
{
    sched::owner_hello hello;
    hello.epoch = current->epoch;
    hello.node = m_options.node;
    const auto term = sched::scheduler_options{}.term;
    hello.termMs = static_cast<std::uint32_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(term).count());
    // The ownership object owns the dialer, so the callbacks cannot outlive the raw pointer.
    ownership *currentPtr = current.get();
    current->members.emplace(
            m_context, hello,
            member_dialer::callbacks{
                    .opened =
                            [this, currentPtr](const sched::member &member) {
                                onMemberOpened(*currentPtr, member);
                            },
                    .closed =
                            [this, currentPtr](const sched::member &member) {
                                if (member.isAgent)
                                    currentPtr->scheduler->agentClosed(member.node, m_time.now());
                                scheduleFlush();
                            },
                    .received =
                            [this, currentPtr](const sched::member &member,
                                               const sched::message &content) {
                                if (m_ownership.get() == currentPtr)
                                    onMessage(m_ownership, member, content);
                            },
                    .removed =
                            [this](const sched::member &member) {
                                writeLog(
                                        log_level::warning, "member_removed",
                                        { { "node", member.node }, { "address", member.address } });
                                m_store.forget(member.address, [] {});
                            },
                    .failed =
                            [this](const std::string &problem) {
                                writeLog(log_level::error, "member_message_unreadable",
                                         { { "problem", problem } });
                            } });
    m_store.followMembers(
            [this, currentPtr](const sched::member &member) {
                if (m_ownership.get() == currentPtr)
                    currentPtr->members->add(member);
            },
            [this, currentPtr](const std::string &address) {
                if (m_ownership.get() == currentPtr)
                    currentPtr->members->onLeft(address);
            });
}

void owner_process::onMemberOpened(ownership &current, const sched::member &member)
{
    if (!member.isAgent) {
        if (m_config)
            current.members->send(member.node, sched::makeMessage(m_document));
        return;
    }
    // Before any order, as the agent may not reach the store.
    if (m_evacuations) {
        current.members->send(member.node,
                              sched::makeMessage(sched::encodeEvacuations(*m_evacuations)));
    }
    current.scheduler->agentOpened(member.node, m_time.now());
}

void owner_process::onMessage(const std::shared_ptr<ownership> &current, const sched::member &from,
                              const sched::message &content)
{
    const instant now = m_time.now();
    if (const auto *report = content.content.Asagent_report())
        current->scheduler->onReport(from.node, *report, now);
    else if (const auto *call = content.content.Asclient_call())
        current->scheduler->onCall(from.node, *call, now, m_time.wallMs());
    scheduleFlush();
}

void owner_process::scheduleFlush()
{
    if (std::exchange(m_flushScheduled, true))
        return;
    // Deferred, so that events that are ready together go into one batch.
    asio::post(m_context, [this] {
        m_flushScheduled = false;
        flush();
    });
}

void owner_process::flush()
{
    const auto current = m_ownership;
    if (!current || !current->members)
        return;
    if (auto batch = current->scheduler->nextCommit(m_time.now(), m_time.wallMs())) {
        current->batch = std::move(*batch);
        current->recordsStored = 0;
        appendNext(current);
    }
    for (const sched::outgoing_message &outgoing : current->scheduler->takeMessages())
        current->members->send(outgoing.node, outgoing.content);
    for (const write_log &line : current->scheduler->takeLogLines())
        m_log.write(line);
}

/// Appends as many of the batch's next records as the store accepts in one call.
void owner_process::appendNext(const std::shared_ptr<ownership> &current)
{
    std::vector<sched::stored_record> &records = current->appended;
    records.clear();
    std::size_t bytes = 0;
    for (std::size_t i = current->recordsStored; i < current->batch.size(); ++i) {
        bytes += sched::storedBytes(current->batch[i]);
        if (!records.empty() && bytes > m_options.store.callBytes)
            break;
        records.push_back(std::move(current->batch[i]));
    }
    ++current->appendNumber;
    append(current);
}

void owner_process::append(const std::shared_ptr<ownership> &current)
{
    const instant sentAt = m_time.now();
    m_store.append(current->epoch, current->appendNumber, current->appended,
                   [this, current, sentAt](sched::append_status status) {
                       if (m_ownership != current)
                           return;
                       if (status == sched::append_status::fenced) {
                           endOwnership("fenced");
                           return;
                       }
                       if (status == sched::append_status::stored) {
                           current->failedSince.reset();
                           m_log.observe({ .name = "store_append_latency",
                                           .label = "jobs",
                                           .value = m_time.now() - sentAt });
                           confirm(*current, sentAt);
                           current->lastStored = current->appendNumber;
                           current->recordsStored += current->appended.size();
                           if (current->recordsStored < current->batch.size()) {
                               appendNext(current);
                               return;
                           }
                           current->scheduler->commitDone();
                           flush();
                           return;
                       }
                       if (!current->failedSince)
                           current->failedSince = sentAt;
                       current->scheduler->storeFailed(*current->failedSince);
                       current->retryTimer.expires_after(storeRetryDelay);
                       current->retryTimer.async_wait(
                               [this, current](const boost::system::error_code &failure) {
                                   if (!failure && m_ownership == current)
                                       append(current);
                               });
                   });
}

/// Asks the store whether this process still is the owner, unless an append has shown it lately.
void owner_process::checkEpoch(std::shared_ptr<ownership> current)
{
    const instant now = m_time.now();
    const instant last = std::max(current->confirmed, current->lastCheck);
    if (current->checking || now - last < m_options.checkInterval)
        return;
    current->checking = true;
    current->lastCheck = now;
    const std::uint64_t epoch = current->epoch;
    const std::uint64_t lastStored = current->lastStored;
    m_store.checkEpoch(epoch, lastStored,
                       [this, current = std::move(current), now](sched::epoch_status status) {
                           current->checking = false;
                           if (m_ownership != current)
                               return;
                           if (status == sched::epoch_status::superseded)
                               endOwnership("superseded");
                           else if (status == sched::epoch_status::current)
                               confirm(*current, now);
                       });
}

void owner_process::confirm(ownership &current, instant sentAt)
{
    current.confirmed = std::max(current.confirmed, sentAt);
    current.scheduler->confirmOwnership(sentAt);
}

void owner_process::setConfig(const sched::fleet_config &config,
                              const sched::config_document &document)
{
    if (m_config && m_config->version >= config.version)
        return;
    m_config = config;
    m_document = document;
    if (!m_ownership || !m_ownership->scheduler)
        return;
    m_ownership->scheduler->setConfig(config);
    if (m_ownership->members)
        m_ownership->members->sendToAll(sched::makeMessage(document), false);
    scheduleFlush();
}

void owner_process::setEvacuations(const sched::evacuation_list &list)
{
    if (m_evacuations && m_evacuations->asOf > list.asOf)
        return;
    m_evacuations = list;
    if (!m_ownership || !m_ownership->scheduler)
        return;
    m_ownership->scheduler->setEvacuations(list);
    if (m_ownership->members)
        m_ownership->members->sendToAll(sched::makeMessage(sched::encodeEvacuations(list)), true);
    scheduleFlush();
}

void owner_process::endOwnership(const char *reason)
{
    using std::chrono::milliseconds;
    const auto ended = std::exchange(m_ownership, nullptr);
    const auto age = std::chrono::duration_cast<milliseconds>(m_time.now() - ended->confirmed);
    writeLog(log_level::warning, "partition_lost",
             { { "reason", reason },
               { "epoch", std::to_string(ended->epoch) },
               { "confirmed_ms_ago", std::to_string(age.count()) } });
    clearGauges();
    m_store.stopFollowing();
    if (ended->members)
        ended->members->close();
    ended->retryTimer.cancel();
    // Deferred destruction: callbacks of the connections may still be on the stack.
    asio::post(m_context, [ended] {});
}

void owner_process::stop(std::function<void()> done)
{
    m_stopping = true;
    if (m_ownership)
        endOwnership("stopping");
    // A join that the store carries out after the leave would bring the partition back.
    if (m_joining)
        m_stopDone = std::move(done);
    else
        m_store.leave(std::move(done));
}

} // namespace plantainpitch::fleet
