#include "plantainpitch/sched/ownership_evidence.h"

#include <algorithm>

namespace plantainpitch::sched {

void ownership_evidence::confirm(instant sent)
{
    m_confirmed = std::max(m_confirmed, sent);
}

bool ownership_evidence::isConfirmed(instant now) const
{
    return now - m_confirmed <= m_staleOwner;
}

bool ownership_evidence::mayBeReplaced(instant now) const
{
    return !isConfirmed(now) && !m_contact.all;
}

bool ownership_evidence::mayAnswer(requested_knowledge requested, instant now) const
{
    switch (requested) {
    case requested_knowledge::ended_job:
        return true;
    case requested_knowledge::open_job:
    case requested_knowledge::pending_jobs:
        return !mayBeReplaced(now);
    case requested_knowledge::unknown_job:
        break;
    }
    return isConfirmed(now);
}

} // namespace plantainpitch::sched
