#pragma once

#include "plantainpitch/model/instant.h"
#include "plantainpitch/sched/messages.h"
#include "plantainpitch/sched/resources.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace plantainpitch::sched {

/// What the announcements of one incarnation of a worker say of it, and what its agent goes by.
///
/// Other writers may announce a worker under its own id and start, with any sequence number, so no
/// single announcement is known to be the worker's. But the worker repeats its own for as long as
/// it lives. A claim that restricts its use holds until it has not been repeated for a while, and
/// one that permits more only once nothing contradicts it.
class worker_claims
{
public:
    /// A claim is not the worker's if it is not repeated within \a validity.
    explicit worker_claims(duration validity);

    /// Adds an announcement. One of a service in \a services takes the place of one that names no
    /// known service at once; none is known if \a services is empty.
    void add(const worker_info &announced, const std::set<std::string> &services, instant now);
    /// Adds an announced end. It holds until the next announcement.
    void addEnd() { m_info.ready = false; }

    /// What to go by; none has been added before the first announcement.
    [[nodiscard]] const worker_info &info() const { return m_info; }

    bool operator==(const worker_claims &) const = default;

private:
    /// When something was announced last, and as which of all announcements.
    struct stamp
    {
        instant time{};
        std::uint64_t number = 0;

        bool operator==(const stamp &) const = default;
    };
    /// What is fixed during the life of an incarnation.
    struct fixed_properties
    {
        std::string service;
        std::string dataCentre;
        std::vector<std::string> labels;

        bool operator==(const fixed_properties &) const = default;
    };
    struct capacity_claim
    {
        resources amount;
        stamp announcedAt;

        bool operator==(const capacity_claim &) const = default;
    };
    /// All that has been announced with the same properties.
    struct variant
    {
        fixed_properties properties;
        stamp announcedAt;
        std::optional<stamp> drainingAt; ///< last claim that it drains
        std::vector<capacity_claim> capacities;

        bool operator==(const variant &) const = default;
    };

    [[nodiscard]] bool isValid(const stamp &announcedAt, instant now) const;
    variant &variantOf(const worker_info &announced, instant now);
    void select(const std::set<std::string> &services, instant now);
    void updateInfo(const worker_info &announced);

    duration m_validity;
    std::uint64_t m_added = 0;
    std::vector<variant> m_variants; ///< the one to go by first, then by their first announcement
    worker_info m_info;
};

} // namespace plantainpitch::sched
