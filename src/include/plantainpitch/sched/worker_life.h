#pragma once

#include "plantainpitch/sched/worker_key.h"

#include <cstdint>

namespace plantainpitch::sched {

enum class worker_life_phase : std::uint8_t {
    answering,
    silent, ///< calls fail; its runs may be at work until their leases have ended
    succeeded, ///< another incarnation has answered under its id and has not announced itself
    over, ///< nothing of it runs
};

/// What an agent knows of an incarnation of its worker. It begins once the worker itself has
/// confirmed it. The worker's answers, the refusal of connections at its address and the end of its
/// leases are the only events that change it.
class worker_life
{
public:
    /// A life that the worker has just confirmed.
    explicit worker_life(worker_key key);

    [[nodiscard]] const worker_key &key() const { return m_key; }
    [[nodiscard]] worker_life_phase phase() const { return m_phase; }
    [[nodiscard]] bool isAnswering() const { return m_phase == worker_life_phase::answering; }
    [[nodiscard]] bool isOver() const { return m_phase == worker_life_phase::over; }
    /// Start of the incarnation that has answered under the same id and has not announced itself;
    /// 0: none.
    [[nodiscard]] std::uint64_t successorStartMs() const { return m_successorStartMs; }
    [[nodiscard]] bool hasSuccessor() const { return m_successorStartMs != 0; }

    /// After an answer of this incarnation. Its runs may have been taken as lost before.
    [[nodiscard]] worker_life answered() const;
    /// After a call without an answer of this incarnation.
    [[nodiscard]] worker_life unanswered() const;
    /// After an answer of the incarnation that has started under the same id at \a startMs.
    [[nodiscard]] worker_life succeededBy(std::uint64_t startMs) const;
    /// After the proof that nothing of it runs.
    [[nodiscard]] worker_life ended() const;

    bool operator==(const worker_life &) const = default;

private:
    worker_life(worker_key key, worker_life_phase phase, std::uint64_t successorStartMs);

    worker_key m_key;
    worker_life_phase m_phase = worker_life_phase::answering;
    std::uint64_t m_successorStartMs = 0;
};

} // namespace plantainpitch::sched
