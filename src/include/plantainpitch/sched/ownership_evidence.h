#pragma once

#include "plantainpitch/model/instant.h"
#include "plantainpitch/sched/member_contact.h"

#include <cstdint>

namespace plantainpitch::sched {

/// What a call from a client asks an owner for.
enum class requested_knowledge : std::uint8_t {
    ended_job, ///< final, and the same for every later owner
    open_job, ///< the state of a job that has not ended, as this owner knows it
    pending_jobs, ///< the number of jobs that have not begun
    unknown_job, ///< that a job does not exist
};

/// What shows an owner that no other process has taken its place. Uses no sockets and no clock.
class ownership_evidence
{
public:
    /// The store's confirmation counts for \a staleOwner; \a confirmed is the first one.
    ownership_evidence(duration staleOwner, instant confirmed)
        : m_staleOwner(staleOwner)
        , m_confirmed(confirmed)
    {}

    /// The store has carried out a call under the owner's epoch that was sent at \a sent.
    void confirm(instant sent);
    /// To be called every 100 ms or so.
    void setContact(const member_contact &contact) { m_contact = contact; }

    [[nodiscard]] const member_contact &contact() const { return m_contact; }
    [[nodiscard]] instant confirmed() const { return m_confirmed; }

    /// Whether another process may have become the owner. Without the store's confirmation, only
    /// members that keep to this owner show that none has: one that is missing may be connected to
    /// it.
    [[nodiscard]] bool mayBeReplaced(instant now) const;
    /// Whether the owner may answer with what it knows. That a job does not exist takes the store's
    /// confirmation: members that have been restarted do not know of a later owner, which may have
    /// accepted the job.
    [[nodiscard]] bool mayAnswer(requested_knowledge requested, instant now) const;

private:
    [[nodiscard]] bool isConfirmed(instant now) const;

    duration m_staleOwner;
    instant m_confirmed;
    member_contact m_contact;
};

} // namespace plantainpitch::sched
