#pragma once

#include "plantainpitch/log/cell_state.h"

#include <random>
#include <string>
#include <utility>
#include <vector>

namespace plantainpitch::test {

/// Writes seeded random streams for a cell: mostly acceptable records, some refused or repeated.
class cell_generator
{
public:
    explicit cell_generator(std::uint64_t seed)
        : m_random(seed)
    {}

    /// The next batch of the stream, given the state before it.
    stored_batch next(const cell_state &state)
    {
        if (!m_sent.empty() && pick(20) == 0) // a late copy
            return { .offset = m_offset++, .batch = m_sent[pick(m_sent.size())] };
        record_batch batch{ .producer = 1 + pick(4), .sequence = m_offset + 1, .records = {} };
        for (std::uint64_t i = 1 + pick(8); i > 0; --i)
            batch.records.push_back(record(state));
        m_sent.push_back(batch);
        // A pause of the stream beyond the window makes the producers forgotten.
        if (pick(200) == 0)
            m_offset += producer_window::windowOffsets + pick(5000);
        return { .offset = m_offset++, .batch = std::move(batch) };
    }

private:
    std::uint64_t pick(std::uint64_t n) { return m_random() % n; }

    std::string jobName(std::uint64_t number) { return "job-" + std::to_string(number); }

    log_record record(const cell_state &state)
    {
        const task_id task{ .job = jobName(pick(m_jobs + 1)), .index = std::uint32_t(pick(4)) };
        const task_state *known = state.findTask(task);
        const task_state current = known != nullptr ? *known : task_state{};
        switch (pick(12)) {
        case 0:
            return job_submitted{ .job = jobName(m_jobs++),
                                  .taskCount = 1 + std::uint32_t(pick(4)) };
        case 1:
            return job_cancelled{ .job = jobName(pick(m_jobs + 1)) };
        case 2:
            return task_adopted{ task, current.attempt, current.vm, pick(9), "b" };
        case 3:
        case 4:
            return task_released{ task, current.attempt, std::to_string(pick(99)),
                                  release_reason(pick(8)) };
        case 5:
            return task_finished{ .task = task, .attempt = current.attempt, .result = "r" };
        case 6:
            return task_failed{ .task = task, .base = current.lastChange, .reason = "f" };
        case 7:
            return task_revoked{ .task = task, .attempt = current.attempt, .reason = "lost" };
        case 8:
            return keyRecord();
        default:
            return task_claimed{ task, "vm" + std::to_string(pick(5)), pick(9), "b",
                                 current.lastChange };
        }
    }

    log_record keyRecord()
    {
        const std::string key = std::to_string(pick(50));
        const std::uint64_t entry = 1 + pick(2);
        m_hours += pick(4);
        if (pick(4) == 0)
            return key_finished{ "a", key, entry, 1, 200, "ok" };
        if (pick(3) == 0)
            return key_released{ "a", key, entry, 1 };
        const std::uint64_t hours = pick(10) == 0 ? pick(100'000) : m_hours;
        return key_claimed{ "a", key, entry, 1, 0, std::int64_t(hours) * 3'600'000 };
    }

    std::mt19937_64 m_random;
    std::uint64_t m_offset = 0;
    std::uint64_t m_jobs = 0;
    std::uint64_t m_hours = 1000;
    std::vector<record_batch> m_sent;
};

} // namespace plantainpitch::test
