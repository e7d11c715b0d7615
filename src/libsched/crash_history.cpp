#include "plantainpitch/sched/crash_history.h"

#include <algorithm>
#include <limits>

namespace plantainpitch::sched {

namespace {

/// A partition gets a new owner within seconds; an older crash has been stored or is forgotten.
constexpr std::chrono::seconds reportedFor{ 30 };
/// Bounds the size of a report about a worker that restarts all the time.
constexpr std::size_t maxCrashes = 16;

std::int32_t toMs(duration value)
{
    const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
    constexpr std::int64_t limit = std::numeric_limits<std::int32_t>::max();
    return static_cast<std::int32_t>(std::clamp<std::int64_t>(count, -limit, limit));
}

} // namespace

bool crash_history::add(const std::string &worker, std::uint64_t startMs, std::vector<run> runs,
                        instant now)
{
    const bool known = std::any_of(m_crashes.begin(), m_crashes.end(), [&](const crash &each) {
        return each.worker == worker && each.startMs == startMs;
    });
    if (known)
        return false;
    m_crashes.push_back(
            { .worker = worker, .startMs = startMs, .at = now, .runs = std::move(runs) });
    if (m_crashes.size() > maxCrashes)
        m_crashes.pop_front();
    return true;
}

std::vector<std::unique_ptr<worker_crash>> crash_history::reportable(instant now) const
{
    std::vector<std::unique_ptr<worker_crash>> result;
    for (const crash &each : m_crashes) {
        if (now - each.at > reportedFor)
            continue;
        auto entry = std::make_unique<worker_crash>();
        entry->worker = each.worker;
        entry->startMs = each.startMs;
        entry->msAgo = static_cast<std::uint32_t>(std::max(0, toMs(now - each.at)));
        for (const run &lost : each.runs) {
            auto row = std::make_unique<crashed_run>();
            row->task = lost.task;
            row->run = lost.number;
            row->ageMs = toMs(lost.age);
            entry->runs.push_back(std::move(row));
        }
        result.push_back(std::move(entry));
    }
    return result;
}

} // namespace plantainpitch::sched
