#pragma once

#include "plantainpitch/model/instant.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace plantainpitch::sched {

/// Permission to start tasks of a step on a worker.
struct ticket_grant
{
    std::string worker; ///< id
    std::string ticket;

    bool operator==(const ticket_grant &) const = default;
};

/// What the advice service has said of the steps of jobs: which workers may run them, with tickets
/// that are valid for a while. Decides what is asked again, and which agent asks: the service
/// handles one call of each VM at a time, so calls are spread over the agents.
class advice_book
{
public:
    /// The ticket for a start of the step on that worker; nothing if there is none that is valid.
    [[nodiscard]] std::optional<std::string>
    ticketFor(const std::string &step, const std::string &worker, instant now) const;

    /// Workers to ask about now, of those without a valid ticket that may be fit: none while a call
    /// is on its way or there is a valid ticket for one of \a usable. \a others have no room at
    /// present.
    [[nodiscard]] std::vector<std::string> toAsk(const std::string &step,
                                                 const std::vector<std::string> &usable,
                                                 const std::vector<std::string> &others,
                                                 instant now) const;

    /// The one of \a agents that has the fewest calls to make; empty if all are busy.
    [[nodiscard]] std::string chooseAgent(const std::set<std::string> &agents) const;

    void asked(const std::string &step, const std::string &agent, instant now);
    /// The call failed or was turned away.
    void notAnswered(const std::string &step, instant now);
    /// \a workers are those that the call was about.
    void answered(const std::string &step, const std::vector<std::string> &workers,
                  const std::vector<ticket_grant> &good, duration validity, instant now);
    /// A worker has refused the ticket of the step.
    void refused(const std::string &step, const std::string &worker);
    /// Calls of that agent will not be answered any more.
    void agentLost(const std::string &agent);
    /// The steps of the job need no tickets any more.
    void forget(const std::string &job);

private:
    struct held_ticket
    {
        std::string text;
        instant validUntil{};
    };
    struct entry
    {
        std::string agent; ///< that has been told to ask; empty: none
        instant askedAt{};
        instant retryAt{};
        std::map<std::string, held_ticket> tickets; ///< by worker
        std::set<std::string> unfit; ///< workers that may not run the step
    };

    void callOver(entry &place);

    std::map<std::string, entry> m_steps;
    std::map<std::string, std::uint32_t> m_callsByAgent;
};

} // namespace plantainpitch::sched
