#pragma once

#include <cstddef>

namespace plantainpitch::sched {

/// A process closes the connection on which a longer message arrives.
inline constexpr std::size_t maxMessageBytes = 1'000'000;

/// Largest submission that a gateway passes on, with its call.
inline constexpr std::size_t maxSubmittedBytes = maxMessageBytes - 10'000;

/// Estimate for an order, without the payload and the checkpoint of a start.
inline constexpr std::size_t orderOverheadBytes = 400;

/// Orders to one node beyond this size go in several messages, each with room for one more start.
inline constexpr std::size_t maxOrderBytes = 500'000;

/// Ends and checkpoints in a report beyond this size go in the next ones.
inline constexpr std::size_t maxReportBytes = 500'000;

/// Estimate for an end, without its checkpoint.
inline constexpr std::size_t endOverheadBytes = 200;

/// Longer checkpoints are not reported. Above what a progress record of any store can hold for one
/// task.
inline constexpr std::size_t maxReportedCheckpointBytes = 100'000;

} // namespace plantainpitch::sched
