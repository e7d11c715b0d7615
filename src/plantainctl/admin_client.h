#pragma once

#include "plantainpitch/runtime/http_request.h"
#include "plantainpitch/runtime/http_response.h"

#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <string>

namespace plantainpitch::ctl {

/// Calls the administration API of one entry and waits for the answers.
class admin_client
{
public:
    admin_client(std::string address, std::uint16_t port, std::chrono::milliseconds timeout);

    /// The answer's JSON object. Throws command_failure for errors of any kind.
    [[nodiscard]] boost::json::object call(const std::string &method, const std::string &target,
                                           const std::string &body = {}) const;

private:
    [[nodiscard]] runtime::http_response send(runtime::http_request request) const;

    std::string m_address;
    std::uint16_t m_port;
    std::chrono::milliseconds m_timeout;
};

/// Percent-encodes what may not stand in a path; '/' is kept, as in the names of tasks.
std::string encodePath(const std::string &name);

} // namespace plantainpitch::ctl
