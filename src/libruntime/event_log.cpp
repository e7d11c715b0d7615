#include "plantainpitch/runtime/event_log.h"

namespace plantainpitch::runtime {

void event_log::write(const write_log &line)
{
    std::string label = line.event;
    for (const auto &[key, value] : line.fields) {
        // Values of these fields are of a small set; others would make counters without bound.
        if (key == "reason" || key == "outcome" || key == "call")
            label += ':' + value;
    }
    m_counters.count({ .name = "events_total", .label = label });
    m_log.write(line);
}

} // namespace plantainpitch::runtime
