#include "plantainpitch/sched/advice_book.h"

#include <algorithm>

namespace plantainpitch::sched {

namespace {

/// Workers in one call: each adds to the time that the service takes, and a step seldom needs more.
constexpr std::size_t workersPerCall = 30;
/// Calls that wait at the service for one VM delay each other.
constexpr std::uint32_t callsPerAgent = 2;
/// A call that was not answered for so long is made again, by another agent.
constexpr std::chrono::milliseconds callLostAfter{ 3'000 };
constexpr std::chrono::milliseconds retryPause{ 300 };
/// A ticket has to be valid when the start arrives at the worker, and was so when the service sent
/// it.
constexpr std::chrono::milliseconds validityMargin{ 500 };

} // namespace

std::optional<std::string> advice_book::ticketFor(const std::string &step,
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

std::vector<std::string> advice_book::toAsk(const std::string &step,
                                            const std::vector<std::string> &usable,
                                            const std::vector<std::string> &others,
                                            instant now) const
{
    const auto found = m_steps.find(step);
    const entry none;
    const entry &place = found == m_steps.end() ? none : found->second;
    const bool onItsWay = !place.agent.empty() && now - place.askedAt < callLostAfter;
    const auto hasTicket = [&](const std::string &worker) {
        return ticketFor(step, worker, now).has_value();
    };
    if (onItsWay || now < place.retryAt || std::any_of(usable.begin(), usable.end(), hasTicket))
        return {};
    std::vector<std::string> workers;
    for (const auto *list : { &usable, &others }) {
        for (const std::string &each : *list) {
            if (place.unfit.count(each) == 0 && !hasTicket(each) && workers.size() < workersPerCall)
                workers.push_back(each);
        }
    }
    return workers;
}

std::string advice_book::chooseAgent(const std::set<std::string> &agents) const
{
    std::string best;
    std::uint32_t fewest = callsPerAgent;
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

void advice_book::asked(const std::string &step, const std::string &agent, instant now)
{
    entry &place = m_steps[step];
    callOver(place);
    place.agent = agent;
    place.askedAt = now;
    ++m_callsByAgent[agent];
}

void advice_book::callOver(entry &place)
{
    const auto calls = m_callsByAgent.find(place.agent);
    if (calls != m_callsByAgent.end() && --calls->second == 0)
        m_callsByAgent.erase(calls);
    place.agent.clear();
}

void advice_book::notAnswered(const std::string &step, instant now)
{
    const auto found = m_steps.find(step);
    if (found == m_steps.end())
        return;
    callOver(found->second);
    found->second.retryAt = now + retryPause;
}

void advice_book::answered(const std::string &step, const std::vector<std::string> &workers,
                           const std::vector<ticket_grant> &good, duration validity, instant now)
{
    const auto found = m_steps.find(step);
    if (found == m_steps.end())
        return;
    entry &place = found->second;
    place.unfit.insert(workers.begin(), workers.end());
    for (const ticket_grant &each : good) {
        place.tickets[each.worker] = { .text = each.ticket,
                                       .validUntil = now + validity - validityMargin };
        place.unfit.erase(each.worker);
    }
    callOver(place);
}

void advice_book::refused(const std::string &step, const std::string &worker)
{
    const auto found = m_steps.find(step);
    if (found != m_steps.end())
        found->second.tickets.erase(worker);
}

void advice_book::agentLost(const std::string &agent)
{
    for (auto &[step, place] : m_steps) {
        if (place.agent == agent)
            callOver(place);
    }
}

void advice_book::forget(const std::string &job)
{
    const std::string prefix = job + '.';
    for (auto each = m_steps.lower_bound(prefix);
         each != m_steps.end() && each->first.starts_with(prefix);) {
        callOver(each->second);
        each = m_steps.erase(each);
    }
}

} // namespace plantainpitch::sched
