#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace plantainpitch::sched::detail {

/// Limits a sorted list to \a limit entries: the first half of them, the one that \a isPreferred,
/// and the others in turn from one call to the next, as the first ones may never find a place.
template <typename Entry, typename Predicate>
void limitInTurn(std::vector<Entry> &entries, std::size_t limit, std::size_t &nextTurn,
                 const Predicate &isPreferred)
{
    if (entries.size() <= limit)
        return;
    const auto others = entries.begin() + static_cast<std::ptrdiff_t>(limit / 2);
    nextTurn %= static_cast<std::size_t>(entries.end() - others);
    std::rotate(others, others + static_cast<std::ptrdiff_t>(nextTurn), entries.end());
    nextTurn += limit / 2;
    const auto preferred = std::find_if(others, entries.end(), isPreferred);
    if (preferred != entries.end())
        std::rotate(others, preferred, preferred + 1);
    entries.resize(limit);
}

} // namespace plantainpitch::sched::detail
