#include "capacity_bench.h"

#include "capacity_parts.h"

namespace plantainpitch {

void runCapacityBench(std::ostream &out)
{
    measureMessages(out);
    measureConfigSpread(out);
    measureBacklog(out);
    measureLoss(out);
    measureAppends(out);
    measureMemory(out);
    measureSnapshots(out);
    measureDecisions(out);
}

} // namespace plantainpitch
