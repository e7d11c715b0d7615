#pragma once

#include "plantainpitch/runtime/client_limits.h"
#include "plantainpitch/runtime/settings.h"

#include <cstdint>
#include <string>

namespace plantainpitch::agent {

/// Values of the settings of plantain-agent.
struct agent_settings
{
    std::string vm;
    std::string dataCentre;
    std::string rack;
    std::string entries;
    std::string workerAddress = "127.0.0.1";
    std::uint32_t workerPort = 0;
    std::string serviceAddress = "127.0.0.1";
    std::uint32_t servicePort = 0;
    std::string serviceTemplate;
    std::uint32_t slots = 8;
    std::uint32_t connections = 64;
    std::uint32_t queueLimit = 32;
    std::int64_t reservedProcessorsMilli = 0;
    std::int64_t reservedMemoryBytes = 0;
    std::string statusAddress = "127.0.0.1";
    std::uint32_t statusPort = 7003;
    std::uint32_t threads = 2;
    std::string logLevel = "info";
    runtime::client_limits clients;

    void registerIn(runtime::settings &target);
};

} // namespace plantainpitch::agent
