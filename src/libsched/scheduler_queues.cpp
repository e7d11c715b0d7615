#include "plantainpitch/model/error.h"
#include "plantainpitch/sched/record_keys.h"
#include "plantainpitch/sched/scheduler.h"

namespace plantainpitch::sched {

namespace {

/// The store's keys have at most 255 bytes, one of which is the prefix.
constexpr std::size_t maxNameBytes = 254;

} // namespace

/// Returns the queue's settings, the last known ones if the configuration has dropped the queue.
/// Stored settings alone are not used: they may be older than the configuration.
const queue_config *scheduler::findQueue(const std::string &name) const
{
    if (m_config.version == 0)
        return nullptr;
    const auto found = m_config.queues.find(name);
    if (found != m_config.queues.end())
        return &found->second;
    const auto former = m_formerQueues.find(name);
    return former == m_formerQueues.end() ? nullptr : &former->second;
}

void scheduler::loadQueue(const std::string &name, const std::string &value)
{
    queue_config queue = decodeQueue(value);
    if (queue.name != name) {
        throw error(error_kind::protocol_error, "the record's key names another queue",
                    "check which process wrote the record");
    }
    m_formerQueues[name] = queue;
    m_storedQueues[name] = std::move(queue);
}

/// Adds what makes the store have the settings of all queues of which a job is kept, and of no
/// others.
void scheduler::addQueueRecords(std::vector<stored_record> &records)
{
    if (!m_queueRecordsDue || m_config.version == 0)
        return;
    m_queueRecordsDue = false;
    std::map<std::string, queue_config> needed;
    for (const auto &[id, job] : m_jobs) {
        const std::string &name = job->request.queue;
        const queue_config *queue = needed.count(name) > 0 ? nullptr : findQueue(name);
        if (!queue)
            continue;
        if (name.empty() || name.size() > maxNameBytes)
            log(log_level::error, "queue_not_stored", { { "queue", name } });
        else
            needed.emplace(name, *queue);
    }
    for (const auto &[name, queue] : m_storedQueues) {
        if (needed.count(name) == 0)
            records.push_back({ queuePrefix + name, {} });
    }
    for (const auto &[name, queue] : needed) {
        const auto stored = m_storedQueues.find(name);
        if (stored == m_storedQueues.end() || stored->second != queue)
            records.push_back({ queuePrefix + name, encodeQueue(queue) });
    }
    m_storedQueues = std::move(needed);
}

} // namespace plantainpitch::sched
