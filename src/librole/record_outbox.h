#pragma once

#include "plantainpitch/log/log_record.h"
#include "plantainpitch/model/instant.h"
#include "plantainpitch/role/action.h"
#include "plantainpitch/role/connection_id.h"
#include "plantainpitch/role/message/record_settled.h"

#include <cstdint>
#include <map>
#include <optional>

namespace plantainpitch {

/// Records that an agent has submitted and that are not settled yet. Each is resubmitted through
/// every new gateway until it is settled; folding a stream ignores duplicates.
class record_outbox
{
public:
    enum class submission_state {
        settled, ///< appended, then accepted or rejected by the fold
        not_appended, ///< never appended and given up
        retry_scheduled, ///< not appended by this entry; an earlier submission may still be
        unknown_ticket,
    };

    explicit record_outbox(action_list &actions)
        : m_actions(actions)
    {}

    void setGateway(instant now, connection_id gateway);
    [[nodiscard]] connection_id gateway() const { return m_gateway; }
    std::uint64_t submit(instant now, log_record record);
    /// With \a mayDrop, a record that was submitted only once and not appended is given up.
    submission_state onSettled(instant now, const record_settled &settled, bool mayDrop);
    void drop(std::uint64_t ticket) { m_waiting.erase(ticket); }
    void tick(instant now);

private:
    struct waiting_record
    {
        log_record record;
        std::uint32_t submissions = 0;
        std::optional<instant> retryAt;
    };

    void send(std::uint64_t ticket, waiting_record &waiting);

    action_list &m_actions;
    connection_id m_gateway = 0;
    std::uint64_t m_nextTicket = 1;
    std::map<std::uint64_t, waiting_record> m_waiting;
};

} // namespace plantainpitch
