#include "plantainpitch/sched/worker_life.h"

#include <utility>

namespace plantainpitch::sched {

worker_life::worker_life(worker_key key)
    : m_key(std::move(key))
{}

worker_life::worker_life(worker_key key, worker_life_phase phase, std::uint64_t successorStartMs)
    : m_key(std::move(key))
    , m_phase(phase)
    , m_successorStartMs(successorStartMs)
{}

worker_life worker_life::answered() const
{
    return worker_life(m_key);
}

worker_life worker_life::unanswered() const
{
    return isAnswering() ? worker_life(m_key, worker_life_phase::silent, 0) : *this;
}

worker_life worker_life::succeededBy(std::uint64_t startMs) const
{
    return { m_key, isOver() ? worker_life_phase::over : worker_life_phase::succeeded, startMs };
}

worker_life worker_life::ended() const
{
    return { m_key, worker_life_phase::over, m_successorStartMs };
}

} // namespace plantainpitch::sched
