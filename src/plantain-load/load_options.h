#pragma once

#include <cstdint>
#include <string>

namespace plantainpitch::load {

struct load_options
{
    std::string servers; ///< callers' addresses of the entries, comma-separated
    std::uint32_t rate = 100; ///< requests a second over all servers
    std::uint32_t durationS = 10;
    std::string account;
    std::string templateName;
    std::string path = "/"; ///< "{n}" is replaced by the number of the request
    std::string method = "GET";
    std::string body;
    std::string key; ///< prefix of Idempotency-Key; empty: none is sent
    std::uint32_t connections = 64; ///< to each server
    std::uint32_t timeoutMs = 5'000;
    std::uint32_t seed = 1; ///< of arrivals and tokens
    std::string output = "text"; ///< text or json
    bool checkAnswers = false; ///< each answer must have the content of its own request
};

} // namespace plantainpitch::load
