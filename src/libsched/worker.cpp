#include "plantainpitch/sched/worker.h"

#include <algorithm>
#include <utility>

namespace plantainpitch::sched {

namespace {

/// Share of their reservation that serving tasks use outside their peaks.
constexpr double servingOffPeakShare = 0.5;

void countImage(std::map<std::string, std::uint32_t> &images, const std::string &image, bool added)
{
    std::uint32_t &count = images[image];
    count = added ? count + 1 : count - 1;
    if (count == 0)
        images.erase(image);
}

void countImages(worker &worker, const allocation &run, bool added)
{
    if (run.serves)
        countImage(worker.servingImages, run.image, added);
}

} // namespace

double worker::shortage(const resources &needed) const
{
    const resources missing = needed - (freeResources() - held);
    const auto share = [](std::int64_t amount, std::int64_t total) {
        return static_cast<double>(amount) / static_cast<double>(std::max<std::int64_t>(total, 1));
    };
    return std::max({ share(missing.cpu, capacity.cpu), share(missing.memoryMb, capacity.memoryMb),
                      share(missing.accelerators, capacity.accelerators) });
}

std::int64_t worker::leftOverCpu() const
{
    const auto unused =
            static_cast<std::int64_t>((1 - servingOffPeakShare) * static_cast<double>(servingCpu));
    return capacity.cpu - used.cpu + unused - fillingCpu;
}

void worker::reserve(const std::string &name, const allocation &allocation)
{
    const auto earlier = runs.find(name);
    if (earlier != runs.end())
        release(name, earlier->second.run);
    runs[name] = allocation;
    used = used + allocation.reserved;
    if (allocation.longRunning)
        usedByLongRunning = usedByLongRunning + allocation.reserved;
    trials += allocation.trial ? 1 : 0;
    fillingCpu += allocation.fillingCpu;
    servingRuns += allocation.serves ? 1 : 0;
    servingCpu += allocation.serves ? allocation.reserved.cpu : 0;
    countImages(*this, allocation, true);
}

bool worker::release(const std::string &name, std::uint32_t run)
{
    const auto found = runs.find(name);
    if (found == runs.end() || found->second.run != run)
        return false;
    used = used - found->second.reserved;
    if (found->second.longRunning)
        usedByLongRunning = usedByLongRunning - found->second.reserved;
    trials -= found->second.trial ? 1 : 0;
    fillingCpu -= found->second.fillingCpu;
    servingRuns -= found->second.serves ? 1 : 0;
    servingCpu -= found->second.serves ? found->second.reserved.cpu : 0;
    countImages(*this, found->second, false);
    runs.erase(found);
    return true;
}

void worker::endTrial(const std::string &name)
{
    const auto found = runs.find(name);
    if (found != runs.end() && std::exchange(found->second.trial, false))
        --trials;
}

} // namespace plantainpitch::sched
