#include "plantainpitch/sched/worker.h"

namespace plantainpitch::sched {

void worker::hold(const std::string &name, const allocation &amount)
{
    const auto earlier = runs.find(name);
    if (earlier != runs.end())
        release(name, earlier->second.run);
    runs[name] = amount;
    used = used + amount.amount;
    fillingCpu += amount.fillingCpu;
    serving += amount.serves ? 1 : 0;
}

bool worker::release(const std::string &name, std::uint32_t run)
{
    const auto found = runs.find(name);
    if (found == runs.end() || found->second.run != run)
        return false;
    used = used - found->second.amount;
    fillingCpu -= found->second.fillingCpu;
    serving -= found->second.serves ? 1 : 0;
    runs.erase(found);
    return true;
}

} // namespace plantainpitch::sched
