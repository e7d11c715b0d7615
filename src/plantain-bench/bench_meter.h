#pragma once

#include <cstddef>

namespace plantainpitch {

/// Processor time of this thread in seconds: what other processes of a shared machine take from the
/// wall time is not the cost of the measured code.
double processorSeconds();

/// Bytes that are allocated from the heap at present.
std::size_t heapBytes();

} // namespace plantainpitch
