#pragma once

#include <iosfwd>

namespace plantainpitch {

// Parts of runCapacityBench().
void measureMessages(std::ostream &out); ///< agents and one entry exchange messages
void measureConfigSpread(std::ostream &out);
void measureBacklog(std::ostream &out); ///< tasks wait for room
void measureLoss(std::ostream &out); ///< a quarter of the VMs fails at once
void measureAppends(std::ostream &out);
void measureMemory(std::ostream &out);
void measureSnapshots(std::ostream &out);
void measureDecisions(std::ostream &out); ///< routing decision, dispatcher pass

} // namespace plantainpitch
