#pragma once

#include "plantainpitch/runtime/client_limits.h"
#include "plantainpitch/runtime/settings.h"
#include "plantainpitch/wire/frame_limits.h"

#include <cstdint>
#include <string>

namespace plantainpitch::entry {

/// Values of the settings of plantain-entry.
struct entry_settings
{
    std::string name;
    std::string dataCentre;
    std::string cell = "default";
    std::string callerAddress = "0.0.0.0";
    std::uint32_t callerPort = 7000;
    std::string adminAddress = "127.0.0.1";
    std::uint32_t adminPort = 7001;
    std::string peerAddress = "0.0.0.0";
    std::uint32_t peerPort = 7002;
    std::string peers;
    std::string logAddress = "127.0.0.1";
    std::uint32_t logPort = 0;
    std::uint32_t threads = 4;
    std::uint32_t routerShards = 2;
    std::string logLevel = "info";
    /// A body has to fit in a frame.
    runtime::client_limits clients{ .maxConnections = 10'000, .maxBodyBytes = wire::maxBodyBytes };

    void registerIn(runtime::settings &target);
};

} // namespace plantainpitch::entry
