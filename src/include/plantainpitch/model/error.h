#pragma once

#include "plantainpitch/model/error_kind.h"

#include <stdexcept>
#include <string>

namespace plantainpitch {

/// Error with a kind and a message that says what is wrong and what to do about it.
class error : public std::runtime_error
{
public:
    /// \a problem says what is wrong; \a remedy says what the reader can do.
    error(error_kind kind, const std::string &problem, const std::string &remedy)
        : std::runtime_error(problem + "; " + remedy)
        , m_kind(kind)
        , m_problem(problem)
        , m_remedy(remedy)
    {}

    [[nodiscard]] error_kind kind() const { return m_kind; }
    [[nodiscard]] const std::string &problem() const { return m_problem; }
    [[nodiscard]] const std::string &remedy() const { return m_remedy; }

private:
    error_kind m_kind;
    std::string m_problem;
    std::string m_remedy;
};

} // namespace plantainpitch
