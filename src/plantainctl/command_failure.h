#pragma once

#include "exit_code.h"

#include <stdexcept>
#include <string>

namespace plantainpitch::ctl {

/// Ends a command with an exit code and an error as the administration API has it.
class command_failure : public std::runtime_error
{
public:
    command_failure(exit_code code, std::string kind, const std::string &message,
                    std::string remedy)
        : std::runtime_error(message)
        , m_code(code)
        , m_kind(std::move(kind))
        , m_remedy(std::move(remedy))
    {}

    [[nodiscard]] exit_code code() const { return m_code; }
    [[nodiscard]] const std::string &kind() const { return m_kind; }
    [[nodiscard]] const std::string &remedy() const { return m_remedy; }

private:
    exit_code m_code;
    std::string m_kind;
    std::string m_remedy;
};

} // namespace plantainpitch::ctl
