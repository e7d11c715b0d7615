#include "echo_service.h"
#include "support/standin_runner.h"

#include <gflags/gflags.h>

DEFINE_int32(port, 0, "port to listen on; 0: chosen by the system");
DEFINE_int64(service_ms, 5, "time that each request takes");
DEFINE_int64(connections, 64, "connections accepted at once; more are answered 503");
DEFINE_string(vm, "", "name shown in answers and in the journal");
DEFINE_string(journal, "", "file to which a line is appended at the start of each request");

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("stand-in for a customer's service");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    boost::asio::io_context context;
    plantainpitch::standin::echo_service service(
            context,
            { .serviceMs = FLAGS_service_ms, .vm = FLAGS_vm, .journalPath = FLAGS_journal });
    return plantainpitch::standin::serve(
            context,
            { .port = static_cast<std::uint16_t>(FLAGS_port),
              .maxConnections = static_cast<std::size_t>(FLAGS_connections) },
            service);
}
