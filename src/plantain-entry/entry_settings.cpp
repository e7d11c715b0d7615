#include "entry_settings.h"

namespace plantainpitch::entry {

void entry_settings::registerIn(runtime::settings &target)
{
    using namespace runtime;
    target.group("Identity");
    target.add("name", name, "name of this entry, unique in its cell", notEmpty("entry-1"));
    target.add("data_centre", dataCentre, "data centre of this VM", notEmpty("dc-1"));
    target.add("cell", cell, "region; entries of one region share the stream cell.<region>",
               notEmpty("default"));

    target.group("Callers");
    target.add("caller_address", callerAddress, "address for callers' HTTP", ipAddress());
    target.add("caller_port", callerPort, "port for callers' HTTP; 0: chosen by the system",
               portNumber());

    target.group("Administration");
    target.add("admin_address", adminAddress, "address for administration HTTP", ipAddress());
    target.add("admin_port", adminPort, "port for administration HTTP; 0: chosen by the system",
               portNumber());

    target.group("Agents and other entries");
    target.add("peer_address", peerAddress, "address on which agents and other entries connect",
               ipAddress());
    target.add("peer_port", peerPort, "port for agents and other entries; 0: chosen by the system",
               portNumber());
    target.add("peers", peers,
               "peer addresses and ports of the other entries of the same cell; empty: none",
               addressList(true));

    target.group("Log service");
    target.add("log_address", logAddress, "address of the platform's log service", ipAddress());
    target.add("log_port", logPort, "port of the platform's log service, HTTP",
               numberBetween(1, 65535));

    target.group("Process");
    target.add("threads", threads, "number of threads that handle connections and events",
               numberBetween(1, 256));
    target.add("router_shards", routerShards,
               "number of shards that route requests, each under its own lock",
               numberBetween(1, 64));
    target.add("log_level", logLevel,
               "least severe level of the log lines written to standard error",
               oneOf({ "debug", "info", "warning", "error" }));
    clients.registerIn(target);
    target.addCheck([this]() -> std::string {
        if (clients.maxBodyBytes <= wire::maxBodyBytes)
            return {};
        return "max_request_body_bytes is larger than what fits in a frame; give at most "
               + std::to_string(wire::maxBodyBytes);
    });
}

} // namespace plantainpitch::entry
