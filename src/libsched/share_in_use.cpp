#include "share_in_use.h"

#include <algorithm>

namespace plantainpitch::sched::detail {

namespace {

double share(std::int64_t amount, std::int64_t total)
{
    return static_cast<double>(amount) / static_cast<double>(std::max<std::int64_t>(total, 1));
}

} // namespace

double shareInUse(const std::map<worker_key, std::unique_ptr<worker>> &workers,
                  const std::string &service)
{
    resources used;
    resources capacity;
    for (const auto &[key, worker] : workers) {
        if (worker->service != service)
            continue;
        used = used + worker->used;
        capacity = capacity + worker->capacity;
    }
    return std::max({ share(used.cpu, capacity.cpu), share(used.memoryMb, capacity.memoryMb),
                      share(used.accelerators, capacity.accelerators) });
}

} // namespace plantainpitch::sched::detail
