#pragma once

#include "plantainpitch/role/action/count_metric.h"
#include "plantainpitch/role/action/observe_latency.h"
#include "plantainpitch/role/action/set_gauge.h"

#include <memory>
#include <string>

namespace plantainpitch::runtime {

/// Counters, gauges and latency histograms of a process. Thread-safe.
class metrics
{
public:
    metrics();
    ~metrics();

    void count(const count_metric &sample);
    void observe(const observe_latency &sample);
    void set(const set_gauge &sample);

    /// All metrics in the Prometheus text format, sorted by name and label.
    [[nodiscard]] std::string text() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace plantainpitch::runtime
