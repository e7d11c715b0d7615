#pragma once

#include "plantainpitch/fleet/member_dialer.h"
#include "plantainpitch/runtime/clock.h"
#include "plantainpitch/runtime/event_log.h"
#include "plantainpitch/sched/partition_store.h"
#include "plantainpitch/sched/scheduler.h"
#include "plantainpitch/sched/store_limits.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace plantainpitch::fleet {

struct owner_process_options
{
    std::string node;
    std::chrono::milliseconds joinInterval{ 500 };
    /// The store is asked about the epoch this long after the last call that confirmed it. Two
    /// checks have to fit into the time for which a confirmation counts.
    std::chrono::milliseconds checkInterval{ 500 };
    sched::store_limits store;
};

/// Competes for ownership of the partition. While this process is the owner, it connects to all
/// members, relays events between them, the store and the scheduler, and supplies the current time.
class owner_process
{
public:
    owner_process(boost::asio::io_context &context, sched::partition_store &store,
                  const runtime::clock &time, runtime::event_log &log,
                  owner_process_options options);
    ~owner_process();

    /// Call this about every 100 ms.
    void tick();
    void setConfig(const sched::fleet_config &config, const sched::config_document &document);
    /// Takes over the list unless a newer one is known, and passes it on to the agents.
    void setEvacuations(const sched::evacuation_list &list);
    /// Gives up ownership of the partition and leaves the group of candidates, so that another
    /// one takes over at once. \a done is called on completion.
    void stop(std::function<void()> done);

private:
    struct ownership;

    void join();
    void onJoined(const sched::join_result &result);
    void beginOwnership();
    void load(const std::shared_ptr<ownership> &current);
    void onLoaded(const std::shared_ptr<ownership> &current,
                  const std::vector<sched::stored_record> &records);
    void connectMembers(const std::shared_ptr<ownership> &current);
    void onMemberOpened(ownership &current, const sched::member &member);
    void onMessage(const std::shared_ptr<ownership> &current, const sched::member &from,
                   const sched::message &content);
    void scheduleFlush();
    void flush();
    void appendNext(const std::shared_ptr<ownership> &current);
    void append(const std::shared_ptr<ownership> &current);
    void checkEpoch(std::shared_ptr<ownership> current);
    static void confirm(ownership &current, instant sentAt);
    void endOwnership(const char *reason);
    void publishGauges(instant now);
    void clearGauges();
    void writeLog(log_level level, const char *event,
                  std::vector<std::pair<std::string, std::string>> fields);

    boost::asio::io_context &m_context;
    sched::partition_store &m_store;
    const runtime::clock &m_time;
    runtime::event_log &m_log;
    const owner_process_options m_options;
    sched::disturbance_model m_disturbances;
    sched::isolating_placement m_placement{ m_disturbances };
    sched::worth_order m_order;
    std::optional<sched::fleet_config> m_config;
    sched::config_document m_document;
    std::optional<sched::evacuation_list> m_evacuations;
    std::uint64_t m_generation = 0;
    bool m_joining = false;
    bool m_stopping = false;
    std::function<void()> m_stopDone; ///< of a stop that waits for the answer to a join
    bool m_flushScheduled = false;
    instant m_lastJoin{};
    std::vector<set_gauge> m_gauges; ///< last published
    std::shared_ptr<ownership> m_ownership; ///< set while this process is or becomes the owner
};

} // namespace plantainpitch::fleet
