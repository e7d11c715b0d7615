#include "agent_settings.h"

#include <limits>

namespace plantainpitch::agent {

namespace {

using namespace runtime;

void registerService(agent_settings &values, settings &target)
{
    target.group("Local service");
    target.add("service_template", values.serviceTemplate,
               "template that the local service serves; empty: no service", anyValue());
    target.add("service_address", values.serviceAddress, "address of the local service",
               ipAddress());
    target.add("service_port", values.servicePort,
               "port of the local service, HTTP; needed with --service_template", portNumber());
    target.add("slots", values.slots,
               "requests that run at once, until the template's slots are known",
               numberBetween(1, 4096));
    target.add("connections", values.connections,
               "connections to the service at most; no more requests than this run at once",
               numberBetween(1, 4096));
    target.add("queue_limit", values.queueLimit,
               "requests that wait for a slot at most, until the template's queue_limit is known",
               numberBetween(0, 100'000));
    target.addCheck([&values]() -> std::string {
        if (values.serviceTemplate.empty() || values.servicePort != 0)
            return {};
        return "--service_port: not set although --service_template is; give the port of the "
               "service";
    });
}

void registerWorker(agent_settings &values, settings &target)
{
    constexpr std::int64_t anyAmount = std::numeric_limits<std::int64_t>::max();
    target.group("Worker");
    target.add("worker_address", values.workerAddress, "address of the worker", ipAddress());
    target.add("worker_port", values.workerPort, "port of the worker, HTTP",
               numberBetween(1, 65535));
    target.add("reserved_processors_milli", values.reservedProcessorsMilli,
               "thousandths of a processor kept free of tasks for the local service",
               numberBetween(0, anyAmount));
    target.add("reserved_memory_bytes", values.reservedMemoryBytes,
               "bytes of memory kept free of tasks for the local service",
               numberBetween(0, anyAmount));
}

} // namespace

void agent_settings::registerIn(settings &target)
{
    target.group("Identity");
    target.add("vm", vm, "name of this VM, unique in the system", notEmpty("vm-17"));
    target.add("data_centre", dataCentre, "data centre of this VM", notEmpty("dc-1"));
    target.add("rack", rack, "rack of this VM", notEmpty("rack-3"));

    target.group("Entries");
    target.add("entries", entries,
               "peer addresses and ports of the entries of this region's cell; the agent keeps a "
               "connection to each",
               addressList(false));

    registerService(*this, target);
    registerWorker(*this, target);

    target.group("Process");
    target.add("status_address", statusAddress, "address for /healthz, /metrics and /status",
               ipAddress());
    target.add("status_port", statusPort,
               "port for /healthz, /metrics and /status; 0: chosen by the system", portNumber());
    target.add("threads", threads, "number of threads that handle connections and events",
               numberBetween(1, 256));
    target.add("log_level", logLevel,
               "least severe level of the log lines written to standard error",
               oneOf({ "debug", "info", "warning", "error" }));
    clients.registerIn(target);
}

} // namespace plantainpitch::agent
