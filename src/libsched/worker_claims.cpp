#include "plantainpitch/sched/worker_claims.h"

#include "plantainpitch/sched/job.h"

#include <algorithm>
#include <utility>

namespace plantainpitch::sched {

namespace {

/// Bounds what announcements of other writers occupy.
constexpr std::size_t maxVariants = 8;
constexpr std::size_t maxCapacities = 8;
/// Announcements that may arrive late and in a row after a time without any.
constexpr std::uint64_t mostLateAnnouncements = 2;

resources smallest(const resources &a, const resources &b)
{
    return { .cpu = std::min(a.cpu, b.cpu),
             .memoryMb = std::min(a.memoryMb, b.memoryMb),
             .accelerators = std::min(a.accelerators, b.accelerators) };
}

} // namespace

worker_claims::worker_claims(duration validity)
    : m_validity(validity)
{}

/// A claim of which nothing has been heard for a while ends only with announcements that go on: the
/// first ones after a gap may be late ones.
bool worker_claims::isValid(const stamp &announcedAt, instant now) const
{
    return now - announcedAt.time <= m_validity
           || m_added - announcedAt.number <= mostLateAnnouncements;
}

void worker_claims::add(const worker_info &announced, const std::set<std::string> &services,
                        instant now)
{
    const stamp current{ .time = now, .number = ++m_added };
    variant &claimed = variantOf(announced, now);
    claimed.announcedAt = current;
    if (!announced.ready)
        claimed.drainingAt = current;
    else if (claimed.drainingAt && !isValid(*claimed.drainingAt, now))
        claimed.drainingAt.reset(); // a worker that drains announces nothing else
    resources amount = capacityOf(announced);
    std::erase_if(claimed.capacities, [&](const capacity_claim &each) {
        return each.amount == amount || !isValid(each.announcedAt, now);
    });
    if (claimed.capacities.size() >= maxCapacities) {
        // What is dropped must not leave a larger amount.
        amount = smallest(amount, claimed.capacities.front().amount);
        claimed.capacities.erase(claimed.capacities.begin());
    }
    claimed.capacities.push_back({ .amount = amount, .announcedAt = current });
    select(services, now);
    updateInfo(announced);
}

worker_claims::variant &worker_claims::variantOf(const worker_info &announced, instant now)
{
    fixed_properties properties{ .service = announced.service,
                                 .dataCentre = announced.dataCentre,
                                 .labels = announced.labels };
    const auto found =
            std::find_if(m_variants.begin(), m_variants.end(), [&properties](const variant &each) {
                return each.properties == properties;
            });
    if (found != m_variants.end())
        return *found;
    if (m_variants.size() >= maxVariants) {
        m_variants.erase(std::min_element(m_variants.begin() + 1, m_variants.end(),
                                          [](const variant &a, const variant &b) {
                                              return a.announcedAt.number < b.announcedAt.number;
                                          }));
    }
    m_variants.push_back({ .properties = std::move(properties), .announcedAt = { now, m_added } });
    return m_variants.back();
}

/// Moves the variant to go by to the front. The present one stays while it is announced, unless it
/// names no known service and another one does.
void worker_claims::select(const std::set<std::string> &services, instant now)
{
    std::erase_if(m_variants, [&](const variant &each) { return !isValid(each.announcedAt, now); });
    const auto known = std::find_if(m_variants.begin(), m_variants.end(), [&](const variant &each) {
        return services.count(each.properties.service) > 0;
    });
    if (known != m_variants.end())
        std::rotate(m_variants.begin(), known, known + 1);
}

void worker_claims::updateInfo(const worker_info &announced)
{
    const variant &current = m_variants.front();
    resources capacity = current.capacities.front().amount;
    bool draining = false;
    // The worker's own may be those with other labels.
    for (const variant &other : m_variants) {
        if (other.properties.service != current.properties.service)
            continue;
        draining = draining || other.drainingAt;
        for (const capacity_claim &each : other.capacities)
            capacity = smallest(capacity, each.amount);
    }
    m_info = announced;
    m_info.service = current.properties.service;
    m_info.dataCentre = current.properties.dataCentre;
    m_info.labels = current.properties.labels;
    m_info.cpu = static_cast<std::uint32_t>(capacity.cpu);
    m_info.memoryMb = static_cast<std::uint32_t>(capacity.memoryMb);
    m_info.accelerators = static_cast<std::uint32_t>(capacity.accelerators);
    m_info.ready = !draining;
}

} // namespace plantainpitch::sched
