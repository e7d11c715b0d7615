#pragma once

#include <cstdint>
#include <set>
#include <string>

namespace plantainpitch::sched {

/// The data centres in which operators want nothing to be started, as of one point of their
/// records. Of two lists, the one with the higher \a asOf is the newer one and replaces the other
/// whole.
struct evacuation_list
{
    std::uint64_t asOf = 0; ///< offset behind the last record that the list covers
    std::set<std::string> dataCentres;

    [[nodiscard]] bool includes(const std::string &dataCentre) const
    {
        return dataCentres.count(dataCentre) > 0;
    }

    bool operator==(const evacuation_list &) const = default;
};

/// The names, separated by commas, for log lines.
inline std::string textOf(const evacuation_list &list)
{
    std::string text;
    for (const std::string &each : list.dataCentres)
        text += (text.empty() ? "" : ",") + each;
    return text;
}

} // namespace plantainpitch::sched
