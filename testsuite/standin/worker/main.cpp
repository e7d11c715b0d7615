#include "support/standin_runner.h"
#include "worker_service.h"

#include <gflags/gflags.h>

DEFINE_int32(port, 0, "port to listen on; 0: chosen by the system");
DEFINE_int64(processors_milli, 16'000, "thousandths of processors shown");
DEFINE_int64(memory_bytes, 60'000'000'000, "memory shown");
DEFINE_int64(accelerators, 0, "accelerators shown");
DEFINE_string(rack, "", "rack shown");
DEFINE_string(vm, "", "name shown in the journal");
DEFINE_string(journal, "", "file to which a line is appended at each start and end of a task");
DEFINE_int64(usage_lag_ms, 0, "age of the usage samples");
DEFINE_bool(fail_all, false, "every task fails soon after its start");

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("stand-in for the platform's worker");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    boost::asio::io_context context;
    plantainpitch::standin::worker_service service(
            context, { .capacity = { .processorsMilli = FLAGS_processors_milli,
                                     .memoryBytes = FLAGS_memory_bytes,
                                     .accelerators = FLAGS_accelerators },
                       .rack = FLAGS_rack,
                       .vm = FLAGS_vm,
                       .journalPath = FLAGS_journal,
                       .usageLagMs = FLAGS_usage_lag_ms,
                       .failAll = FLAGS_fail_all });
    return plantainpitch::standin::serve(
            context, { .port = static_cast<std::uint16_t>(FLAGS_port) }, service);
}
