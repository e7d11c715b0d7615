#pragma once

#include <iosfwd>

namespace plantainpitch {

/// Measures how cost grows with size, for docs/CAPACITY.md. Bytes, messages and appends are
/// counted and do not depend on the machine; processor time does.
void runCapacityBench(std::ostream &out);

} // namespace plantainpitch
