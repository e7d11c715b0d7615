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

/// Caches the advice service's answers for the steps of jobs: the workers that may run a step, each
/// with a ticket that expires. Selects the workers to query next and the agent that sends the
/// query. The service handles one call of each VM at a time, so calls are spread over the agents.
class advice_cache
{
public:
    /// Returns the ticket for starting the step on that worker, if a valid one is cached.
    [[nodiscard]] std::optional<std::string>
    ticketFor(const std::string &step, const std::string &worker, instant now) const;

    /// Returns the workers to query now: those without a valid ticket that are not known to be
    /// unfit. Empty while a call is pending, or if one of \a usable has a valid ticket, unless the
    /// job is \a stalled: then the workers with tickets start nothing, and the rest of \a usable is
    /// queried as well. \a others take no task of the step at present.
    [[nodiscard]] std::vector<std::string> workersToQuery(const std::string &step,
                                                          const std::vector<std::string> &usable,
                                                          const std::vector<std::string> &others,
                                                          bool stalled, instant now) const;

    /// Returns the agent with the fewest pending calls; empty if all are at their limit.
    [[nodiscard]] std::string chooseAgent(const std::set<std::string> &agents) const;

    void requestSent(const std::string &step, const std::string &agent, instant now);
    /// The call failed or was rejected.
    void requestFailed(const std::string &step, instant now);
    /// \a workers are those that the call asked about.
    void adviceReceived(const std::string &step, const std::vector<std::string> &workers,
                        const std::vector<ticket_grant> &grants, duration validity, instant now);
    /// Removes the step's ticket for a worker that has refused it.
    void ticketRefused(const std::string &step, const std::string &worker);
    /// Ends the pending calls of an agent that will not answer any more.
    void agentLost(const std::string &agent);
    /// Removes the state of all steps of the job.
    void removeJob(const std::string &job);

private:
    struct held_ticket
    {
        std::string text;
        instant validUntil{};
    };
    struct step_state
    {
        std::string agent; ///< that the pending call was sent to; empty: none
        instant requestedAt{};
        instant retryAt{};
        std::map<std::string, held_ticket> tickets; ///< by worker
        std::set<std::string> unfit; ///< workers that may not run the step
    };

    void finishCall(step_state &state);

    std::map<std::string, step_state> m_steps;
    std::map<std::string, std::uint32_t> m_callsByAgent;
};

} // namespace plantainpitch::sched
