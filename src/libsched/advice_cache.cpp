#include "plantainpitch/sched/advice_cache.h"

#include <algorithm>

namespace plantainpitch::sched {

namespace {

/// Each worker in a call adds to the service's response time, and a step seldom needs more.
constexpr std::size_t maxWorkersPerCall = 30;
/// The service queues the calls of one VM, so more calls would only delay each other.
constexpr std::uint32_t maxCallsPerAgent = 2;
/// An unanswered call is repeated through another agent after this time.
constexpr std::chrono::milliseconds callTimeout{ 3'000 };
constexpr std::chrono::milliseconds retryDelay{ 300 };
/// Covers the transit times: validity counts from when the service sent the ticket, and the ticket
/// must still be valid when the start arrives at the worker.
constexpr std::chrono::milliseconds validityMargin{ 500 };

} // namespace

std::optional<std::string> advice_cache::ticketFor(const std::string &step,
                                                   const std::string &worker, instant now) const
{
    const auto found = m_steps.find(step);
    if (found == m_steps.end())
        return std::nullopt;
    const auto ticket = found->second.tickets.find(worker);
    if (ticket == found->second.tickets.end() || now >= ticket->second.validUntil)
        return std::nullopt;
    return ticket->second.text;
}

std::vector<std::string> advice_cache::workersToQuery(const std::string &step,
                                                      const std::vector<std::string> &usable,
                                                      const std::vector<std::string> &others,
                                                      bool stalled, instant now) const
{
    const auto found = m_steps.find(step);
    const step_state none;
    const step_state &state = found == m_steps.end() ? none : found->second;
    const bool pending = !state.agent.empty() && now - state.requestedAt < callTimeout;
    const auto hasTicket = [&](const std::string &worker) {
        return ticketFor(step, worker, now).has_value();
    };
    const auto isUnknown = [&](const std::string &worker) {
        return state.unfit.count(worker) == 0 && !hasTicket(worker);
    };
    const bool asksMore = stalled && std::any_of(usable.begin(), usable.end(), isUnknown);
    const bool mayStart = std::any_of(usable.begin(), usable.end(), hasTicket);
    if (pending || now < state.retryAt || (mayStart && !asksMore))
        return {};
    std::vector<std::string> workers;
    for (const auto *list : { &usable, &others }) {
        for (const std::string &each : *list) {
            if (isUnknown(each) && workers.size() < maxWorkersPerCall)
                workers.push_back(each);
        }
    }
    return workers;
}

std::string advice_cache::chooseAgent(const std::set<std::string> &agents) const
{
    std::string best;
    std::uint32_t fewest = maxCallsPerAgent;
    for (const std::string &each : agents) {
        const auto found = m_callsByAgent.find(each);
        const std::uint32_t calls = found == m_callsByAgent.end() ? 0 : found->second;
        if (calls < fewest) {
            best = each;
            fewest = calls;
        }
    }
    return best;
}

void advice_cache::requestSent(const std::string &step, const std::string &agent, instant now)
{
    step_state &state = m_steps[step];
    finishCall(state);
    state.agent = agent;
    state.requestedAt = now;
    ++m_callsByAgent[agent];
}

void advice_cache::finishCall(step_state &state)
{
    const auto calls = m_callsByAgent.find(state.agent);
    if (calls != m_callsByAgent.end() && --calls->second == 0)
        m_callsByAgent.erase(calls);
    state.agent.clear();
}

void advice_cache::requestFailed(const std::string &step, instant now)
{
    const auto found = m_steps.find(step);
    if (found == m_steps.end())
        return;
    finishCall(found->second);
    found->second.retryAt = now + retryDelay;
}

void advice_cache::adviceReceived(const std::string &step, const std::vector<std::string> &workers,
                                  const std::vector<ticket_grant> &grants, duration validity,
                                  instant now)
{
    const auto found = m_steps.find(step);
    if (found == m_steps.end())
        return;
    step_state &state = found->second;
    state.unfit.insert(workers.begin(), workers.end());
    for (const ticket_grant &each : grants) {
        state.tickets[each.worker] = { .text = each.ticket,
                                       .validUntil = now + validity - validityMargin };
        state.unfit.erase(each.worker);
    }
    finishCall(state);
}

void advice_cache::ticketRefused(const std::string &step, const std::string &worker)
{
    const auto found = m_steps.find(step);
    if (found != m_steps.end())
        found->second.tickets.erase(worker);
}

void advice_cache::agentLost(const std::string &agent)
{
    for (auto &[step, state] : m_steps) {
        if (state.agent == agent)
            finishCall(state);
    }
}

void advice_cache::removeJob(const std::string &job)
{
    const std::string prefix = job + '.';
    for (auto each = m_steps.lower_bound(prefix);
         each != m_steps.end() && each->first.starts_with(prefix);) {
        finishCall(each->second);
        each = m_steps.erase(each);
    }
}

} // namespace plantainpitch::sched
