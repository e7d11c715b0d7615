#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace plantainpitch::sched {

/// How the jobs of one queue are run; part of the operators' configuration.
struct queue_config
{
    std::string name;
    std::string service; ///< pool of workers that run the queue's tasks
    std::uint32_t priority = 0; ///< 0 comes first
    std::uint32_t maxAttempts = 1; ///< runs of a task that may fail
    double stretch = 1; ///< objective: stretch times the longest chain of work ...
    std::uint32_t targetLatencyMs = 0; ///< ... and this much more
    bool needsTickets = false; ///< only workers that the advice service names may run a step

    bool operator==(const queue_config &) const = default;
};

/// Settings of a service. With the admission check, its workers reject tasks beyond their capacity.
struct service_config
{
    std::string name;
    bool admissionCheck = false;

    bool operator==(const service_config &) const = default;
};

/// The part of a configuration that decides how jobs run.
struct fleet_config
{
    std::uint64_t version = 0;
    std::map<std::string, queue_config> queues;
    std::map<std::string, service_config> services;

    bool operator==(const fleet_config &) const = default;
};

} // namespace plantainpitch::sched
