#include "fold_stream.h"

#include <cstdio>
#include <utility>

namespace plantainpitch {

namespace {

constexpr std::size_t recordsPerBatch = 500;

/// 25 characters, as a template's name with a date and a number has.
std::string jobName(std::uint64_t job)
{
    std::string number = std::to_string(job);
    number.insert(0, 10 - number.size(), '0');
    return "disbursement-4-" + number;
}

/// The form of the kernel's boot id.
std::string bootOf(std::uint64_t vm)
{
    std::string number = std::to_string(vm);
    number.insert(0, 12 - number.size(), '0');
    return "8f9d3c1e-52ab-4c07-9e41-" + number;
}

std::string vmName(std::uint64_t vm)
{
    return "10.4." + std::to_string(vm / 250) + '.' + std::to_string(vm % 250);
}

} // namespace

task_id fold_stream::taskOf(std::uint64_t number)
{
    return { .job = jobName(number / tasksPerJob),
             .index = static_cast<std::uint32_t>(number % tasksPerJob) };
}

log_position fold_stream::add(log_record record)
{
    if (m_batches.empty() || m_batches.back().batch.records.size() == recordsPerBatch) {
        const std::uint64_t producer = 1 + m_offset % 6;
        m_batches.push_back(
                { .offset = m_offset,
                  .batch = { .producer = producer, .sequence = m_offset + 1, .records = {} } });
        m_batches.back().batch.records.reserve(recordsPerBatch);
        ++m_offset;
    }
    std::vector<log_record> &records = m_batches.back().batch.records;
    records.push_back(std::move(record));
    return log_position::of(m_batches.back().offset, records.size() - 1);
}

std::vector<stored_batch> fold_stream::take()
{
    return std::exchange(m_batches, {});
}

log_position fold_stream::addClaim(std::uint64_t number, log_position base)
{
    const std::uint64_t vm = m_random() % m_vms;
    return add(task_claimed{ .task = taskOf(number),
                             .vm = vmName(vm),
                             .agent = 0x9000000000000000ULL + vm,
                             .workerBoot = bootOf(vm),
                             .base = base });
}

std::vector<stored_batch> fold_stream::submit(std::uint64_t jobs)
{
    for (; jobs > 0; --jobs) {
        const log_position at =
                add(job_submitted{ .job = jobName(m_lastChange.size() / tasksPerJob),
                                   .templateName = "weekly-disbursement",
                                   .account = "fondo-solidario-0042",
                                   .team = "payouts",
                                   .taskCount = tasksPerJob,
                                   .taskResources = { .processorsMilli = 2000,
                                                      .memoryBytes = std::int64_t(4) << 30U,
                                                      .accelerators = 0 },
                                   .submittedMs = 1'900'000'000'000,
                                   .command = "split --fund 0042 --week 49" });
        m_lastChange.insert(m_lastChange.end(), tasksPerJob, at);
    }
    return take();
}

std::vector<stored_batch> fold_stream::claim()
{
    for (; m_firstPending < m_lastChange.size(); ++m_firstPending)
        m_lastChange[m_firstPending] = addClaim(m_firstPending, m_lastChange[m_firstPending]);
    return take();
}

std::vector<stored_batch> fold_stream::move(std::uint64_t tasks)
{
    for (; tasks > 0; --tasks) {
        const std::uint64_t number = m_firstOpen + m_random() % (m_firstPending - m_firstOpen);
        const log_position released = add(task_released{ .task = taskOf(number),
                                                         .attempt = m_lastChange[number],
                                                         .checkpoint = "fund-0042/member-000123",
                                                         .reason = release_reason::evicted });
        m_lastChange[number] = addClaim(number, released);
    }
    return take();
}

std::vector<stored_batch> fold_stream::finish(std::uint64_t tasks)
{
    for (; tasks > 0 && m_firstOpen < m_firstPending; --tasks, ++m_firstOpen) {
        add(task_finished{ .task = taskOf(m_firstOpen),
                           .attempt = m_lastChange[m_firstOpen],
                           .result = "paid 118 members" });
    }
    return take();
}

std::vector<stored_batch> fold_stream::useKeys(std::uint64_t keys)
{
    for (; keys > 0; --keys) {
        const std::string key = bootOf(m_keys++);
        add(key_claimed{ .account = "fondo-solidario-0042",
                         .key = key,
                         .entry = 1,
                         .request = m_keys,
                         .digest = m_keys,
                         .claimedMs = 1'900'000'000'000 + static_cast<std::int64_t>(m_keys) });
        add(key_finished{ .account = "fondo-solidario-0042",
                          .key = key,
                          .entry = 1,
                          .request = m_keys,
                          .status = 201,
                          .body = R"({"contribution":"accepted","balance":118})" });
    }
    return take();
}

} // namespace plantainpitch
