#pragma once

#include "plantainpitch/model/instant.h"
#include "plantainpitch/role/connection_id.h"
#include "plantainpitch/role/message/hello.h"

#include <map>
#include <string>

namespace plantainpitch::detail {

/// Chooses the entry through which an agent submits records and requests authority: one in its own
/// data centre if available, kept as long as it answers.
class gateway_selector
{
public:
    explicit gateway_selector(std::string dataCentre)
        : m_dataCentre(std::move(dataCentre))
    {}

    void onConnected(instant now, connection_id connection, const hello &peer);
    void onDisconnected(connection_id connection);
    /// The gateway sent an answer that required the log.
    void onAnswer(instant now);
    void tick(instant now);

    /// 0 if no entry is connected.
    [[nodiscard]] connection_id current() const { return m_current; }

private:
    struct candidate
    {
        std::string dataCentre;
        instant lastTried;
    };

    void select(instant now);

    std::string m_dataCentre;
    std::map<connection_id, candidate> m_candidates;
    connection_id m_current = 0;
    instant m_lastAnswer;
};

} // namespace plantainpitch::detail
