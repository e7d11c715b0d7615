#include "capacity_log.h"
#include "capacity_parts.h"
#include "plantainpitch/log/log_pipeline.h"
#include "slope_table.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <ostream>
#include <string>

namespace plantainpitch {

namespace {

constexpr duration tickInterval = std::chrono::milliseconds(5);
/// Each call to the log; links between data centres take 3 to 5 ms one way.
constexpr duration callLatency = std::chrono::milliseconds(10);
constexpr duration measuredTime = std::chrono::seconds(20);

struct append_costs
{
    double appendsPerS = 0;
    double bytesPerAppend = 0;
    double bytesPerS = 0;
    double settledMs = 0; ///< 99th percentile from submission to settlement
    double refused = 0; ///< records that the full queue refused
};

using record_maker = std::function<log_record(std::uint64_t number)>;

log_record claimOrFinish(std::uint64_t number)
{
    const task_id task{ .job = "disbursement-4-" + std::to_string(1'000'000'000 + number / 20),
                        .index = static_cast<std::uint32_t>(number / 2 % 10) };
    const auto position = log_position::of(1'000'000 + number, 17);
    if (number % 2 == 0)
        return task_claimed{ .task = task,
                             .vm = "10.4.17." + std::to_string(number % 250),
                             .agent = 0x9000000000000000ULL + number,
                             .workerBoot = "8f9d3c1e-52ab-4c07-9e41-000000000001",
                             .base = position };
    return task_finished{ .task = task, .attempt = position, .result = "paid 118 members" };
}

log_record keyClaimOrFinish(std::uint64_t number)
{
    const std::string key =
            "8f9d3c1e-52ab-4c07-9e41-" + std::to_string(100'000'000'000 + number / 2);
    if (number % 2 == 0)
        return key_claimed{ .account = "fondo-solidario-0042",
                            .key = key,
                            .entry = 0x9000000000000001ULL,
                            .request = number,
                            .digest = 0x9e3779b97f4a7c15ULL * number,
                            .claimedMs = 1'900'000'000'000 + static_cast<std::int64_t>(number) };
    return key_finished{ .account = "fondo-solidario-0042",
                         .key = key,
                         .entry = 0x9000000000000001ULL,
                         .request = number - 1,
                         .status = 201,
                         .body = R"({"contribution":"accepted","balance":118})" };
}

/// One process that submits records to one stream at a constant rate.
class append_run
{
public:
    explicit append_run(record_maker make)
        : m_make(std::move(make))
    {}

    append_costs run(double recordsPerS)
    {
        for (m_now = instant(std::chrono::hours(1)), m_begin = m_now;
             m_now < m_begin + measuredTime; m_now += tickInterval)
            step(recordsPerS);
        return costs();
    }

private:
    void step(double recordsPerS)
    {
        const double passed = std::chrono::duration<double>(m_now - m_begin).count();
        for (; static_cast<double>(m_made) < passed * recordsPerS; ++m_made) {
            if (const auto ticket = m_pipeline.submit(m_now, m_make(m_made)))
                m_waiting[*ticket] = m_now;
            else
                ++m_refused;
        }
        answerDue();
        m_pipeline.tick(m_now);
        takeCalls();
        settle();
    }

    void takeCalls()
    {
        for (append_call &call : m_pipeline.takeAppends())
            m_appends.emplace_back(m_now, std::move(call));
        for (read_call &call : m_pipeline.takeReads())
            m_reads.emplace_back(m_now, std::move(call));
    }

    void answerDue()
    {
        for (; !m_appends.empty() && m_appends.front().first + callLatency <= m_now;
             m_appends.pop_front())
            m_pipeline.onAppendAnswer(m_now, m_log.append(m_appends.front().second));
        for (; !m_reads.empty() && m_reads.front().first + callLatency <= m_now;
             m_reads.pop_front())
            m_pipeline.onReadAnswer(m_now, m_log.read(m_reads.front().second));
    }

    void settle()
    {
        for (const read_batch &batch : m_pipeline.takeBatches()) {
            for (const std::uint64_t ticket : batch.tickets) {
                const std::chrono::duration<double, std::milli> waited = m_now - m_waiting[ticket];
                m_settledMs.push_back(waited.count());
                m_waiting.erase(ticket);
            }
        }
    }

    append_costs costs()
    {
        const double seconds = std::chrono::duration<double>(measuredTime).count();
        std::sort(m_settledMs.begin(), m_settledMs.end());
        return { .appendsPerS = static_cast<double>(m_log.appends()) / seconds,
                 .bytesPerAppend = static_cast<double>(m_log.appendedBytes())
                                   / static_cast<double>(m_log.appends()),
                 .bytesPerS = static_cast<double>(m_log.appendedBytes()) / seconds,
                 .settledMs = m_settledMs.at(m_settledMs.size() * 99 / 100),
                 .refused = static_cast<double>(m_refused) };
    }

    record_maker m_make;
    capacity_log m_log;
    log_pipeline m_pipeline{ { .stream = "cell.region-1", .producer = 1 }, 1 };
    instant m_now;
    instant m_begin;
    std::uint64_t m_made = 0;
    std::uint64_t m_refused = 0;
    std::map<std::uint64_t, instant> m_waiting;
    std::vector<double> m_settledMs;
    std::deque<std::pair<instant, append_call>> m_appends;
    std::deque<std::pair<instant, read_call>> m_reads;
};

void measureRates(std::ostream &out, const std::string &title, const record_maker &make,
                  const std::vector<double> &ratesPerS)
{
    printSlopeHeader(out, title);
    std::vector<std::pair<double, append_costs>> costs;
    costs.reserve(ratesPerS.size());
    for (const double rate : ratesPerS)
        costs.emplace_back(rate, append_run(make).run(2 * rate));
    const auto row = [&](const char *measure, const char *unit, double append_costs::*field) {
        std::vector<size_sample> samples;
        samples.reserve(costs.size());
        for (const auto &[rate, cost] : costs)
            samples.push_back({ rate, cost.*field });
        printSlope(out, measure, unit, samples);
    };
    row("appends", "1/s per 1/s", &append_costs::appendsPerS);
    row("bytes of an append", "B per 1/s", &append_costs::bytesPerAppend);
    row("bytes appended", "B/s per 1/s", &append_costs::bytesPerS);
    row("settled after, 99th percentile", "ms per 1/s", &append_costs::settledMs);
    row("records refused in 20 s", "records per 1/s", &append_costs::refused);
}

} // namespace

void measureAppends(std::ostream &out)
{
    measureRates(out, "one entry, log calls of 10 ms; size: task starts a second (claim, finish)",
                 claimOrFinish, { 100, 350, 700, 1400, 2800, 8400 });
    measureRates(out, "one entry, log calls of 10 ms; size: keyed requests a second",
                 keyClaimOrFinish, { 100, 400, 1600, 6400 });
}

} // namespace plantainpitch
