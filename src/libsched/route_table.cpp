#include "plantainpitch/sched/route_table.h"

namespace plantainpitch::sched {

std::optional<route_match> operator_config::match(const std::string &host,
                                                  const std::string &path) const
{
    const route *best = nullptr;
    for (const route &each : routes) {
        if (each.host == host && path.starts_with(each.pathPrefix)
            && (!best || each.pathPrefix.size() > best->pathPrefix.size()))
            best = &each;
    }
    if (!best)
        return std::nullopt;
    return route_match{ best->queue, path.substr(best->pathPrefix.size()) };
}

} // namespace plantainpitch::sched
