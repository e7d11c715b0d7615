#include "plantainpitch/sched/disturbance_model.h"

namespace plantainpitch::sched {

double disturbance_model::loss(const std::string &serving, const std::string &filling) const
{
    static const headroom_filter unknown;
    const auto found = m_filters.find(serving);
    return (found == m_filters.end() ? unknown : found->second).loss(filling);
}

double disturbance_model::trend(const std::string &serving, const std::string &job) const
{
    const auto found = m_filters.find(serving);
    return found == m_filters.end() ? 0 : found->second.trend(job);
}

} // namespace plantainpitch::sched
