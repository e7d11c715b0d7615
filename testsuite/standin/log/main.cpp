#include "log_service.h"
#include "support/standin_runner.h"

#include <gflags/gflags.h>

#include <algorithm>

DEFINE_int32(port, 0, "port to listen on; 0: chosen by the system");
DEFINE_int64(retention_batches, 1'000'000, "batches that each stream keeps");
DEFINE_int64(append_delay_ms, 0, "delay of each append");
DEFINE_int64(max_appends_per_second, 0, "further appends wait; 0: no limit");

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("in-memory stand-in for the platform's log");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    boost::asio::io_context context;
    plantainpitch::standin::log_service service(
            context, { .retentionBatches = static_cast<std::size_t>(
                               std::max<std::int64_t>(0, FLAGS_retention_batches)),
                       .appendDelayMs = FLAGS_append_delay_ms,
                       .maxAppendsPerSecond = FLAGS_max_appends_per_second });
    return plantainpitch::standin::serve(
            context,
            { .port = static_cast<std::uint16_t>(FLAGS_port), .maxBodyBytes = 4 * 1024 * 1024 },
            service);
}
