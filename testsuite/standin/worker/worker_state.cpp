#include "worker_state.h"

#include "plantainpitch/model/error.h"
#include "support/boot_clock.h"
#include "support/json_body.h"

#include <algorithm>
#include <random>

namespace plantainpitch::standin {

namespace json = boost::json;

namespace {

constexpr std::int64_t usagePeriodUs = 100'000;
/// Usage that is kept for readers that lag.
constexpr std::size_t usagePeriods = 600;
/// Run time of tasks under --fail_all.
constexpr std::int64_t failAfterUs = 20'000;

/// The amounts, in a member "resources" or in the body itself.
resources reservedOf(const json::object &body)
{
    const auto *nested = body.if_contains("resources");
    const auto &amounts = nested && nested->is_object() ? nested->get_object() : body;
    return { .processorsMilli = number(amounts, "processors_milli", 0),
             .memoryBytes = number(amounts, "memory_bytes", 0),
             .accelerators = number(amounts, "accelerators", 0) };
}

std::string randomBoot()
{
    std::random_device device;
    return std::to_string((std::uint64_t{ device() } << 32U) | device());
}

} // namespace

worker_state::worker_state(worker_options options)
    : m_options(std::move(options))
    , m_boot(randomBoot())
    , m_journal(m_options.journalPath)
{}

void worker_state::advance()
{
    const std::lock_guard lock(m_mutex);
    advanceAll();
}

void worker_state::advanceAll()
{
    const auto nowUs = bootClockUs();
    for (auto &[key, running] : m_tasks) {
        if (running.isRunning())
            advance(running, nowUs);
    }
}

void worker_state::advance(task &running, std::int64_t nowUs)
{
    // The task ends exactly at its lease, also if this call comes late.
    const auto toUs = std::min(nowUs, running.leaseUntilUs);
    const auto fromUs = running.advancedToUs;
    const auto share = 100 - running.throttlePercent;
    if (toUs > fromUs) {
        running.progressUs += (toUs - fromUs) * share / 100;
        running.advancedToUs = toUs;
        recordUsage(running, fromUs, toUs);
    }
    const auto runUs = running.work.runMs * 1000;
    if (m_options.failAll && toUs - running.startedUs >= failAfterUs) {
        running.result = "every start on this worker fails";
        end(running, "failed", toUs);
    } else if (runUs > 0 && running.progressUs >= runUs) {
        const auto overshootUs = share > 0 ? (running.progressUs - runUs) * 100 / share : 0;
        running.progressUs = runUs;
        running.result = (running.work.fail ? "failed " : "done ") + toCheckpoint(runUs);
        end(running, running.work.fail ? "failed" : "finished", toUs - overshootUs);
    } else if (nowUs >= running.leaseUntilUs) {
        end(running, "lease_expired", running.leaseUntilUs);
    }
}

void worker_state::end(task &running, const std::string &state, std::int64_t atUs)
{
    running.state = state;
    writeJournal("end", running, atUs);
}

void worker_state::recordUsage(task &running, std::int64_t fromUs, std::int64_t toUs) const
{
    auto &periods = running.usage;
    if (periods.empty() || periods.back().toUs - periods.back().fromUs >= usagePeriodUs)
        periods.push_back({ .fromUs = fromUs, .toUs = fromUs });
    auto &period = periods.back();
    const auto full = running.work.usageMilli >= 0 ? running.work.usageMilli
                                                   : running.reserved.processorsMilli;
    const auto used = full * (100 - running.throttlePercent) / 100;
    const auto totalUs = std::max<std::int64_t>(1, toUs - period.fromUs);
    period.processorsMilli =
            (period.processorsMilli * (period.toUs - period.fromUs) + used * (toUs - fromUs))
            / totalUs;
    period.toUs = toUs;
    if (periods.size() > usagePeriods)
        periods.pop_front();
}

json::object worker_state::list()
{
    const std::lock_guard lock(m_mutex);
    advanceAll();
    json::array tasks;
    for (const auto &[key, listed] : m_tasks)
        tasks.push_back(listed.toJson());
    return { { "boot", m_boot },
             { "vm", m_options.vm },
             { "rack", m_options.rack },
             { "processors_milli", m_options.capacity.processorsMilli },
             { "memory_bytes", m_options.capacity.memoryBytes },
             { "accelerators", m_options.capacity.accelerators },
             { "tasks", std::move(tasks) } };
}

json::object worker_state::usage()
{
    const std::lock_guard lock(m_mutex);
    advanceAll();
    const auto visibleUs = bootClockUs() - m_options.usageLagMs * 1000;
    json::array samples;
    for (const auto &[key, measured] : m_tasks) {
        // The latest complete period that is old enough to be visible.
        const auto found = std::find_if(measured.usage.rbegin(), measured.usage.rend(),
                                        [visibleUs](const usage_period &period) {
                                            return period.toUs <= visibleUs
                                                   && period.toUs - period.fromUs >= usagePeriodUs;
                                        });
        if (found == measured.usage.rend())
            continue;
        samples.push_back(json::object{ { "id", measured.id },
                                        { "attempt", measured.attempt },
                                        { "from_us", found->fromUs },
                                        { "to_us", found->toUs },
                                        { "processors_milli", found->processorsMilli },
                                        { "memory_bytes", measured.reserved.memoryBytes } });
    }
    return { { "samples", std::move(samples) } };
}

json::object worker_state::start(const std::string &id, const json::object &body)
{
    task started;
    started.id = id;
    started.attempt = static_cast<std::uint64_t>(number(body, "attempt", 0));
    started.reserved = reservedOf(body);
    started.work = parseCommand(text(body, "command"));
    started.leaseUntilUs = number(body, "lease_until_us", 0);
    started.checkpoint = text(body, "checkpoint");
    started.progressUs = parseCheckpointUs(started.checkpoint);

    const std::lock_guard lock(m_mutex);
    advanceAll();
    const auto known = m_tasks.find({ id, started.attempt });
    if (known != m_tasks.end() && known->second.isRunning())
        known->second.leaseUntilUs = started.leaseUntilUs;
    else if (known != m_tasks.end()
             && (known->second.state == "finished" || known->second.state == "failed"))
        throw error(error_kind::already_exists, "attempt of " + id + " is " + known->second.state,
                    "start a new attempt");
    else
        startNew(std::move(started));
    return {};
}

void worker_state::startNew(task started)
{
    const auto nowUs = bootClockUs();
    if (started.leaseUntilUs <= nowUs)
        throw error(error_kind::already_exists, "the lease of " + started.id + " is over",
                    "give a lease that ends later");
    started.startedUs = nowUs;
    started.advancedToUs = nowUs;
    writeJournal("start", started, nowUs);
    m_tasks.insert_or_assign(task_key(started.id, started.attempt), std::move(started));
}

task &worker_state::find(const std::string &id, const json::object &body)
{
    const auto attempt = static_cast<std::uint64_t>(number(body, "attempt", 0));
    const auto found = m_tasks.find({ id, attempt });
    if (found == m_tasks.end())
        throw error(error_kind::not_found,
                    "no attempt " + std::to_string(attempt) + " of task " + id,
                    "see GET /v1/worker");
    return found->second;
}

json::object worker_state::call(const std::string &id, const std::string &operation,
                                const json::object &body)
{
    const std::lock_guard lock(m_mutex);
    advanceAll();
    auto &called = find(id, body);
    if (operation == "forget" && !called.isRunning()) {
        m_tasks.erase({ called.id, called.attempt });
        return {};
    }
    // A repeated stop succeeds: the answer to the first may have been lost.
    if (operation == "stop" && called.state == "stopped")
        return { { "checkpoint", called.checkpoint } };
    if (called.isRunning() == (operation == "forget"))
        throw error(error_kind::already_exists, "task " + id + " is " + called.state,
                    operation == "forget" ? "stop it first" : "see GET /v1/worker");
    return apply(called, operation, body);
}

json::object worker_state::apply(task &called, const std::string &operation,
                                 const json::object &body)
{
    if (operation == "renew") {
        called.leaseUntilUs = number(body, "lease_until_us", called.leaseUntilUs);
        return {};
    }
    if (operation == "throttle") {
        called.throttlePercent = std::clamp<std::int64_t>(number(body, "percent", 0), 0, 100);
        return {};
    }
    if (operation != "checkpoint" && operation != "stop")
        throw error(error_kind::not_found, "no operation " + operation,
                    "use renew, checkpoint, throttle, stop or forget");
    called.checkpoint = toCheckpoint(called.progressUs);
    if (operation == "stop")
        end(called, "stopped", called.advancedToUs);
    return { { "checkpoint", called.checkpoint } };
}

void worker_state::writeJournal(const char *event, const task &subject, std::int64_t atUs)
{
    m_journal.write({ { "at_us", atUs },
                      { "event", event },
                      { "task", subject.id },
                      { "attempt", subject.attempt },
                      { "vm", m_options.vm },
                      { "state", subject.state },
                      { "progress_ms", subject.progressUs / 1000 } });
}

} // namespace plantainpitch::standin
