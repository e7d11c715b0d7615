#pragma once

#include <stdexcept>
#include <string>

namespace plantainpitch {

/// A numbered invariant of docs/design.md, section 1.2, does not hold: a fault of the program.
/// The process has to stop.
class invariant_violation : public std::logic_error
{
public:
    /// \a state is what is needed to understand the violation, as key=value pairs.
    invariant_violation(int invariant, const std::string &problem, const std::string &state)
        : std::logic_error("invariant " + std::to_string(invariant) + " violated: " + problem
                           + "; report this with the state: " + state)
        , m_invariant(invariant)
        , m_state(state)
    {}

    [[nodiscard]] int invariant() const { return m_invariant; }
    [[nodiscard]] const std::string &state() const { return m_state; }

private:
    int m_invariant;
    std::string m_state;
};

} // namespace plantainpitch
