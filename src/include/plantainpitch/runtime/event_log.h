#pragma once

#include "plantainpitch/runtime/logging.h"
#include "plantainpitch/runtime/metrics.h"

namespace plantainpitch::runtime {

/// Writes log lines and counts them: plantain_events_total has one counter for each event and its
/// reason, also for lines that the rate limit suppresses.
class event_log
{
public:
    event_log(logging &log, metrics &counters)
        : m_log(log)
        , m_counters(counters)
    {}

    void write(const write_log &line);
    void observe(const observe_latency &sample) { m_counters.observe(sample); }
    void set(const set_gauge &sample) { m_counters.set(sample); }

private:
    logging &m_log;
    metrics &m_counters;
};

} // namespace plantainpitch::runtime
