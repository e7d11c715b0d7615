#include "task.h"

namespace plantainpitch::standin {

boost::json::object task::toJson() const
{
    return { { "id", id },
             { "attempt", attempt },
             { "state", state },
             { "resources", boost::json::object{ { "processors_milli", reserved.processorsMilli },
                                                 { "memory_bytes", reserved.memoryBytes },
                                                 { "accelerators", reserved.accelerators } } },
             { "lease_until_us", leaseUntilUs },
             { "checkpoint", checkpoint },
             { "result", result } };
}

} // namespace plantainpitch::standin
